package logsync

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
	"greengageferry/record"
)

const (
	// laneQueue bounds the appends that wait for one stream. Full: the caller
	// waits until its context ends, and then nothing was sent.
	laneQueue = 256
	// maxBatchRecords bounds the records of one append, so that it stays in the
	// range of a megabyte.
	maxBatchRecords = 512
	// leaveGrace is how long a caller whose context has ended still waits to
	// hear whether its append was sent.
	leaveGrace = 250 * time.Millisecond
)

// WriterOptions configures a Writer. Log, Origin and Budget are required.
type WriterOptions struct {
	Log     infra.Log
	Origin  string // unique to this boot of this instance
	Budget  Budget
	Logger  logrus.FieldLogger
	Metrics *expvar.Map
}

// Writer is a duty that puts records on the log. Appends to one stream go out
// one after another, those that wait together in one append.
type Writer struct {
	opts  WriterOptions
	mu    sync.Mutex // guards lanes
	lanes map[string]*lane
	added chan struct{} // of one: there is a lane to start
}

// NewWriter returns a writer; Append waits until Run runs.
func NewWriter(opts WriterOptions) *Writer {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = new(expvar.Map)
	}
	return &Writer{opts: opts, lanes: map[string]*lane{}, added: make(chan struct{}, 1)}
}

// Run sends until ctx ends. It returns nil.
func (w *Writer) Run(ctx context.Context) error {
	var group errgroup.Group
	defer w.stopped()
	for {
		for _, l := range w.startable() {
			group.Go(func() error { return l.run(ctx) })
		}
		select {
		case <-w.added:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// startable returns the lanes that don't run yet and marks them as running.
func (w *Writer) startable() []*lane {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*lane
	for _, l := range w.lanes {
		if !l.running {
			l.running = true
			out = append(out, l)
		}
	}
	return out
}

func (w *Writer) stopped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lanes {
		l.running = false
	}
}

// request is one call of Append.
type request struct {
	ctx     context.Context
	records []*record.Record
	state   atomic.Int32
	done    chan result // of one
}

// The states of a request.
const (
	requestWaiting int32 = iota // nothing of it was sent
	requestTaken                // it is in a batch
	requestLeft                 // its caller went before it was taken
)

type result struct {
	offset infra.Offset
	err    error
}

// Append implements Appender. Its error is a *infra.Error.
func (w *Writer) Append(ctx context.Context, stream string, records ...*record.Record) (infra.Offset, error) {
	r := &request{ctx: ctx, records: records, done: make(chan result, 1)}
	select {
	case w.lane(stream).queue <- r:
	case <-ctx.Done():
		return 0, appendError(stream, infra.EffectNone, ctx.Err())
	}
	select {
	case res := <-r.done:
		return res.offset, res.err
	case <-ctx.Done():
		return r.leave(stream)
	}
}

// leave ends a request whose caller's context has ended.
func (r *request) leave(stream string) (infra.Offset, error) {
	if r.state.CompareAndSwap(requestWaiting, requestLeft) {
		return 0, appendError(stream, infra.EffectNone, r.ctx.Err())
	}
	timer := time.NewTimer(leaveGrace)
	defer timer.Stop()
	select {
	case res := <-r.done:
		return res.offset, res.err
	case <-timer.C:
		return 0, appendError(stream, infra.EffectUnknown, r.ctx.Err())
	}
}

// lane returns the stream's lane. The streams that one instance writes are few:
// its failure domain's, the shards' and the two common ones.
func (w *Writer) lane(stream string) *lane {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.lanes[stream]
	if l != nil {
		return l
	}
	l = newLane(w.opts, stream)
	w.lanes[stream] = l
	select {
	case w.added <- struct{}{}:
	default: // Run is to look already
	}
	return l
}

// appendError words a failed append. A cause that says itself why it failed is
// believed on that, but not on its effect: earlier tries count too.
func appendError(stream string, effect infra.Effect, cause error) error {
	reason := infra.ReasonUnreachable
	var failed *infra.Error
	switch {
	case errors.As(cause, &failed):
		reason = failed.Reason
	case errors.Is(cause, context.DeadlineExceeded):
		reason = infra.ReasonTimeout
	case errors.Is(cause, context.Canceled):
		reason = infra.ReasonCanceled
	}
	return &infra.Error{Op: "log.append " + stream, Reason: reason, Effect: effect, Err: cause}
}
