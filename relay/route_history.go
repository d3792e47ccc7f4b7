package relay

import (
	"slices"
	"sync"
	"time"

	"greengageferry/topology"
)

// routeHistory holds when routes were last led to other services. It is safe for concurrent use.
type routeHistory struct {
	mu       sync.Mutex
	services map[string][]string  // names of the services, by route
	movedAt  map[string]time.Time // by route that this instance has seen moved
}

// update takes over a configuration that has just come into force.
func (h *routeHistory) update(now time.Time, c *topology.Config) {
	services, movedAt := map[string][]string{}, map[string]time.Time{}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Retry != topology.Resumable {
			continue
		}
		services[r.Name] = servicesOf(r)
		before, known := h.services[r.Name]
		if at, moved := h.movedAt[r.Name]; moved {
			movedAt[r.Name] = at
		}
		if known && !slices.Equal(before, services[r.Name]) {
			movedAt[r.Name] = now
		}
	}
	h.services, h.movedAt = services, movedAt
}

// servicesOf returns the sorted names of the services that a route leads to.
func servicesOf(r *topology.Route) []string {
	var names []string
	for _, c := range r.Choices {
		names = append(names, c.Service)
	}
	slices.Sort(names)
	return names
}

// movedWithin reports whether a route was led to other services within a time.
func (h *routeHistory) movedWithin(now time.Time, route string, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, moved := h.movedAt[route]
	return moved && now.Sub(at) < d
}
