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
	"greengageferry/record"
)

const (
	// appendTimeout bounds one try: a slow log answers within it, and a lost
	// answer is noticed soon enough to look it up before callers give up.
	appendTimeout = 3 * time.Second
	// outageAfter is how many tries in a row must surely have failed before
	// new appends are refused at once, without one of their own, until the
	// pause is over. Callers that may not wait then hear it early.
	outageAfter = 3
)

// lane sends the appends of one stream, one at a time, so that the sequences on
// the log ascend.
type lane struct {
	opts    WriterOptions
	stream  string
	queue   chan *request // bounded: see laneQueue
	limiter *rate.Limiter
	logger  logrus.FieldLogger
	running bool // guarded by the writer

	sequence uint64        // last given to a record that may be on the log
	after    infra.Offset  // nothing of what is being sent is before it; 0: not known yet
	failures int           // sure failures in a row
	pause    time.Duration // before the next try
	retryAt  time.Time     // in an outage: when to try again
	lastErr  error         // in an outage: what failed
}

func newLane(opts WriterOptions, stream string) *lane {
	perSecond, burst := opts.Budget.Rate(stream)
	return &lane{
		opts:    opts,
		stream:  stream,
		queue:   make(chan *request, laneQueue),
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		logger:  opts.Logger.WithField("stream", stream),
		pause:   minBackoff,
	}
}

func (l *lane) run(ctx context.Context) error {
	for {
		select {
		case first := <-l.queue:
			l.serve(ctx, first)
		case <-ctx.Done():
			return nil
		}
	}
}

// serve sends what waits, after the budget allows one more append.
func (l *lane) serve(ctx context.Context, first *request) {
	if l.failures < outageAfter || time.Now().After(l.retryAt) {
		l.updateBudget()
		_ = l.limiter.Wait(ctx) // fails only when ctx ends
	}
	b := l.collect(ctx, first)
	defer b.end()
	if len(b.requests) == 0 {
		return
	}
	if l.failures >= outageAfter && time.Now().Before(l.retryAt) {
		b.answer(0, appendError(l.stream, infra.EffectNone, l.lastErr))
		return
	}
	l.send(b)
}

func (l *lane) updateBudget() {
	perSecond, burst := l.opts.Budget.Rate(l.stream)
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(burst)
}

// batch is what one append carries. Its context ends when every caller is gone.
type batch struct {
	ctx      context.Context
	cancel   context.CancelFunc
	stop     []func() bool
	requests []*request
	records  []*record.Record
	first    uint64 // the first record's sequence
	unknown  bool   // a try of it may have taken effect
}

