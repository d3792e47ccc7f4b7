// Package logtest provides an append-only log in memory for tests. It simulates
// the faults of the platform's log: outages, delays, lost and late appends, lost
// answers, and records that age out. Its only timed waits are the simulated
// delays and the wait of a read, so it works inside a testing/synctest bubble.
package logtest

import (
	"context"
	"sync"
	"time"

	"greengageferry/infra"
)

// Log is the log. It is accessed through clients, each with its own faults.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{} // closed at the next append, then replaced
	appends int
}

// stream holds the retained records of one stream.
type stream struct {
	oldest  infra.Offset
	records [][]byte // the first has the offset oldest
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// Client returns a new client of the log, without faults.
func (l *Log) Client() *Client { return &Client{log: l} }

// Appends returns how many appends have taken effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes all records of the stream before the offset oldest, as if they had
// aged out.
func (l *Log) Trim(name string, oldest infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[oldest-s.oldest:]
	s.oldest = oldest
}

// Records returns the retained records of the stream.
func (l *Log) Records(name string) []infra.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.read(s.oldest, len(s.records))
}

// stream returns the stream of that name and creates it if necessary. The caller
// holds mu.
func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1}
	}
	return l.streams[name]
}

// next returns the offset of the next append.
func (s *stream) next() infra.Offset { return s.oldest + infra.Offset(len(s.records)) }

// read returns at most limit records from the offset from on.
func (s *stream) read(from infra.Offset, limit int) []infra.Record {
	var out []infra.Record
	for at := from; at < s.next() && len(out) < limit; at++ {
		out = append(out, infra.Record{Offset: at, Data: s.records[at-s.oldest]})
	}
	return out
}

// append appends the records, wakes waiting reads and returns the first offset.
func (l *Log) append(name string, records [][]byte) infra.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next()
	s.records = append(s.records, records...)
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return first
}

// Client is an infra.Log with simulated faults; zero Faults simulate none.
type Client struct {
	log    *Log
	mu     sync.Mutex
	faults Faults
	reads  int
}

// Faults are the simulated faults between one client and the log.
type Faults struct {
	Down         bool          // all calls fail
	Delay        time.Duration // one-way delay of each call
	LoseAnswers  int           // number of next appends that take effect but whose answers are lost
	LoseRequests int           // number of next appends that are lost; the error has infra.EffectUnknown
	LateRequests int           // number of next appends that take effect after LateBy; the error has infra.EffectUnknown
	LateBy       time.Duration
}

// SetFaults replaces the faults.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Reads returns the number of reads that have begun.
func (c *Client) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// outcome is what happens to one append.
type outcome int

const (
	delivered outcome = iota
	answerLost
	requestLost
	requestLate
)

// outcome returns the outcome of one append and the faults that apply to it, and
// counts down the faults.
func (c *Client) outcome() (outcome, Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.faults
	switch {
	case c.faults.LoseAnswers > 0:
		c.faults.LoseAnswers--
		return answerLost, before
	case c.faults.LoseRequests > 0:
		c.faults.LoseRequests--
		return requestLost, before
	case c.faults.LateRequests > 0:
		c.faults.LateRequests--
		return requestLate, before
	}
	return delivered, before
}

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	if c.down() {
		return 0, newError("log.append", infra.ReasonUnreachable, infra.EffectNone)
	}
	outcome, f := c.outcome()
	if !pause(ctx, f.Delay) {
		return 0, newError("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	}
	switch outcome {
	case requestLost:
		return 0, newError("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	case requestLate:
		time.AfterFunc(f.LateBy, func() { c.log.append(stream, records) })
		return 0, newError("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	}
	offset := c.log.append(stream, records)
	if outcome == answerLost || !pause(ctx, f.Delay) {
		return 0, newError("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	}
	return offset, nil
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	c.mu.Lock()
	c.reads++
	delay := c.faults.Delay
	c.mu.Unlock()
	if c.down() || !pause(ctx, delay) {
		return infra.Batch{}, newError("log.read", infra.ReasonUnreachable, infra.EffectNone)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := c.readNow(stream, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return c.reply(ctx, batch, err, delay)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.reply(ctx, batch, nil, delay)
		case <-ctx.Done():
			return batch, newError("log.read", infra.ReasonTimeout, infra.EffectNone)
		}
	}
}

// readNow reads without waiting. It also returns the channel that is closed at the
// next append.
func (c *Client) readNow(stream string, from infra.Offset, limit int) (infra.Batch, <-chan struct{}, error) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	s := c.log.stream(stream)
	batch := infra.Batch{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return batch, nil, newError("log.read", infra.ReasonOutOfRange, infra.EffectNone)
	}
	batch.Records = s.read(from, limit)
	return batch, c.log.changed, nil
}

// reply delays the answer. The answer is lost if the log is down after the delay.
func (c *Client) reply(ctx context.Context, batch infra.Batch, err error, delay time.Duration) (infra.Batch, error) {
	if !pause(ctx, delay) || c.down() {
		return infra.Batch{}, newError("log.read", infra.ReasonUnreachable, infra.EffectNone)
	}
	return batch, err
}

func (c *Client) down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Down
}

func newError(op string, reason infra.Reason, effect infra.Effect) error {
	return &infra.Error{Op: op, Addr: "logtest", Reason: reason, Effect: effect}
}

// pause waits for d and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
