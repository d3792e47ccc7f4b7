package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// GrantFor is how long a granted request may be sent, counted from the word that
	// asked for it. Unsent ones lapse: an instance that saved them up could send
	// them all at once, beside what others were granted meanwhile.
	GrantFor = time.Second
	// sharedFor is how long after the lease holder's last word an instance waits for
	// it to share out a rate limit; then it goes by its own share.
	sharedFor = 1500 * time.Millisecond
	// MostInstances is how many instances there are taken to be, where all share one
	// bound, until the lease holder has said so: as many as the system is designed for.
	MostInstances = 370
	// liftedKept is how long an instance repeats that a server names no limit any more.
	liftedKept = 30 * time.Second
)

// RateSaid is what an instance says of a server's rate limit to the lease holder.
type RateSaid struct {
	Server string
	Start  string // of the server, as Server.Start
	Limit  RateLimit
	Age    time.Duration // since an answer showed it
	Heard  bool          // an answer to this instance showed it; false: it was told
	// Waiting is how many requests wait here that could go there, and Expects how
	// many more will come within GrantFor, each in equal parts at all servers that
	// it could go to.
	Waiting int
	Expects float64
	Lapsed  int // granted requests that weren't sent in time, since this was last said
}

// RateShare is what the lease holder tells an instance of a server's rate limit.
type RateShare struct {
	Server  string
	Start   string
	Limit   RateLimit
	Age     time.Duration // since an answer to any instance showed it
	Granted int           // requests that this instance may send
}

// RateShares is all that the lease holder tells of rate limits.
type RateShares struct {
	Shares    []RateShare
	Position  int // of this instance among all, from 0
	Instances int // that there are
}

// LimitChange is a server's rate limit that differs from what was known.
type LimitChange struct {
	Server      string
	Before, Now RateLimit
	Since       time.Time // when the limit was first known
}

// limitState is what an instance knows of the rate limit that a server names. A
// limit is for all instances together: the lease holder shares it out among those
// whose requests wait. While none is heard, each instance has a turn now and then;
// by its position the turns of all follow each other evenly.
type limitState struct {
	RateLimit
	shown time.Time // when an answer, to whichever instance, last showed it
	heard bool      // that answer was to this instance
	since time.Time // when it was first known

	granted []grant // by the lease holder, those that lapse first in front
	lapsed  int     // of them, that were not sent in time and not yet said so

	turnsFrom time.Time     // no turn before it
	turnEvery time.Duration // 0: never
	sentAt    time.Time     // the last request
}

// set takes in a limit that an answer showed, and returns what that changed.
func (l *limitState) set(now time.Time, server string, limit RateLimit, shown time.Time, heard bool) LimitChange {
	if limit.Named && !l.Named {
		l.since = now
	}
	change := LimitChange{Server: server, Before: l.RateLimit, Now: limit, Since: l.since}
	l.RateLimit, l.shown, l.heard = limit, shown, heard
	return change
}

// grant is requests that the lease holder lets an instance send until a time.
type grant struct {
	requests int
	to       time.Time
}

// rationing is what an instance knows of how limits are shared out.
type rationing struct {
	toldAt    time.Time // by the lease holder
	position  float64   // of this instance among all, as a part of them
	instances int       // 0: not told
}

// shared says whether the lease holder shares limits out.
func (r *rationing) shared(now time.Time) bool {
	return !r.toldAt.IsZero() && now.Sub(r.toldAt) < sharedFor
}

func (r *rationing) count() float64 {
	if r.instances <= 0 {
		return MostInstances
	}
	return float64(r.instances)
}

// Answered takes in what an answer says of its server's rate limit, to a request
// that was sent at a time. It returns what that changed, if anything.
func (s *Scheduler) Answered(now time.Time, server string, sent time.Time, limit RateLimit, complete bool) (LimitChange, bool) {
	srv := s.fleet.servers[server]
	if srv == nil {
		return LimitChange{}, false
	}
	l := &srv.rateLimit
	// An answer without a limit may have been made before the server named one,
	// and a refusal names none.
	if !limit.Named && (!l.Named || !complete || !sent.After(l.shown)) {
		return LimitChange{}, false
	}
	change := l.set(now, server, limit, now, true)
	s.scheduleTurns(l)
	if change.Now == change.Before {
		return change, false
	}
	s.rateLimitActive = s.RateLimited() > 0
	return change, true
}

