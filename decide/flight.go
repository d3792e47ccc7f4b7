package decide

import "time"

// flight is a request from its arrival to its end.
type flight struct {
	Request
	target    *targetState
	at        *serverState // where its attempt runs; nil while it waits
	sentAt    time.Time
	lined     bool // it was sent to a server's queue
	alone     bool // the server had no other prompt to read when it was sent there
	begun     bool // its first token has come
	attempts  int
	unsent    int // attempts that reached no server
	crashes   int
	delivered int          // tokens that its caller has
	avoid     *serverState // where its last attempt failed
	need      float64      // seconds that it is expected to run; 0: unknown
	safe      float64      // seconds that it will hardly run longer than
	order     float64      // its place in the queue: the latest start less its priority's head start, in Unix seconds
	place     int          // its index in the queue's heap; -1 outside
	class     int          // which heap of the queue
	missed    bool         // it can't make its goal any more
}

// late says whether the request would probably miss its deadline if it had to
// wait some more seconds first.
func (f *flight) late(now time.Time, wait float64) bool {
	if !f.StartBy.IsZero() && f.delivered == 0 && f.StartBy.Sub(now).Seconds() < wait+f.target.expectedFirstToken(now, f) {
		return true
	}
	return f.left(now) < wait+f.safe
}

// missesGoal says whether the request's first token would come after its goal
// even if it were sent now, to a server with as much to read as one may have that
// gets another prompt: those that wait are sent as servers come down to that.
func (f *flight) missesGoal(now time.Time) bool {
	return f.Goal > 0 && now.Sub(f.Arrived).Seconds()+f.target.expectedReadWait(f)+f.target.expectedFirstToken(now, f) > f.Goal.Seconds()
}

// left returns the time, in seconds, to the request's deadline.
func (f *flight) left(now time.Time) float64 { return f.Deadline.Sub(now).Seconds() }
