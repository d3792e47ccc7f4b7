package residency

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/topology"
)

// wish is an adapter that lacks a copy.
type wish struct {
	model   *model
	adapter string
	copies  int
	waiting int
	level   float64
}

// planAdapters orders adapters to the servers that hold their model: each one
// once, those that are waited for first, and then more copies of those that are
// asked for most where places are free.
func (w *pool) planAdapters() []Order {
	wishes := w.wishes()
	slices.SortStableFunc(wishes, func(a, b wish) int {
		return cmp.Or(
			cmp.Compare(min(a.copies, 1), min(b.copies, 1)),
			cmp.Compare(b.waiting, a.waiting),
			cmp.Compare(b.level/float64(b.copies+1), a.level/float64(a.copies+1)),
		)
	})
	var out []Order
	for _, x := range wishes {
		if o, ok := w.placeAdapter(x); ok {
			out = append(out, o)
		}
	}
	return out
}

func (w *pool) wishes() []wish {
	var out []wish
	for _, m := range w.ordered {
		if len(m.replicas) == 0 {
			continue
		}
		for n := 1; n <= m.Adapters; n++ {
			x := wish{model: m, adapter: topology.AdapterName(n)}
			name := w.target(m.Name, n)
			x.level, x.waiting = w.p.demand.Level(name), w.p.demand.Waiting(name)
			for _, s := range m.replicas {
				if s.holds(m.Name, x.adapter) {
					x.copies++
				}
			}
			if x.copies == 0 || x.copies < len(m.replicas) && x.level > copyLevel*float64(x.copies) {
				out = append(out, x)
			}
		}
	}
	return out
}

// placeAdapter returns the order that brings an adapter nearer to one more copy.
func (w *pool) placeAdapter(x wish) (Order, bool) {
	var best *server
	free := 0
	for _, s := range x.model.replicas {
		if !s.free(w.now) || !s.Server.Holds(x.model.Name, "") || s.holds(x.model.Name, x.adapter) {
			continue
		}
		if n := w.engine.AdapterSlots - s.adapterCount(); n > free {
			best, free = s, n
		}
	}
	if best != nil {
		return w.orderAdapter(best, x.model.Name, x.adapter, false), true
	}
	if x.copies > 0 || x.waiting == 0 {
		return Order{}, false
	}
	return w.makeRoom(x)
}

// makeRoom returns the order that unloads the adapter that was asked for longest
// ago, at a server where the wished one could be.
func (w *pool) makeRoom(x wish) (Order, bool) {
	var at *server
	var model, adapter string
	oldest := time.Time{}
	found := false
	for _, s := range x.model.replicas {
		if !s.free(w.now) || !s.Server.Holds(x.model.Name, "") {
			continue
		}
		for _, m := range s.Models {
			for _, a := range s.adapters(m.Name) {
				name := topology.TargetName(w.service.Name, m.Name, a)
				last := w.p.demand.LastAsked(name)
				if w.p.demand.Level(name) >= busyAdapter {
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

// busyAdapter is the demand, in requests at once, above which an adapter isn't
// taken away for another.
const busyAdapter = 0.5

func (w *pool) orderAdapter(s *server, model, adapter string, unload bool) Order {
	s.sending = true
	return Order{Server: s.ID, Addr: s.Addr, Model: model, Adapter: adapter, Unload: unload, Sequence: s.sequence}
}
