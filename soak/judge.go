package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"greengageferry/platform/standin"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

const (
	// mostAttempts is how many servers may run a repeatable request: the routes'.
	mostAttempts = 2
	// mostModels is how many models fit into an engine's memory.
	mostModels = 2
	// thawTime is how long after a heal, or a process that went on, orders from
	// before may still arrive.
	thawTime = 300 * time.Millisecond
	// regressSlack is how much later than a version was seen a request must be
	// sent to be held to it: two requests over two connections may overtake.
	regressSlack = 250 * time.Millisecond
	// A server that names a rate limit may get limitRatio times what that allows in
	// limitWindow, and limitReserve requests: from limitStable after it named it on,
	// of the instances that have known it for toldSlack.
	limitRatio   = 1.5
	limitWindow  = 4 * time.Second
	limitReserve = 5
	limitStable  = 3 * time.Second
	toldSlack    = 500 * time.Millisecond
	// A server may still get requests that callers send within leavingGrace after the
	// instance has passed on an answer which reports that the server is leaving.
	leavingGrace = 2 * time.Second
	// A server may refuse at most maxPauseRequests further requests of an instance
	// between pauseSlack after a refusal with a Retry-After and the end of that pause.
	maxPauseRequests = 2
	pauseSlack       = 500 * time.Millisecond
)

// judge holds what one run showed, prepared for the checks.
type judge struct {
	history    *History
	asked      map[string]*Result           // by request
	ran        map[string][]standin.Arrival // by request
	violations []Violation
}

// Judge returns each promise that a history shows broken. None of its verdicts
// depends on how fast the machine is.
func Judge(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := &judge{history: h, asked: map[string]*Result{}, ran: map[string][]standin.Arrival{}}
	for n := range h.results {
		j.asked[h.results[n].Ask.ID] = &h.results[n]
	}
	for _, a := range h.arrivals {
		j.arrival(a)
	}
	for n := range h.results {
		j.result(&h.results[n])
	}
	j.versions()
	j.orders()
	j.retries()
	j.limits()
	j.leaving()
	j.pauses()
	return j.violations
}

func (j *judge) broken(promise, format string, args ...any) {
	j.violations = append(j.violations, Violation{promise, fmt.Sprintf(format, args...)})
}

// arrival checks one request as it reached a server.
func (j *judge) arrival(a standin.Arrival) {
	r := j.asked[a.Ask.ID]
	if r == nil {
		j.broken("only what callers sent reaches servers", "%+v", a)
		return
	}
	if !a.Ran {
		return
	}
	got := a.Ask
	got.LastEvent, got.Timeout = "", r.Ask.Timeout
	if got != r.Ask {
		j.broken("requests reach servers unchanged", "sent %+v, arrived %+v", r.Ask, a.Ask)
	}
	if want := service(r.Kind); a.Service != want {
		j.broken("requests are run by their route's service", "%s ran %s", a.Server, a.Ask.ID)
	}
	j.ran[a.Ask.ID] = append(j.ran[a.Ask.ID], a)
}

func service(k Kind) string {
	if k == KindStream {
		return standin.ServiceEngines
	}
	return standin.ServicePlain
}

