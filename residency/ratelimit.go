package residency

import (
	"math"
	"slices"
	"strings"
	"time"

	"greengageferry/decide"
)

const (
	// grantBurst is the time whose requests may be granted at once, beside leastBurst
	// requests: the words of those that wait come that far apart, and what comes due
	// before them would be lost.
	grantBurst = 500 * time.Millisecond
	leastBurst = 2
	// limitRepeated is how long a rate limit is told on after the last word of an
	// instance that knows it.
	limitRepeated = 5 * time.Second
	// likelyPart is how many of the requests that the busiest instance expects one has
	// to expect to be granted any before they come: others' grants would mostly lapse.
	likelyPart = 0.5
	// wantFresh is how long what an instance wants counts against the others: as long
	// as it may be between two of its words.
	wantFresh = time.Second
)

// rateShares shares out the rate limits that servers name, over all instances: it
// grants single requests to the instances whose requests wait. A server's limit may
// be a request a second before hundreds of instances; equal shares would be one in
// minutes for each, and go unused where nobody asks. Grants of a lease begin at
// nothing, since the holder before may just have made some. It is not safe for
// concurrent use.
type rateShares struct {
	servers map[string]*rateShare
}

// rateShare is one server's rate limit.
type rateShare struct {
	start  string // of the server
	limit  decide.RateLimit
	shown  time.Time // when an answer to any instance showed it
	said   time.Time // when an instance last said so
	tokens float64   // requests that may be granted
	filled time.Time
	wants  map[string]rateWant // by instance
}

// rateWant is how many requests an instance wants to send: those that wait, and those
// that it expects.
type rateWant struct {
	waiting int
	expects float64
	at      time.Time
}

func newRateShares() *rateShares { return &rateShares{servers: map[string]*rateShare{}} }

// said takes in what an instance says of rate limits, and returns what it is told.
func (r *rateShares) said(now time.Time, instance string, said []decide.RateReport) []decide.RateShare {
	wants := map[string]rateWant{}
	for _, x := range said {
		r.learn(now, &x)
		wants[x.Server] = rateWant{x.Waiting, x.Expects, now}
		if s := r.servers[x.Server]; s != nil && s.start == x.Start {
			s.put(float64(x.Lapsed))
		}
	}
	var out []decide.RateShare
	for id, s := range r.servers {
		if now.Sub(s.said) > limitRepeated {
			delete(r.servers, id)
			continue
		}
		out = append(out, decide.RateShare{
			Server: id, Start: s.start, Limit: s.limit, Age: now.Sub(s.shown), Granted: s.grant(now, instance, wants[id]),
		})
	}
	slices.SortFunc(out, func(a, b decide.RateShare) int { return strings.Compare(a.Server, b.Server) })
	return out
}

// named returns the rate limits that servers name, in requests a second.
func (r *rateShares) named() map[string]float64 {
	out := map[string]float64{}
	for id, s := range r.servers {
		if s.limit.Named {
			out[id] = s.limit.PerSecond
		}
	}
	return out
}

// learn takes in what an instance knows of a server's rate limit. What it was only
// told counts where nothing else is known, as after the lease has passed on: an
// instance that keeps a limit of which it gets no share would never send the server
// anything again, and never hear that the limit has ended.
func (r *rateShares) learn(now time.Time, x *decide.RateReport) {
	s := r.servers[x.Server]
	shown := now.Add(-x.Age)
	if s == nil || s.start != x.Start && shown.After(s.shown) {
		s = &rateShare{start: x.Start, wants: map[string]rateWant{}, filled: now}
		r.servers[x.Server] = s
	}
	if s.start != x.Start {
		return
	}
	s.said = now
	if s.shown.IsZero() || x.Heard && shown.After(s.shown) {
		s.fill(now)
		s.limit, s.shown = x.Limit, shown
	}
}

// fill gives the server's share what came due. Words that wait for the lock may be
// taken in out of their order.
func (s *rateShare) fill(now time.Time) {
	if !now.After(s.filled) {
		return
	}
	s.put(now.Sub(s.filled).Seconds() * s.limit.PerSecond)
	s.filled = now
}

// put adds requests to what may be granted. They may all be granted at once, and
// those of the next seconds be sent beside them.
func (s *rateShare) put(requests float64) {
	s.tokens = min(s.tokens+requests, leastBurst+s.limit.PerSecond*grantBurst.Seconds())
}

// grant returns how many requests an instance may send: its part of what may be
// granted, by how many wait at all instances. Where none wait, what comes due beyond
// one request goes to those that expect some.
func (s *rateShare) grant(now time.Time, instance string, want rateWant) int {
	if !s.limit.Named {
		return 0
	}
	s.fill(now)
	s.wants[instance] = want
	waiting, expects := 0, 0.0
	for name, w := range s.wants {
		if now.Sub(w.at) > wantFresh {
			delete(s.wants, name)
			continue
		}
		waiting += w.waiting
		expects = max(expects, w.expects)
	}
	whole, asked := math.Floor(s.tokens), 0.0
	switch {
	case waiting > 0:
		asked = min(float64(want.waiting), math.Ceil(s.tokens*float64(want.waiting)/float64(waiting)))
	case want.expects >= expects*likelyPart:
		whole--
		asked = math.Ceil(want.expects)
	}
	n := max(min(asked, whole), 0)
	s.tokens -= n
	return int(n)
}
