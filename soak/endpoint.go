package soak

import (
	"time"

	"greengageferry/platform/standin"
)

// Crash stops an endpoint's server without notice and resets its connections. The server's
// entry stays in the store until it expires.
func (d *Deployment) Crash(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.down.Store(true)
	e.server.Load().Stop()
	e.link.Set(LinkState{Refuse: true})
}

// Restart starts a server without models in place of a crashed one: under the same id or, if
// otherService is set, under a new id as a server of the other service. Restart does nothing
// if the endpoint's server has not crashed.
func (d *Deployment) Restart(e *endpoint, otherService bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !e.down.Load() {
		return
	}
	id, service := e.opts.ID, e.opts.Service
	if otherService {
		e.server.Load().Remove()
		id, service = "", standin.OtherService(service)
	}
	d.startServer(e, id, service)
}

// restoreService starts a server of the endpoint's own service if overlapping faults left one
// of the other service there. Otherwise a service could be left with one server, and
// refusals while that server leaves would be correct.
func (d *Deployment) restoreService(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.opts.Service == e.homeService {
		return
	}
	e.server.Load().Remove()
	e.link.Reset()
	d.startServer(e, "", e.homeService)
}

// Replace drains an endpoint's server and starts a new one of the same service after
// delay. Until then, the old server can complete its requests in flight.
func (d *Deployment) Replace(e *endpoint, delay time.Duration) {
	server := e.server.Load()
	server.Drain()
	time.Sleep(delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.down.Load() || e.server.Load() != server {
		return // crashed or replaced meanwhile
	}
	server.Remove()
	e.link.Reset()
	d.startServer(e, "", e.opts.Service)
}

// End ends an endpoint's server without notice, as Crash does, but in such a way that its
// connections are closed in good order: between two events, nothing on them shows that more was to
// come.
func (d *Deployment) End(e *endpoint) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.down.Store(true)
	e.server.Load().Stop()
	return e.link.End()
}