// result checks one request as its caller saw it.
func (j *judge) result(r *Result) {
	runs := len(j.ran[r.Ask.ID])
	switch {
	case r.Kind == KindUnsafe && runs > 1:
		j.broken("what may not be repeated runs once", "%s ran %d times", r.Ask.ID, runs)
	case runs > mostAttempts:
		j.broken("attempts are bounded", "%s ran %d times", r.Ask.ID, runs)
	}
	switch r.Status {
	case 0:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if r.Kind == KindUnsafe && runs > 0 {
			j.broken("what is said not to have run didn't", "%s got %d and ran", r.Ask.ID, r.Status)
		}
	case http.StatusOK:
		j.success(r)
	case http.StatusNotFound:
		if r.Kind != KindSafe {
			j.broken("what every configuration allows isn't denied", "%s got %d", r.Ask.ID, r.Status)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		j.broken("statuses are those that are promised", "%s got %d", r.Ask.ID, r.Status)
	}
}

// success checks a success: whose it is, and that it is whole where it looks so.
func (j *judge) success(r *Result) {
	if r.Answers != r.Ask.ID {
		j.broken("answers belong to their request", "%s got the answer to %s", r.Ask.ID, r.Answers)
		return
	}
	known := false
	for _, a := range j.ran[r.Ask.ID] {
		known = known || a.Server == r.Server
	}
	if !known {
		j.broken("a success is a server's own", "%s names %q", r.Ask.ID, r.Server)
	}
	if r.Kind == KindStream {
		j.stream(r)
		return
	}
	if want := standin.PlainBody(r.Server, r.Ask.Path); r.Err == nil && r.Body != want {
		j.broken("a success is the server's whole answer", "%s got %q", r.Ask.ID, r.Body)
	}
}

// stream checks that no event is missing, doubled or of another run.
func (j *judge) stream(r *Result) {
	events := strings.Split(r.Body, "\n\n")
	last := len(events) - 1 // what follows the last whole event
	for n, e := range events[:last] {
		want := "id: " + strconv.Itoa(n+1) + "\ndata: " + standin.EventData(n+1)
		if e != want {
			j.broken("streams keep their order", "%s: event %d is %q", r.Ask.ID, n+1, e)
			return
		}
	}
	if r.Err == nil && (last != streamEvents || events[last] != "") {
		j.broken("a stream that looks complete is", "%s ended after %d events", r.Ask.ID, last)
	}
}

// versions checks that no start of an instance goes back to an older configuration.
func (j *judge) versions() {
	type boot struct {
		instance string
		boot     int
	}
	type seen struct {
		version int
		at      time.Time
	}
	served := map[boot][]seen{}
	for _, r := range j.history.results {
		if v, ok := versionOf(r); ok && r.Served() {
			b := boot{r.Instance, r.Boot}
			served[b] = append(served[b], seen{v, r.Ended})
		}
	}
	for _, r := range j.history.results {
		v, ok := versionOf(r)
		if !ok || r.Status != http.StatusNotFound {
			continue
		}
		for _, s := range served[boot{r.Instance, r.Boot}] {
			if s.version >= v && r.Sent.After(s.at.Add(regressSlack)) {
				j.broken("configurations don't go back", "%s: %s denied %s after it had served version %d", r.Ask.ID, r.Instance, r.Ask.Path, s.version)
				break
			}
		}
	}
}

// versionOf returns the version of the configuration that brought a request's route.
func versionOf(r Result) (int, bool) {
	var v int
	_, err := fmt.Sscanf(r.Ask.Path, "/v%d/", &v)
	return v, r.Kind == KindSafe && err == nil
}

// orders checks what servers were ordered: within their memory, by one holder
// for each fencing token, and never by an older one after a newer.
func (j *judge) orders() {
	holders := map[int64]string{}
	type start struct {
		server string
		born   time.Time
	}
	newest := map[start]int64{}
	for _, o := range j.history.orders {
		if o.Models > mostModels {
			j.broken("servers aren't ordered beyond their memory", "%+v", o)
		}
		if h, ok := holders[o.Token]; ok && h != o.Holder {
			j.broken("a fencing token has one holder", "%d: %s and %s", o.Token, h, o.Holder)
		}
		holders[o.Token] = o.Holder
		at := start{o.Server, o.Born}
		if o.Token < newest[at] && !j.justHealed(o.At) {
			j.broken("no order of an older lease follows one of a newer", "%+v after %d", o, newest[at])
		}
		newest[at] = max(newest[at], o.Token)
	}
}

func (j *judge) justHealed(at time.Time) bool {
	for _, h := range j.history.heals {
		if since := at.Sub(h); since >= 0 && since < thawTime {
			return true
		}
	}
	return false
}

// retries checks, for each service and each window, that what arrives again is
// within the bound on all instances together.
func (j *judge) retries() {
	sent := map[string][]time.Time{}
	for _, r := range j.history.results {
		sent[service(r.Kind)] = append(sent[service(r.Kind)], r.Sent)
	}
	first := map[string]bool{}
	again := map[string][]time.Time{}
	for _, a := range j.history.arrivals {
		if first[a.Ask.ID] {
			again[a.Service] = append(again[a.Service], a.At)
		}
		first[a.Ask.ID] = true
	}
	for name, times := range again {
		for _, end := range times {
			requests := max(within(sent[name], end), within(sent[name], end.Add(-retryWindow)))
			if n := within(times, end); float64(n) > retryRatio*float64(requests)+retryReserve {
				j.broken("retries are bounded", "%s: %d again beside %d requests", name, n, requests)
				break
			}
		}
	}
}

// limits checks that servers which named a rate limit got no more than it allows,
// over all the instances that had passed on an answer that names it. No fault of an
// instance excuses it here.
func (j *judge) limits() {
	type start struct {
		server string
		since  time.Time
	}
	told := j.toldLimits()
	got := map[start][]time.Time{}
	broken := map[start]bool{}
	for _, a := range j.history.arrivals {
		r := j.asked[a.Ask.ID]
		if a.Limit.PerSecond <= 0 || r == nil {
			continue
		}
		at, ok := told[teller{a.Server, r.Instance, r.Boot}]
		if !ok || a.At.Sub(at) < toldSlack {
			continue
		}
		s := start{a.Server, a.Limit.Since}
		got[s] = append(got[s], a.At)
		most := limitRatio*a.Limit.PerSecond*limitWindow.Seconds() + limitReserve
		if n := recent(got[s], a.At, limitWindow); a.At.Sub(s.since) > limitStable && float64(n) > most && !broken[s] {
			broken[s] = true
			j.broken("a server's rate limit is kept", "%s, which named %.1f a second, got %d in %s", a.Server, a.Limit.PerSecond, n, limitWindow)
		}
	}
}

// leaving checks that an instance stops sending new requests to a server within
// leavingGrace of passing on an answer which reports that the server is leaving.
func (j *judge) leaving() {
	told := map[startPair]time.Time{}
	for _, a := range j.history.arrivals {
		r := j.asked[a.Ask.ID]
		if r == nil || !r.Leaving || r.Server != a.Server {
			continue
		}
		pair := startPairOf(a, r)
		if at, ok := told[pair]; !ok || r.Ended.Before(at) {
			told[pair] = r.Ended
		}
	}
	for _, a := range j.history.arrivals {
		r := j.asked[a.Ask.ID]
		if !a.Leaving || r == nil {
			continue
		}
		at, ok := told[startPairOf(a, r)]
		if delay := r.Sent.Sub(at); ok && delay > leavingGrace && !j.disruptedBetween(at, a.At, a.Server, r.Instance) {
			j.broken("servers get no new requests after their answers say that they are leaving", "%s received %s from %s, sent %s after an answer that says so", a.Server, r.Ask.ID, r.Instance, delay)
		}
	}
}

// pauses checks that instances hold off requests to a server for the Retry-After of its
// refusals, apart from maxPauseRequests.
func (j *judge) pauses() {
	type refusal struct {
		at       time.Time
		pause    time.Duration
		requests int // refused between pauseSlack after it and the end of the pause
	}
	refusals, broken := map[startPair][]*refusal{}, map[startPair]bool{}
	for _, a := range j.history.arrivals {
		r := j.asked[a.Ask.ID]
		if r == nil || a.RetryAfter <= 0 {
			continue
		}
		pair := startPairOf(a, r)
		for _, earlier := range refusals[pair] {
			if since := a.At.Sub(earlier.at); since > pauseSlack && since < earlier.pause && !j.disruptedBetween(earlier.at, a.At, a.Server, r.Instance) {
				if earlier.requests++; earlier.requests > maxPauseRequests && !broken[pair] {
					broken[pair] = true
					j.broken("the Retry-After of servers is honored", "%s received %d requests from %s within a pause of %s", a.Server, earlier.requests, r.Instance, earlier.pause)
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

// disruptedBetween reports whether any of the targets was disrupted between two times, so
// that the instance may not have received the server's answers in time.
func (j *judge) disruptedBetween(from, to time.Time, targets ...string) bool {
	for _, d := range j.history.disruptions {
		if d.from.Before(to) && slices.Contains(targets, d.target) && d.to.After(from) {
			return true
		}
	}
	return false
}

// teller is a start of an instance that passes on a server's answers.
type teller struct {
	server, instance string
	boot             int
}

// toldLimits returns when each start of an instance had passed on a server's first
// answer that names a rate limit.
func (j *judge) toldLimits() map[teller]time.Time {
	told := map[teller]time.Time{}
	for _, r := range j.history.results {
		t := teller{r.Server, r.Instance, r.Boot}
		if at, ok := told[t]; r.Limited && (!ok || r.Ended.Before(at)) {
			told[t] = r.Ended
		}
	}
	return told
}

// recent counts the times within a window that ends at end.
func recent(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.After(end) && t.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

// within counts the times in the retries' window that ends at end.
func within(times []time.Time, end time.Time) int { return recent(times, end, retryWindow) }
