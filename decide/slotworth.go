package decide

import (
	"math"
	"time"
)

const (
	// rankWeightRatio is how many times as much a delayed request costs its caller as one of
	// the next rank that is alike otherwise.
	rankWeightRatio = 4.0
	// lateValue is the part of a request's value that is left after its goal.
	lateValue = 0.25
	// worthTimeConstant is the time, in seconds, in which the worth of a slot grows by the
	// factor e as the request's due time comes near.
	worthTimeConstant = 1.0
	// minWork is the least time, in seconds, that a request is assumed to hold its slot.
	minWork = 0.05
)

var logRankWeightRatio = math.Log(rankWeightRatio)

// setSlotWorth sets the request's queue key by what a slot is worth to it, and whether it is
// late for its goal. The worth is the apparent tardiness cost
//
//	value * rank weight / work * exp(-(due - now) / worthTimeConstant)
//
// where due is the latest start that keeps the value: the goal's, and after the goal that of the
// deadline with lateValue. So a late request of an urgent rank goes before a less urgent one that
// can wait as long, but doesn't make others late. All worths grow by the same factor with time,
// so their order is that of due - worthTimeConstant*ln(value*weight/work), which stays.
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

// evictLeastWorth refuses the queued request to which a slot is worth least, unless that is req
// itself. It reports whether it made room.
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
