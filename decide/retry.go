package decide

import (
	"time"

	"greengageferry/infra"
)

const (
	// retryRatio is the number of retries allowed per recent success. A tenth covers the
	// loss of a server and adds at most a tenth to an overload.
	retryRatio = 0.1
	// retryReserve is the number of retries allowed without any success: about the
	// requests that an instance has at one server when that server crashes.
	retryReserve = 32.0
	// retryRefill refills the budget, in retries per second, where nothing succeeds.
	retryRefill = 0.5
	// maxAttempts bounds the attempts of one request that reach a server, including those
	// that surely didn't run, so that a request for a target with a wrong table entry
	// isn't retried forever.
	maxAttempts = 6
	// maxUnsent bounds the attempts of one request that reached no server. In a network
	// partition each costs a connection timeout.
	maxUnsent = 6
	// maxCrashes is the number of server crashes during a request after which it is
	// refused. One isn't enough, since a crash for another reason must not condemn the
	// requests that ran on the server.
	maxCrashes = 2

	// failureBackoff and failureBackoffMax bound the backoff for a server that fails. The
	// first is shorter than the time until the server list drops it, the second shorter
	// than a restart.
	failureBackoff    = 250 * time.Millisecond
	failureBackoffMax = 10 * time.Second
	// leavingBackoff covers the time until the table shows that a server is draining.
	leavingBackoff = 30 * time.Second
	// notResidentBackoff and notResidentBackoffMax bound the backoff for a replica that
	// answered that the target isn't resident. The table is updated within seconds; a load
	// may take a minute.
	notResidentBackoff    = time.Second
	notResidentBackoffMax = 30 * time.Second
)

// RetryPolicy bounds the retries that one instance sends to one pool.
type RetryPolicy struct {
	Ratio           float64 // retries per recent success
	Reserve         float64 // retries allowed without any success; also the budget's maximum
	RefillPerSecond float64 // retries per second added to the budget
	// Shared means that the policy is this instance's share of what all instances may send
	// together. A budget then begins empty, and a larger share fills it no faster: the
	// retries may have been sent by the instance before this start, or by others.
	Shared bool
	// CountRefused also counts retries of requests that a server refused before starting
	// them. It is for platforms that limit all requests to a pool.
	CountRefused bool
}

func (p RetryPolicy) withDefaults() RetryPolicy {
	if p == (RetryPolicy{}) {
		return RetryPolicy{Ratio: retryRatio, Reserve: retryReserve, RefillPerSecond: retryRefill}
	}
	return p
}

// retryBudget is a token bucket that limits a pool's retries to a ratio of recent
// successes. When a fault hits many requests at once, unlimited retries would keep the
// remaining servers overloaded after the fault is over.
type retryBudget struct {
	policy     RetryPolicy
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget(p RetryPolicy) retryBudget {
	p = p.withDefaults()
	if p.Shared {
		return retryBudget{policy: p}
	}
	return retryBudget{policy: p, tokens: p.Reserve}
}

// setPolicy changes the limits. Retries already spent stay spent.
func (b *retryBudget) setPolicy(p RetryPolicy) {
	p = p.withDefaults()
	if !p.Shared {
		b.tokens = max(b.tokens+p.Reserve-b.policy.Reserve, 0)
	}
	b.tokens = min(b.tokens, p.Reserve)
	b.policy = p
}

func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Reserve)
}

// refill adds what has accrued since the last refill. The first only sets its time.
func (b *retryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.policy.RefillPerSecond, b.policy.Reserve)
	}
	b.refilledAt = now
}

func (b *retryBudget) tryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// recordFailure updates the state of the server and the replica after a failed attempt.
func (s *Scheduler) recordFailure(now time.Time, t *targetState, srv *serverState, f Failure) {
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
			r.unreadyUntil = now.Add(backoff(notResidentBackoff, notResidentBackoffMax, r.consecutiveMisses))
			r.consecutiveMisses++
		}
		if t.Adapter == "" && !f.OtherVersion {
			srv.recordMiss(now)
		}
	case infra.ReasonOverloaded:
		srv.window = max(srv.slotShare, float64(srv.own)*windowDecrease)
		srv.recordRefusal(now)
	case infra.ReasonLeaving:
		srv.backoffUntil = now.Add(leavingBackoff)
	case infra.ReasonFailed:
		srv.errorRate.add(1)
	case infra.ReasonBadRequest, infra.ReasonCanceled:
	default:
		srv.backoffUntil = now.Add(backoff(failureBackoff, failureBackoffMax, srv.consecutiveFailures))
		srv.consecutiveFailures++
	}
}

// mayRetry reports whether a request whose attempt at the server failed may be dispatched
// again, and the reason if not.
func (s *Scheduler) mayRetry(now time.Time, req *requestState, srv *serverState, f Failure) (Reason, bool) {
	switch {
	case f.Effect != infra.EffectNone && !req.Idempotent:
		return ReasonMayHaveRun, false
	case f.Quarantined || req.crashes >= maxCrashes:
		return ReasonQuarantined, false
	case !now.Before(req.Deadline):
		return ReasonDeadline, false
	case req.attempts >= req.attemptLimit() || req.unsentAttempts >= maxUnsent:
		return ReasonRetryBudget, false
	case f.Unsent:
		return "", true
	}
	budget := &srv.pool.budget
	if (f.Effect != infra.EffectNone || budget.policy.CountRefused) && !budget.tryWithdraw(now) {
		return ReasonRetryBudget, false
	}
	return "", true
}

// attemptLimit returns the number of attempts that may reach a server.
func (req *requestState) attemptLimit() int {
	if req.MaxAttempts > 0 {
		return min(req.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// backoff returns first, doubled for each failure, up to limit.
func backoff(first, limit time.Duration, failures int) time.Duration {
	if failures > 16 {
		return limit
	}
	return min(first<<failures, limit)
}
