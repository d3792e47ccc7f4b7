package decide

import (
	"time"
)

const (
	// maxQueued bounds the requests queued at one instance, whatever their deadlines. Each
	// takes a few hundred bytes here, and up to the body limit in package caller.
	maxQueued = 4096
	// defaultTimeout is the deadline of a request for which neither caller nor target sets
	// one.
	defaultTimeout = 60 * time.Second
	// safeDeviations is how many mean deviations above the mean service time a queued
	// request must have left when it starts. Under saturation each request starts as late
	// as allowed. With 0, half of them would be cut off midway and waste their slot; with
	// 2, the last requests of a burst would be refused although they would have completed.
	safeDeviations = 0.7
	// headWaitTurns is the expected wait of the first request in a queue, in slot turns.
	// With 1, requests of a burst are refused that would mostly have started in time; with
	// 0, each one waits until the last moment before it is refused.
	headWaitTurns = 0.5
	// maxEstimateAge is the age of a service time estimate after which one request is
	// admitted without it. Otherwise an estimate that refuses every request would never be
	// corrected.
	maxEstimateAge = 2 * time.Second

	// minRetryAfter and maxRetryAfter bound the delay that refused callers are told.
	// Nothing changes within the former, and nothing can be predicted beyond the latter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxSendInterval bounds, in seconds, the estimated time between two requests that an
	// instance may send. It exceeds maxRetryAfter, so longer intervals make no difference.
	maxSendInterval = 300.0
	// maxWait bounds an expected wait, in seconds.
	maxWait = 300.0
	// noReplicaRetry is the retry delay for a target without a ready replica.
	noReplicaRetry = 2 * time.Second
	// pendingReplicaRate is the start rate, in requests per second, of a target whose
	// first replica is being loaded. All queued requests start as soon as it is ready, so
	// only their deadlines bound the queue.
	pendingReplicaRate = 1000.0
	// ShutdownRetryAfter is the delay before a retry at another instance that callers of an instance
	// which ends are told.
	ShutdownRetryAfter = 100 * time.Millisecond
)

// prepare estimates the request's service time and sets its queue key.
func (s *Scheduler) prepare(now time.Time, req *requestState) {
	t := req.target
	req.serviceTime, req.safeServiceTime = t.expectedTime(now, req, 0), t.expectedTime(now, req, safeDeviations)
	if t.estimateStale(now) {
		req.serviceTime, req.safeServiceTime = 0, 0
	}
	latest := float64(req.Deadline.UnixMicro())/1e6 - req.safeServiceTime
	if req.Goal > 0 {
		latest = float64(req.Arrived.Add(req.Goal).UnixMicro()) / 1e6
		req.goalMissed = req.wouldMissGoal(now)
	}
	req.queueKey = latest - priorityHeadStart*float64(max(req.Priority, 0))
	if t.roomByRank {
		req.setSlotWorth(now)
	}
}

// estimateStale reports whether the estimate of the target's service time is too old to
// rely on: nothing was learned for maxEstimateAge and nothing is in flight.
func (t *targetState) estimateStale(now time.Time) bool {
	if len(t.replicas) == 0 {
		return true
	}
	p := t.replicas[0].server.pool
	return p.totalInFlight == 0 && now.Sub(p.service.updatedAt) > maxEstimateAge
}

// enqueue queues the request, or refuses it if it would miss its deadline. In bursts and
// under saturation a request that waits in vain delays those behind it, and its caller
// would learn too late to do anything else.
func (s *Scheduler) enqueue(now time.Time, req *requestState) {
	t := req.target
	backlog := s.estimateBacklog(now, t)
	wait := s.expectedWait(now, req, &backlog)
	if req.wouldMissDeadline(now, wait) {
		own := retryTime{wait + req.safeServiceTime - req.timeLeft(now), s.minSendInterval(now, t)}
		s.refuseLate(now, req, wait, own, &backlog)
		return
	}
	if s.queued >= maxQueued && !s.evictQueued(now, req) {
		s.refuse(req, ReasonQueueFull, t.returns.next(now, wait, s.minSendInterval(now, t)))
		return
	}
	t.queue.push(req)
	t.partner.queued++
	s.queued++
	s.out = append(s.out, Decision{Request: req.ID, Action: ActionQueue, Reason: ReasonNoFreeSlot, Inputs: Inputs{
		Candidates:  len(t.replicas),
		Queued:      t.queue.len(),
		QueueWait:   seconds(wait),
		ServiceTime: seconds(req.serviceTime),
		RoomByRank:  t.roomByRank,
		Late:        req.goalMissed,
	}})
}

