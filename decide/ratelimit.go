package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// GrantTTL is how long a granted request may be sent, counted from the time at
	// which the instance asked for it. Unused grants expire: an instance that saved
	// them up could send them all at once, on top of newer grants to others.
	GrantTTL = time.Second
	// sharesTTL is how long an instance relies on the lease holder to share out rate
	// limits without hearing from it. After that it uses a share of its own.
	sharesTTL = 1500 * time.Millisecond
	// MaxInstances is the number of instances that is assumed for a bound shared by
	// all, until the lease holder has reported it: the system's design limit.
	MaxInstances = 370
	// liftReportTTL is how long an instance keeps reporting that a server no longer
	// names a limit.
	liftReportTTL = 30 * time.Second
)

// RateReport is an instance's report on a server's rate limit to the lease holder.
type RateReport struct {
	Server       string
	Start        string // see Server.Start
	Limit        RateLimit
	Age          time.Duration // since an answer showed the limit
	ObservedHere bool          // an answer to this instance showed the limit; false: the lease holder reported it
	// Waiting is the number of requests queued here that could go to the server, and
	// Expected how many more are expected within GrantTTL. Each request is
	// divided equally among all servers that it could go to.
	Waiting  int
	Expected float64
	Expired  int // granted requests that weren't sent in time, since the previous report
}

// RateShare is an instance's share of a server's rate limit, from the lease holder.
type RateShare struct {
	Server  string
	Start   string
	Limit   RateLimit
	Age     time.Duration // since an answer to any instance showed the limit
	Granted int           // requests that this instance may send
}

// RateShares is everything that the lease holder tells an instance about rate limits.
type RateShares struct {
	Shares    []RateShare
	Position  int // this instance's index among all instances
	Instances int // number of instances; 0: the lease holder hasn't counted all yet
}

// LimitChange is a change of a server's known rate limit.
type LimitChange struct {
	Server      string
	Before, Now RateLimit
	Since       time.Time // when the server first named a limit, as far as known
}

// limitState is an instance's state of the rate limit that a server names. A limit
// applies to all instances together. The lease holder shares it out among the instances
// with waiting requests. Without a lease holder each instance sends in periodic turns;
// the offset by its position spreads the turns of all instances evenly.
type limitState struct {
	RateLimit
	observedAt   time.Time // when an answer to any instance last showed the limit
	observedHere bool      // that answer went to this instance
	namedSince   time.Time // when the server first named a limit, as far as known

	grants  []grant // from the lease holder, those that expire first in front
	expired int     // granted requests that weren't sent in time and aren't reported yet

	turnsStart   time.Time     // start of the first turn
	turnInterval time.Duration // 0: no turns
	lastSentAt   time.Time     // when the last request was sent
}

// update sets a limit that an answer showed, and returns the change.
func (l *limitState) update(now time.Time, server string, limit RateLimit, observedAt time.Time, observedHere bool) LimitChange {
	if limit.Named && !l.Named {
		l.namedSince = now
	}
	change := LimitChange{Server: server, Before: l.RateLimit, Now: limit, Since: l.namedSince}
	l.RateLimit, l.observedAt, l.observedHere = limit, observedAt, observedHere
	return change
}

// grant is a number of requests that the instance may send until the grant expires.
type grant struct {
	requests int
	expires  time.Time
}

// rateSharing is an instance's state of how rate limits are shared out.
type rateSharing struct {
	updatedAt time.Time // send time of the last report that the lease holder answered
	position  float64   // this instance's position among all, from 0 to 1
	instances int       // 0: unknown
}

// active reports whether the lease holder shares limits out.
func (r *rateSharing) active(now time.Time) bool {
	return !r.updatedAt.IsZero() && now.Sub(r.updatedAt) < sharesTTL
}

func (r *rateSharing) instanceCount() float64 {
	if r.instances <= 0 {
		return MaxInstances
	}
	return float64(r.instances)
}

// ObserveRateLimit records the rate limit in an answer of the server to a request that
// was sent at sent. It returns the change and whether there was one.
func (s *Scheduler) ObserveRateLimit(now time.Time, server string, sent time.Time, limit RateLimit, complete bool) (LimitChange, bool) {
	srv := s.fleet.servers[server]
	if srv == nil {
		return LimitChange{}, false
	}
	l := &srv.rateLimit
	// An answer without a limit may predate the server's limit, and refusals name none.
	if !limit.Named && (!l.Named || !complete || !sent.After(l.observedAt)) {
		return LimitChange{}, false
	}
	change := l.update(now, server, limit, now, true)
	s.scheduleTurns(l)
	if change.Now == change.Before {
		return change, false
	}
	s.rateLimitActive = s.RateLimitedServers() > 0
	return change, true
}

