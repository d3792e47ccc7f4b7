package caller

import (
	"context"
	"errors"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/stall"
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

// judge returns the error of an attempt under the context, which is the stall if
// there was one. That nothing ran is still believed.
func judge(ctx context.Context, e *attemptError) *attemptError {
	var silent *stall.Error
	if e == nil || e.gone || e.final != nil || !errors.As(context.Cause(ctx), &silent) {
		return e
	}
	failure := decide.Failure{Reason: infra.ReasonTimeout, Effect: e.failure.Effect}
	return &attemptError{failure: failure, err: silent}
}

// firstLimit is how long a server may take for its first token.
func (c *call) firstLimit(now time.Time) time.Duration {
	return min(max(c.deadline.Sub(now)/firstPart, firstLeast), firstMost)
}

// stallLimit is how long a server may be silent between tokens.
func (c *call) stallLimit() time.Duration {
	return max(stallTokens*c.target.PerTokenTarget, stallLeast)
}

// serviceLimit is how long a plain service may take to begin its answer.
func (c *call) serviceLimit(now time.Time) time.Duration {
	return max(c.deadline.Sub(now)/servicePart, firstLeast)
}
