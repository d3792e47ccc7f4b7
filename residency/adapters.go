package residency

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/topology"
)

// adapterShortage describes an adapter that lacks a copy.
type adapterShortage struct {
	model       *model
	adapter     string
	copies      int
	waiting     int
	concurrency float64
	version     string // software version of the servers that lack it; empty: of all
}

// planAdapters orders adapter loads on the servers that hold the adapter's model: first
// one copy of each adapter, starting with those that requests wait for, then more
// copies of those with the highest demand if slots are free.
func (w *pool) planAdapters() []Order {
	adapterShortages := w.adapterShortages()
	slices.SortStableFunc(adapterShortages, func(a, b adapterShortage) int {
		return cmp.Or(
			cmp.Compare(min(a.copies, 1), min(b.copies, 1)),
			cmp.Compare(b.waiting, a.waiting),
			cmp.Compare(b.concurrency/float64(b.copies+1), a.concurrency/float64(a.copies+1)),
		)
	})
	var out []Order
	for _, shortage := range adapterShortages {
		if o, ok := w.placeAdapter(shortage); ok {
			out = append(out, o)
		}
	}
	return out
}

// adapterShortages returns the adapters without a copy or with demand for one more.
func (w *pool) adapterShortages() []adapterShortage {
	var out []adapterShortage
	for _, m := range w.modelList {
		if len(m.replicas) == 0 {
			continue
		}
		for n := 1; n <= m.Adapters; n++ {
			shortage := adapterShortage{model: m, adapter: topology.AdapterName(n)}
			name := w.targetName(m.Name, n)
			shortage.concurrency, shortage.waiting = w.p.demand.Concurrency(name), w.p.demand.Waiting(name)
			for _, version := range w.p.demand.Versions(name) {
				at := topology.VersionTarget(name, version)
				shortage.concurrency += w.p.demand.Concurrency(at)
				shortage.waiting += w.p.demand.Waiting(at)
			}
			for _, s := range m.replicas {
				if s.holds(m.Name, shortage.adapter) {
					shortage.copies++
				}
			}
			if shortage.copies == 0 || shortage.copies < len(m.replicas) && shortage.concurrency > demandPerCopy*float64(shortage.copies) {
				out = append(out, shortage)
			}
			out = append(out, w.versionShortages(m, n)...)
		}
	}
	return out
}

// versionShortages returns the software versions at which streams of a model's nth adapter wait
// that no server of that version holds.
func (w *pool) versionShortages(m *model, n int) []adapterShortage {
	var out []adapterShortage
	name, adapter := w.targetName(m.Name, n), topology.AdapterName(n)
	for _, version := range w.p.demand.Versions(name) {
		waiting := w.p.demand.Waiting(topology.VersionTarget(name, version))
		held := slices.ContainsFunc(m.replicas, func(s *server) bool {
			return s.SoftwareVersion == version && s.holds(m.Name, adapter)
		})
		if waiting > 0 && !held {
			out = append(out, adapterShortage{model: m, adapter: adapter, waiting: waiting, version: version})
		}
	}
	return out
}

// excludes reports whether the shortage isn't one of the server's software version.
func (a *adapterShortage) excludes(s *server) bool {
	return a.version != "" && a.version != s.SoftwareVersion
}

// placeAdapter returns an order toward one more copy of an adapter: a load, or an
// unload that frees a slot.
func (w *pool) placeAdapter(shortage adapterShortage) (Order, bool) {
	var best *server
	available := 0
	for _, s := range shortage.model.replicas {
		if shortage.excludes(s) || !s.available(w.now) || !s.Server.Holds(shortage.model.Name, "") || s.holds(shortage.model.Name, shortage.adapter) {
			continue
		}
		if n := w.engine.AdapterSlots - s.adapterCount(); n > available {
			best, available = s, n
		}
	}
	if best != nil {
		return w.orderAdapter(best, shortage.model.Name, shortage.adapter, false), true
	}
	if shortage.copies > 0 || shortage.waiting == 0 {
		return Order{}, false
	}
	return w.evictAdapter(shortage)
}

// evictAdapter returns the order to unload the least recently requested adapter from a
// server that could hold the missing one.
func (w *pool) evictAdapter(shortage adapterShortage) (Order, bool) {
	var at *server
	var model, adapter string
	oldest := time.Time{}
	found := false
	for _, s := range shortage.model.replicas {
		if shortage.excludes(s) || !s.available(w.now) || !s.Server.Holds(shortage.model.Name, "") {
			continue
		}
		for _, m := range s.Models {
			for _, a := range s.adapters(m.Name) {
				name := topology.TargetName(w.service.Name, m.Name, a)
				last := w.p.demand.LastRequested(name)
				if w.p.demand.Concurrency(name) >= busyAdapterDemand {
					continue
				}
				if !found || last.Before(oldest) {
					at, model, adapter, oldest, found = s, m.Name, a, last, true
				}
			}
		}
	}
	if !found {
		return Order{}, false
	}
	return w.orderAdapter(at, model, adapter, true), true
}

// busyAdapterDemand is the demand, in concurrent requests, from which an adapter isn't
// evicted for another.
const busyAdapterDemand = 0.5

// orderAdapter returns an adapter order to a server and marks a call to the server as
// in flight.
func (w *pool) orderAdapter(s *server, model, adapter string, unload bool) Order {
	s.callInFlight = true
	return Order{Server: s.ID, Addr: s.Addr, Model: model, Adapter: adapter, Unload: unload, Sequence: s.sequence}
}
