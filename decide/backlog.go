package decide

import "time"

const (
	// backlogTTL is the age up to which a report of the backlog at all instances is used. After that an
	// instance decides by its own queues alone.
	backlogTTL = 1500 * time.Millisecond
	// significantBacklog is the least time, in seconds, that servers need to start all waiting
	// requests, for the start rate to show the servers' capacity. With less waiting it shows the
	// arrival rate only.
	significantBacklog = 0.5
	// minMeasuredStarts is the least start rate, per second, that is used. Lower ones rest on too few
	// starts.
	minMeasuredStarts = 0.5
	// newReplicaTime is how long measured start rates don't include a new replica.
	newReplicaTime = 3 * time.Second
	// lastInRank is the position, from 0 to 1, of a request that comes after all others of its rank.
	lastInRank = 1.0
)

// Backlog is the number of requests for a target that wait at all instances together, and their rates.
type Backlog struct {
	Target   string
	Waiting  [Ranks]float64 // requests queued at instances, by rank
	Arrivals [Ranks]float64 // requests per second, by rank
	Starts   [Ranks]float64 // requests per second sent to servers, by rank
}

// sharedBacklog is the newest report of a target's backlog at all instances.
type sharedBacklog struct {
	Backlog
	takenAt time.Time // mean time at which the instances took their counts; zero: no report
	// own is what this instance had queued, by rank, when the report before the newest arrived. The
	// newest report most likely contains these counts rather than newer ones, because the lease
	// holder sends the same sum to many instances.
	own       [Ranks]float64
	ownNewest [Ranks]float64 // what this instance had queued, by rank, when the newest report arrived
}

// UpdateBacklogs handles a report of the backlogs at all instances together, this one included. It
// replaces the previous report. age is the mean age of the instances' counts.
func (s *Scheduler) UpdateBacklogs(now time.Time, backlogs []Backlog, age time.Duration) []Decision {
	s.out = s.out[:0]
	if len(backlogs) == 0 && !s.backlogsReported {
		return s.out
	}
	s.backlogsReported = len(backlogs) > 0
	for _, t := range s.fleet.sortedTargets {
		t.backlog.takenAt = time.Time{}
	}
	for _, b := range backlogs {
		if t := s.fleet.targets[b.Target]; t != nil {
			t.backlog.update(now.Add(-age), b, t.queue.waitingByRank())
			t.recordMissingReplica(now)
		}
	}
	return s.out
}

// update stores a report of counts taken at the given time. own is what this instance has queued now.
func (b *sharedBacklog) update(at time.Time, reported Backlog, own [Ranks]float64) {
	b.Backlog, b.takenAt = reported, at
	b.own, b.ownNewest = b.ownNewest, own
}

// known reports whether the backlog of all instances is known and recent.
func (b *sharedBacklog) known(now time.Time) bool {
	return !b.takenAt.IsZero() && now.Sub(b.takenAt) < backlogTTL
}

// othersBacklog returns the other instances' queued requests for the target and their arrivals per
// second, by rank, or zeros if these aren't known.
func (t *targetState) othersBacklog(now time.Time) (waiting, arrivals [Ranks]float64) {
	if !t.backlog.known(now) {
		return waiting, arrivals
	}
	ownArrivals := t.arrivalRate.rate(now)
	total := SumRanks(t.backlog.Arrivals)
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

// backlogEstimate is an estimate, from the backlog at all instances, of how long requests for a
// target wait.
type backlogEstimate struct {
	applies  bool           // false: the instance uses its own queue, and the other fields aren't set
	waiting  [Ranks]float64 // requests queued at all instances
	starts   [Ranks]float64 // starts per second of requests of the rank and of less urgent ones
	leftover [Ranks]float64 // starts per second less the arrivals of the rank and of more urgent ones
}

// estimateBacklog returns the estimate for a target. It doesn't apply if there is no recent report, or
// if servers may start requests faster than they lately did.
func (s *Scheduler) estimateBacklog(now time.Time, t *targetState) (e backlogEstimate) {
	b := &t.backlog
	growth := t.replicaGrowth(now)
	if !b.known(now) || growth == 0 {
		return e
	}
	starts := growth * SumRanks(b.Starts)
	if starts < minMeasuredStarts || SumRanks(b.Waiting) < significantBacklog*starts {
		return e
	}
	e.applies = true
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

// recordReplicaCount records that the target's number of replicas is about to change.
func (t *targetState) recordReplicaCount(now time.Time, before, replicas int) {
	if replicas <= before {
		return
	}
	if now.Sub(t.replicaAddedAt) >= newReplicaTime {
		t.replicasBefore = before
	}
	t.replicaAddedAt = now
}

// replicaGrowth returns the factor by which the target's servers start more requests than was
// measured, because measured rates don't include new replicas yet; 0 if it isn't known.
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

// wait returns the seconds that a request will wait. position is its place, from 0 to 1, among the
// requests of its rank at all instances.
//
// By Little's law it is the number of waiting requests of the rank divided by their start rate. That
// rate includes starts of less urgent requests, since servers could start this rank's instead.
func (e *backlogEstimate) wait(req *requestState, position float64) float64 {
	rank := RankIndex(req.Rank)
	return min((position*e.waiting[rank]+headWaitTurns)/max(e.starts[rank], 1/maxWait), maxWait)
}

// timeToDrain returns the seconds until all waiting requests of the rank and of more urgent ones have
// started, and the rate, in requests per second, at which this backlog shrinks. Both are 0 if it
// doesn't shrink.
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

// queuePositions computes the positions of queued requests, in their order of service, among those
// of their ranks.
type queuePositions struct {
	ahead [Ranks]float64 // requests that already have a position
	all   [Ranks]float64 // all requests
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

// refusalInputs returns the inputs of the refusal of a request that would wait too long. shared is
// whether the backlog at all instances was used.
func (t *targetState) refusalInputs(now time.Time, wait float64, shared bool) Inputs {
	in := Inputs{Candidates: len(t.replicas), Queued: t.queue.len(), QueueWait: seconds(wait)}
	if b := &t.backlog; shared {
		in.Shared = SharedInputs{Known: true, Waiting: SumRanks(b.Waiting), Arrivals: SumRanks(b.Arrivals), Starts: SumRanks(b.Starts), Age: now.Sub(b.takenAt)}
	}
	return in
}
