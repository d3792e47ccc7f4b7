package decide

import (
	"time"
)

const (
	// maxQueued bounds the requests that wait at one instance, whatever their
	// deadlines: a few hundred bytes each here, and at most the body limit each
	// in the callers' side.
	maxQueued = 4096
	// defaultTimeout is the deadline of a request whose caller and target set none.
	defaultTimeout = 60 * time.Second
	// safeSpread is how many mean deviations beyond the mean a request that
	// waits must have left when it starts. Under saturation each one starts as
	// late as it may: with the mean alone every second one would be cut off in
	// the middle, its slot wasted; with 2 a burst's last requests are refused
	// that would have made it.
	safeSpread = 0.7
	// firstWait is how many turns the first in a queue is expected to wait: with
	// 1 a burst's requests are refused that more often than not would start in
	// time, with 0 each waits to its last moment before it is refused.
	firstWait = 0.5
	// estimateStale is how old an estimate may be before one request is let
	// through without it: an estimate that refuses everything would never learn
	// that it is wrong.
	estimateStale = 2 * time.Second

	// minRetryAfter and maxRetryAfter bound what callers are told: sooner than
	// the first there can be no change, and beyond the second nothing is known.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// longestGap bounds, in seconds, the time between two requests that an instance
	// may send: beyond what callers are told nothing has to be told apart.
	longestGap = 300.0
	// noReplicaRetry is when to come back for a target that is being loaded.
	noReplicaRetry = 2 * time.Second
	// expectedRate is how many requests a second start for a target whose first
	// replica is being made: all that wait start at once as it is ready, so only
	// their deadlines bound them.
	expectedRate = 1000.0
	// shutdownRetry is when to come back to another instance.
	shutdownRetry = 100 * time.Millisecond
)

// prepare works out what the request needs and its place in a queue.
func (s *Scheduler) prepare(now time.Time, f *flight) {
	t := f.target
	f.need, f.safe = t.expectedTime(now, f, 0), t.expectedTime(now, f, safeSpread)
	if t.stale(now) {
		f.need, f.safe = 0, 0
	}
	latest := float64(f.Deadline.UnixMicro())/1e6 - f.safe
	if f.Goal > 0 {
		latest = float64(f.Arrived.Add(f.Goal).UnixMicro()) / 1e6
		f.missed = f.missesGoal(now)
	}
	f.order = latest - priorityHeadStart*float64(max(f.Priority, 0))
}

// stale says whether too long has passed since anything was learned of the
// target's time of service.
func (t *targetState) stale(now time.Time) bool {
	if len(t.replicas) == 0 {
		return true
	}
	p := t.replicas[0].server.pool
	return p.totalInFlight == 0 && now.Sub(p.service.updatedAt) > estimateStale
}

// enqueue lets the request wait, unless it would miss its deadline. It is for
// bursts and saturation: a request that waits in vain delays those behind it,
// and its caller learns too late to do anything else.
func (s *Scheduler) enqueue(now time.Time, f *flight) {
	t := f.target
	wait := s.expectedWait(now, f)
	if f.late(now, wait) {
		s.refuse(f, ReasonDeadline, t.returns.next(now, wait+f.safe-f.left(now), s.gap(now, t)))
		return
	}
	if s.queued >= maxQueued && !s.makeRoom(now, f) {
		s.refuse(f, ReasonQueueFull, t.returns.next(now, wait, s.gap(now, t)))
		return
	}
	t.queue.push(f)
	t.partner.queued++
	s.queued++
	s.out = append(s.out, Decision{Request: f.ID, Action: ActionQueue, Reason: ReasonQueued, Inputs: Inputs{
		Candidates: len(t.replicas),
		Queued:     t.queue.len(),
		Wait:       seconds(wait),
		Service:    seconds(f.need),
	}})
}

