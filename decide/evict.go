package decide

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/infra"
)

// reservationKept is how long memory is kept for what it was cleared for: the
// time in which an engine unloads, with a lost order sent again.
const reservationKept = 2 * time.Minute

// reservation is memory that was cleared for items that come in a later plan.
type reservation struct {
	server string
	items  []infra.Item
	reason string
	until  time.Time
}

func (w *planView) reserve(s *planServer, items []infra.Item, reason string) {
	w.p.reserved = append(w.p.reserved, reservation{s.ID, items, reason, w.in.Now.Add(reservationKept)})
}

// useReservations adds what memory was cleared for, and keeps the memory from
// anything else until it is free.
func (w *planView) useReservations() {
	kept := w.p.reserved[:0]
	for _, r := range w.p.reserved {
		i := slices.IndexFunc(w.servers, func(s *planServer) bool { return s.ID == r.server })
		if i < 0 || !w.servers[i].open || !w.in.Now.Before(r.until) || !w.redeclare(r.items) {
			continue
		}
		s := w.servers[i]
		if slices.Contains(s.items, r.items[len(r.items)-1]) || !w.complete(s, r.items) || w.add(s, r.items, r.reason, versionGain) {
			continue
		}
		for _, item := range r.items {
			s.free -= item.MiB
		}
		kept = append(kept, r)
	}
	w.p.reserved = kept
}

// redeclare brings the items to their declared versions. It says false if one
// isn't declared any more.
func (w *planView) redeclare(items []infra.Item) bool {
	for i, item := range items {
		if !w.declared(item) {
			return false
		}
		items[i] = w.item(nameOfItem(item))
	}
	return true
}

// complete says whether the items find what they need on the server: an adapter
// whose model has gone since would have nothing to run beside.
func (w *planView) complete(s *planServer, items []infra.Item) bool {
	return items[0].Adapter == "" || s.has(items[0].Model)
}

func (w *planView) isReserved(name string) bool {
	return slices.ContainsFunc(w.p.reserved, func(r reservation) bool {
		return slices.ContainsFunc(r.items, func(i infra.Item) bool { return nameOfItem(i) == name })
	})
}

// victim is a model on a server that can be spared, with its adapters there.
type victim struct {
	items []infra.Item
	size  int64
	value float64 // worth of what it serves, in requests a second
}

// spareable says whether the name stays reachable without the item on the
// server. Here another replica that serves is enough. Among failure domains the
// home always keeps its last one, and any other domain counts on as many
// replicas elsewhere as it has domains before it: so no two domains give up
// their last replicas counting on each other, however late they hear of it.
func (w *planView) spareable(s *planServer, item infra.Item) bool {
	name := nameOfItem(item)
	others := w.ready[name]
	if s.counts && s.serves(item) {
		others--
	}
	if others > 0 {
		return true
	}
	rank, _ := w.rank(item.Model)
	return rank > 0 && w.in.Elsewhere[name] >= rank
}

// victims returns what can be spared on a server, the least value for its size
// first. Items assigned after `before` stay, so that no demand that comes and
// goes swaps two models back and forth.
func (w *planView) victims(s *planServer, before time.Time) []victim {
	if s.victimsAt == w.changes && s.victimsBefore.Equal(before) {
		return s.victims
	}
	s.victimsAt, s.victimsBefore = w.changes, before
	out := s.victims[:0]
	for _, i := range s.Assigned {
		if i.Adapter != "" || !slices.Contains(s.items, i) || !s.Since[i.Key()].Before(before) {
			continue
		}
		if old, _ := oldVersions(s, i); len(old) > 0 {
			continue // its version changes
		}
		if v, ok := w.victimOf(s, i); ok {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b victim) int {
		return cmp.Compare(a.value/float64(max(a.size, 1)), b.value/float64(max(b.size, 1)))
	})
	s.victims = out
	return out
}

func (w *planView) victimOf(s *planServer, model infra.Item) (victim, bool) {
	var v victim
	for _, i := range s.items {
		if i.Model != model.Model {
			continue
		}
		if !slices.Contains(s.Assigned, i) || !w.spareable(s, i) {
			return v, false // added by this plan, or the last one
		}
		v.items = append(v.items, i)
		v.size += i.MiB
		v.value += w.valueOf(nameOfItem(i))
	}
	return v, true
}

// valueOf returns what one replica of the name is worth: its part of the demand,
// and for one of the last two that the other may fail.
func (w *planView) valueOf(name string) float64 {
	n := len(w.replicas[name])
	value := w.in.Demand[name].RequestsPerSecond / float64(max(n, 1))
	if n+w.in.Elsewhere[name] <= 2 {
		value += secondGain
	}
	return value * w.partner(w.owner(w.item(name))).AttainmentWeight
}

// clear returns what has to go from the server for the size to fit, and its
// value. This is a greedy eviction: the least value for its size goes until the
// size fits.
func (w *planView) clear(s *planServer, size int64, before time.Time) ([]victim, float64, bool) {
	free := s.free
	if free >= size {
		return nil, 0, true
	}
	var gone []victim
	value := 0.0
	for _, v := range w.victims(s, before) {
		gone = append(gone, v)
		value += v.value
		if free += v.size; free >= size {
			return gone, value, true
		}
	}
	return nil, 0, false
}

// makeRoom clears memory for a name, where that costs least, and says whether it
// could or had already.
func (w *planView) makeRoom(name, reason string) bool {
	if w.isReserved(name) {
		return true
	}
	item := w.item(name)
	var best *planServer
	var gone []victim
	least := 0.0
	for _, s := range w.servers {
		items := w.itemsFor(s, item)
		size := sizeOf(items)
		if !s.open || !w.allows(s, item.Model, size) || s.free >= size {
			continue
		}
		if v, value, ok := w.clear(s, size, w.in.Now); ok && (best == nil || value < least) {
			best, gone, least = s, v, value
		}
	}
	if best == nil {
		return false
	}
	w.evict(best, gone, w.itemsFor(best, item), reason)
	return true
}

func (w *planView) evict(s *planServer, gone []victim, items []infra.Item, reason string) {
	for _, v := range gone {
		for _, i := range v.items {
			w.drop(s, i, moveRoom)
		}
	}
	w.reserve(s, items, reason)
	s.free -= sizeOf(items)
}

// itemsFor returns what the item needs on the server: an adapter its model.
func (w *planView) itemsFor(s *planServer, item infra.Item) []infra.Item {
	if item.Adapter != "" && !s.has(item.Model) {
		return []infra.Item{w.item(item.Model), item}
	}
	return []infra.Item{item}
}

func sizeOf(items []infra.Item) int64 {
	var size int64
	for _, i := range items {
		size += i.MiB
	}
	return size
}
