package relay

import "sync"

// minConsecutive is how many pairs of events without a skipped id show that a service numbers its
// events one by one.
const minConsecutive = 20

// numberings holds how services number the events of their streams. It is safe for concurrent use.
type numberings struct {
	mu       sync.Mutex
	services map[string]numbering // by name
}

// numbering is what the runs of a service's servers have shown.
type numbering struct {
	consecutive int  // pairs of events whose ids are consecutive, up to minConsecutive
	skips       bool // there was a pair whose ids aren't
}

// observe takes what the events of a stream have shown.
func (n *numberings) observe(service string, o eventOrder) {
	if o.consecutive == 0 && o.skips == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.services == nil {
		n.services = map[string]numbering{}
	}
	s := n.services[service]
	s.consecutive = min(s.consecutive+o.consecutive, minConsecutive)
	s.skips = s.skips || o.skips > 0
	n.services[service] = s
}

// consecutive reports whether a service numbers its events one by one, as far as its runs and the
// stream in hand show.
func (n *numberings) consecutive(service string, o eventOrder) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.services[service]
	if s.skips || o.skips > 0 {
		return false
	}
	return s.consecutive >= minConsecutive || o.consecutive > 0
}

// retain forgets services that are no longer configured.
func (n *numberings) retain(configured func(service string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.services {
		if !configured(name) {
			delete(n.services, name)
		}
	}
}
