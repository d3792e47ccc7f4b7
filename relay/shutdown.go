package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/decide"
)

// Shutdown is what a relay that drains goes by. A zero time means that there is no such limit.
type Shutdown struct {
	// SwitchedBy is when callers have been switched to other instances. Until then a request is
	// passed on also if it isn't known how long those of its route take.
	SwitchedBy time.Time
	// AnswerBy is when EndUnanswered is called. A request that can't be expected to be answered by
	// then is refused, neither passed on nor sent again.
	AnswerBy time.Time
}

// ShutdownError is the cause with which the context of a request ends that has no answer when the
// instance ends.
type ShutdownError struct{}

// Error implements error.
func (*ShutdownError) Error() string { return "the instance ends" }

// endedByShutdown reports whether a request's context ended because the instance ends.
func endedByShutdown(ctx context.Context) bool {
	var e *ShutdownError
	return errors.As(context.Cause(ctx), &e)
}

// Drain closes each caller's connection after its next response, and has requests refused that can't be
// expected to be answered in time.
func (r *Relay) Drain(s Shutdown) { r.shutdown.Store(&s) }

// draining reports whether Drain was called.
func (r *Relay) draining() bool { return r.shutdown.Load() != nil }

// EndUnanswered ends all requests that have no answer yet: with an error response, or, if a part of the
// answer was sent, by closing their callers' connections.
func (r *Relay) EndUnanswered() {
	r.RefuseWaiting() // first, as the others' ends make room at servers
	r.dispatcher.cancelAll(errors.WithStack(&ShutdownError{}))
}

// endsBeforeShutdown reports whether a request that is passed on now can be expected to end before this
// instance does. Passed on in vain, it would run without its caller getting the answer.
func (c *call) endsBeforeShutdown() bool {
	s := c.relay.shutdown.Load()
	if s == nil || s.AnswerBy.IsZero() || !c.deadline.After(s.AnswerBy) {
		return true
	}
	now := time.Now()
	if usual := c.relay.durations.of(c.route.Name); usual > 0 {
		return usual <= s.AnswerBy.Sub(now)
	}
	return now.Before(s.SwitchedBy)
}

// endForShutdown ends a call that isn't passed on, or not sent again, because this instance ends first.
func (c *call) endForShutdown() string {
	return c.endOnRefusal(decide.Decision{Action: decide.ActionRefuse, Reason: decide.ReasonShuttingDown, RetryAfter: decide.ShutdownRetryAfter})
}

// schedulerDeadline returns until when the scheduler has to bring the call to an end.
func (c *call) schedulerDeadline() time.Time {
	if s := c.relay.shutdown.Load(); s != nil && !s.AnswerBy.IsZero() && s.AnswerBy.Before(c.deadline) {
		return s.AnswerBy
	}
	return c.deadline
}
