package soak

import (
	"time"

	"greengageferry/platform/standin"
)

// checkRateLimits checks that servers which stated a rate limit got no more requests than the
// limit allows from all instances that had passed on an answer with the limit. Faults of
// instances are no excuse.
func (c *checker) checkRateLimits() {
	type start struct {
		server string
		since  time.Time
	}
	reported := c.firstLimitReports()
	got := map[start][]time.Time{}
	violated := map[start]bool{}
	for _, a := range c.history.arrivals {
		r := c.resultByID[a.Ask.ID]
		if a.Limit.PerSecond <= 0 || r == nil {
			continue
		}
		at, ok := reported[limitReporter{a.Server, r.Instance, r.Boot}]
		if !ok || a.At.Sub(at) < limitReportSlack {
			continue
		}
		s := start{a.Server, a.Limit.Since}
		got[s] = append(got[s], a.At)
		limit := limitRatio*a.Limit.PerSecond*limitWindow.Seconds() + limitReserve
		if n := countInWindow(got[s], a.At, limitWindow); a.At.Sub(s.since) > limitSettleTime && float64(n) > limit && !violated[s] {
			violated[s] = true
			c.violated("a server's rate limit is respected", "%s, with a limit of %.1f requests per second, got %d requests in %s", a.Server, a.Limit.PerSecond, n, limitWindow)
		}
	}
}

// checkLeaving checks that an instance stops sending new requests to a server within
// leavingGrace of passing on an answer which reports that the server is leaving.
func (c *checker) checkLeaving() {
	reported := map[startPair]time.Time{}
	for _, a := range c.history.arrivals {
		r := c.resultByID[a.Ask.ID]
		if r == nil || !r.Leaving || r.Server != a.Server {
			continue
		}
		pair := startPairOf(a, r)
		if at, ok := reported[pair]; !ok || r.Ended.Before(at) {
			reported[pair] = r.Ended
		}
	}
	for _, a := range c.history.arrivals {
		r := c.resultByID[a.Ask.ID]
		if !a.Leaving || r == nil {
			continue
		}
		at, ok := reported[startPairOf(a, r)]
		if delay := r.Sent.Sub(at); ok && delay > leavingGrace && !c.disruptedBetween(at, a.At, a.Server, r.Instance) {
			c.violated("servers get no new requests after their answers say that they are leaving", "%s received %s from %s, sent %s after an answer that says so", a.Server, r.Ask.ID, r.Instance, delay)
		}
	}
}

// checkRetryAfter checks that instances hold off requests to a server for the Retry-After of its
// refusals, apart from maxPauseRequests.
func (c *checker) checkRetryAfter() {
	type refusal struct {
		at       time.Time
		pause    time.Duration
		requests int // refused between pauseSlack after it and the end of the pause
	}
	refusals, violated := map[startPair][]*refusal{}, map[startPair]bool{}
	for _, a := range c.history.arrivals {
		r := c.resultByID[a.Ask.ID]
		if r == nil || a.RetryAfter <= 0 {
			continue
		}
		pair := startPairOf(a, r)
		for _, earlier := range refusals[pair] {
			if since := a.At.Sub(earlier.at); since > pauseSlack && since < earlier.pause && !c.disruptedBetween(earlier.at, a.At, a.Server, r.Instance) {
				if earlier.requests++; earlier.requests > maxPauseRequests && !violated[pair] {
					violated[pair] = true
					c.violated("the Retry-After of servers is honored", "%s received %d requests from %s within a pause of %s", a.Server, earlier.requests, r.Instance, earlier.pause)
				}
			}
		}
		refusals[pair] = append(refusals[pair], &refusal{at: a.At, pause: a.RetryAfter})
	}
}

// startPair is a start of a server and a start of an instance that sends it requests.
// A server may start again under its id, and its earlier answers then no longer apply.
type startPair struct {
	server   string
	born     time.Time
	instance string
	boot     int
}

func startPairOf(a standin.Arrival, r *Result) startPair {
	return startPair{a.Server, a.Born, r.Instance, r.Boot}
}

// limitReporter is a start of an instance that passes on a server's answers.
type limitReporter struct {
	server, instance string
	boot             int
}

// firstLimitReports returns when each start of an instance had passed on a server's first
// answer that states a rate limit.
func (c *checker) firstLimitReports() map[limitReporter]time.Time {
	reported := map[limitReporter]time.Time{}
	for _, r := range c.history.results {
		t := limitReporter{r.Server, r.Instance, r.Boot}
		if at, ok := reported[t]; r.RateLimited && (!ok || r.Ended.Before(at)) {
			reported[t] = r.Ended
		}
	}
	return reported
}
