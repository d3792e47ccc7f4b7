package logsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/internal/rto"
	"greengageferry/record"
)

// callTimeout limits one call to the log: a lost call is repeated early on a quick log,
// and a call to a slow log isn't given up though its answer is on the way. An append
// whose call timed out is searched for on the log before it is sent again.
var callTimeout = rto.Options{Initial: 3 * time.Second, Min: time.Second, Max: 12 * time.Second}

const (
	// outageThreshold is the number of consecutive attempts without effect after
	// which the log counts as down. New appends then fail at once, without an
	// attempt, until the backoff is over, so that callers with a short deadline
	// learn of the outage early.
	outageThreshold = 3
)

// streamWriter appends to one stream, one batch at a time, so that the sequence
// numbers on the log ascend.
type streamWriter struct {
	opts    WriterOptions
	stream  string
	queue   chan *request // holds up to streamQueueSize requests
	limiter *rate.Limiter
	appends *rto.Estimator // of the appends to all streams
	reads   *rto.Estimator // of the reads of all streams
	logger  logrus.FieldLogger
	running bool // guarded by Writer.mu

	sequence            uint64        // the last number given to a record that may be on the log
	searchFrom          infra.Offset  // the current batch can't be before this offset; 0: not known yet
	consecutiveFailures int           // consecutive attempts that had no effect
	backoff             time.Duration // before the next attempt
	retryAt             time.Time     // during an outage: time of the next attempt
	lastErr             error         // the error of the last failed attempt
}

// newStreamWriter returns the writer's stream writer for a stream.
func (w *Writer) newStreamWriter(stream string) *streamWriter {
	opts := w.opts
	perSecond, burst := opts.Budget.Rate(stream)
	return &streamWriter{
		opts:    opts,
		appends: w.appends,
		reads:   w.reads,
		stream:  stream,
		queue:   make(chan *request, streamQueueSize),
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		logger:  opts.Logger.WithField("stream", stream),
		backoff: minBackoff,
	}
}

// run sends queued requests until ctx ends. It returns nil.
func (w *streamWriter) run(ctx context.Context) error {
	for {
		select {
		case first := <-w.queue:
			w.sendQueued(ctx, first)
		case <-ctx.Done():
			return nil
		}
	}
}

// sendQueued sends first and the requests queued behind it as one append, once
// the budget allows one more.
func (w *streamWriter) sendQueued(ctx context.Context, first *request) {
	if w.consecutiveFailures < outageThreshold || time.Now().After(w.retryAt) {
		w.updateBudget()
		_ = w.limiter.Wait(ctx) // fails only when ctx ends
	}
	b := w.collectBatch(ctx, first)
	defer b.release()
	if len(b.requests) == 0 {
		return
	}
	if w.consecutiveFailures >= outageThreshold && time.Now().Before(w.retryAt) {
		b.respond(0, appendError(w.stream, infra.EffectNone, w.lastErr))
		return
	}
	w.send(b)
}

// updateBudget sets the limiter to the current rate and burst of the budget.
func (w *streamWriter) updateBudget() {
	perSecond, burst := w.opts.Budget.Rate(w.stream)
	w.limiter.SetLimit(rate.Limit(perSecond))
	w.limiter.SetBurst(burst)
}

// batch is the content of one append. Its context ends when the contexts of all
// its callers have ended.
type batch struct {
	ctx           context.Context
	cancel        context.CancelFunc
	stop          []func() bool // stop watching the callers' contexts
	requests      []*request
	records       []*record.Record
	firstSequence uint64 // the sequence number of the first record
	maybeAppended bool   // an earlier attempt may have taken effect
}

// collectBatch returns a batch of first and the requests that are queued, up to
// about maxBatchRecords records.
func (w *streamWriter) collectBatch(ctx context.Context, first *request) *batch {
	b := &batch{}
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.add(first)
	for len(b.records) < maxBatchRecords {
		select {
		case r := <-w.queue:
			b.add(r)
			continue
		default:
		}
		break
	}
	var live atomic.Int64
	live.Store(int64(len(b.requests)))
	for _, r := range b.requests {
		b.stop = append(b.stop, context.AfterFunc(r.ctx, func() {
			if live.Add(-1) == 0 {
				b.cancel()
			}
		}))
	}
	return b
}

// add adds a request unless its caller has abandoned it.
func (b *batch) add(r *request) {
	if !r.state.CompareAndSwap(requestWaiting, requestBatched) {
		return
	}
	b.requests = append(b.requests, r)
	b.records = append(b.records, r.records...)
}

// release frees the batch's context and stops watching the callers' contexts.
func (b *batch) release() {
	for _, stop := range b.stop {
		stop()
	}
	b.cancel()
}

// respond sends every caller the offset of its first record, or the error.
func (b *batch) respond(offset infra.Offset, err error) {
	for _, r := range b.requests {
		r.done <- result{offset: offset, err: err}
		if err == nil {
			offset += infra.Offset(len(r.records))
		}
	}
}

