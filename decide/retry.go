package decide

import (
	"time"

	"greengageferry/infra"
)

const (
	// retryShare is the part of recent successes that may be retried: a tenth
	// covers the loss of a server, and adds a tenth at most to an overload.
	retryShare = 0.1
	// retryReserve is what an instance may retry with no success to show for it:
	// about what it has at one server when that dies.
	retryReserve = 32.0
	// retryTrickle refills the budget, in retries a second, where nothing succeeds.
	retryTrickle = 0.5
	// maxAttempts bounds one request's dispatches, those that surely did not
	// run included, so that a table that is wrong about a target can't make a
	// request go round for ever.
	maxAttempts = 6
	// maxUnsent bounds the attempts of one request that reached no server: in a
	// cut network each costs the time in which a connection is given up on.
	maxUnsent = 6
	// crashLimit is how many servers may die under a request before it is
	// refused: one is never enough, since a server's own death must not condemn
	// what ran beside it.
	crashLimit = 2

	// failureBackoff and failureBackoffMax bound how long a server that fails is
	// left alone: the first is under the time in which a list drops it, the
	// second under that in which one restarts.
	failureBackoff    = 250 * time.Millisecond
	failureBackoffMax = 10 * time.Second
	// leavingPause covers the time until the table knows that a server leaves.
	leavingPause = 30 * time.Second
	// unready and unreadyMax bound how long a replica is passed over that said
	// it doesn't have the target: the table catches up within seconds, a load
	// may take a minute.
	unready    = time.Second
	unreadyMax = 30 * time.Second
)

// RetryPolicy bounds the repeats that one instance sends to one pool.
type RetryPolicy struct {
	Share   float64 // repeats for each recent success
	Reserve float64 // repeats with no success to show for them
	Trickle float64 // repeats a second that refill the reserve
	// CountRefused also counts repeats of what a server refused before starting.
	// It is for platforms that bound all arrivals at a pool.
	CountRefused bool
}

func (p RetryPolicy) withDefaults() RetryPolicy {
	if p == (RetryPolicy{}) {
		return RetryPolicy{Share: retryShare, Reserve: retryReserve, Trickle: retryTrickle}
	}
	return p
}

// retryBudget allows a pool's retries as a share of recent successes. It is for
// a fault that hits many requests at once: unbounded, their retries would keep
// the servers that are left overloaded after the fault is over.
type retryBudget struct {
	policy RetryPolicy
	tokens float64
	at     time.Time
}

func newRetryBudget() retryBudget {
	p := RetryPolicy{}.withDefaults()
	return retryBudget{policy: p, tokens: p.Reserve}
}

// setPolicy changes the bounds. What was spent stays spent.
func (b *retryBudget) setPolicy(p RetryPolicy) {
	p = p.withDefaults()
	b.tokens = min(max(b.tokens+p.Reserve-b.policy.Reserve, 0), p.Reserve)
	b.policy = p
}

func (b *retryBudget) succeeded() {
	b.tokens = min(b.tokens+b.policy.Share, b.policy.Reserve)
}

func (b *retryBudget) take(now time.Time) bool {
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*b.policy.Trickle, b.policy.Reserve)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// blame notes what a failure says about the server and the replica.
func (s *Scheduler) blame(now time.Time, t *targetState, srv *serverState, f Failure) {
	gone, cut := connectFailure(f)
	switch {
	case gone:
		srv.gone(now)
	case cut:
		srv.domain.recordUnreachable(now, srv.ID)
	}
	if f.RetryAfter > 0 {
		srv.pauseFor(now, f.RetryAfter)
	}
	switch f.Reason {
	case infra.ReasonNotResident:
		if r := t.replica(srv); r != nil {
			r.unreadyUntil = now.Add(backoff(unready, unreadyMax, r.consecutiveMisses))
			r.consecutiveMisses++
		}
		if t.Adapter == "" {
			srv.recordMiss(now)
		}
	case infra.ReasonOverloaded:
		srv.window = max(srv.slotShare, float64(srv.own)*windowShrink)
		srv.recordRefusal(now)
	case infra.ReasonLeaving:
		srv.backoffUntil = now.Add(leavingPause)
	case infra.ReasonFailed:
		srv.errorRate.add(1)
	case infra.ReasonBadRequest, infra.ReasonCanceled:
	default:
		srv.backoffUntil = now.Add(backoff(failureBackoff, failureBackoffMax, srv.consecutiveFailures))
		srv.consecutiveFailures++
	}
}

// again says whether a request whose attempt failed may be dispatched again,
// and if not why.
func (s *Scheduler) again(now time.Time, r *flight, f Failure) (Reason, bool) {
	switch {
	case f.Effect != infra.EffectNone && !r.Idempotent:
		return ReasonMayHaveRun, false
	case r.crashes >= crashLimit:
		return ReasonQuarantined, false
	case !now.Before(r.Deadline):
		return ReasonDeadline, false
	case r.attempts >= r.mostAttempts() || r.unsent >= maxUnsent:
		return ReasonRetryBudget, false
	case f.Unsent:
		return "", true
	}
	budget := &r.avoid.pool.budget
	if (f.Effect != infra.EffectNone || budget.policy.CountRefused) && !budget.take(now) {
		return ReasonRetryBudget, false
	}
	return "", true
}

// mostAttempts is how many servers the request may be sent to.
func (f *flight) mostAttempts() int {
	if f.MaxAttempts > 0 {
		return min(f.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// backoff doubles from first to most.
func backoff(first, most time.Duration, times int) time.Duration {
	if times > 16 {
		return most
	}
	return min(first<<times, most)
}
