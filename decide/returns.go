package decide

import "time"

const (
	// CallerPatience is the part of the time left to a refused caller, 1 in CallerPatience, for
	// which it puts its return off at most.
	CallerPatience = 3
	// returnSlot and returnSlots give the grid on which returns are counted in advance. It spans
	// a third of the longest common deadlines.
	returnSlot  = 250 * time.Millisecond
	returnSlots = 32
	// returnHorizon is the number of slots ahead for which expected returns count as arrivals.
	returnHorizon = 4
)

// returns spreads the retry times given to refused callers, one for each slot that frees,
// so that they don't all retry at once.
type returns struct {
	latest   time.Time // latest retry time given
	expected *expectedReturns
}

// expectedReturns counts the callers that this instance told to come back, by time and rank.
type expectedReturns struct {
	counts [returnSlots][Ranks]uint16
	first  int64 // number of the first slot that is kept, returnHorizon before the present one
}

// next returns the delay for the next caller: at least earliest seconds from now and gap
// seconds after the previous caller's.
func (r *returns) next(now time.Time, earliest, gap float64) time.Duration {
	first := now.Add(max(seconds(earliest), minRetryAfter))
	r.latest = r.latest.Add(seconds(gap))
	if r.latest.Before(first) {
		r.latest = first
	}
	if last := now.Add(maxRetryAfter); r.latest.After(last) {
		r.latest = last
	}
	return r.latest.Sub(now)
}

// nextWithin returns the delay for the next caller as next does, but only if it is at most
// patience. Otherwise the next caller isn't put behind this one.
func (r *returns) nextWithin(now time.Time, earliest, gap float64, patience time.Duration) (after time.Duration, ok bool) {
	before := r.latest
	if after = r.next(now, earliest, gap); after <= patience {
		return after, true
	}
	r.latest = before
	return 0, false
}

// expect counts a caller that was told to come back after a delay.
func (r *returns) expect(now time.Time, after time.Duration, rank int) {
	if r.expected == nil {
		r.expected = &expectedReturns{}
	}
	e := r.expected
	e.advance(now)
	if n := slotNumber(now.Add(after)); n < e.first+returnSlots {
		e.counts[n%returnSlots][rank]++
	}
}

// increase returns how many callers per second, of ranks up to the given one, are expected to come
// back soon beyond those that lately did: these count as arrivals already.
func (r *returns) increase(now time.Time, rank int) float64 {
	if r.expected == nil {
		return 0
	}
	e := r.expected
	e.advance(now)
	more := e.count(e.first+returnHorizon, rank) - e.count(e.first, rank)
	return max(float64(more), 0) / (returnHorizon * returnSlot.Seconds())
}

// count returns how many callers of ranks up to the given one come back in the returnHorizon slots
// from a slot on.
func (e *expectedReturns) count(from int64, rank int) int {
	sum := 0
	for n := from; n < from+returnHorizon; n++ {
		for _, count := range e.counts[n%returnSlots][:rank+1] {
			sum += int(count)
		}
	}
	return sum
}

// advance forgets the slots that are over.
func (e *expectedReturns) advance(now time.Time) {
	first := slotNumber(now) - returnHorizon
	for n := max(e.first, first-returnSlots); n < first; n++ {
		e.counts[n%returnSlots] = [Ranks]uint16{}
	}
	e.first = max(e.first, first)
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(returnSlot) }

// retryTime is when refused callers may come back, by what this instance alone knows.
type retryTime struct {
	earliest float64 // seconds
	gap      float64 // seconds between two callers
}

// refuseLate refuses a request that would wait too long for a slot, and tells its caller when to
// come back.
func (s *Scheduler) refuseLate(now time.Time, req *requestState, wait float64, own retryTime, backlog *backlogEstimate) {
	t := req.target
	in := t.refusalInputs(now, wait, backlog.applies)
	var after time.Duration
	switch {
	case backlog.applies:
		after, in.Shared.Room = s.sharedRetryAfter(now, req, backlog)
	case s.roomByRank:
		after = t.returns.next(now, max(own.earliest, wait), own.gap)
	default:
		after = t.returns.next(now, own.earliest, own.gap)
	}
	s.refuse(req, ReasonDeadline, after)
	s.out[len(s.out)-1].Inputs = in
}

// sharedRetryAfter returns when a refused caller should come back: when what waits at all instances
// will have been served, or at least be so little that the caller can wait behind it, and after
// the callers that were sent away before. Each instance gives out its part of the starts. Where
// there will be no room while the caller still comes back, it is told a time after its deadline,
// so that nobody is sent back in vain.
func (s *Scheduler) sharedRetryAfter(now time.Time, req *requestState, backlog *backlogEstimate) (after time.Duration, room bool) {
	r, rank := &req.target.returns, RankIndex(req.Rank)
	left := max(req.Deadline.Sub(now), minRetryAfter)
	patience := left / CallerPatience
	drain, rate := backlog.timeToDrain(rank)
	tolerable := req.longestWait(now, patience) * backlog.starts[rank]
	if rate > 0 && drain-tolerable/rate <= patience.Seconds() {
		earliest := min(drain, patience.Seconds()/2)
		if after, ok := r.nextWithin(now, earliest, float64(s.instances)/rate, patience); ok {
			r.expect(now, after, rank)
			return after, true
		}
	}
	r.expect(now, patience, rank)
	return min(left, maxRetryAfter), false
}

// longestWait returns how many seconds the request could wait for a slot if it came back after a
// delay.
func (req *requestState) longestWait(now time.Time, after time.Duration) float64 {
	wait := req.timeLeft(now) - after.Seconds() - req.safeServiceTime
	if !req.FirstTokenDeadline.IsZero() {
		wait = min(wait, req.FirstTokenDeadline.Sub(req.Arrived).Seconds()-req.target.expectedFirstToken(now, req))
	}
	return max(wait, 0)
}
