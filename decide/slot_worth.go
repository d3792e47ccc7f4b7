package decide

import (
	"math"
	"time"
)

const (
	// rankWeightRatio is the cost of delaying a request relative to that of delaying one of the
	// next less urgent rank. It weighs queued requests against each other for a free slot, where the
	// less urgent one only waits longer. The ratio rankDemandRatio of package residency is closer to 1
	// since it weighs models' demands against each other for replicas, and a model that loses its
	// replicas can't serve any request.
	rankWeightRatio = 4.0
	// lateValue is the fraction of a request's value that remains after its goal.
	lateValue = 0.25
	// worthTimeConstant is the time, in seconds, in which the worth of a slot to a request grows
	// by the factor e as its due time approaches.
	worthTimeConstant = 1.0
	// minWork is the least service time, in seconds, that a request is assumed to have. Without it
	// the shortest requests would always go first.
	minWork = 0.05
)

var logRankWeightRatio = math.Log(rankWeightRatio)

// setSlotWorth sets the request's queue key by what a slot is worth to it. The worth is the apparent
// tardiness cost, a dispatching rule of scheduling theory:
//
//	value * rank weight / work * exp(-(due - now) / worthTimeConstant)
//
// where due is the latest start that keeps the value. Until the goal the value is 1 and due is the
// latest start for the goal; after it they are lateValue and the latest start for the deadline. So a
// late request goes before a less urgent one that can wait as long, but doesn't make others late. All
// worths grow by the same factor with time, so their order is that of
// due - worthTimeConstant*ln(value*weight/work), which doesn't depend on now.
func (req *requestState) setSlotWorth(now time.Time) {
	due, value := req.goalStart(), 1.0
	if req.goalMissed {
		due, value = req.deadlineStart(now), lateValue
	}
	work := max(serviceTimeOrDefault(req), minWork)
	logWeight := -logRankWeightRatio * float64(RankIndex(req.Rank))
	req.queueKey = due - worthTimeConstant*(math.Log(value/work)+logWeight)
}

// goalStart returns the latest start that meets the goal, in Unix seconds. Without a goal it is
// that of the deadline.
func (req *requestState) goalStart() float64 {
	if req.Goal <= 0 {
		return unixSeconds(req.Deadline) - req.safeServiceTime
	}
	return unixSeconds(req.Arrived.Add(req.Goal))
}

// deadlineStart returns the latest start after which the answer has no value, in Unix seconds.
func (req *requestState) deadlineStart(now time.Time) float64 {
	latest := unixSeconds(req.Deadline) - req.safeServiceTime
	if !req.FirstTokenDeadline.IsZero() && req.deliveredTokens == 0 {
		latest = min(latest, unixSeconds(req.FirstTokenDeadline)-req.target.expectedFirstToken(now, req))
	}
	return latest
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }

// evictLeastWorth makes room for req in the full queues: it refuses the queued request to which a slot
// is worth least. It reports false, and refuses none, if that is req itself.
func (s *Scheduler) evictLeastWorth(now time.Time, req *requestState) bool {
	victim := req
	for _, t := range s.fleet.sortedTargets {
		if last := t.queue.lowest(); last != nil && last.queueKey > victim.queueKey {
			victim = last
		}
	}
	if victim == req {
		return false
	}
	t := victim.target
	after := t.returns.next(now, 0, s.minSendInterval(now, t))
	s.removeQueued(victim)
	s.refuse(victim, ReasonQueueFull, after)
	return true
}
