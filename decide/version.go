package decide

import (
	"slices"

	"greengageferry/infra"
)

// changeVersions moves replicas to the declared version. A replica's new version
// is loaded beside the old, and the old is dropped once the new one serves; where
// the memory doesn't hold both, the old goes first if another replica serves
// meanwhile. One replica of a name changes at a time, so that a version that
// doesn't load takes at most one away.
func (w *planView) changeVersions() {
	for _, name := range sortedNames(w.replicas) {
		if len(w.replicas[name]) > 0 && w.declared(w.item(name)) {
			w.changeVersion(w.item(name))
		}
	}
}

func (w *planView) changeVersion(item infra.Item) {
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
		if changing || has || !s.open {
			changing = true
			continue
		}
		changing = w.replace(s, old, item)
	}
}

// replace begins the change of one replica: beside the old version, in its place,
// or on another server, where memory is cleared for it if need be.
func (w *planView) replace(s *planServer, old []infra.Item, item infra.Item) bool {
	name := nameOfItem(item)
	lent := w.allows(s, item.Model, item.MiB)
	if lent && w.add(s, []infra.Item{item}, moveVersion, versionGain) {
		return true
	}
	if lent && s.free >= item.MiB {
		return false // the store's limits
	}
	if w.sparesAll(s, old[0]) {
		items := w.takeOff(s, old, item)
		if w.p.copied[name] == s.ID {
			delete(w.p.copied, name) // its new version serves elsewhere
		} else {
			w.reserve(s, items, moveVersion)
		}
		return true
	}
	if !lent && slices.Contains(w.in.Config.Models[item.Model].Pools, s.Pool) {
		return w.freeLent(s.Pool, item)
	}
	if w.p.copied[name] != "" && (w.isReserved(name) || w.hasItem(item)) {
		w.copyAdapters(s, item)
		return true
	}
	if items, to := w.otherServer(s, item); to != nil && w.add(to, items, moveVersion, versionGain) || w.makeRoom(name, moveVersion) {
		w.p.copied[name] = s.ID
		return true
	}
	return false
}

// takeOff drops the old versions, with the adapters beside a model, and returns
// what has to come in their place.
func (w *planView) takeOff(s *planServer, old []infra.Item, item infra.Item) []infra.Item {
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

// otherServer returns a server without the name where the item fits.
func (w *planView) otherServer(s *planServer, item infra.Item) ([]infra.Item, *planServer) {
	items, to := w.bestServer(nameOfItem(item))
	if to == s {
		return nil, nil
	}
	return items, to
}

// hasItem says whether some server is assigned the item.
func (w *planView) hasItem(item infra.Item) bool {
	return slices.ContainsFunc(w.servers, func(s *planServer) bool { return s.counts && slices.Contains(s.items, item) })
}

// copyAdapters places the server's adapters of a model beside its new version
// too, where they would else be nowhere when the old one goes.
func (w *planView) copyAdapters(s *planServer, model infra.Item) {
	for _, i := range slices.Clone(s.items) {
		if i.Model == model.Model && i.Adapter != "" && !w.spareable(s, i) && len(w.replicas[i.Adapter]) < 2 {
			w.place(i.Adapter, moveVersion, versionGain)
		}
	}
}

// freeLent drops the least valuable model of the item's owner from what the pool
// lends it, so that the item's new version has room there.
func (w *planView) freeLent(pool string, item infra.Item) bool {
	var at *planServer
	var least victim
	for _, s := range w.servers {
		if s.Pool != pool || !s.open {
			continue
		}
		for _, v := range w.victims(s, w.in.Now) {
			if w.owner(v.items[0]) == w.owner(item) && v.items[0].Model != item.Model && (at == nil || v.value < least.value) {
				at, least = s, v
			}
		}
	}
	if at == nil {
		return false
	}
	for _, i := range least.items {
		w.drop(at, i, moveRoom)
	}
	return true
}

// sparesAll says whether the item, with the adapters that go with a model, can
// be spared on the server.
func (w *planView) sparesAll(s *planServer, item infra.Item) bool {
	if item.Adapter != "" {
		return w.spareable(s, item)
	}
	_, ok := w.victimOf(s, item)
	return ok
}

// oldVersions returns the item's other versions on the server, and whether the
// declared one is assigned there.
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
