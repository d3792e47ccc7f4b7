package caller

import (
	"context"
	"errors"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/stall"
)

// Timeouts for a server that sends nothing. They detect a server that hangs or is
// cut off while its connection stays open; without them its requests would wait
// until their deadlines. They apply only to requests that may be dispatched again.
// A non-idempotent request keeps waiting, since its answer may still arrive.
const (
	// tokenGapFactor is the longest gap between tokens, as a multiple of the
	// target. With full batches tokens take a few times their target, but never
	// this long.
	tokenGapFactor = 80
	// minTokenGapTimeout is 80 times a target of 37 ms. Servers of faster models
	// get the same time, since a pause of the host doesn't scale with the model.
	minTokenGapTimeout = 3 * time.Second
	// firstTokenTimeoutDivisor divides the time left until the deadline: the first
	// token must arrive within a third of it. The rest is enough for one more
	// attempt, and half of what is left then for another.
	firstTokenTimeoutDivisor = 3
	// minFirstAnswerTimeout and maxFirstTokenTimeout bound that time. A server may
	// have a short queue, but none of 15 s, since requests wait in this instance
	// instead.
	minFirstAnswerTimeout = 2 * time.Second
	maxFirstTokenTimeout  = 15 * time.Second
	// serviceTimeoutDivisor divides the time left until the deadline: a plain
	// service must start its answer within half of it. This applies only to the
	// first attempt, since a call may legitimately be slow.
	serviceTimeoutDivisor = 2
)

// asStall returns the error of an attempt that ran under the watchdog's context. If
// the watchdog ended the attempt, that is the stall with the effect of e.
func asStall(ctx context.Context, e *attemptError) *attemptError {
	var silent *stall.Error
	if e == nil || e.disconnected || e.final != nil || !errors.As(context.Cause(ctx), &silent) {
		return e
	}
	failure := decide.Failure{Reason: infra.ReasonTimeout, Effect: e.failure.Effect}
	return &attemptError{failure: failure, err: silent}
}

// firstTokenTimeout returns how long a server may take for the first token.
func (c *call) firstTokenTimeout(now time.Time) time.Duration {
	return min(max(c.deadline.Sub(now)/firstTokenTimeoutDivisor, minFirstAnswerTimeout), maxFirstTokenTimeout)
}

// tokenGapTimeout returns how long a server may take between two tokens.
func (c *call) tokenGapTimeout() time.Duration {
	return max(tokenGapFactor*c.target.PerTokenTarget, minTokenGapTimeout)
}

// serviceTimeout returns how long a plain service may take to start its answer.
func (c *call) serviceTimeout(now time.Time) time.Duration {
	return max(c.deadline.Sub(now)/serviceTimeoutDivisor, minFirstAnswerTimeout)
}
