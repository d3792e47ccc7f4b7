package decide

import (
	"time"

	"greengageferry/infra"
)

const (
	// refusedPause and refusedPauseMax bound how long a server that refuses is left
	// alone: at first about one slot's turn, and longer the more often in a row,
	// since one that refuses all is the emptiest and would be chosen again by each
	// instance: one of 60 got 214 requests in two seconds, a tenth of all.
	refusedPause    = 100 * time.Millisecond
	refusedPauseMax = 800 * time.Millisecond
	// emptyFor is how long a server that refused a connection is taken to hold
	// nothing unless its entry shows a new start: a program that is gone loses what
	// it held, and its entry follows within two heartbeats. Requests that may be
	// sent to one server only are lost on one that came back empty: 358 in two
	// seconds after 15 of 60 had crashed.
	emptyFor = 2 * time.Second
	// emptyBounces is how many targets in a row a server has to lack to be taken for
	// one that started again unseen.
	emptyBounces = 2
	// cutServers is how many servers of a failure domain can't be reached, with no
	// answer from any other there, until the domain counts as cut off: a connection
	// that is given up on takes longer than most callers wait.
	cutServers = 3
	// cutPause and cutPauseMax bound how long a domain that is cut off is left alone
	// between two tries.
	cutPause    = 300 * time.Millisecond
	cutPauseMax = 1500 * time.Millisecond
)

// domainState is what an instance knows of the way to a failure domain.
type domainState struct {
	unreached map[string]bool // servers that weren't reached since the last answer from the domain
	tries     int             // times that it was found cut off, in a row
	cutTo     time.Time       // no request goes there before
}

// unreachable notes that a server of the domain could not be reached.
func (d *domainState) unreachable(now time.Time, server string) {
	d.unreached[server] = true
	if len(d.unreached) >= cutServers && !now.Before(d.cutTo) {
		d.cutTo = now.Add(backoff(cutPause, cutPauseMax, d.tries))
		d.tries++
	}
}

// answered notes an answer from the domain.
func (d *domainState) answered() {
	if len(d.unreached) > 0 {
		d.unreached = map[string]bool{}
	}
	d.tries, d.cutTo = 0, time.Time{}
}

// domain returns the state of a failure domain.
func (f *fleet) domain(name string) *domainState {
	d := f.domains[name]
	if d == nil {
		d = &domainState{unreached: map[string]bool{}}
		f.domains[name] = d
	}
	return d
}

// gone notes that no program listens at the server: what it held is lost.
func (s *serverState) gone(now time.Time) {
	s.emptyStart, s.emptyTo = s.Start, now.Add(emptyFor)
}

// lacked notes that the server doesn't have a target that the table has there.
func (s *serverState) lacked(now time.Time) {
	if s.lacks++; s.lacks >= emptyBounces {
		s.gone(now)
	}
}

// refusedAgain notes that the server refused a request.
func (s *serverState) refusedAgain(now time.Time) {
	s.retryAt = now.Add(backoff(refusedPause, refusedPauseMax, s.refusals))
	s.refusals++
}

// served notes that the server answered a request.
func (s *serverState) served() {
	s.failures, s.refusals, s.lacks = 0, 0, 0
	s.emptyTo = time.Time{}
}

// empty says whether the server is taken to hold nothing that it held before.
func (s *serverState) empty(now time.Time) bool {
	return now.Before(s.emptyTo) && s.Start == s.emptyStart
}

// notReached says whether a failure means that no connection was made because no
// program listens there, or that the way there is cut.
func notReached(f Failure) (gone, cut bool) {
	if !f.Unsent {
		return false, false
	}
	return f.Reason == infra.ReasonUnreachable, f.Reason == infra.ReasonTimeout
}
