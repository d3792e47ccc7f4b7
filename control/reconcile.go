package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/replay"
)

// wanted is an order that would move a server toward its assignment.
type wanted struct {
	order  infra.Order
	reason string
}

// reconcile returns the orders that move a server from what its status shows
// toward its assignment. Loads are returned only if all fits together that is
// assigned, that may linger and that the status shows, whatever the log says.
//
// The load it is for: a restart of a server with some twenty items, whose
// status lags by a second and whose orders get lost. The harm prevented: two
// loads that only fit one after the other.
func reconcile(now time.Time, l Limits, s *server, want *replay.Server, ignoresFence bool) []wanted {
	if s.status == nil || s.assignment != want.Assignment {
		return nil
	}
	if fence := fenceFirst(now, l, s, want, ignoresFence); fence != nil {
		return fence
	}
	return append(unloads(now, l, s, want), loads(now, l, s, want)...)
}

// fenceFirst raises the number that a server has seen before anything else is
// ordered: from then on its status shows all that there can be. A server that
// forgot its number over a restart is brought back to it in the same way.
func fenceFirst(now time.Time, l Limits, s *server, want *replay.Server, ignoresFence bool) []wanted {
	if ignoresFence || infra.Offset(s.status.Fence) >= want.Assignment {
		return nil
	}
	key := orderKey{kind: infra.OrderFence}
	if !s.due(now, l, key) {
		return []wanted{}
	}
	return []wanted{{order: order(infra.OrderFence, infra.Item{}, want), reason: "fence"}}
}

// unloads drops what isn't assigned, once routers had time to read of it. A
// model goes after its adapters.
func unloads(now time.Time, l Limits, s *server, want *replay.Server) []wanted {
	if now.Before(s.readAt.Add(l.DropDelay)) {
		return nil
	}
	adapters := map[string]bool{} // models with an adapter that is still to go
	var out []wanted
	for _, adapterPass := range []bool{true, false} {
		for _, r := range s.status.Items {
			if (r.Adapter != "") != adapterPass || holds(want.Assigned, r.Key()) {
				continue
			}
			adapters[r.Model] = adapters[r.Model] || adapterPass
			key := orderKey{kind: infra.OrderUnload, item: r.Key()}
			if r.State == infra.ItemUnloading || !adapterPass && adapters[r.Model] || !s.due(now, l, key) {
				continue
			}
			out = append(out, wanted{order: order(infra.OrderUnload, r.Item, want), reason: "not assigned"})
		}
	}
	return out
}

// loads brings in what is assigned and not there. An adapter waits for its model.
func loads(now time.Time, l Limits, s *server, want *replay.Server) []wanted {
	if s.leaving() {
		return nil
	}
	if !s.fits(want) {
		return nil
	}
	var out []wanted
	for _, adapterPass := range []bool{false, true} {
		for _, i := range want.Assigned {
			key := orderKey{kind: infra.OrderLoad, item: i.Key()}
			if _, there := s.resident(i.Key()); there || (i.Adapter != "") != adapterPass {
				continue
			}
			if !s.due(now, l, key) || adapterPass && !s.modelReady(i.Model) {
				continue
			}
			out = append(out, wanted{order: order(infra.OrderLoad, i, want), reason: "assigned, not there"})
		}
	}
	return out
}

// fits says whether everything fits together that the server shows, is
// assigned, or may yet hold. The log's own rule doesn't know of items that were
// there before the first assignment, nor of a size that the server reports as
// larger than declared; while they are too much, nothing is loaded.
func (s *server) fits(want *replay.Server) bool {
	memory := want.MemoryMiB
	if s.status.MemoryMiB > 0 {
		memory = min(memory, s.status.MemoryMiB)
	}
	size := map[infra.Key]int64{}
	for _, i := range slices.Concat(want.Assigned, want.Lingering) {
		size[i.Key()] = i.MiB
	}
	for _, r := range s.status.Items {
		size[r.Key()] = max(size[r.Key()], r.MiB)
	}
	for _, mib := range size {
		memory -= mib
	}
	return memory >= 0
}

func (s *server) modelReady(model string) bool {
	return slices.ContainsFunc(s.status.Items, func(r infra.ResidentItem) bool {
		return r.Model == model && r.Adapter == "" && r.State == infra.ItemReady
	})
}

// due says whether an order may be sent now: for the first time, or again
// after it had time to show.
func (s *server) due(now time.Time, l Limits, key orderKey) bool {
	o, sent := s.sent[key]
	if !sent {
		return true
	}
	wait := min(l.Resend<<min(o.tries-1, 8), MaxResend)
	return !now.Before(o.at.Add(wait))
}

func order(kind infra.OrderKind, item infra.Item, want *replay.Server) infra.Order {
	return infra.Order{Kind: kind, Item: item, Fence: uint64(want.Assignment)}
}

func holds(items []infra.Item, key infra.Key) bool {
	return slices.ContainsFunc(items, func(i infra.Item) bool { return i.Key() == key })
}

// removable returns the lingering items that are gone from the server for good.
//
// On an engine that refuses old fencing numbers that is so once it has seen the
// newest assignment's number and shows them no more. On one that ignores them,
// each orderer that joined before the assignment must first have said that it
// is past it with no older order under way, and a status asked for after that
// must lack them.
func removable(s *server, want *replay.Server, ignoresFence bool) []infra.Item {
	if s.status == nil || len(want.Lingering) == 0 {
		return nil
	}
	if ignoresFence {
		if s.confirmedFor != want.Assignment || !s.asked.After(s.confirmedAt) {
			return nil
		}
	} else if infra.Offset(s.status.Fence) < want.Assignment {
		return nil
	}
	var out []infra.Item
	for _, i := range want.Lingering {
		if _, there := s.resident(i.Key()); !there {
			out = append(out, i)
		}
	}
	return out
}