// makeRoom refuses a waiting request of the partner that fills the queues most
// by its weight, unless that is the newcomer's own. It is for one partner's
// flood: it must not take the room of the other's few requests.
func (s *Scheduler) makeRoom(now time.Time, f *flight) bool {
	var worst *targetState
	for _, t := range s.fleet.sortedTargets {
		if t.queue.len() > 0 && (worst == nil || heavier(t, worst)) {
			worst = t
		}
	}
	if worst == nil || worst.partner == f.target.partner {
		return false
	}
	victim := worst.queue.last()
	after := worst.returns.next(now, 0, s.gap(now, worst))
	s.unqueue(victim)
	s.refuse(victim, ReasonShare, after)
	return true
}

func heavier(a, b *targetState) bool {
	x, y := float64(a.partner.queued)/a.partner.weight, float64(b.partner.queued)/b.partner.weight
	if x != y {
		return x > y
	}
	return a.queue.len() > b.queue.len()
}

// expectedWait returns the seconds that the request would wait in its queue
// behind those that go before it.
func (s *Scheduler) expectedWait(now time.Time, f *flight) float64 {
	return (float64(f.target.queue.ahead(f)) + firstWait) / s.rate(now, f.target, 1)
}

// rate returns how many of the target's waiting requests start in a second, if
// so many more came: its part of the slots that this instance gets at its
// servers. Those that wait there share them by number, partners by weight.
func (s *Scheduler) rate(now time.Time, t *targetState, more int) float64 {
	n := min(len(t.replicas), sampled)
	if n == 0 && t.Expected {
		return expectedRate
	}
	if n == 0 {
		return 1 / maxRetryAfter.Seconds() // they are gone: perhaps some come back
	}
	sum := 0.0
	mine := float64(t.queue.len()+more) / float64(n)
	for i := range t.replicas[:n] {
		srv := t.replicas[i].server
		all, weights := float64(more)/float64(n), t.partner.weight
		counted := t.partner
		for _, r := range srv.servedTargets {
			o := r.target
			switch {
			case o.queue.len() == 0:
			case o.partner == t.partner:
				all += float64(o.queue.len()) / float64(min(len(o.replicas), sampled))
			case o.partner != counted:
				weights += o.partner.weight
				counted = o.partner
			}
		}
		sum += mine / max(all, mine) * t.partner.weight / weights / s.serverGap(now, srv, more)
	}
	return sum
}

// gap returns the seconds between two of this instance's slots at the server
// that free: how long its requests there lately held one, by their number.
func (s *serverState) gap() float64 {
	return s.pool.holdTime() * s.relativeSlowdown() / float64(max(s.own, 1))
}

// serverGap returns the seconds between two requests that this instance may send
// the server, if so many more wanted to: a slot has to free, and a rate limit to
// let it have one.
func (s *Scheduler) serverGap(now time.Time, srv *serverState, more int) float64 {
	if !srv.rateLimit.Named {
		return srv.gap()
	}
	return max(srv.gap(), min(1/srv.allowedRate(now, &s.rationing, more), longestGap))
}

// gap returns the least gap of the target's servers.
func (s *Scheduler) gap(now time.Time, t *targetState) float64 {
	if len(t.replicas) == 0 {
		return unknownService
	}
	least := longestGap
	for i := range t.replicas[:min(len(t.replicas), sampled)] {
		srv := t.replicas[i].server
		least = min(least, s.serverGap(now, srv, 1))
		if !srv.rateLimit.Named {
			least = min(least, unknownService)
		}
	}
	return least
}

// returns spreads the times at which refused callers are told to come back, one
// for each slot that frees, so that they don't all come back together.
type returns struct {
	at time.Time // when the last one was told to
}

// next returns when to come back: after earliest seconds at least, and gap
// seconds after the caller before.
func (r *returns) next(now time.Time, earliest, gap float64) time.Duration {
	first := now.Add(max(seconds(earliest), minRetryAfter))
	r.at = r.at.Add(seconds(gap))
	if r.at.Before(first) {
		r.at = first
	}
	if last := now.Add(maxRetryAfter); r.at.After(last) {
		r.at = last
	}
	return r.at.Sub(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