func (l *lane) collect(ctx context.Context, first *request) *batch {
	b := &batch{}
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.take(first)
	for len(b.records) < maxBatchRecords {
		select {
		case r := <-l.queue:
			b.take(r)
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

func (b *batch) take(r *request) {
	if !r.state.CompareAndSwap(requestWaiting, requestTaken) {
		return
	}
	b.requests = append(b.requests, r)
	b.records = append(b.records, r.records...)
}

func (b *batch) end() {
	for _, stop := range b.stop {
		stop()
	}
	b.cancel()
}

// answer tells every caller where its records begin, or the error.
func (b *batch) answer(offset infra.Offset, err error) {
	for _, r := range b.requests {
		r.done <- result{offset: offset, err: err}
		if err == nil {
			offset += infra.Offset(len(r.records))
		}
	}
}

// send tries until the batch is on the log, its callers are gone, or the log is
// found to be out.
func (l *lane) send(b *batch) {
	data, err := l.encode(b)
	if err != nil {
		b.answer(0, appendError(l.stream, infra.EffectNone, err))
		return
	}
	for {
		offset, err := l.try(b, data)
		if err == nil {
			l.sent(b, offset)
			return
		}
		l.logger.WithFields(logrus.Fields{"error": err, "records": len(data), "unknown": b.unknown}).Warn("append failed")
		l.opts.Metrics.Add("append_failures", 1)
		if l.giveUp(b, err) {
			return
		}
		sleep(b.ctx, jitter(l.pause))
		l.pause = min(2*l.pause, maxBackoff)
	}
}

// encode gives the records their ids. A sequence that may be on the log is
// never given again.
func (l *lane) encode(b *batch) ([][]byte, error) {
	b.first = l.sequence + 1
	data := make([][]byte, len(b.records))
	for i, r := range b.records {
		r.Origin = l.opts.Origin
		r.Sequence = b.first + uint64(i)
		r.WrittenUnixMs = time.Now().UnixMilli()
		encoded, err := proto.Marshal(r)
		if err != nil {
			return nil, err
		}
		data[i] = encoded
	}
	return data, nil
}

// try looks the batch up if an earlier try may have put it on the log, and
// sends it otherwise.
func (l *lane) try(b *batch, data [][]byte) (infra.Offset, error) {
	if err := l.locate(b.ctx); err != nil {
		return 0, err
	}
	if b.unknown {
		offset, err := l.find(b)
		if err != nil || offset > 0 {
			return offset, err
		}
	}
	ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
	defer cancel()
	offset, err := l.opts.Log.Append(ctx, l.stream, data)
	if err != nil && !surelyNone(err) {
		b.unknown = true
		l.sequence = b.first + uint64(len(data)) - 1
	}
	if err == nil && b.unknown {
		return l.find(b) // the earlier try may have arrived before: the first place counts
	}
	return offset, err
}

// locate finds out once where the stream ends, so that a lost answer is looked
// for from there and not in all that the log keeps.
func (l *lane) locate(ctx context.Context) error {
	if l.after > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	end, err := l.opts.Log.Read(ctx, l.stream, 1, 1, 0)
	if err != nil && !isOutOfRange(err) {
		return &infra.Error{Op: "log.read " + l.stream, Reason: infra.ReasonUnreachable, Effect: infra.EffectNone, Err: err}
	}
	l.after = end.Next
	return nil
}

// find reads on from where the batch can be at the earliest. Offset 0: it isn't
// on the log as of now.
func (l *lane) find(b *batch) (infra.Offset, error) {
	from := l.after
	for {
		ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
		read, err := l.opts.Log.Read(ctx, l.stream, from, DefaultBatch, 0)
		cancel()
		if err != nil {
			return 0, err
		}
		for _, r := range read.Records {
			if l.isFirst(b, r) {
				return r.Offset, nil
			}
		}
		if len(read.Records) == 0 {
			return 0, nil
		}
		from = read.Records[len(read.Records)-1].Offset + 1
	}
}

func (l *lane) isFirst(b *batch, r infra.Record) bool {
	decoded := &record.Record{}
	if proto.Unmarshal(r.Data, decoded) != nil {
		return false
	}
	return decoded.GetOrigin() == l.opts.Origin && decoded.GetSequence() == b.first
}

func (l *lane) sent(b *batch, offset infra.Offset) {
	l.sequence = b.first + uint64(len(b.records)) - 1
	l.after = offset + infra.Offset(len(b.records))
	l.failures = 0
	l.pause = minBackoff
	l.opts.Metrics.Add("appends", 1)
	l.opts.Metrics.Add("appended_records", int64(len(b.records)))
	b.answer(offset, nil)
}

// giveUp answers the callers with an error, if it is time to.
func (l *lane) giveUp(b *batch, err error) bool {
	effect := infra.EffectNone
	if b.unknown {
		effect = infra.EffectUnknown
	}
	l.lastErr = err
	if surelyNone(err) {
		l.failures++
	}
	outage := !b.unknown && l.failures >= outageAfter
	if !outage && b.ctx.Err() == nil {
		return false
	}
	l.retryAt = time.Now().Add(jitter(l.pause))
	l.pause = min(2*l.pause, maxBackoff)
	b.answer(0, appendError(l.stream, effect, err))
	return true
}

func surelyNone(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}
