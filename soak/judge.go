package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"greengageferry/platform/standin"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   string
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

const (
	// maxAttempts is how many servers may run a repeatable request, as set on the routes.
	maxAttempts = 2
	// maxModels is how many models fit into a model server's memory.
	maxModels = 2
	// lateOrderWindow is how long after a link has healed or a process has continued orders
	// from before may still arrive.
	lateOrderWindow = 300 * time.Millisecond
	// reorderSlack is how long after a configuration version was seen a request must be sent
	// to be checked against that version. Requests on two connections may overtake each
	// other.
	reorderSlack = 250 * time.Millisecond
	// A server with a rate limit may get limitRatio times the requests that the limit
	// allows in limitWindow, plus limitReserve requests. This applies from limitSettleTime
	// after the server first stated the limit, to the requests of instances that have known
	// of the limit for limitReportSlack.
	limitRatio       = 1.5
	limitWindow      = 4 * time.Second
	limitReserve     = 5
	limitSettleTime  = 3 * time.Second
	limitReportSlack = 500 * time.Millisecond
	// A server may still get requests that callers send within leavingGrace after the
	// instance has passed on an answer which reports that the server is leaving.
	leavingGrace = 2 * time.Second
	// A server may refuse at most maxPauseRequests further requests of an instance
	// between pauseSlack after a refusal with a Retry-After and the end of that pause.
	maxPauseRequests = 2
	pauseSlack       = 500 * time.Millisecond
)

// checker checks the history of one run.
type checker struct {
	history    *History
	resultByID map[string]*Result           // by request id
	runsByID   map[string][]standin.Arrival // by request id: arrivals that a server ran
	violations []Violation
}

// Check returns all violations of the rules in a history. No result depends on how fast the
// machine is.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gapsNotTold = 0
	c := &checker{history: h, resultByID: map[string]*Result{}, runsByID: map[string][]standin.Arrival{}}
	for n := range h.results {
		c.resultByID[h.results[n].Ask.ID] = &h.results[n]
	}
	for _, a := range h.arrivals {
		c.checkArrival(a)
	}
	for n := range h.results {
		c.checkResult(&h.results[n])
	}
	c.checkConfigOrder()
	c.orders()
	c.checkRetries()
	c.checkBudget()
	c.checkRateLimits()
	c.checkLeaving()
	c.checkRetryAfter()
	c.checkFalls()
	c.checkContention()
	c.checkVersions()
	return c.violations
}

