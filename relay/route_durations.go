package relay

import (
	"sync"
	"time"

	"greengageferry/decide"
	"greengageferry/internal/rto"
	"greengageferry/topology"
)

// complete records that the newest attempt's answer is complete.
func (c *call) complete(o decide.Outcome) {
	if o.Complete {
		c.relay.durations.observe(c.route.Name, o.Total)
	}
	c.relay.dispatcher.completed(c, o)
}

// routeDurations holds how long requests take from their newest sending to the end of their answer, by
// route. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*rto.Estimator
}

// observe takes a request of the route into account.
func (d *routeDurations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byRoute[route]
	if e == nil {
		if d.byRoute == nil {
			d.byRoute = map[string]*rto.Estimator{}
		}
		e = rto.New(rto.Options{})
		d.byRoute[route] = e
	}
	e.Answered(took)
}

// of returns the time within which most requests of the route are answered, 0 if that isn't known.
func (d *routeDurations) of(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.byRoute[route]; e != nil {
		return e.Usual()
	}
	return 0
}

// retainListed forgets the routes that a configuration doesn't have.
func (d *routeDurations) retainListed(c *topology.Config) {
	listed := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		listed[c.Routes[i].Name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for route := range d.byRoute {
		if !listed[route] {
			delete(d.byRoute, route)
		}
	}
}
