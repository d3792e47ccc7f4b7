package decide

import "time"

// backlogTTL is how long a report of all instances' requests is used after it was true. Then
// each instance decides by its own queues alone.
const backlogTTL = 1500 * time.Millisecond

// sharedBacklog is what was last told of all instances' requests for a target.
type sharedBacklog struct {
	Backlog
	takenAt time.Time // when it was true, in the mean of all instances; zero: nothing was told
	// own is what this instance had queued at the report before the newest. The newest report
	// most likely contains that: the lease holder answers many instances from one sum.
	own       [Ranks]float64
	ownNewest [Ranks]float64 // what it had queued when the newest report arrived
}

// UpdateBacklogs handles the newest backlogs of all instances together, this one included. They
// replace all earlier ones. age is how old they are in the mean.
func (s *Scheduler) UpdateBacklogs(now time.Time, backlogs []Backlog, age time.Duration) []Decision {
	s.out = s.out[:0]
	if len(backlogs) == 0 && !s.backlogsTold {
		return s.out
	}
	s.backlogsTold = len(backlogs) > 0
	for _, t := range s.fleet.sortedTargets {
		t.backlog.takenAt = time.Time{}
	}
	for _, b := range backlogs {
		if t := s.fleet.targets[b.Target]; t != nil {
			t.backlog.update(now.Add(-age), b, t.queue.waitingByRank())
		}
	}
	return s.out
}

func (b *sharedBacklog) update(at time.Time, told Backlog, own [Ranks]float64) {
	b.Backlog, b.takenAt = told, at
	b.own, b.ownNewest = b.ownNewest, own
}

// known reports whether the backlog of all instances is known and recent.
func (b *sharedBacklog) known(now time.Time) bool {
	return !b.takenAt.IsZero() && now.Sub(b.takenAt) < backlogTTL
}

// othersBacklog returns what the other instances have of requests for the target, by rank:
// those queued, and arrivals per second. It returns zeros if that isn't known.
func (t *targetState) othersBacklog(now time.Time) (waiting, arrivals [Ranks]float64) {
	if !t.backlog.known(now) {
		return waiting, arrivals
	}
	ownArrivals := t.arrivalRate.rate(now)
	total := 0.0
	for _, a := range t.backlog.Arrivals {
		total += a
	}
	for rank := range waiting {
		waiting[rank] = max(t.backlog.Waiting[rank]-t.backlog.own[rank], 0)
		if total > 0 { // this instance's arrivals aren't counted by rank
			arrivals[rank] = t.backlog.Arrivals[rank] * max(1-ownArrivals/total, 0)
		}
	}
	return waiting, arrivals
}

// waitingByRank returns the number of queued requests by rank.
func (q *queue) waitingByRank() [Ranks]float64 {
	var out [Ranks]float64
	for _, h := range q.heaps {
		for _, req := range h {
			out[RankIndex(req.Rank)]++
		}
	}
	return out
}