// evictQueued refuses a queued request of the partner with the most queued requests for
// its weight, unless that is the partner of req itself. So a flood from one partner
// doesn't take queue space from the few requests of another. It reports whether it made
// room.
func (s *Scheduler) evictQueued(now time.Time, req *requestState) bool {
	if req.target.roomByRank {
		return s.evictLeastWorth(now, req)
	}
	var worst *targetState
	for _, t := range s.fleet.sortedTargets {
		if t.queue.len() > 0 && (worst == nil || queuesMoreByWeight(t, worst)) {
			worst = t
		}
	}
	if worst == nil || worst.partner == req.target.partner {
		return false
	}
	victim := worst.queue.lowest()
	after := worst.returns.next(now, 0, s.minSendInterval(now, worst))
	s.removeQueued(victim)
	s.refuse(victim, ReasonPartnerShare, after)
	return true
}

func queuesMoreByWeight(a, b *targetState) bool {
	x, y := float64(a.partner.queued)/a.partner.weight, float64(b.partner.queued)/b.partner.weight
	if x != y {
		return x > y
	}
	return a.queue.len() > b.queue.len()
}

// expectedWait returns the seconds that the request would wait behind those that are
// served before it: at all instances if the estimate of the backlog applies, else at this one.
func (s *Scheduler) expectedWait(now time.Time, req *requestState, backlog *backlogEstimate) float64 {
	if backlog.applies {
		return backlog.wait(req, lastInRank)
	}
	wait := (float64(req.target.queue.countAhead(req)) + headWaitTurns) / s.startRate(now, req.target, 1)
	return max(wait, s.timeToFirstReplica(now, req.target))
}

// startRate returns how many of the target's queued requests start per second if extra
// more were queued: its share of the slots that this instance gets at the target's
// servers. Partners share those slots by weight, and the requests of one partner share by
// number.
func (s *Scheduler) startRate(now time.Time, t *targetState, extra int) float64 {
	n := min(len(t.replicas), sampleSize)
	if n == 0 && t.ReplicaPending {
		return pendingReplicaRate
	}
	if n == 0 {
		return 1 / maxRetryAfter.Seconds() // all replicas are gone; some may come back
	}
	sum := 0.0
	own := float64(t.queue.len()+extra) / float64(n)
	for i := range t.replicas[:n] {
		srv := t.replicas[i].server
		wanting, weights := float64(extra)/float64(n), t.partner.weight
		counted := t.partner
		for _, r := range srv.servedTargets {
			other := r.target
			switch {
			case other.queue.len() == 0:
			case other.partner == t.partner:
				wanting += float64(other.queue.len()) / float64(min(len(other.replicas), sampleSize))
			case other.partner != counted:
				weights += other.partner.weight
				counted = other.partner
			}
		}
		sum += own / max(wanting, own) * t.partner.weight / weights / s.sendInterval(now, srv, extra)
	}
	return sum
}

// slotInterval returns the seconds between two slots that free at the server for this
// instance, from its recent holding time of a slot and the number of its requests there.
func (s *serverState) slotInterval() float64 {
	return s.pool.holdTime() * s.relativeSlowdown() / float64(max(s.own, 1))
}

// sendInterval returns the seconds between two requests that this instance may send to the
// server if extra more were queued. A slot must be free, and a rate limit must admit the
// request.
func (s *Scheduler) sendInterval(now time.Time, srv *serverState, extra int) float64 {
	if !srv.rateLimit.Named {
		return srv.slotInterval()
	}
	return max(srv.slotInterval(), min(1/srv.allowedRate(now, &s.rateSharing, extra), maxSendInterval))
}

// minSendInterval returns the shortest send interval of the target's servers.
func (s *Scheduler) minSendInterval(now time.Time, t *targetState) float64 {
	if len(t.replicas) == 0 {
		return defaultServiceTime
	}
	shortest := maxSendInterval
	for i := range t.replicas[:min(len(t.replicas), sampleSize)] {
		srv := t.replicas[i].server
		shortest = min(shortest, s.sendInterval(now, srv, 1))
		if !srv.rateLimit.Named {
			shortest = min(shortest, defaultServiceTime)
		}
	}
	return shortest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
