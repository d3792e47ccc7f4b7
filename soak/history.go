package soak

import (
	"sync"
	"time"

	"greengageferry/platform/standin"
)

// Kind is what may be done with a request.
type Kind int

// The kinds of request.
const (
	KindUnsafe Kind = iota // runs once at most
	KindSafe
	KindStream // may be resumed
)

// Result is one request as its caller saw it.
type Result struct {
	Ask      standin.Ask
	Kind     Kind
	Instance string
	Boot     int // of the instance's program when the request was sent
	Sent     time.Time
	Ended    time.Time
	Status   int    // 0: no answer
	Answers  string // the id of the request that the answer says it is for
	Server   string // whose proof the answer bears
	Limited  bool   // the answer names its server's rate limit
	Leaving  bool   // the answer reports that its server is leaving
	Body     string
	Err      error // the answer didn't end in order
}

// Served says whether the request got a success that ended in order.
func (r *Result) Served() bool { return r.Err == nil && r.Status/100 == 2 }

// History is what callers and servers saw. It implements standin.Observer.
type History struct {
	mu          sync.Mutex
	arrivals    []standin.Arrival
	orders      []standin.Order
	results     []Result
	heals       []time.Time // when a link healed or a process went on
	disruptions []disruption
	versions    map[int]time.Time
}

func newHistory() *History { return &History{versions: map[int]time.Time{}} }

// Arrived implements standin.Observer.
func (h *History) OnRequest(a standin.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

// Ordered implements standin.Observer.
func (h *History) OnOrder(o standin.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, o)
}

func (h *History) ended(r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

func (h *History) healed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heals = append(h.heals, time.Now())
}

// disruption is a period in which an instance was suspended or a server's link was faulty.
type disruption struct {
	target   string // the instance's name or the server's id
	from, to time.Time
}

// disrupted records a disruption of an instance, by name, or of a server, by id.
func (h *History) disrupted(target string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptions = append(h.disruptions, disruption{target, from, to})
}

func (h *History) configured(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[version] = time.Now()
}

// since returns the results that were sent at or after a time.
func (h *History) since(t time.Time) []Result {
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
