package decide

import "time"

// requestState tracks a request from arrival to completion.
type requestState struct {
	Request
	target          *targetState
	dispatchedTo    *serverState // where the current attempt runs; nil while queued
	dispatchedAt    time.Time
	queuedAtServer  bool // the server had no free slot at dispatch
	prefilledAlone  bool // the server had no other prompt to prefill at dispatch
	firstTokenSeen  bool // the first token of the attempt has arrived
	attempts        int
	unsentAttempts  int // attempts that reached no server
	crashes         int
	deliveredTokens int          // tokens that the caller has received
	failedServer    *serverState // server of the last failed attempt, not to be retried at once
	heldTokens      int          // tokens that the request adds to dispatchedTo.heldTokens
	serviceTime     float64      // expected service time in seconds; 0: unknown
	safeServiceTime float64      // upper estimate of the service time in seconds
	queueKey        float64      // lowest is served first: latest start minus the priority's head start, in Unix seconds
	heapIndex       int          // index in the queue's heap; -1: not queued
	class           int          // queue class, an index of queue.heaps
	draw            float64      // uniformly random, 0 to 1; see fitsUrgent
	goalMissed      bool         // Request.Goal can't be met any more
}

// wouldMissDeadline reports whether the request would probably miss its deadline, or the
// deadline of its first token, if it first waited for the given seconds.
func (req *requestState) wouldMissDeadline(now time.Time, wait float64) bool {
	if !req.FirstTokenDeadline.IsZero() && req.deliveredTokens == 0 && req.FirstTokenDeadline.Sub(now).Seconds() < wait+req.target.expectedFirstToken(now, req) {
		return true
	}
	return req.timeLeft(now) < wait+req.safeServiceTime
}

// wouldMissGoal reports whether the first token would come after its goal even if the
// request were dispatched now to a server with the largest prefill backlog that still
// admits another prompt. Queued requests are dispatched when a server's backlog falls to
// that limit.
func (req *requestState) wouldMissGoal(now time.Time) bool {
	return req.Goal > 0 && now.Sub(req.Arrived).Seconds()+req.target.expectedReadWait(req)+req.target.expectedFirstToken(now, req) > req.Goal.Seconds()
}

// timeLeft returns the seconds to the deadline.
func (req *requestState) timeLeft(now time.Time) float64 { return req.Deadline.Sub(now).Seconds() }
