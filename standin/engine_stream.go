package standin

import (
	"context"
	"io"
	"time"

	"greengageferry/infra"
)

// Pieces is what becomes of one event of a stream.
type Pieces struct {
	Send  []infra.Event // sent in its place, in order; none: it is dropped
	Delay time.Duration // before it is sent
	Cut   bool          // the stream breaks after them
}

// PieceHook says what becomes of each event of each stream. Calls for one
// stream come in its order; those for several are concurrent. With what it
// keeps between calls it can reorder, repeat or mix events.
type PieceHook func(e infra.Event) Pieces

// Keep sends the event as it is.
func Keep(e infra.Event) Pieces { return Pieces{Send: []infra.Event{e}} }

// engineStream reads one attempt's events.
type engineStream struct {
	ctx     context.Context
	engine  *Engine
	attempt *attempt
	pending []infra.Event
	end     error // what Recv returns once pending is empty; nil while it runs
	unwatch func() bool
}

var _ infra.Stream = (*engineStream)(nil)

// newEngineStream returns a stream that cancels the attempt when ctx ends.
func newEngineStream(ctx context.Context, e *Engine, a *attempt) *engineStream {
	s := &engineStream{ctx: ctx, engine: e, attempt: a}
	s.unwatch = context.AfterFunc(ctx, s.cancel)
	return s
}

// Recv implements infra.Stream.
func (s *engineStream) Recv() (infra.Event, error) {
	for len(s.pending) == 0 && s.end == nil {
		s.fill()
	}
	if len(s.pending) == 0 {
		return infra.Event{}, s.end
	}
	event := s.pending[0]
	s.pending = s.pending[1:]
	if event.Finish != "" {
		s.pending = nil
		s.end = io.EOF
	}
	return event, nil
}

// fill takes the next event from the engine through the hook.
func (s *engineStream) fill() {
	var event infra.Event
	select {
	case event = <-s.attempt.out:
	case <-s.attempt.gone:
		s.fail(lost("engine.generate", s.engine.options.ID))
		return
	case <-s.ctx.Done():
		s.fail(contextError(s.ctx, "engine.generate", s.engine.options.ID, infra.EffectUnknown))
		return
	}
	pieces := s.engine.piecesOf(event)
	if sleep(s.ctx, pieces.Delay) != nil {
		s.fail(contextError(s.ctx, "engine.generate", s.engine.options.ID, infra.EffectUnknown))
		return
	}
	s.pending = pieces.Send
	if pieces.Cut || event.Finish != "" {
		s.fail(lost("engine.generate", s.engine.options.ID))
	}
}

func (s *engineStream) fail(err error) {
	s.end = err
	s.cancel()
}

// Close implements infra.Stream.
func (s *engineStream) Close() error {
	s.unwatch()
	s.cancel()
	return nil
}

func (s *engineStream) cancel() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.endAttempt(s.attempt, EndCanceled)
}

func (e *Engine) piecesOf(event infra.Event) Pieces {
	e.mu.Lock()
	hook := e.pieces
	e.mu.Unlock()
	if hook == nil {
		return Keep(event)
	}
	return hook(event)
}
