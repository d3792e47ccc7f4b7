// Package rto estimates how long to wait for the answer to a call, from how long recent
// calls took, in the way in which TCP computes its retransmission timeout (RFC 6298). A
// service that becomes slow is given more time, and a lost call to a quick one is found
// out early.
package rto

import (
	"context"
	"sync"
	"time"
)

// Options are the settings of an Estimator.
type Options struct {
	Initial time.Duration // timeout before the first answer
	Min     time.Duration // shortest timeout
	Max     time.Duration // longest timeout
}

// The weights of a new duration in the mean and in the mean deviation, and the number of
// deviations in the timeout, as in RFC 6298.
const (
	meanWeight       = 1.0 / 8
	deviationWeight  = 1.0 / 4
	deviationsInTime = 4
)

// deviationsUsual is the number of mean deviations above the mean within which nine of ten durations lie,
// if they are distributed normally or exponentially.
const deviationsUsual = 2

// Estimator estimates the timeout of the calls to one service. It is safe for concurrent
// use.
type Estimator struct {
	o Options

	mu        sync.Mutex
	answered  bool // mean and deviation are valid
	mean      time.Duration
	deviation time.Duration
	timeout   time.Duration
}

// New returns an estimator to which no call has been reported.
func New(o Options) *Estimator {
	return &Estimator{o: o, timeout: o.Initial}
}

// Timeout returns how long to wait for the answer to the next call.
func (e *Estimator) Timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timeout
}

// Usual returns the time within which most calls are answered, 0 if none was answered yet. Unlike Timeout
// it isn't made to be rarely exceeded.
func (e *Estimator) Usual() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.answered {
		return 0
	}
	return e.mean + deviationsUsual*e.deviation
}

// Call makes a call whose context ends after Timeout, and reports how it ended. A call
// that fails earlier, or that ctx ends, is not counted.
func (e *Estimator) Call(ctx context.Context, call func(context.Context) error) error {
	timeout := e.Timeout()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	err := call(callCtx)
	switch {
	case err == nil:
		e.Answered(time.Since(began))
	case callCtx.Err() != nil && ctx.Err() == nil:
		e.TimedOut(timeout)
	}
	return err
}

// Answered reports that a call was answered after the given time.
func (e *Estimator) Answered(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.answered {
		e.answered, e.mean, e.deviation = true, took, took/2
	} else {
		e.deviation = weigh(e.deviation, (e.mean - took).Abs(), deviationWeight)
		e.mean = weigh(e.mean, took, meanWeight)
	}
	e.timeout = min(max(e.mean+deviationsInTime*e.deviation, e.o.Min), e.o.Max)
}

// TimedOut reports that a call had no answer within the given timeout. The timeout is
// doubled, once for all calls that began with the same one.
func (e *Estimator) TimedOut(timeout time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if timeout >= e.timeout {
		e.timeout = min(2*e.timeout, e.o.Max)
	}
}

// weigh returns the mean of an old and a new value.
func weigh(old, value time.Duration, weight float64) time.Duration {
	return old + time.Duration(weight*float64(value-old))
}
