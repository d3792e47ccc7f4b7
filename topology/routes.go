package topology

import (
	"slices"
	"strings"
)

// Index finds the route of a request. It is immutable.
type Index struct {
	hosts map[string]*hostRoutes
}

// hostRoutes holds a host's routes by prefix, and the lengths of the prefixes. A lookup
// costs one map access for each length instead of one comparison for each of hundreds of
// routes.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []int // descending
}

// NewIndex returns an index of a configuration's routes.
func NewIndex(routes []Route) *Index {
	x := &Index{hosts: map[string]*hostRoutes{}}
	for i := range routes {
		x.add(&routes[i])
	}
	return x
}

func (x *Index) add(r *Route) {
	host := strings.ToLower(r.Host)
	h := x.hosts[host]
	if h == nil {
		h = &hostRoutes{byPrefix: map[string]*Route{}}
		x.hosts[host] = h
	}
	h.byPrefix[r.Prefix] = r
	n := len(r.Prefix)
	at := 0
	for at < len(h.lengths) && h.lengths[at] > n {
		at++
	}
	if at == len(h.lengths) || h.lengths[at] != n {
		h.lengths = append(h.lengths[:at], append([]int{n}, h.lengths[at:]...)...)
	}
}

// Match returns the route of the host with the longest matching path prefix, or nil. The
// host may include a port.
func (x *Index) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	h := x.hosts[host]
	if h == nil {
		return nil
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r := h.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// Serves reports whether the route's requests may go to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Choices, func(c Choice) bool { return c.Service == service })
}

// Pick returns one of the route's services, chosen by weight. draw is a random number in
// [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, c := range r.Choices {
		sum += c.Weight
	}
	at := draw * sum
	for _, c := range r.Choices {
		if at -= c.Weight; at < 0 {
			return c.Service
		}
	}
	return r.Choices[len(r.Choices)-1].Service
}