// send retries until the batch is on the log, its callers' contexts have ended,
// or the log counts as down.
func (w *streamWriter) send(b *batch) {
	data, err := w.encode(b)
	if err != nil {
		b.respond(0, appendError(w.stream, infra.EffectNone, err))
		return
	}
	for {
		offset, err := w.tryAppend(b, data)
		if err == nil {
			w.succeed(b, offset)
			return
		}
		w.logger.WithFields(logrus.Fields{"error": err, "records": len(data), "unknown": b.maybeAppended}).Warn("append failed")
		w.opts.Metrics.Add("append_failures", 1)
		if w.giveUp(b, err) {
			return
		}
		sleep(b.ctx, jitter(w.backoff))
		w.backoff = min(2*w.backoff, maxBackoff)
	}
}

// encode sets the origin and sequence numbers of the records and encodes them.
// A sequence number that may be on the log is never used again.
func (w *streamWriter) encode(b *batch) ([][]byte, error) {
	b.firstSequence = w.sequence + 1
	data := make([][]byte, len(b.records))
	for i, r := range b.records {
		r.Origin = w.opts.Origin
		r.Sequence = b.firstSequence + uint64(i)
		r.WrittenUnixMs = time.Now().UnixMilli()
		encoded, err := proto.Marshal(r)
		if err != nil {
			return nil, err
		}
		data[i] = encoded
	}
	return data, nil
}

// tryAppend returns the offset of the batch. If an earlier attempt may have
// taken effect, tryAppend searches the log for the batch first; it sends the
// batch if the log doesn't have it.
func (w *streamWriter) tryAppend(b *batch, data [][]byte) (infra.Offset, error) {
	if err := w.findStreamEnd(b.ctx); err != nil {
		return 0, err
	}
	if b.maybeAppended {
		offset, err := w.findBatch(b)
		if err != nil || offset > 0 {
			return offset, err
		}
	}
	var offset infra.Offset
	err := w.appends.Call(b.ctx, func(ctx context.Context) (err error) {
		offset, err = w.opts.Log.Append(ctx, w.stream, data)
		return err
	})
	if err != nil && !hasNoEffect(err) {
		b.maybeAppended = true
		w.sequence = b.firstSequence + uint64(len(data)) - 1
	}
	if err == nil && b.maybeAppended {
		return w.findBatch(b) // the earlier attempt may have taken effect first, and the first copy counts
	}
	return offset, err
}

// findStreamEnd reads the end of the stream once, so that a batch whose answer
// was lost is searched for from there and not in the whole stream.
func (w *streamWriter) findStreamEnd(ctx context.Context) error {
	if w.searchFrom > 0 {
		return nil
	}
	end, err := w.read(ctx, 1, 1)
	if err != nil && !isOutOfRange(err) {
		return &infra.Error{Op: "log.read " + w.stream, Reason: infra.ReasonUnreachable, Effect: infra.EffectNone, Err: err}
	}
	w.searchFrom = end.Next
	return nil
}

// findBatch searches the stream from the earliest possible offset of the batch
// and returns its offset, or 0 if the batch is not on the log yet.
func (w *streamWriter) findBatch(b *batch) (infra.Offset, error) {
	from := w.searchFrom
	for {
		read, err := w.read(b.ctx, from, MaxReadRecords)
		if err != nil {
			return 0, err
		}
		for _, r := range read.Records {
			if w.isFirstRecord(b, r) {
				return r.Offset, nil
			}
		}
		if len(read.Records) == 0 {
			return 0, nil
		}
		from = read.Records[len(read.Records)-1].Offset + 1
	}
}

// read reads up to limit records of the stream, without waiting for new ones.
func (w *streamWriter) read(ctx context.Context, from infra.Offset, limit int) (infra.Batch, error) {
	var batch infra.Batch
	err := w.reads.Call(ctx, func(ctx context.Context) (err error) {
		batch, err = w.opts.Log.Read(ctx, w.stream, from, limit, 0)
		return err
	})
	return batch, err
}

// isFirstRecord reports whether r is the first record of the batch.
func (w *streamWriter) isFirstRecord(b *batch, r infra.Record) bool {
	decoded := &record.Record{}
	if proto.Unmarshal(r.Data, decoded) != nil {
		return false
	}
	return decoded.GetOrigin() == w.opts.Origin && decoded.GetSequence() == b.firstSequence
}

// succeed updates the writer's state after a successful append and responds to
// the callers.
func (w *streamWriter) succeed(b *batch, offset infra.Offset) {
	w.sequence = b.firstSequence + uint64(len(b.records)) - 1
	w.searchFrom = offset + infra.Offset(len(b.records))
	w.consecutiveFailures = 0
	w.backoff = minBackoff
	w.opts.Metrics.Add("appends", 1)
	w.opts.Metrics.Add("appended_records", int64(len(b.records)))
	b.respond(offset, nil)
}

// giveUp responds to the callers with an error and returns true if the log counts
// as down or the callers' contexts have ended.
func (w *streamWriter) giveUp(b *batch, err error) bool {
	effect := infra.EffectNone
	if b.maybeAppended {
		effect = infra.EffectUnknown
	}
	w.lastErr = err
	if hasNoEffect(err) {
		w.consecutiveFailures++
	}
	outage := !b.maybeAppended && w.consecutiveFailures >= outageThreshold
	if !outage && b.ctx.Err() == nil {
		return false
	}
	w.retryAt = time.Now().Add(jitter(w.backoff))
	w.backoff = min(2*w.backoff, maxBackoff)
	b.respond(0, appendError(w.stream, effect, err))
	return true
}

// hasNoEffect reports whether err says that the call had no effect.
func hasNoEffect(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}
