package relay

import (
	"sync"
	"time"

	"greengageferry/topology"
)

// refusedWeightsTTL is how long a server's refusal of a version is remembered. By then the list of
// servers shows what the server holds.
const refusedWeightsTTL = 3 * time.Second

// refusedWeights remembers which servers, though listed with a version of a model's weights, turned
// out not to have it, so that one refusal is enough for all requests. It also wakes requests that
// wait for servers at a version. It is safe for concurrent use.
type refusedWeights struct {
	mu      sync.Mutex
	until   map[refusedVersion]time.Time
	changed chan struct{} // closed at the next change; nil: nobody waits
}

// refusedVersion is a version of a model's weights that a start of a server turned out not to have.
type refusedVersion struct {
	server  topology.ServerStart
	model   string
	version int64
}

// add records that a server doesn't have a version.
func (r *refusedWeights) add(now time.Time, v refusedVersion) {
	r.mu.Lock()
	if r.until == nil {
		r.until = map[refusedVersion]time.Time{}
	}
	for old, until := range r.until {
		if now.After(until) {
			delete(r.until, old)
		}
	}
	r.until[v] = now.Add(refusedWeightsTTL)
	r.mu.Unlock()
	r.wake()
}

// has reports whether a server is known not to have a version that it is listed with.
func (r *refusedWeights) has(now time.Time, v refusedVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, found := r.until[v]
	return found && now.Before(until)
}

// any reports whether some server is known not to have the version of the model that it is listed with.
func (r *refusedWeights) any(now time.Time, model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for v, until := range r.until {
		if v.model == model && now.Before(until) {
			return true
		}
	}
	return false
}

// wait returns a channel that is closed once the versions that servers hold may have changed.
func (r *refusedWeights) wait() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// wake closes the channel that wait has returned.
func (r *refusedWeights) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
