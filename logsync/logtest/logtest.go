// Package logtest provides an append-only log in memory for tests, with the
// faults of the platform's: outages, slowness, lost and late appends, lost
// answers, and records that age out. It sleeps on the clock only to be slow, so
// that it works inside a testing/synctest bubble.
package logtest

import (
	"context"
	"sync"
	"time"

	"greengageferry/infra"
)

// Log is the log itself. Clients reach it, each with faults of its own.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{} // closed at the next append
	appends int
}

type stream struct {
	oldest  infra.Offset
	records [][]byte // from oldest on
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// Client returns a way to reach the log, without faults.
func (l *Log) Client() *Client { return &Client{log: l} }

// Appends returns how many appends have taken effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim ages out every record of the stream before the offset.
func (l *Log) Trim(name string, oldest infra.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[oldest-s.oldest:]
	s.oldest = oldest
}

// Records returns what the stream keeps.
func (l *Log) Records(name string) []infra.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.read(s.oldest, len(s.records))
}

func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1}
	}
	return l.streams[name]
}

func (s *stream) next() infra.Offset { return s.oldest + infra.Offset(len(s.records)) }

func (s *stream) read(from infra.Offset, limit int) []infra.Record {
	var out []infra.Record
	for at := from; at < s.next() && len(out) < limit; at++ {
		out = append(out, infra.Record{Offset: at, Data: s.records[at-s.oldest]})
	}
	return out
}

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

// Client is a infra.Log with faults. The zero faults are none.
type Client struct {
	log    *Log
	mu     sync.Mutex
	faults Faults
	reads  int
}

// Faults are what goes wrong on the way between one client and the log.
type Faults struct {
	Down         bool          // no call arrives
	Delay        time.Duration // each call takes this long each way
	LoseAnswers  int           // the next appends take effect, and their answers are lost
	LoseRequests int           // the next appends are lost, which their caller can't know
	LateRequests int           // the next appends take effect only after Late, which their caller can't know
	Late         time.Duration
}

// Set replaces the faults.
func (c *Client) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Reads returns how many reads have begun.
func (c *Client) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

type fate int

const (
	arrives fate = iota
	answerLost
	requestLost
	requestLate
)

// fate uses up the faults of one append.
func (c *Client) fate() (fate, Faults) {
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
	return arrives, before
}

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	if c.down() {
		return 0, failure("log.append", infra.ReasonUnreachable, infra.EffectNone)
	}
	fate, f := c.fate()
	if !pause(ctx, f.Delay) {
		return 0, failure("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	}
	switch fate {
	case requestLost:
		return 0, failure("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	case requestLate:
		time.AfterFunc(f.Late, func() { c.log.append(stream, records) })
		return 0, failure("log.append", infra.ReasonTimeout, infra.EffectUnknown)
	}
	offset := c.log.append(stream, records)
	if fate == answerLost || !pause(ctx, f.Delay) {
		return 0, failure("log.append", infra.ReasonTimeout, infra.EffectUnknown)
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
		return infra.Batch{}, failure("log.read", infra.ReasonUnreachable, infra.EffectNone)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := c.look(stream, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return c.back(ctx, batch, err, delay)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.back(ctx, batch, nil, delay)
		case <-ctx.Done():
			return batch, failure("log.read", infra.ReasonTimeout, infra.EffectNone)
		}
	}
}

func (c *Client) look(stream string, from infra.Offset, limit int) (infra.Batch, <-chan struct{}, error) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	s := c.log.stream(stream)
	batch := infra.Batch{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return batch, nil, failure("log.read", infra.ReasonOutOfRange, infra.EffectNone)
	}
	batch.Records = s.read(from, limit)
	return batch, c.log.changed, nil
}

// back is the answer's way; an outage meanwhile loses it.
func (c *Client) back(ctx context.Context, batch infra.Batch, err error, delay time.Duration) (infra.Batch, error) {
	if !pause(ctx, delay) || c.down() {
		return infra.Batch{}, failure("log.read", infra.ReasonUnreachable, infra.EffectNone)
	}
	return batch, err
}

func (c *Client) down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Down
}

func failure(op string, reason infra.Reason, effect infra.Effect) error {
	return &infra.Error{Op: op, Addr: "logtest", Reason: reason, Effect: effect}
}

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