// violated records a violation of a rule.
func (c *checker) violated(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// checkArrival checks one request as it reached a server.
func (c *checker) checkArrival(a standin.Arrival) {
	r := c.resultByID[a.Ask.ID]
	if r == nil {
		c.violated("only requests sent by callers reach servers", "%+v", a)
		return
	}
	if !a.Ran {
		return
	}
	got := a.Ask
	got.LastEvent, got.Timeout = r.Ask.LastEvent, r.Ask.Timeout // both differ between sendings
	if got != r.Ask {
		c.violated("requests reach servers unchanged", "sent %+v, arrived %+v", r.Ask, a.Ask)
	}
	if want := expectedService(r.Kind); a.Service != want {
		c.violated("requests are run by their route's service", "%s ran %s", a.Server, a.Ask.ID)
	}
	c.runsByID[a.Ask.ID] = append(c.runsByID[a.Ask.ID], a)
}

// expectedService returns the service that must run requests of a kind.
func expectedService(k Kind) string {
	if k.isStream() {
		return standin.ServiceEngines
	}
	return standin.ServicePlain
}

// checkResult checks one request as its caller saw it.
func (c *checker) checkResult(r *Result) {
	runs := len(c.runsByID[r.Ask.ID])
	switch {
	case r.Kind.runsOnce() && runs > 1:
		c.violated("a non-idempotent request runs at most once", "%s ran %d times", r.Ask.ID, runs)
	case runs > maxAttempts:
		c.violated("attempts are bounded", "%s ran %d times", r.Ask.ID, runs)
	}
	switch r.Status {
	case 0:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			c.violated("requests reported as not run did not run", "%s got status %d and ran", r.Ask.ID, r.Status)
		}
	case http.StatusOK:
		c.checkSuccess(r)
	case http.StatusNotFound:
		if r.Kind != KindSafe && !(r.Ask.Resumes != "" && r.Server != "") { // a server's own answer to a resumption
			c.violated("routes of every configuration are never denied", "%s got %d", r.Ask.ID, r.Status)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		c.violated("answers have only allowed status codes", "%s got %d", r.Ask.ID, r.Status)
	}
}

// checkSuccess checks that a successful answer comes from a server that ran the request, and
// that the answer is complete if it ended normally.
func (c *checker) checkSuccess(r *Result) {
	if r.EchoedID != r.Ask.ID {
		c.violated("answers belong to their request", "%s got the answer to %s", r.Ask.ID, r.EchoedID)
		return
	}
	known := false
	for _, a := range c.runsByID[r.Ask.ID] {
		known = known || a.Server == r.Server
	}
	if !known {
		c.violated("a success comes from a server that ran the request", "%s got an answer signed by %q, which did not run it", r.Ask.ID, r.Server)
	}
	if r.Kind.isStream() {
		c.checkStream(r)
		return
	}
	if want := standin.PlainBody(r.Server, r.Ask.Path); r.Err == nil && r.Body != want {
		c.violated("a success is the server's complete answer", "%s got %q", r.Ask.ID, r.Body)
	}
}

// checkConfigOrder checks that no instance returns to an older configuration without a restart.
func (c *checker) checkConfigOrder() {
	type boot struct {
		instance string
		boot     int
	}
	type seen struct {
		version int
		at      time.Time
	}
	served := map[boot][]seen{}
	for _, r := range c.history.results {
		if v, ok := routeVersion(r); ok && r.Served() {
			b := boot{r.Instance, r.Boot}
			served[b] = append(served[b], seen{v, r.Ended})
		}
	}
	for _, r := range c.history.results {
		v, ok := routeVersion(r)
		if !ok || r.Status != http.StatusNotFound {
			continue
		}
		for _, s := range served[boot{r.Instance, r.Boot}] {
			if s.version >= v && r.Sent.After(s.at.Add(reorderSlack)) {
				c.violated("configurations never revert", "%s: %s denied %s after serving version %d", r.Ask.ID, r.Instance, r.Ask.Path, s.version)
				break
			}
		}
	}
}

// routeVersion returns the version of the configuration that added a request's route.
func routeVersion(r Result) (int, bool) {
	var v int
	_, err := fmt.Sscanf(r.Ask.Path, "/v%d/", &v)
	return v, r.Kind == KindSafe && err == nil
}

// orders checks the orders that servers accepted: they stay within the server's memory,
// all orders with the same fencing token have the same holder, and no order has an older
// token than an earlier one, except for delayed orders right after a fault.
func (c *checker) orders() {
	holders := map[int64]string{}
	type start struct {
		server string
		born   time.Time
	}
	newest := map[start]int64{}
	for _, o := range c.history.orders {
		if o.Models > maxModels {
			c.violated("orders never exceed a server's memory", "%+v", o)
		}
		if h, ok := holders[o.Token]; ok && h != o.Holder {
			c.violated("a fencing token has one holder", "token %d: %s and %s", o.Token, h, o.Holder)
		}
		holders[o.Token] = o.Holder
		at := start{o.Server, o.Born}
		if o.Token < newest[at] && !c.justHealed(o.At) {
			c.violated("no order of an older lease follows an order of a newer lease", "%+v after token %d", o, newest[at])
		}
		newest[at] = max(newest[at], o.Token)
	}
}

// justHealed reports whether a fault ended less than lateOrderWindow before a time.
func (c *checker) justHealed(at time.Time) bool {
	for _, h := range c.history.heals {
		if since := at.Sub(h); since >= 0 && since < lateOrderWindow {
			return true
		}
	}
	return false
}

// checkRetries checks for each service that the repeated arrivals in any retry window are
// within the limit for all instances together. The limit depends on the requests sent in that
// window, in the one before or in the one half a window before, whichever are most.
func (c *checker) checkRetries() {
	sent := map[string][]time.Time{}
	for _, r := range c.history.results {
		sent[expectedService(r.Kind)] = append(sent[expectedService(r.Kind)], r.Sent)
	}
	first := map[string]bool{}
	again := map[string][]time.Time{}
	for _, a := range c.history.arrivals {
		if first[a.Ask.ID] {
			again[a.Service] = append(again[a.Service], a.At)
		}
		first[a.Ask.ID] = true
	}
	for name, times := range again {
		for _, end := range times {
			requests := max(countInRetryWindow(sent[name], end), countInRetryWindow(sent[name], end.Add(-retryWindow/2)), countInRetryWindow(sent[name], end.Add(-retryWindow)))
			n, allowed := countInRetryWindow(times, end), retryRatio*float64(requests)+retryReserve
			if float64(n) > allowed {
				c.violated("retries are bounded", "%s: %d retries for %d requests, %.0f allowed", name, n, requests, allowed)
				break
			}
		}
	}
}

// disruptedBetween reports whether any of the targets was disrupted between two times, so
// that the instance may not have received the server's answers in time.
func (c *checker) disruptedBetween(from, to time.Time, targets ...string) bool {
	for _, d := range c.history.disruptions {
		if d.from.Before(to) && slices.Contains(targets, d.target) && d.to.After(from) {
			return true
		}
	}
	return false
}

// countInWindow counts the times within a window that ends at end.
func countInWindow(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.After(end) && t.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

// countInRetryWindow counts the times within the retry window that ends at end.
func countInRetryWindow(times []time.Time, end time.Time) int {
	return countInWindow(times, end, retryWindow)
}
