package replay

import (
	"cmp"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// assign replaces the items that a server may hold. The assignment takes effect
// only if the new items fit into memory together with all lingering items:
// those unassigned now or earlier whose removal isn't confirmed. An assignment
// without items and memory deletes the server.
func (c *Control) assign(offset infra.Offset, r *record.Assignment) applyResult {
	if !c.isCurrentLease(r.GetLease()) || r.GetServer() == "" {
		return noEffect
	}
	if r.GetMemoryMib() == 0 && len(r.GetItems()) == 0 {
		return c.deleteServer(r.GetServer())
	}
	old := c.servers[r.GetServer()]
	if old == nil {
		old = &Server{}
	}
	next, ok := applyAssignment(old, offset, r)
	if !ok {
		return noEffect
	}
	c.putServer(next)
	return applied
}

// deleteServer deletes the state of a server that is permanently gone.
func (c *Control) deleteServer(server string) applyResult {
	if c.servers[server] == nil {
		return noEffect
	}
	delete(c.servers, server)
	c.staleMaps.servers = true
	return applied
}

// putServer stores the server's new state.
func (c *Control) putServer(s *Server) {
	c.servers[s.ID] = s
	c.staleMaps.servers = true
}

// applyAssignment returns the server with its new assignment, or false if the
// assignment is malformed or doesn't fit into memory. An item that may already
// be loaded counts with the larger of its old and new sizes. A lingering item
// that is assigned again counts once.
func applyAssignment(old *Server, offset infra.Offset, r *record.Assignment) (*Server, bool) {
	held := sizesByKey(old.Assigned, old.Lingering)
	next := &Server{
		ID:         r.GetServer(),
		Pool:       r.GetPool(),
		MemoryMiB:  r.GetMemoryMib(),
		Assignment: offset,
		Boot:       old.Boot,
	}
	taken := map[infra.Key]bool{}
	for _, item := range r.GetItems() {
		i := Item(item)
		if i.MiB < 0 || i.MiB > next.MemoryMiB || taken[i.Key()] {
			return nil, false
		}
		i.MiB = max(i.MiB, held[i.Key()])
		taken[i.Key()] = true
		next.Assigned = append(next.Assigned, i)
	}
	for _, i := range slices.Concat(old.Assigned, old.Lingering) {
		if !taken[i.Key()] {
			next.Lingering = append(next.Lingering, i)
		}
	}
	sortItems(next.Assigned)
	next.Ready = withKeys(next.Assigned, keySet(old.Ready))
	sortItems(next.Lingering)
	return next, Fits(next.MemoryMiB, next.Assigned, next.Lingering)
}

// Fits reports whether all items together fit into memoryMiB. It returns false
// if an item has a negative size.
func Fits(memoryMiB int64, items ...[]infra.Item) bool {
	free := memoryMiB
	for _, i := range slices.Concat(items...) {
		free -= i.MiB
		if free < 0 || i.MiB < 0 {
			return false
		}
	}
	return true
}

// confirmRemoval releases the memory of lingering items that are confirmed to be
// unloaded for good.
func (c *Control) confirmRemoval(r *record.Removal) applyResult {
	old := c.servers[r.GetServer()]
	if !c.isCurrentLease(r.GetLease()) || old == nil || old.Assignment != infra.Offset(r.GetAssignment()) {
		return noEffect
	}
	next := *old
	next.Lingering = withoutKeys(old.Lingering, keySet(itemsFromRecords(r.GetItems())))
	if len(next.Lingering) == len(old.Lingering) {
		return noEffect
	}
	c.putServer(&next)
	return applied
}

// updateReady replaces the items that a server is known to serve. Items that
// aren't assigned are left out.
func (c *Control) updateReady(r *record.Readiness) applyResult {
	old := c.servers[r.GetServer()]
	if !c.isCurrentLease(r.GetLease()) || old == nil {
		return noEffect
	}
	next := *old
	next.Boot = r.GetBoot()
	next.Ready = withKeys(old.Assigned, keySet(itemsFromRecords(r.GetItems())))
	c.putServer(&next)
	return applied
}

// sizesByKey returns the sizes of the items in MiB. Of items with the same key
// the last one counts.
func sizesByKey(items ...[]infra.Item) map[infra.Key]int64 {
	out := map[infra.Key]int64{}
	for _, i := range slices.Concat(items...) {
		out[i.Key()] = i.MiB
	}
	return out
}

func keySet(items []infra.Item) map[infra.Key]bool {
	out := map[infra.Key]bool{}
	for _, i := range items {
		out[i.Key()] = true
	}
	return out
}

// withKeys returns the items whose keys are in the set.
func withKeys(items []infra.Item, keys map[infra.Key]bool) []infra.Item {
	var out []infra.Item
	for _, i := range items {
		if keys[i.Key()] {
			out = append(out, i)
		}
	}
	return out
}

// withoutKeys returns the items whose keys aren't in the set.
func withoutKeys(items []infra.Item, keys map[infra.Key]bool) []infra.Item {
	var out []infra.Item
	for _, i := range items {
		if !keys[i.Key()] {
			out = append(out, i)
		}
	}
	return out
}

func sortItems(items []infra.Item) {
	slices.SortFunc(items, func(a, b infra.Item) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
}
