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
			t.noteLacking(now)
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
	total := sum(t.backlog.Arrivals)
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

const (
	// significantBacklog is the time, in seconds, that servers need for what waits everywhere, from
	// which on starts show the servers' capacity and not only what callers ask for.
	significantBacklog = 0.5
	// minMeasuredStarts is the lowest rate of starts, per second, that says something.
	minMeasuredStarts = 0.5
	// newReplicaTime is how long measured starts don't show yet what a new replica brings.
	newReplicaTime = 3 * time.Second
	// lastInRank is the position of a request that comes after all others of its rank.
	lastInRank = 1.0
)

// backlogEstimate is what the requests of all instances for a target mean for one of them.
type backlogEstimate struct {
	binds    bool           // false: this instance's own queue tells more, and the rest isn't set
	waiting  [Ranks]float64 // at all instances
	starts   [Ranks]float64 // per second, of the rank and less urgent ones
	leftover [Ranks]float64 // starts per second beyond the arrivals of the rank and more urgent ones
}

// estimateBacklog returns the estimate for a target. It doesn't bind if nothing recent is known, or
// if servers could start requests faster than they lately did.
func (s *Scheduler) estimateBacklog(now time.Time, t *targetState) (e backlogEstimate) {
	b := &t.backlog
	growth := t.replicaGrowth(now)
	if !b.known(now) || growth == 0 {
		return e
	}
	starts := growth * sum(b.Starts)
	if starts < minMeasuredStarts || sum(b.Waiting) < significantBacklog*starts {
		return e
	}
	e.binds = true
	others, _ := t.othersBacklog(now)
	own := t.queue.waitingByRank()
	left, arrivals := starts, 0.0
	for rank := range Ranks {
		e.waiting[rank] = others[rank] + own[rank]
		e.starts[rank] = left
		left -= growth * b.Starts[rank]
		arrivals += b.Arrivals[rank]
		e.leftover[rank] = starts - arrivals - t.returns.increase(now, rank)*float64(s.instances)
	}
	return e
}

// noteAdded notes a change of the number of the target's replicas.
func (t *targetState) noteAdded(now time.Time, before, replicas int) {
	if replicas <= before {
		return
	}
	if now.Sub(t.replicaAddedAt) >= newReplicaTime {
		t.replicasBefore = before
	}
	t.replicaAddedAt = now
}

// replicaGrowth returns how many times as many requests the target's servers start as was measured,
// since new replicas don't show yet; 0 if that can't be told.
func (t *targetState) replicaGrowth(now time.Time) float64 {
	switch {
	case len(t.replicas) == 0:
		return 0
	case now.Sub(t.replicaAddedAt) >= newReplicaTime:
		return 1
	case t.replicasBefore == 0:
		return 0
	}
	return max(float64(len(t.replicas))/float64(t.replicasBefore), 1)
}

// wait returns the seconds that a request will wait. position is its place, from 0 to 1, among those
// of its rank at all instances.
//
// Requests of a rank wait as long as servers take to start as many of them, whatever the order of
// service. Servers could start them instead of less urgent ones, so those count in the rate.
func (e *backlogEstimate) wait(req *requestState, position float64) float64 {
	rank := RankIndex(req.Rank)
	return min((position*e.waiting[rank]+headWaitTurns)/max(e.starts[rank], 1/maxWait), maxWait)
}

// timeToDrain returns in how many seconds all that waits with the rank or a more urgent one will
// have been served, and how many requests per second servers then start beyond new ones; both
// 0 if as many arrive as start.
func (e *backlogEstimate) timeToDrain(rank int) (drain, rate float64) {
	rate = e.leftover[rank]
	if rate <= 0 {
		return 0, 0
	}
	for _, n := range e.waiting[:rank+1] {
		drain += n / rate
	}
	return drain, rate
}

// queuePositions places queued requests, in their order of service, among those of their ranks.
type queuePositions struct {
	ahead, all [Ranks]float64
}

func newQueuePositions(requests []*requestState) queuePositions {
	var p queuePositions
	for _, req := range requests {
		p.all[RankIndex(req.Rank)]++
	}
	return p
}

// next returns the position, from 0 to 1, of the next request.
func (p *queuePositions) next(req *requestState) float64 {
	rank := RankIndex(req.Rank)
	at := (p.ahead[rank] + headWaitTurns) / p.all[rank]
	p.ahead[rank]++
	return at
}

// refusalInputs returns what the refusal of a request that would wait too long rests on.
func (t *targetState) refusalInputs(now time.Time, wait float64, shared bool) Inputs {
	in := Inputs{Candidates: len(t.replicas), Queued: t.queue.len(), QueueWait: seconds(wait)}
	if b := &t.backlog; shared {
		in.Shared = SharedInputs{Known: true, Waiting: sum(b.Waiting), Arrivals: sum(b.Arrivals), Starts: sum(b.Starts), Age: now.Sub(b.takenAt)}
	}
	return in
}

func sum(byRank [Ranks]float64) float64 {
	total := 0.0
	for _, v := range byRank {
		total += v
	}
	return total
}
