package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"greengageferry/decide"
)

const (
	// grantBurstTime is the time whose requests may be granted at once, in addition to
	// minGrantBurst requests. Reports from instances with waiting requests are that far
	// apart, and what accrues between them would otherwise be lost.
	grantBurstTime = 500 * time.Millisecond
	minGrantBurst  = 2
	// limitExpiry is how long a rate limit is kept after the last report from an
	// instance that knows it.
	limitExpiry = 5 * time.Second
	// minExpectedShare is the share of the largest number of requests expected by any
	// instance that an instance has to expect to be granted requests in advance. Grants
	// to the others would mostly lapse.
	minExpectedShare = 0.5
	// rateDemandExpiry is how long an instance's demand counts against the others': the
	// maximum time between two of its reports.
	rateDemandExpiry = time.Second
)

// rateAllocator allocates the rate limits that servers state among all instances. It
// grants single requests to the instances whose requests wait: a server may allow one
// request per second for hundreds of instances, and an equal share would be one request
// in minutes for each, unused where there is no demand. The grants of a lease start
// from zero, since the previous holder may have just made some. It is not safe for
// concurrent use.
type rateAllocator struct {
	servers map[string]*serverRateLimit
}

// serverRateLimit is the state of one server's rate limit.
type serverRateLimit struct {
	start      string // identifies the server's start
	limit      decide.RateLimit
	shownAt    time.Time // when an answer to any instance stated the limit
	reported   time.Time // when an instance last reported the limit
	tokens     float64   // requests that may be granted
	refilledAt time.Time
	demand     map[string]rateDemand // by instance
}

// rateDemand is how many requests an instance has waiting, and how many more it
// expects.
type rateDemand struct {
	waiting  int
	expected float64
	at       time.Time
}

// newRateAllocator returns an allocator that knows no limits.
func newRateAllocator() *rateAllocator { return &rateAllocator{servers: map[string]*serverRateLimit{}} }

// reported processes an instance's report on rate limits and returns its shares.
func (r *rateAllocator) reported(now time.Time, instance string, reported []decide.RateReport) []decide.RateShare {
	demands := map[string]rateDemand{}
	for _, report := range reported {
		r.updateLimit(now, &report)
		demands[report.Server] = rateDemand{report.Waiting, report.Expected, now}
		if s := r.servers[report.Server]; s != nil && s.start == report.Start {
			s.addTokens(float64(report.Expired))
		}
	}
	var out []decide.RateShare
	for id, s := range r.servers {
		if now.Sub(s.reported) > limitExpiry {
			delete(r.servers, id)
			continue
		}
		out = append(out, decide.RateShare{
			Server: id, Start: s.start, Limit: s.limit, Age: now.Sub(s.shownAt), Granted: s.grant(now, instance, demands[id]),
		})
	}
	slices.SortFunc(out, func(a, b decide.RateShare) int { return strings.Compare(a.Server, b.Server) })
	return out
}

// limits returns the rate limits that servers state, in requests per second by server.
func (r *rateAllocator) limits() map[string]float64 {
	out := map[string]float64{}
	for id, s := range r.servers {
		if s.limit.Named {
			out[id] = s.limit.PerSecond
		}
	}
	return out
}

// updateLimit processes what an instance knows of a server's rate limit. A limit that
// the instance received only from a lease holder counts if no other is known, as after
// a change of the lease holder. Otherwise an instance that keeps the limit but gets no
// share of it would never send the server anything again, and never learn that the
// limit has ended.
func (r *rateAllocator) updateLimit(now time.Time, report *decide.RateReport) {
	s := r.servers[report.Server]
	shownAt := now.Add(-report.Age)
	if s == nil || s.start != report.Start && shownAt.After(s.shownAt) {
		s = &serverRateLimit{start: report.Start, demand: map[string]rateDemand{}, refilledAt: now}
		r.servers[report.Server] = s
	}
	if s.start != report.Start {
		return
	}
	s.reported = now
	if s.shownAt.IsZero() || report.ObservedHere && shownAt.After(s.shownAt) {
		s.refill(now)
		s.limit, s.shownAt = report.Limit, shownAt
	}
}

// refill adds the tokens that have accrued. Reports that wait for the lock may be
// processed out of order.
func (s *serverRateLimit) refill(now time.Time) {
	if !now.After(s.refilledAt) {
		return
	}
	s.addTokens(now.Sub(s.refilledAt).Seconds() * s.limit.PerSecond)
	s.refilledAt = now
}

// addTokens adds requests that may be granted, up to the burst. The whole burst may be
// granted at once, and the requests of the next seconds be sent in addition.
func (s *serverRateLimit) addTokens(n float64) {
	s.tokens = min(s.tokens+n, minGrantBurst+s.limit.PerSecond*grantBurstTime.Seconds())
}

// grant returns how many requests an instance may send: its part of the available
// tokens, in proportion to the requests waiting at all instances. If none wait, tokens
// beyond one request go to instances that expect requests.
func (s *serverRateLimit) grant(now time.Time, instance string, own rateDemand) int {
	if !s.limit.Named {
		return 0
	}
	s.refill(now)
	s.demand[instance] = own
	waiting, expected := 0, 0.0
	for name, w := range s.demand {
		if now.Sub(w.at) > rateDemandExpiry {
			delete(s.demand, name)
			continue
		}
		waiting += w.waiting
		expected = max(expected, w.expected)
	}
	available, granted := math.Floor(s.tokens), 0.0
	switch {
	case waiting > 0:
		granted = min(float64(own.waiting), math.Ceil(s.tokens*float64(own.waiting)/float64(waiting)))
	case own.expected >= expected*minExpectedShare:
		available--
		granted = math.Ceil(own.expected)
	}
	n := max(min(granted, available), 0)
	s.tokens -= n
	return int(n)
}
