package decide

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/infra"
)

// reservationTTL is how long freed memory stays reserved. It covers the time in which
// an engine unloads, including one lost order that is sent again.
const reservationTTL = 2 * time.Minute

// reservation is memory on a server that was freed for items of a later plan.
type reservation struct {
	server string
	items  []infra.Item
	reason string
	until  time.Time
}

func (w *planState) reserve(s *planServer, items []infra.Item, reason string) {
	w.p.reservations = append(w.p.reservations, reservation{s.ID, items, reason, w.input.Now.Add(reservationTTL)})
}

// fulfillReservations adds the reserved items that fit by now, discards outdated
// reservations, and subtracts the memory of the others from their servers' free memory.
func (w *planState) fulfillReservations() {
	kept := w.p.reservations[:0]
	for _, r := range w.p.reservations {
		i := slices.IndexFunc(w.servers, func(s *planServer) bool { return s.ID == r.server })
		if i < 0 || !w.servers[i].assignable || !w.input.Now.Before(r.until) || !w.refreshVersions(r.items) {
			continue
		}
		s := w.servers[i]
		if slices.Contains(s.items, r.items[len(r.items)-1]) || !w.modelPresent(s, r.items) || w.add(s, r.items, r.reason, versionGain) {
			continue
		}
		for _, item := range r.items {
			s.freeMiB -= item.MiB
		}
		kept = append(kept, r)
	}
	w.p.reservations = kept
}

// refreshVersions sets the items to their declared versions. It returns false if one is
// no longer declared.
func (w *planState) refreshVersions(items []infra.Item) bool {
	for i, item := range items {
		if !w.declared(item) {
			return false
		}
		items[i] = w.item(nameOfItem(item))
	}
	return true
}

// modelPresent reports whether a lone adapter's model is still on the server. Items
// that start with a model bring their own.
func (w *planState) modelPresent(s *planServer, items []infra.Item) bool {
	return items[0].Adapter == "" || s.has(items[0].Model)
}

func (w *planState) isReserved(name string) bool {
	return slices.ContainsFunc(w.p.reservations, func(r reservation) bool {
		return slices.ContainsFunc(r.items, func(i infra.Item) bool { return nameOfItem(i) == name })
	})
}

// victim is a model, with its adapters, that may be evicted from a server.
type victim struct {
	items   []infra.Item
	sizeMiB int64
	value   float64 // see replicaValue; requests per second
}

// removable reports whether the name stays available without the item on the server.
// Another ready replica in this failure domain is enough. Otherwise the home never gives
// up its last replica, and another domain needs at least as many replicas in other
// domains as domains rank before it. So two domains never both give up their last
// replica relying on each other's, however stale their knowledge is.
func (w *planState) removable(s *planServer, item infra.Item) bool {
	name := nameOfItem(item)
	others := w.readyReplicas[name]
	if s.countsReplicas && s.serves(item) {
		others--
	}
	if others > 0 {
		return true
	}
	rank, _ := w.rank(item.Model)
	return rank > 0 && w.input.OtherDomainReplicas[name] >= rank
}

// victims returns the models that may be evicted from a server, those with the least
// value per MiB first. Items assigned at or after before are excluded, so that
// fluctuating demand doesn't swap two models back and forth.
func (w *planState) victims(s *planServer, before time.Time) []victim {
	if s.victimsChange == w.changes && s.victimsCutoff.Equal(before) {
		return s.victims
	}
	s.victimsChange, s.victimsCutoff = w.changes, before
	out := s.victims[:0]
	for _, i := range s.Assigned {
		if i.Adapter != "" || !slices.Contains(s.items, i) || !s.AssignedAt[i.Key()].Before(before) {
			continue
		}
		if old, _ := oldVersions(s, i); len(old) > 0 {
			continue // its version is being updated
		}
		if v, ok := w.victimFor(s, i); ok {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b victim) int {
		return cmp.Compare(a.value/float64(max(a.sizeMiB, 1)), b.value/float64(max(b.sizeMiB, 1)))
	})
	s.victims = out
	return out
}

func (w *planState) victimFor(s *planServer, model infra.Item) (victim, bool) {
	var v victim
	for _, i := range s.items {
		if i.Model != model.Model {
			continue
		}
		if !slices.Contains(s.Assigned, i) || !w.removable(s, i) {
			return v, false // added by this plan, or the last replica
		}
		v.items = append(v.items, i)
		v.sizeMiB += i.MiB
		v.value += w.replicaValue(nameOfItem(i))
	}
	return v, true
}

// replicaValue returns the value of one replica of the name: its part of the demand and,
// for one of the last two replicas, the value of redundancy.
func (w *planState) replicaValue(name string) float64 {
	n := len(w.replicas[name])
	value := w.input.Demand[name].RequestsPerSecond / float64(max(n, 1))
	if n+w.input.OtherDomainReplicas[name] <= 2 {
		value += secondReplicaGain
	}
	return value * w.partnerWeights(w.owner(w.item(name))).AttainmentWeight
}

// clear returns the models to evict so that sizeMiB fit on the server, and
// their total value. It selects greedily by least value per MiB.
func (w *planState) clear(s *planServer, sizeMiB int64, before time.Time) ([]victim, float64, bool) {
	freeMiB := s.freeMiB
	if freeMiB >= sizeMiB {
		return nil, 0, true
	}
	var evicted []victim
	value := 0.0
	for _, v := range w.victims(s, before) {
		evicted = append(evicted, v)
		value += v.value
		if freeMiB += v.sizeMiB; freeMiB >= sizeMiB {
			return evicted, value, true
		}
	}
	return nil, 0, false
}

// makeRoom evicts models on the server where that costs least, and reserves the memory
// for the name. It reports whether the memory is reserved now or was already.
func (w *planState) makeRoom(name, reason string) bool {
	if w.isReserved(name) {
		return true
	}
	item := w.item(name)
	var best *planServer
	var evicted []victim
	leastValue := 0.0
	for _, s := range w.servers {
		items := w.itemsFor(s, item)
		size := totalMiB(items)
		if !s.assignable || !w.mayHost(s, item.Model, size) || s.freeMiB >= size {
			continue
		}
		if v, value, ok := w.clear(s, size, w.input.Now); ok && (best == nil || value < leastValue) {
			best, evicted, leastValue = s, v, value
		}
	}
	if best == nil {
		return false
	}
	w.evict(best, evicted, w.itemsFor(best, item), reason)
	return true
}

func (w *planState) evict(s *planServer, evicted []victim, items []infra.Item, reason string) {
	for _, v := range evicted {
		for _, i := range v.items {
			w.drop(s, i, moveMakeRoom)
		}
	}
	w.reserve(s, items, reason)
	s.freeMiB -= totalMiB(items)
}

// itemsFor returns the items to add for the item: for an adapter also its model if the
// server doesn't have it.
func (w *planState) itemsFor(s *planServer, item infra.Item) []infra.Item {
	if item.Adapter != "" && !s.has(item.Model) {
		return []infra.Item{w.item(item.Model), item}
	}
	return []infra.Item{item}
}

func totalMiB(items []infra.Item) int64 {
	var size int64
	for _, i := range items {
		size += i.MiB
	}
	return size
}
