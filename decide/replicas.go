package decide

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/infra"
)

const (
	// homePatience is how long a domain waits for each domain that ranks before
	// it to place a model that is nowhere: several plans of the home, and far
	// less than the minutes that a lost domain lasts.
	homePatience = 10 * time.Second
	// firstGain orders first replicas before everything else: a model without
	// one can't be reached.
	firstGain = 1000.0
	// versionGain orders new versions before further replicas.
	versionGain = 100.0
	// secondGain is the worth of a second replica, in requests a second: what
	// an ordinary model would lose while its only server restarts.
	secondGain = 0.05
)

// The reasons of moves.
const (
	moveUndeclared = "undeclared"
	moveFirst      = "first_replica"
	moveVersion    = "version"
	moveSecond     = "second_replica"
	moveDemand     = "demand"
	moveRoom       = "make_room"
)

// dropUndeclared drops what the configuration no longer has, and adapters whose
// model has gone from beside them.
func (w *planView) dropUndeclared() {
	for _, s := range w.servers {
		for _, i := range slices.Clone(s.items) {
			if !w.declared(i) || i.Adapter != "" && !s.has(i.Model) {
				w.drop(s, i, moveUndeclared)
			}
		}
	}
}

func (w *planView) declared(i infra.Item) bool {
	if _, ok := w.in.Config.Models[i.Model]; !ok {
		return false
	}
	if i.Adapter == "" {
		return true
	}
	a, ok := w.in.Config.Adapters[i.Adapter]
	return ok && a.Model == i.Model
}

// placeFirst places what this domain should have the only replica of, the
// largest first, so that they still fit. It says whether nothing is missing.
func (w *planView) placeFirst() bool {
	complete := true
	for _, name := range w.bySize() {
		if !w.wantsFirst(name) {
			continue
		}
		if !w.place(name, moveFirst, firstGain) {
			complete = false
			w.makeRoom(name, moveFirst)
		}
	}
	for _, name := range sortedNames(w.in.Config.Adapters) {
		if w.wantsFirst(name) && !w.place(name, moveFirst, firstGain) {
			complete = false
			w.makeRoom(name, moveFirst)
		}
	}
	return complete
}

// bySize returns the models, those that take most with their adapters first.
func (w *planView) bySize() []string {
	names := sortedNames(w.in.Config.Models)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(w.bundleSize(b), w.bundleSize(a)) })
	return names
}

// bundleSize returns the memory, in MiB, of a model with its adapters.
func (w *planView) bundleSize(model string) int64 {
	size := w.in.Config.Models[model].MiB
	for _, a := range w.adapters[model] {
		size += w.in.Config.Adapters[a].MiB
	}
	return size
}

// rank returns the domain's place among the model's homes; -1: none of them.
func (w *planView) rank(model string) (rank, of int) {
	h := w.p.homes.get(w.in.Config, w.in.Domains, model)
	return slices.Index(h, w.in.Domain), len(h)
}

// wantsFirst says whether the domain should place the name's only replica: it
// is the home, or those that rank before it had their time.
func (w *planView) wantsFirst(name string) bool {
	if len(w.replicas[name]) > 0 || w.in.Elsewhere[name] > 0 {
		delete(w.p.missing, name)
		return false
	}
	rank, _ := w.rank(w.item(name).Model)
	if rank < 0 {
		return false
	}
	since, ok := w.p.missing[name]
	if !ok {
		since = w.in.Now
		w.p.missing[name] = since
	}
	return w.in.Now.Sub(since) >= time.Duration(rank)*homePatience
}

// wantsSecond says whether the domain should place the name's second replica:
// it is one of the two domains that rank first, or the only one.
func (w *planView) wantsSecond(name string) bool {
	here := len(w.replicas[name])
	rank, of := w.rank(w.item(name).Model)
	if rank < 0 || here+w.in.Elsewhere[name] != 1 {
		return false
	}
	return here == 0 && rank <= 1 || of == 1
}

// placeSecond places second replicas where memory is free.
func (w *planView) placeSecond() {
	for _, name := range w.bySize() {
		if w.wantsSecond(name) {
			w.place(name, moveSecond, secondGain)
		}
	}
	for _, name := range sortedNames(w.in.Config.Adapters) {
		if w.wantsSecond(name) && w.beside(name) {
			w.place(name, moveSecond, secondGain)
		}
	}
}

// beside says whether some server has the adapter's model and not the adapter.
func (w *planView) beside(adapter string) bool {
	return slices.ContainsFunc(w.replicas[w.item(adapter).Model], func(s *planServer) bool { return s.open && !s.has(adapter) })
}

// place adds the name to the best open server that it fits, an adapter beside
// its model, or with it where none has room.
func (w *planView) place(name, reason string, gain float64) bool {
	items, s := w.bestServer(name)
	return s != nil && w.add(s, items, reason, gain)
}

// bestServer returns where one more replica of the name goes now, and the items
// to add there.
func (w *planView) bestServer(name string) ([]infra.Item, *planServer) {
	item := w.item(name)
	var best *planServer
	for _, s := range w.servers {
		if s.open && !s.has(name) && w.fits(s, item) && (best == nil || w.better(s, best, item.Model)) {
			best = s
		}
	}
	if best == nil {
		return nil, nil
	}
	if item.Adapter != "" && !best.has(item.Model) {
		return []infra.Item{w.item(item.Model), item}, best
	}
	return []infra.Item{item}, best
}

// fits says whether the item fits the server, with its model where that has to
// come along.
func (w *planView) fits(s *planServer, item infra.Item) bool {
	size := item.MiB
	if item.Adapter != "" && !s.has(item.Model) {
		size += w.in.Config.Models[item.Model].MiB
	}
	return s.free >= size && w.allows(s, item.Model, size)
}

// better prefers, for an adapter, a server that has its model; for a model one
// that has room for its adapters too; then the less loaded; then the emptier.
func (w *planView) better(a, b *planServer, model string) bool {
	if x, y := a.has(model), b.has(model); x != y {
		return x
	}
	size := w.bundleSize(model)
	if x, y := a.free >= size, b.free >= size; x != y {
		return x
	}
	if x, y := pressureStep(a), pressureStep(b); x != y {
		return x < y
	}
	return a.free > b.free
}

// pressureStep rounds a server's load, so that noise doesn't decide.
func pressureStep(s *planServer) int { return int(s.pressure * 5) }
