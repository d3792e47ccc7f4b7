package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/replay"
)

// neededOrder is an order that moves a server toward its assignment.
type neededOrder struct {
	order  infra.Order
	reason string // for the log
}

// reconcile returns the orders that move a server from the state that its status
// shows toward its assignment. It returns loads only if the assigned items, the
// lingering ones and those in the status fit into the memory together, whatever
// the log says: after a restart of a server with some 20 items, whose status lags
// by a second and whose orders get lost, two loads could otherwise run at once
// that fit only one after the other.
func reconcile(now time.Time, l Limits, s *server, want *replay.Server, ignoresFence bool) []neededOrder {
	if s.status == nil || s.assignment != want.Assignment {
		return nil
	}
	if fence := fenceOrders(now, l, s, want, ignoresFence); fence != nil {
		return fence
	}
	return append(unloadOrders(now, l, s, want), loadOrders(now, l, s, want)...)
}

// fenceOrders returns the order that raises the fencing token of a server, or nil
// if the server has seen its assignment's token. No other order is sent before:
// from then on no older order can add an item, so the status is complete. A
// server that lost its token in a restart gets it back in the same way. The
// result is empty but not nil while the order is pending.
func fenceOrders(now time.Time, l Limits, s *server, want *replay.Server, ignoresFence bool) []neededOrder {
	if ignoresFence || infra.Offset(s.status.Fence) >= want.Assignment {
		return nil
	}
	key := orderKey{kind: infra.OrderFence}
	if !s.isDue(now, l, key) {
		return []neededOrder{}
	}
	return []neededOrder{{order: order(infra.OrderFence, infra.Item{}, want), reason: "fence"}}
}

// unloadOrders returns the unloads of items that aren't assigned, once
// Limits.UnloadDelay has given routers time to read the assignment. A model is
// unloaded after its adapters.
func unloadOrders(now time.Time, l Limits, s *server, want *replay.Server) []neededOrder {
	if now.Before(s.assignmentReadAt.Add(l.UnloadDelay)) {
		return nil
	}
	adaptersLeft := map[string]bool{} // models with an adapter still to unload
	var out []neededOrder
	for _, adapterPass := range []bool{true, false} {
		for _, r := range s.status.Items {
			if (r.Adapter != "") != adapterPass || containsItem(want.Assigned, r.Key()) {
				continue
			}
			adaptersLeft[r.Model] = adaptersLeft[r.Model] || adapterPass
			key := orderKey{kind: infra.OrderUnload, item: r.Key()}
			if r.State == infra.ItemUnloading || !adapterPass && adaptersLeft[r.Model] || !s.isDue(now, l, key) {
				continue
			}
			out = append(out, neededOrder{order: order(infra.OrderUnload, r.Item, want), reason: "not assigned"})
		}
	}
	return out
}

// loadOrders returns the loads of assigned items that aren't resident. An adapter
// is loaded once its model is ready.
func loadOrders(now time.Time, l Limits, s *server, want *replay.Server) []neededOrder {
	if s.leaving() {
		return nil
	}
	if !s.fits(want) {
		return nil
	}
	var out []neededOrder
	for _, adapterPass := range []bool{false, true} {
		for _, i := range want.Assigned {
			key := orderKey{kind: infra.OrderLoad, item: i.Key()}
			if _, there := s.resident(i.Key()); there || (i.Adapter != "") != adapterPass {
				continue
			}
			if !s.isDue(now, l, key) || adapterPass && !s.modelReady(i.Model) {
				continue
			}
			out = append(out, neededOrder{order: order(infra.OrderLoad, i, want), reason: "assigned, not resident"})
		}
	}
	return out
}

// fits reports whether the items that the server shows, the assigned and the
// lingering ones fit into its memory together. The rule that the log applies to
// assignments (replay.Fits) doesn't know of items loaded before the first
// assignment, nor of sizes that the server reports as larger than declared.
func (s *server) fits(want *replay.Server) bool {
	freeMiB := want.MemoryMiB
	if s.status.MemoryMiB > 0 {
		freeMiB = min(freeMiB, s.status.MemoryMiB)
	}
	size := map[infra.Key]int64{}
	for _, i := range slices.Concat(want.Assigned, want.Lingering) {
		size[i.Key()] = i.MiB
	}
	for _, r := range s.status.Items {
		size[r.Key()] = max(size[r.Key()], r.MiB)
	}
	for _, mib := range size {
		freeMiB -= mib
	}
	return freeMiB >= 0
}

func (s *server) modelReady(model string) bool {
	return slices.ContainsFunc(s.status.Items, func(r infra.ResidentItem) bool {
		return r.Model == model && r.Adapter == "" && r.State == infra.ItemReady
	})
}

// isDue reports whether an order may be sent now: for the first time, or again
// after the resend delay, which doubles with each attempt up to MaxResendDelay.
func (s *server) isDue(now time.Time, l Limits, key orderKey) bool {
	o, sent := s.sent[key]
	if !sent {
		return true
	}
	wait := min(l.ResendDelay<<min(o.tries-1, 8), MaxResendDelay)
	return !now.Before(o.at.Add(wait))
}

func order(kind infra.OrderKind, item infra.Item, want *replay.Server) infra.Order {
	return infra.Order{Kind: kind, Item: item, Fence: uint64(want.Assignment)}
}

func containsItem(items []infra.Item, key infra.Key) bool {
	return slices.ContainsFunc(items, func(i infra.Item) bool { return i.Key() == key })
}

// removableItems returns the lingering items that are gone from the server for
// good, so that their memory is free.
//
// On an engine that refuses old fencing tokens, these are the items missing from
// its status once it has seen the newest assignment's token. On an engine that
// ignores tokens, each orderer that joined before the assignment must first have
// confirmed that it has read the assignment and has no older order in flight, and
// the items must be missing from a status requested after that.
func removableItems(s *server, want *replay.Server, ignoresFence bool) []infra.Item {
	if s.status == nil || len(want.Lingering) == 0 {
		return nil
	}
	if ignoresFence {
		if s.confirmedAssignment != want.Assignment || !s.statusAskedAt.After(s.confirmedAt) {
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
