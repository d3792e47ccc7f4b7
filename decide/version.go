package decide

import (
	"slices"

	"greengageferry/infra"
)

// updateVersions updates replicas to the declared version. The new version is loaded
// beside the old one, which is dropped when the new one is ready. If the memory doesn't
// hold both, the old one is dropped first, provided that another replica is ready
// meanwhile. One replica of a name is updated at a time, so that a version that fails to
// load costs at most one replica.
func (w *planState) updateVersions() {
	for _, name := range sortedNames(w.replicas) {
		if len(w.replicas[name]) > 0 && w.declared(w.item(name)) {
			w.updateVersion(w.item(name))
		}
	}
}

func (w *planState) updateVersion(item infra.Item) {
	changing := false
	for _, s := range slices.Clone(w.replicas[nameOfItem(item)]) {
		old, has := oldVersions(s, item)
		served := slices.ContainsFunc(s.Ready, func(i infra.Item) bool { return i.Key() == item.Key() })
		if len(old) == 0 || served {
			for _, o := range old {
				w.drop(s, o, moveVersion)
			}
			changing = changing || !served
			continue
		}
		if changing || has || !s.assignable {
			changing = true
			continue
		}
		changing = w.startUpdate(s, old, item)
	}
}

// startUpdate starts the update of one replica: beside the old version, in its place, or
// on another server, with eviction there if necessary. It reports whether an update is
// under way.
func (w *planState) startUpdate(s *planServer, old []infra.Item, item infra.Item) bool {
	name := nameOfItem(item)
	allowed := w.mayHost(s, item.Model, item.MiB)
	if allowed && w.add(s, []infra.Item{item}, moveVersion, versionGain) {
		return true
	}
	if allowed && s.freeMiB >= item.MiB {
		return false // limited by the weight store
	}
	if w.removableWithAdapters(s, old[0]) {
		items := w.dropForUpdate(s, old, item)
		if w.p.updateSource[name] == s.ID {
			delete(w.p.updateSource, name) // its new version is ready on another server
		} else {
			w.reserve(s, items, moveVersion)
		}
		return true
	}
	if !allowed && slices.Contains(w.input.Config.Models[item.Model].Pools, s.Pool) {
		return w.freeLentMemory(s.Pool, item)
	}
	if w.p.updateSource[name] != "" && (w.isReserved(name) || w.isAssigned(item)) {
		w.copyAdapters(s, item)
		return true
	}
	if items, to := w.otherServer(s, item); to != nil && w.add(to, items, moveVersion, versionGain) || w.makeRoom(name, moveVersion) {
		w.p.updateSource[name] = s.ID
		return true
	}
	return false
}

// dropForUpdate drops the old versions and, for a model, its adapters on the server. It
// returns the items that replace them.
func (w *planState) dropForUpdate(s *planServer, old []infra.Item, item infra.Item) []infra.Item {
	items := []infra.Item{item}
	for _, i := range slices.Clone(s.items) {
		if item.Adapter == "" && i.Model == item.Model && i.Adapter != "" {
			w.drop(s, i, moveVersion)
			items = append(items, w.item(i.Adapter))
		}
	}
	for _, o := range old {
		w.drop(s, o, moveVersion)
	}
	return items
}

// otherServer returns another server that the item fits, and the items to add there, or
// nil.
func (w *planState) otherServer(s *planServer, item infra.Item) ([]infra.Item, *planServer) {
	items, to := w.bestServer(nameOfItem(item))
	if to == s {
		return nil, nil
	}
	return items, to
}

// isAssigned reports whether the item is assigned to a server whose items count as
// replicas.
func (w *planState) isAssigned(item infra.Item) bool {
	return slices.ContainsFunc(w.servers, func(s *planServer) bool { return s.countsReplicas && slices.Contains(s.items, item) })
}

// copyAdapters also places the server's adapters of a model beside the model's new
// version, if they would become unavailable when the old version is dropped.
func (w *planState) copyAdapters(s *planServer, model infra.Item) {
	for _, i := range slices.Clone(s.items) {
		if i.Model == model.Model && i.Adapter != "" && !w.removable(s, i) && len(w.replicas[i.Adapter]) < 2 {
			w.place(i.Adapter, moveVersion, versionGain)
		}
	}
}

// freeLentMemory drops the least valuable model of the item's owner from the lent part
// of the pool, so that the item's new version fits there.
func (w *planState) freeLentMemory(pool string, item infra.Item) bool {
	var at *planServer
	var least victim
	for _, s := range w.servers {
		if s.Pool != pool || !s.assignable {
			continue
		}
		for _, v := range w.victims(s, w.input.Now) {
			if w.owner(v.items[0]) == w.owner(item) && v.items[0].Model != item.Model && (at == nil || v.value < least.value) {
				at, least = s, v
			}
		}
	}
	if at == nil {
		return false
	}
	for _, i := range least.items {
		w.drop(at, i, moveMakeRoom)
	}
	return true
}

// removableWithAdapters reports whether the item and, for a model, its adapters can be
// removed from the server.
func (w *planState) removableWithAdapters(s *planServer, item infra.Item) bool {
	if item.Adapter != "" {
		return w.removable(s, item)
	}
	_, ok := w.victimFor(s, item)
	return ok
}

// oldVersions returns the other versions of the item on the server, and whether the
// item's own version is assigned there.
func oldVersions(s *planServer, item infra.Item) (old []infra.Item, has bool) {
	for _, i := range s.items {
		switch {
		case i.Key() == item.Key():
			has = true
		case nameOfItem(i) == nameOfItem(item):
			old = append(old, i)
		}
	}
	return old, has
}