// RatesTold takes in what the lease holder told of rate limits, in answer to a word
// that was sent at a time. It returns what that changed.
func (s *Scheduler) RatesTold(now, sent time.Time, told RateShares) (changes []LimitChange, out []Decision) {
	s.out = s.out[:0]
	r := &s.rationing
	r.toldAt, r.instances = sent, told.Instances
	r.position = (float64(told.Position) + 0.5) / r.count()
	for _, share := range told.Shares {
		srv := s.fleet.servers[share.Server]
		if srv == nil || srv.Start != share.Start {
			continue
		}
		l := &srv.rateLimit
		if shown := sent.Add(-share.Age); l.RateLimit != share.Limit && shown.After(l.shown) {
			changes = append(changes, l.set(now, share.Server, share.Limit, shown, false))
		}
		if share.Granted > 0 {
			l.granted = append(l.granted, grant{share.Granted, sent.Add(GrantFor)})
		}
		s.scheduleTurns(l)
		s.pumpServer(now, srv)
	}
	s.rateLimitActive = s.RateLimited() > 0
	return changes, s.out
}

// Rates returns what this instance has to say of rate limits.
func (s *Scheduler) Rates(now time.Time) []RateSaid {
	var out []RateSaid
	for id, srv := range s.fleet.servers {
		l := &srv.rateLimit
		if !srv.listed || !l.Named && (!l.heard || now.Sub(l.shown) > liftedKept) {
			continue
		}
		said := RateSaid{Server: id, Start: srv.Start, Limit: l.RateLimit, Age: now.Sub(l.shown), Heard: l.heard}
		if l.Named && srv.takes(now) {
			said.Waiting = max(int(math.Ceil(srv.waiting()))-l.grants(now), 0)
			said.Expects = srv.expects(now)
		}
		l.grants(now)
		said.Lapsed, l.lapsed = l.lapsed, 0
		out = append(out, said)
	}
	return out
}

// RateLimited returns how many servers name a rate limit.
func (s *Scheduler) RateLimited() int {
	n := 0
	for _, srv := range s.fleet.servers {
		if srv.listed && srv.rateLimit.Named {
			n++
		}
	}
	return n
}

// Paused returns how many listed servers asked for a pause that has not ended.
func (s *Scheduler) Paused(now time.Time) int {
	n := 0
	for _, srv := range s.fleet.servers {
		if srv.listed && now.Before(srv.pausedTo) {
			n++
		}
	}
	return n
}

// takes says whether the server would get a request of this instance now, if its
// rate limit let it.
func (s *serverState) takes(now time.Time) bool {
	return !s.Leaving && s.available(now) && s.hasRoom(now, s.Slots)
}

// waiting returns how many requests wait that could go to the server, and expects how
// many more will come within GrantFor.
func (s *serverState) waiting() float64 {
	return s.share(func(t *targetState) float64 { return float64(t.queue.len()) })
}

func (s *serverState) expects(now time.Time) float64 {
	return s.share(func(t *targetState) float64 { return t.arrivals.rate(now) * GrantFor.Seconds() })
}

// grants returns how many granted requests may be sent now, and drops those that have
// lapsed.
func (l *limitState) grants(now time.Time) int {
	n := 0
	l.granted = slices.DeleteFunc(l.granted, func(g grant) bool {
		if !now.Before(g.to) {
			l.lapsed += g.requests
			return true
		}
		n += g.requests
		return g.requests == 0
	})
	return n
}

// allows says whether the instance may send the server a request now.
func (l *limitState) allows(now time.Time, r *rationing) bool {
	if !l.Named || l.grants(now) > 0 {
		return true
	}
	return !r.shared(now) && l.inUnusedTurn(now)
}

// spend takes a request that is sent from what was granted, or from the turn, and
// says whether it was granted.
func (l *limitState) spend(now time.Time) bool {
	l.sentAt = now
	if l.grants(now) == 0 {
		return false
	}
	l.granted[0].requests--
	return true
}

// limitRate returns the requests a second that the server's rate limit lets this
// instance send, if so many more wanted to: its part of all that want what the
// server serves, or its own share.
func (s *serverState) limitRate(now time.Time, r *rationing, more int) float64 {
	if !r.shared(now) {
		return s.rateLimit.PerSecond * unsharedFraction / r.count()
	}
	own := s.wanted(now) + float64(more)
	return s.rateLimit.PerSecond * own / max(own, s.quota.contending, 1)
}

// rateFilter drops servers that name a rate limit, unless it lets this instance send
// a request now. Such a server goes first: what the limit allows lapses, and only
// answers show that the limit has ended.
type rateFilter struct{}

func (rateFilter) keep(s *Scheduler, now time.Time, _ *requestState, c *candidate) bool {
	if !c.server.rateLimit.Named {
		return s.fillLevel != fillRateLimited
	}
	return s.fillLevel == fillRateLimited && c.server.rateLimit.allows(now, &s.rationing)
}

// limitAllows says whether any of the target's servers names a rate limit that lets
// this instance send a request now.
func (s *Scheduler) limitAllows(now time.Time, t *targetState) bool {
	if !s.rateLimitActive {
		return false
	}
	for i := range t.replicas {
		if l := &t.replicas[i].server.rateLimit; l.Named && l.allows(now, &s.rationing) {
			return true
		}
	}
	return false
}
