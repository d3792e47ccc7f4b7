package decide

import (
	"math"
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
	// estimateStale is how old an estimate may be before one request is let
	// through without it: an estimate that refuses everything would never learn
	// that it is wrong.
	estimateStale = 2 * time.Second

	// minRetryAfter and maxRetryAfter bound what callers are told: sooner than
	// the first there can be no change, and beyond the second nothing is known.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noReplicaRetry is when to come back for a target that is being loaded.
	noReplicaRetry = 2 * time.Second
	// shutdownRetry is when to come back to another instance.
	shutdownRetry = 100 * time.Millisecond
)

// prepare works out what the request needs and its place in a queue.
func (s *Scheduler) prepare(now time.Time, f *flight) {
	t := f.target
	f.need, f.safe = t.expected(now, f, 0), t.expected(now, f, safeSpread)
	if t.stale(now) {
		f.need, f.safe = 0, 0
	}
	latest := float64(f.Deadline.UnixMicro())/1e6 - f.safe
	f.order = latest - priorityHeadStart*float64(max(f.Priority, 0))
}

// stale says whether too long has passed since anything was learned of the
// target's time of service.
func (t *targetState) stale(now time.Time) bool {
	if len(t.replicas) == 0 {
		return true
	}
	p := t.replicas[0].server.pool
	return p.total == 0 && now.Sub(p.service.last) > estimateStale
}

// enqueue lets the request wait, unless it would miss its deadline. It is for
// bursts and saturation: a request that waits in vain delays those behind it,
// and its caller learns too late to do anything else.
func (s *Scheduler) enqueue(now time.Time, f *flight) {
	t := f.target
	wait := s.expectedWait(f)
	if f.late(now, wait) {
		s.refuse(f, ReasonDeadline, t.returns.next(now, wait+f.safe-f.left(now), t.gap(f)))
		return
	}
	if s.queued >= maxQueued && !s.makeRoom(now, f) {
		s.refuse(f, ReasonQueueFull, t.returns.next(now, wait, t.gap(f)))
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
	for _, t := range s.fleet.ordered {
		if t.queue.len() > 0 && (worst == nil || heavier(t, worst)) {
			worst = t
		}
	}
	if worst == nil || worst.partner == f.target.partner {
		return false
	}
	victim := worst.queue.last()
	after := worst.returns.next(now, 0, worst.gap(victim))
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

// expectedWait returns the seconds that the request would wait in its queue: at
// the best of its servers, one of this instance's slots frees on average each
// time of service divided by their number; those that wait for the server and
// start earlier go first, and other partners' take their part of the slots.
func (s *Scheduler) expectedWait(f *flight) float64 {
	t := f.target
	least := math.Inf(1)
	for i := range t.replicas[:min(len(t.replicas), sampled)] {
		srv := t.replicas[i].server
		least = min(least, srv.ahead(f)*srv.gap(f))
	}
	return least
}

// ahead returns how many waiting requests the server takes before f.
func (s *serverState) ahead(f *flight) float64 {
	own, weights := 0.0, f.target.partner.weight
	counted := f.target.partner
	for _, r := range s.residents {
		t := r.target
		if t.queue.len() == 0 {
			continue
		}
		if t.partner == f.target.partner {
			own += float64(t.queue.ahead(f)) / float64(len(t.replicas))
		} else if t.partner != counted {
			weights += t.partner.weight
			counted = t.partner
		}
	}
	return own * weights / f.target.partner.weight
}

// gap returns the least gap of the target's servers.
func (t *targetState) gap(f *flight) float64 {
	least := unknownService
	for i := range t.replicas[:min(len(t.replicas), sampled)] {
		least = min(least, t.replicas[i].server.gap(f))
	}
	return least
}

// gap returns the seconds between two of this instance's slots at the server
// that free.
func (s *serverState) gap(f *flight) float64 {
	return serviceOf(f) * s.slowness() / max(float64(s.own), s.part)
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
