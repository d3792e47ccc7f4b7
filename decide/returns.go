package decide

import "time"

const (
	// CallerWaitDivisor bounds the delay of a refused caller's retry: the time left until its
	// deadline, divided by this.
	CallerWaitDivisor = 3
	// returnInterval is the length of the intervals in which expected returns are counted.
	returnInterval = 250 * time.Millisecond
	// returnIntervals is the number of intervals that are kept. They span the longest delays that
	// common deadlines allow.
	returnIntervals = 32
	// returnHorizon is the number of intervals ahead for which expected returns count as arrivals.
	returnHorizon = 4
)

// returns spreads the retry times given to refused callers, one for each slot that frees,
// so that they don't all retry at once. A return is the retry of a refused caller; the instance's
// own retries of failed attempts are something else.
type returns struct {
	latest   time.Time // latest retry time given
	expected *expectedReturns
}

// expectedReturns counts the callers to which this instance gave a retry time, by that time's
// interval and by rank.
type expectedReturns struct {
	counts [returnIntervals][Ranks]uint16
	first  int64 // number of the first interval that is kept, returnHorizon before the present one
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
// maxDelay. Otherwise it leaves the caller's retry time to the next caller.
func (r *returns) nextWithin(now time.Time, earliest, gap float64, maxDelay time.Duration) (after time.Duration, ok bool) {
	before := r.latest
	if after = r.next(now, earliest, gap); after <= maxDelay {
		return after, true
	}
	r.latest = before
	return 0, false
}

// expect counts a caller that was told to retry after a delay.
func (r *returns) expect(now time.Time, after time.Duration, rank int) {
	if r.expected == nil {
		r.expected = &expectedReturns{}
	}
	e := r.expected
	e.advance(now)
	if n := intervalNumber(now.Add(after)); n < e.first+returnIntervals {
		e.counts[n%returnIntervals][rank]++
	}
}

// increase returns by how much the rate of returns, per second, of the rank and of more urgent ones
// will rise within returnHorizon. Recent returns are part of the measured arrivals already.
func (r *returns) increase(now time.Time, rank int) float64 {
	if r.expected == nil {
		return 0
	}
	e := r.expected
	e.advance(now)
	more := e.count(e.first+returnHorizon, rank) - e.count(e.first, rank)
	return max(float64(more), 0) / (returnHorizon * returnInterval.Seconds())
}

// count returns the number of returns, of the rank and of more urgent ones, in returnHorizon
// intervals, the first of which is from.
func (e *expectedReturns) count(from int64, rank int) int {
	sum := 0
	for n := from; n < from+returnHorizon; n++ {
		for _, count := range e.counts[n%returnIntervals][:rank+1] {
			sum += int(count)
		}
	}
	return sum
}

// advance drops the intervals that are more than returnHorizon ago.
func (e *expectedReturns) advance(now time.Time) {
	first := intervalNumber(now) - returnHorizon
	for n := max(e.first, first-returnIntervals); n < first; n++ {
		e.counts[n%returnIntervals] = [Ranks]uint16{}
	}
	e.first = max(e.first, first)
}

// intervalNumber returns the number of the interval that contains t.
func intervalNumber(t time.Time) int64 { return t.UnixNano() / int64(returnInterval) }

// retryTime is when refused callers may retry, by this instance's own queue.
type retryTime struct {
	earliest float64 // seconds from now
	gap      float64 // seconds between two callers
}

// refuseLate refuses a request that would wait too long for a slot, with a retry time. own is the
// retry time by this instance's own queue, used unless the backlog estimate applies.
func (s *Scheduler) refuseLate(now time.Time, req *requestState, wait float64, own retryTime, backlog *backlogEstimate) {
	t := req.target
	in := t.refusalInputs(now, wait, backlog.applies)
	var after time.Duration
	switch {
	case backlog.applies:
		after, in.Shared.RoomOnReturn = s.sharedRetryAfter(now, req, backlog)
	case s.roomByRank:
		after = t.returns.next(now, max(own.earliest, wait), own.gap)
	default:
		after = t.returns.next(now, own.earliest, own.gap)
	}
	s.refuse(req, ReasonDeadline, after)
	refusal := &s.out[len(s.out)-1].Inputs
	in.ServiceTime, in.RoomByRank, in.Late = refusal.ServiceTime, refusal.RoomByRank, refusal.Late
	*refusal = in
}

// sharedRetryAfter returns the retry delay of a refused caller, by the backlog at all instances. It is
// when that backlog has drained, or has become short enough for the caller to wait behind it, and
// after the retry times given to earlier callers. Each instance gives out its equal part of the
// starts. room is false if there will be no room before the caller's latest retry; the delay then
// extends to the deadline, so that the caller doesn't retry only to be refused again.
func (s *Scheduler) sharedRetryAfter(now time.Time, req *requestState, backlog *backlogEstimate) (after time.Duration, room bool) {
	r, rank := &req.target.returns, RankIndex(req.Rank)
	left := max(req.Deadline.Sub(now), minRetryAfter)
	maxDelay := left / CallerWaitDivisor
	drain, rate := backlog.timeToDrain(rank)
	tolerableBacklog := req.longestWait(now, maxDelay) * backlog.starts[rank]
	if rate > 0 && drain-tolerableBacklog/rate <= maxDelay.Seconds() {
		earliest := min(drain, maxDelay.Seconds()/2)
		if after, ok := r.nextWithin(now, earliest, float64(s.instances)/rate, maxDelay); ok {
			r.expect(now, after, rank)
			return after, true
		}
	}
	r.expect(now, maxDelay, rank)
	return min(left, maxRetryAfter), false
}

// longestWait returns how many seconds the request could wait for a slot if its caller retried after
// a delay.
func (req *requestState) longestWait(now time.Time, after time.Duration) float64 {
	wait := req.timeLeft(now) - after.Seconds() - req.safeServiceTime
	if !req.FirstTokenDeadline.IsZero() {
		wait = min(wait, req.FirstTokenDeadline.Sub(req.Arrived).Seconds()-req.target.expectedFirstToken(now, req))
	}
	return max(wait, 0)
}
