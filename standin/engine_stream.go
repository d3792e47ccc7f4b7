package standin

import (
	"context"
	"io"
	"time"

	"greengageferry/infra"
)

// EventFault says what is sent in place of one event of a stream.
type EventFault struct {
	Send  []infra.Event // sent in place of the event, in order; empty: the event is dropped
	Delay time.Duration // before Send
	Cut   bool          // the stream breaks after Send
}

// EventFaultHook returns the fault for an event. It is called for each event of each
// stream: in order within a stream, and concurrently for several streams. A hook
// that keeps events between calls can reorder, repeat or mix them.
type EventFaultHook func(e infra.Event) EventFault

// Unchanged returns the EventFault that sends the event as it is.
func Unchanged(e infra.Event) EventFault { return EventFault{Send: []infra.Event{e}} }

// engineStream is the stream of one attempt's events. It implements infra.Stream.
type engineStream struct {
	ctx     context.Context
	engine  *Engine
	attempt *attempt
	pending []infra.Event
	end     error // returned by Recv once pending is empty; nil while the stream runs
	unwatch func() bool
}

var _ infra.Stream = (*engineStream)(nil)

// newEngineStream returns the attempt's stream. The attempt is canceled when ctx
// ends.
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

// fill receives the next event from the engine and applies the fault hook.
func (s *engineStream) fill() {
	var event infra.Event
	select {
	case event = <-s.attempt.events:
	case <-s.attempt.aborted:
		s.fail(connectionBrokenError("engine.generate", s.engine.options.ID))
		return
	case <-s.ctx.Done():
		s.fail(contextError(s.ctx, "engine.generate", s.engine.options.ID, infra.EffectUnknown))
		return
	}
	fault := s.engine.eventFault(event)
	if sleep(s.ctx, fault.Delay) != nil {
		s.fail(contextError(s.ctx, "engine.generate", s.engine.options.ID, infra.EffectUnknown))
		return
	}
	s.pending = fault.Send
	if fault.Cut || event.Finish != "" {
		s.fail(connectionBrokenError("engine.generate", s.engine.options.ID))
	}
}

// fail makes err the end of the stream and cancels the attempt.
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

// eventFault returns what the hook makes of an event.
func (e *Engine) eventFault(event infra.Event) EventFault {
	e.mu.Lock()
	hook := e.eventFaults
	e.mu.Unlock()
	if hook == nil {
		return Unchanged(event)
	}
	return hook(event)
}
