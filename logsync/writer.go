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
	"greengageferry/internal/rto"
	"greengageferry/record"
)

const (
	// streamQueueSize is the number of appends that can wait for one stream.
	// When the queue is full, Append blocks; if its context ends meanwhile,
	// nothing is sent.
	streamQueueSize = 256
	// maxBatchRecords limits the records of one append to about a megabyte.
	maxBatchRecords = 512
	// abandonGrace is how long a caller whose context has ended waits for the
	// result of an append that is already being sent.
	abandonGrace = 250 * time.Millisecond
)

// WriterOptions configures a Writer. Log, Origin and Budget are required.
type WriterOptions struct {
	Log     infra.Log
	Origin  string // unique to this run of this instance
	Budget  Budget
	Logger  logrus.FieldLogger
	Metrics *expvar.Map
}

// Writer is a background task that appends records to the log. It sends the
// appends to one stream one after another and combines those that are waiting
// into one.
type Writer struct {
	opts        WriterOptions
	appends     *rto.Estimator // of appends to the log
	reads       *rto.Estimator // of reads that don't wait for records
	mu          sync.Mutex     // guards streams and the running field of its values
	streams     map[string]*streamWriter
	streamAdded chan struct{} // capacity 1; signals a stream writer to start
}

// NewWriter returns a writer. Append blocks until Run is running.
func NewWriter(opts WriterOptions) *Writer {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = new(expvar.Map)
	}
	return &Writer{
		opts:        opts,
		appends:     rto.New(callTimeout),
		reads:       rto.New(callTimeout),
		streams:     map[string]*streamWriter{},
		streamAdded: make(chan struct{}, 1),
	}
}

// Run sends appends until ctx ends. It returns nil.
func (w *Writer) Run(ctx context.Context) error {
	var group errgroup.Group
	defer w.markStopped()
	for {
		for _, sw := range w.takeUnstarted() {
			group.Go(func() error { return sw.run(ctx) })
		}
		select {
		case <-w.streamAdded:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// takeUnstarted returns the stream writers that are not running and marks them
// as running.
func (w *Writer) takeUnstarted() []*streamWriter {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*streamWriter
	for _, sw := range w.streams {
		if !sw.running {
			sw.running = true
			out = append(out, sw)
		}
	}
	return out
}

// markStopped marks all stream writers as not running.
func (w *Writer) markStopped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, sw := range w.streams {
		sw.running = false
	}
}

// request is one call to Append.
type request struct {
	ctx     context.Context
	records []*record.Record
	state   atomic.Int32
	done    chan result // capacity 1
}

// The states of a request.
const (
	requestWaiting   int32 = iota // queued, nothing sent
	requestBatched                // part of a batch
	requestAbandoned              // the caller's context ended before the request joined a batch
)

// result is the outcome of a request.
type result struct {
	offset infra.Offset
	err    error
}

// Append implements Appender. Its errors are of type *infra.Error.
func (w *Writer) Append(ctx context.Context, stream string, records ...*record.Record) (infra.Offset, error) {
	r := &request{ctx: ctx, records: records, done: make(chan result, 1)}
	select {
	case w.streamWriter(stream).queue <- r:
	case <-ctx.Done():
		return 0, appendError(stream, infra.EffectNone, ctx.Err())
	}
	select {
	case res := <-r.done:
		return res.offset, res.err
	case <-ctx.Done():
		return r.abandon(stream)
	}
}

// abandon returns the result of a request whose caller's context has ended. The
// request is withdrawn if it is still queued.
func (r *request) abandon(stream string) (infra.Offset, error) {
	if r.state.CompareAndSwap(requestWaiting, requestAbandoned) {
		return 0, appendError(stream, infra.EffectNone, r.ctx.Err())
	}
	timer := time.NewTimer(abandonGrace)
	defer timer.Stop()
	select {
	case res := <-r.done:
		return res.offset, res.err
	case <-timer.C:
		return 0, appendError(stream, infra.EffectUnknown, r.ctx.Err())
	}
}

// streamWriter returns the writer of the stream and creates it if necessary. An
// instance writes to few streams: the one of its failure domain, those of the
// shards, and the two that all instances share.
func (w *Writer) streamWriter(stream string) *streamWriter {
	w.mu.Lock()
	defer w.mu.Unlock()
	sw := w.streams[stream]
	if sw != nil {
		return sw
	}
	sw = w.newStreamWriter(stream)
	w.streams[stream] = sw
	select {
	case w.streamAdded <- struct{}{}:
	default: // Run is already signaled
	}
	return sw
}

// appendError returns the error of a failed append. It takes the reason from the
// cause if possible, but not the effect, because earlier attempts may have had
// another.
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
