package decide

import (
	"slices"

	"greengageferry/platform"
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

func (w *planView) changeVersion(item platform.Item) {
	changing := false
	for _, s := range slices.Clone(w.replicas[nameOfItem(item)]) {
		old, has := oldVersions(s, item)
		served := slices.ContainsFunc(s.Ready, func(i platform.Item) bool { return i.Key() == item.Key() })
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

// replace begins the change of one replica.
func (w *planView) replace(s *planServer, old []platform.Item, item platform.Item) bool {
	if w.add(s, []platform.Item{item}, moveVersion, versionGain) {
		return true
	}
	if s.free >= item.MiB || !w.spareable(s, old[0]) {
		return false
	}
	if _, ok := w.victimOf(s, old[0]); item.Adapter == "" && !ok {
		return false // an adapter there would be nowhere
	}
	for _, o := range old {
		w.drop(s, o, moveVersion)
	}
	w.reserve(s, []platform.Item{item}, moveVersion)
	return true
}

// oldVersions returns the item's other versions on the server, and whether the
// declared one is assigned there.
func oldVersions(s *planServer, item platform.Item) (old []platform.Item, has bool) {
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