// ApplyRateShares records the lease holder's rate shares, which answer a report that was
// sent at sent. It returns the changed limits and the decisions that follow.
func (s *Scheduler) ApplyRateShares(now, sent time.Time, shares RateShares) (changes []LimitChange, out []Decision) {
	s.out = s.out[:0]
	r := &s.rateSharing
	r.updatedAt = sent
	if shares.Instances > 0 {
		r.instances = shares.Instances
		r.position = (float64(shares.Position) + 0.5) / r.instanceCount()
	}
	for _, share := range shares.Shares {
		srv := s.fleet.servers[share.Server]
		if srv == nil || srv.Start != share.Start {
			continue
		}
		l := &srv.rateLimit
		if observedAt := sent.Add(-share.Age); l.RateLimit != share.Limit && observedAt.After(l.observedAt) {
			changes = append(changes, l.update(now, share.Server, share.Limit, observedAt, false))
		}
		if share.Granted > 0 {
			l.grants = append(l.grants, grant{share.Granted, sent.Add(GrantTTL)})
		}
		s.scheduleTurns(l)
		s.dequeueForServer(now, srv)
	}
	s.rateLimitActive = s.RateLimitedServers() > 0
	return changes, s.out
}

// RateReports returns this instance's reports for the lease holder.
func (s *Scheduler) RateReports(now time.Time) []RateReport {
	var out []RateReport
	for id, srv := range s.fleet.servers {
		l := &srv.rateLimit
		if !srv.listed || !l.Named && (!l.observedHere || now.Sub(l.observedAt) > liftReportTTL) {
			continue
		}
		report := RateReport{Server: id, Start: srv.Start, Limit: l.RateLimit, Age: now.Sub(l.observedAt), ObservedHere: l.observedHere}
		if l.Named && srv.acceptsIgnoringLimit(now) {
			report.Waiting = max(int(math.Ceil(srv.waitingRequests()))-l.activeGrants(now), 0)
			report.Expected = srv.expectedArrivals(now)
		}
		l.activeGrants(now)
		report.Expired, l.expired = l.expired, 0
		out = append(out, report)
	}
	return out
}

// RateLimitedServers returns the number of listed servers that name a rate limit.
func (s *Scheduler) RateLimitedServers() int {
	n := 0
	for _, srv := range s.fleet.servers {
		if srv.listed && srv.rateLimit.Named {
			n++
		}
	}
	return n
}

// PausedServers returns the number of listed servers whose requested pause has not ended.
func (s *Scheduler) PausedServers(now time.Time) int {
	n := 0
	for _, srv := range s.fleet.servers {
		if srv.listed && now.Before(srv.pausedUntil) {
			n++
		}
	}
	return n
}

// acceptsIgnoringLimit reports whether the server could get a request from this instance
// now, apart from its rate limit.
func (s *serverState) acceptsIgnoringLimit(now time.Time) bool {
	return !s.Leaving && s.available(now) && s.hasRoom(now, s.Slots)
}

// waitingRequests returns the number of queued requests that could go to the server,
// each divided equally among the servers of its target.
func (s *serverState) waitingRequests() float64 {
	return s.sumOverTargets(func(t *targetState) float64 { return float64(t.queue.len()) })
}

// expectedArrivals returns the number of requests that could go to the server and are
// expected within GrantTTL, divided in the same way.
func (s *serverState) expectedArrivals(now time.Time) float64 {
	return s.sumOverTargets(func(t *targetState) float64 { return t.arrivalRate.rate(now) * GrantTTL.Seconds() })
}

// activeGrants returns how many granted requests may be sent now, and removes expired
// grants.
func (l *limitState) activeGrants(now time.Time) int {
	n := 0
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool {
		if !now.Before(g.expires) {
			l.expired += g.requests
			return true
		}
		n += g.requests
		return g.requests == 0
	})
	return n
}

// allows reports whether the instance may send the server a request now.
func (l *limitState) allows(now time.Time, r *rateSharing) bool {
	if !l.Named || l.activeGrants(now) > 0 {
		return true
	}
	return !r.active(now) && l.inUnusedTurn(now)
}

// consume charges a sent request to a grant or else to the turn, and reports whether it
// was granted.
func (l *limitState) consume(now time.Time) bool {
	l.lastSentAt = now
	if l.activeGrants(now) == 0 {
		return false
	}
	l.grants[0].requests--
	return true
}

// allowedRate returns the requests per second that the server's rate limit allows this
// instance, assuming that it has more additional requests to send. It is proportional to
// its part of all requests for the server's targets, or its own share while the lease
// holder doesn't share limits out.
func (s *serverState) allowedRate(now time.Time, r *rateSharing, more int) float64 {
	if !r.active(now) {
		return s.rateLimit.PerSecond * unsharedFraction / r.instanceCount()
	}
	own := s.demand(now) + float64(more)
	return s.rateLimit.PerSecond * own / max(own, s.quota.contending, 1)
}

// rateFilter drops servers that name a rate limit, unless the limit allows this instance
// a request now. Such servers are tried first, since the allowance expires and only
// answers show that the limit has ended.
type rateFilter struct{}

func (rateFilter) keep(s *Scheduler, now time.Time, _ *requestState, c *candidate) bool {
	if !c.server.rateLimit.Named {
		return s.fillLevel != fillRateLimited
	}
	return s.fillLevel == fillRateLimited && c.server.rateLimit.allows(now, &s.rateSharing)
}

// limitAllows reports whether any of the target's servers names a rate limit that allows
// this instance a request now.
func (s *Scheduler) limitAllows(now time.Time, t *targetState) bool {
	if !s.rateLimitActive {
		return false
	}
	for i := range t.replicas {
		if l := &t.replicas[i].server.rateLimit; l.Named && l.allows(now, &s.rateSharing) {
			return true
		}
	}
	return false
}
