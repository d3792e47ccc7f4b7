package soak

import (
	"sync"
	"time"

	"greengageferry/platform/standin"
)

// Kind says whether a request may be repeated or resumed.
type Kind int

// The kinds of request.
const (
	KindUnsafe     Kind = iota // must run at most once
	KindSafe                   // may be repeated
	KindStream                 // an event stream that may be resumed
	KindOnceStream             // an event stream that must run at most once
)

// isStream reports whether requests of the kind are answered by event streams.
func (k Kind) isStream() bool { return k == KindStream || k == KindOnceStream }

// runsOnce reports whether requests of the kind must run at most once.
func (k Kind) runsOnce() bool { return k == KindUnsafe || k == KindOnceStream }

// Result is one request as its caller saw it.
type Result struct {
	Ask      standin.Ask
	Kind     Kind
	Instance string
	Boot     int // number of starts of the instance when the request was sent
	// InstanceStarted is when the instance last started before the request was sent.
	InstanceStarted time.Time
	Sent            time.Time
	Ended           time.Time
	Status          int    // 0: no answer
	EchoedID        string // request id in the answer
	Server          string // id of the server that signed the answer; empty: the instance itself answered
	RateLimited     bool   // the answer states its server's rate limit
	Leaving         bool   // the answer reports that its server is leaving
	Body            string
	Err             error // not nil if the answer is missing or did not end normally
}

// Served reports whether the request succeeded and its answer ended normally.
func (r *Result) Served() bool { return r.Err == nil && r.Status/100 == 2 }

// History records what callers and servers saw during a run. It implements standin.Observer.
type History struct {
	mu          sync.Mutex
	arrivals    []standin.Arrival
	orders      []standin.Order
	results     []Result
	heals       []time.Time // ends of faults
	disruptions []disruption
	configTimes map[int]time.Time // when each configuration version was written

	falls          []fall
	brittlePeriods []brittlePeriod
	contended      []contendedPeriod
	gapsNotTold    int // lost events that no instance could tell; see checkStream
}

// resumptions returns how often servers were asked to go on with a stream.
func (h *History) resumptions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.arrivals {
		if a.Ran && a.Ask.LastEvent != "" {
			n++
		}
	}
	return n
}

func newHistory() *History { return &History{configTimes: map[int]time.Time{}} }

// OnRequest implements standin.Observer.
func (h *History) OnRequest(a standin.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

// OnOrder implements standin.Observer.
func (h *History) OnOrder(o standin.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, o)
}

// newestHolder returns the holder that sent the newest order, "" if there was none.
func (h *History) newestHolder() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.orders) == 0 {
		return ""
	}
	return h.orders[len(h.orders)-1].Holder
}

// addResult records a request as its caller saw it.
func (h *History) addResult(r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

// addHeal records the end of a fault.
func (h *History) addHeal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heals = append(h.heals, time.Now())
}

// disruption is a period in which an instance was suspended or a server's link was faulty.
type disruption struct {
	target   string // the instance's name or the server's id
	from, to time.Time
}

// addDisruption records a disruption of an instance, by name, or of a server, by id.
func (h *History) addDisruption(target string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptions = append(h.disruptions, disruption{target, from, to})
}

// addConfigVersion records the time of writing a configuration version.
func (h *History) addConfigVersion(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configTimes[version] = time.Now()
}

// resultsSince returns the results of requests sent at or after a time.
func (h *History) resultsSince(t time.Time) []Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Result
	for _, r := range h.results {
		if !r.Sent.Before(t) {
			out = append(out, r)
		}
	}
	return out
}
