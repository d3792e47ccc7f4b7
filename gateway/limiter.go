package gateway

import (
	"maps"
	"slices"
	"time"
)

const (
	// abandonedHold is how long an attempt that ended before its answer still counts: the
	// server may be at work on it for so long after its connection was closed.
	abandonedHold = 500 * time.Millisecond
	// refusalPause and maxRefusalPause bound how long a gateway sends a server no more than it
	// had there when it was refused.
	refusalPause    = time.Second
	maxRefusalPause = 8 * time.Second
)

// Verdict is what becomes of an attempt at a gateway.
type Verdict int

// The verdicts.
const (
	Full     Verdict = iota // it must not be sent
	Admitted                // it may be sent now
	Waiting                 // it may be sent once Release returns it
)

// Ending is how an admitted attempt ended.
type Ending int

// The endings.
const (
	Completed Ending = iota // the server's answer ended, or its connection broke
	Refused                 // the server had no room for it
	Abandoned               // this side ended it; the server may still be at work on it
)

// Limiter bounds the requests that one gateway has at each server. Requests that exceed the
// bound wait in order of arrival. It is not safe for concurrent use.
type Limiter struct{ servers map[string]*serverLoad }

// serverLoad is what the gateway has at one start of a server.
type serverLoad struct {
	share    int
	inFlight int
	held     []time.Time // until when abandoned attempts count
	waiting  []uint64

	refusals int       // without a completed attempt in between
	cap      int       // most requests in flight until capUntil
	capUntil time.Time // end of the pause after the newest refusal
}

// Request asks for an attempt to be sent to a server, of which start identifies the start. share
// is the gateway's share of the server. An attempt that may not wait is admitted at once or not
// at all. Attempts that wait longer come first: Request returns those that may be sent now, since a
// pause or the hold of an abandoned attempt has ended.
func (l *Limiter) Request(now time.Time, start string, share int, id uint64, mayWait bool) (Verdict, []uint64) {
	s := l.server(now, start)
	s.share = share
	admitted := s.admitWaiting(now)
	if len(s.waiting) == 0 && s.hasRoom(now) {
		s.inFlight++
		return Admitted, admitted
	}
	if !mayWait || len(s.waiting) >= share {
		l.forgetIdle(now, start)
		return Full, admitted
	}
	s.waiting = append(s.waiting, id)
	return Waiting, admitted
}

// Withdraw removes an attempt that waits. It reports false if Release has returned it.
func (l *Limiter) Withdraw(now time.Time, start string, id uint64) bool {
	s := l.server(now, start)
	n := slices.Index(s.waiting, id)
	if n >= 0 {
		s.waiting = slices.Delete(s.waiting, n, n+1)
	}
	l.forgetIdle(now, start)
	return n >= 0
}

// Release records the end of an admitted attempt. It returns the attempts that may be sent now.
func (l *Limiter) Release(now time.Time, start string, how Ending) (admitted []uint64) {
	s := l.server(now, start)
	s.inFlight--
	switch how {
	case Completed:
		s.refusals = 0
	case Refused:
		s.cap = s.load(now)
		s.capUntil = now.Add(min(refusalPause<<min(s.refusals, 3), maxRefusalPause))
		s.refusals++
	case Abandoned:
		s.held = append(s.held, now.Add(abandonedHold))
	}
	admitted = s.admitWaiting(now)
	l.forgetIdle(now, start)
	return admitted
}

// InFlight returns how many requests count at the server.
func (l *Limiter) InFlight(now time.Time, start string) int {
	s := l.servers[start]
	if s == nil {
		return 0
	}
	return s.load(now)
}

// server returns the state of a start of a server. A new one replaces those that are idle.
func (l *Limiter) server(now time.Time, start string) *serverLoad {
	s := l.servers[start]
	if s != nil {
		return s
	}
	if l.servers == nil {
		l.servers = map[string]*serverLoad{}
	}
	maps.DeleteFunc(l.servers, func(_ string, s *serverLoad) bool { return s.idle(now) })
	s = &serverLoad{}
	l.servers[start] = s
	return s
}

// forgetIdle drops the state of a start of a server if it is idle.
func (l *Limiter) forgetIdle(now time.Time, start string) {
	if l.servers[start].idle(now) {
		delete(l.servers, start)
	}
}

// idle reports whether nothing counts at the server any more.
func (s *serverLoad) idle(now time.Time) bool {
	return s.load(now) == 0 && len(s.waiting) == 0 && !now.Before(s.capUntil)
}

// load returns how many requests count at the server.
func (s *serverLoad) load(now time.Time) int {
	s.held = slices.DeleteFunc(s.held, func(until time.Time) bool { return !now.Before(until) })
	return s.inFlight + len(s.held)
}

// admitWaiting admits the attempts that wait, as far as there is room, and returns them.
func (s *serverLoad) admitWaiting(now time.Time) (admitted []uint64) {
	for len(s.waiting) > 0 && s.hasRoom(now) {
		admitted = append(admitted, s.waiting[0])
		s.waiting = s.waiting[1:]
		s.inFlight++
	}
	return admitted
}

func (s *serverLoad) hasRoom(now time.Time) bool {
	bound := s.share
	if now.Before(s.capUntil) {
		bound = min(bound, s.cap)
	}
	return s.load(now) < bound
}
