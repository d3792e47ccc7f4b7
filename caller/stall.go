package caller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
)

// The limits on a server's silence. They are for a server that freezes or whose
// network is cut while the connection stays open: without them its requests
// would be held until their deadlines. They apply only where the request may be
// dispatched again; a non-idempotent one waits on, since its answer may still come.
const (
	// stallTokens is how many times its target between tokens a stream may be
	// silent: at full batches tokens take a few times their target, never that.
	stallTokens = 80
	// stallLeast is 80 times a target of 37 ms: a faster model's server gets as
	// long, since a pause of its host's doesn't scale with the model.
	stallLeast = 3 * time.Second
	// firstPart is the part of the time left until the deadline in which the
	// first token must come: the rest is enough for one more attempt, and half
	// of what then is left for another.
	firstPart = 3
	// firstLeast and firstMost bound that: a server may hold a short queue, and
	// none holds one of 15 s, as requests wait in this instance instead.
	firstLeast = 2 * time.Second
	firstMost  = 15 * time.Second
	// servicePart is the part of the time left in which a plain service's first
	// answer must come, on its first attempt only: a call may well be slow.
	servicePart = 2
)

// StallError says that a server was silent for longer than it may be.
type StallError struct{ After time.Duration }

// Error implements error.
func (e *StallError) Error() string { return fmt.Sprintf("no answer for %s", e.After) }

// watchdog ends an attempt whose server is silent. It watches only while it is
// armed, so that a caller that reads slowly isn't taken for a silent server.
type watchdog struct {
	cancel context.CancelCauseFunc
	limit  atomic.Int64 // ns; read by the timer as well
	timer  *time.Timer
	ctx    context.Context
	off    bool // the request may not be dispatched again: never ends it
}

// watch returns a watchdog, armed with the limit, and the context that it ends.
func watch(ctx context.Context, limit time.Duration, on bool) *watchdog {
	w := &watchdog{off: !on}
	w.limit.Store(int64(limit))
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if on {
		w.timer = time.AfterFunc(limit, w.bite)
	}
	return w
}

func (w *watchdog) bite() { w.cancel(&StallError{After: time.Duration(w.limit.Load())}) }

// arm starts to watch. It is called while the watchdog is disarmed.
func (w *watchdog) arm() {
	if !w.off {
		w.timer.Reset(time.Duration(w.limit.Load()))
	}
}

// disarm stops watching; the next time it is armed with the limit.
func (w *watchdog) disarm(limit time.Duration) {
	if w.off {
		return
	}
	w.timer.Stop()
	w.limit.Store(int64(limit))
}

// stop frees the watchdog and ends its context.
func (w *watchdog) stop() {
	if !w.off {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// judge returns the attempt's error, which is the stall if there was one. That
// nothing ran is still believed.
func (w *watchdog) judge(e *attemptError) *attemptError {
	var stall *StallError
	if e == nil || e.gone || e.final != nil || !errors.As(context.Cause(w.ctx), &stall) {
		return e
	}
	failure := decide.Failure{Reason: infra.ReasonTimeout, Effect: e.failure.Effect}
	return &attemptError{failure: failure, err: stall}
}

// firstLimit is how long a server may take for its first token.
func (c *call) firstLimit(now time.Time) time.Duration {
	return min(max(c.deadline.Sub(now)/firstPart, firstLeast), firstMost)
}

// stallLimit is how long a server may be silent between tokens.
func (c *call) stallLimit() time.Duration {
	return max(stallTokens*c.target.PerToken, stallLeast)
}

// serviceLimit is how long a plain service may take to begin its answer.
func (c *call) serviceLimit(now time.Time) time.Duration {
	return max(c.deadline.Sub(now)/servicePart, firstLeast)
}
