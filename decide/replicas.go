package decide

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/infra"
)

const (
	// homeTakeoverDelay is how long a domain waits, per domain that ranks before
	// it, for them to place a model that has no replica. It covers several plans
	// and is much shorter than the loss of a domain, which lasts minutes.
	homeTakeoverDelay = 10 * time.Second
	// firstReplicaGain ranks first replicas before all other moves, since a model
	// without a replica is unavailable.
	firstReplicaGain = 1000.0
	// versionGain ranks new versions before additional replicas.
	versionGain = 100.0
	// secondReplicaGain is the value of a second replica, in requests per second:
	// what an ordinary model would lose while its only server restarts.
	secondReplicaGain = 0.05
)

// The values of Move.Reason.
const (
	moveUndeclared    = "undeclared"
	moveFirstReplica  = "first_replica"
	moveVersion       = "version"
	moveSecondReplica = "second_replica"
	moveDemand        = "demand"
	moveMakeRoom      = "make_room"
)

// dropUndeclared drops items that the configuration no longer declares, and adapters
// whose model is no longer on the same server.
func (w *planState) dropUndeclared() {
	for _, s := range w.servers {
		for _, i := range slices.Clone(s.items) {
			if !w.declared(i) || i.Adapter != "" && !s.has(i.Model) {
				w.drop(s, i, moveUndeclared)
			}
		}
	}
}

func (w *planState) declared(i infra.Item) bool {
	if _, ok := w.input.Config.Models[i.Model]; !ok {
		return false
	}
	if i.Adapter == "" {
		return true
	}
	a, ok := w.input.Config.Adapters[i.Adapter]
	return ok && a.Model == i.Model
}

// placeFirstReplicas places the first replicas that this domain is responsible for.
// The largest models go first, while they still fit. It reports whether all were placed.
func (w *planState) placeFirstReplicas() bool {
	complete := true
	for _, name := range w.modelsBySize() {
		if !w.wantsFirstReplica(name) {
			continue
		}
		if !w.place(name, moveFirstReplica, firstReplicaGain) {
			complete = false
			w.makeRoom(name, moveFirstReplica)
		}
	}
	for _, name := range sortedNames(w.input.Config.Adapters) {
		if w.wantsFirstReplica(name) && !w.place(name, moveFirstReplica, firstReplicaGain) {
			complete = false
			w.makeRoom(name, moveFirstReplica)
		}
	}
	return complete
}

// modelsBySize returns the models, the largest including their adapters first.
func (w *planState) modelsBySize() []string {
	names := sortedNames(w.input.Config.Models)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(w.bundleSize(b), w.bundleSize(a)) })
	return names
}

// bundleSize returns the memory, in MiB, of a model and its adapters.
func (w *planState) bundleSize(model string) int64 {
	size := w.input.Config.Models[model].MiB
	for _, a := range w.adapters[model] {
		size += w.input.Config.Adapters[a].MiB
	}
	return size
}

// rank returns the domain's rank among the model's homes, -1 if it isn't one, and the
// number of homes.
func (w *planState) rank(model string) (rank, count int) {
	h := w.p.homes.get(w.input.Config, w.input.Domains, model)
	return slices.Index(h, w.input.Domain), len(h)
}

// wantsFirstReplica reports whether the domain should place the name's first replica:
// it is the home, or the domains that rank before it have had homeTakeoverDelay each.
func (w *planState) wantsFirstReplica(name string) bool {
	if len(w.replicas[name]) > 0 || w.input.OtherDomainReplicas[name] > 0 {
		delete(w.p.missingSince, name)
		return false
	}
	rank, _ := w.rank(w.item(name).Model)
	if rank < 0 {
		return false
	}
	since, ok := w.p.missingSince[name]
	if !ok {
		since = w.input.Now
		w.p.missingSince[name] = since
	}
	return w.input.Now.Sub(since) >= time.Duration(rank)*homeTakeoverDelay
}

// wantsSecondReplica reports whether the domain should place the name's second
// replica: it has none and is one of the two highest-ranked domains, or it is the only
// domain.
func (w *planState) wantsSecondReplica(name string) bool {
	here := len(w.replicas[name])
	rank, count := w.rank(w.item(name).Model)
	if rank < 0 || here+w.input.OtherDomainReplicas[name] != 1 {
		return false
	}
	return here == 0 && rank <= 1 || count == 1
}

// placeSecondReplicas places second replicas where memory is free.
func (w *planState) placeSecondReplicas() {
	for _, name := range w.modelsBySize() {
		if w.wantsSecondReplica(name) {
			w.place(name, moveSecondReplica, secondReplicaGain)
		}
	}
	for _, name := range sortedNames(w.input.Config.Adapters) {
		if w.wantsSecondReplica(name) && w.hasModelHost(name) {
			w.place(name, moveSecondReplica, secondReplicaGain)
		}
	}
}

// hasModelHost reports whether some assignable server has the adapter's model but not
// the adapter.
func (w *planState) hasModelHost(adapter string) bool {
	return slices.ContainsFunc(w.replicas[w.item(adapter).Model], func(s *planServer) bool { return s.assignable && !s.has(adapter) })
}

// place adds the name to the best assignable server that it fits. An adapter goes to a
// server with its model, or is added together with its model if none has room.
func (w *planState) place(name, reason string, gain float64) bool {
	items, s := w.bestServer(name)
	return s != nil && w.add(s, items, reason, gain)
}

// bestServer returns the server for one more replica of the name, and the items to add
// there. It returns nil if the name fits no server.
func (w *planState) bestServer(name string) ([]infra.Item, *planServer) {
	item := w.item(name)
	var best *planServer
	for _, s := range w.servers {
		if s.assignable && !s.has(name) && w.fits(s, item) && (best == nil || w.betterServer(s, best, item.Model)) {
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

// fits reports whether the server has memory for the item, including the model of an
// adapter if the server doesn't have that model.
func (w *planState) fits(s *planServer, item infra.Item) bool {
	size := item.MiB
	if item.Adapter != "" && !s.has(item.Model) {
		size += w.input.Config.Models[item.Model].MiB
	}
	return s.freeMiB >= size && w.mayHost(s, item.Model, size)
}

// betterServer reports whether a is a better server than b: first one that already has
// the model, then one with room for the model and its adapters, then the less utilized
// one, then the one with more free memory.
func (w *planState) betterServer(a, b *planServer, model string) bool {
	if x, y := a.has(model), b.has(model); x != y {
		return x
	}
	size := w.bundleSize(model)
	if x, y := a.freeMiB >= size, b.freeMiB >= size; x != y {
		return x
	}
	if x, y := utilizationStep(a), utilizationStep(b); x != y {
		return x < y
	}
	return a.freeMiB > b.freeMiB
}

// utilizationStep returns a server's utilization in steps of 0.2, so that noise
// doesn't decide.
func utilizationStep(s *planServer) int { return int(s.utilization * 5) }
