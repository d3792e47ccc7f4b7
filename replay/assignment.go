package replay

import (
	"cmp"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// assign replaces what a server may hold, if everything fits: the new items,
// and what was dropped, now or earlier, and isn't confirmed gone.
func (c *Control) assign(offset infra.Offset, r *record.Assignment) verdict {
	if !c.inEffect(r.GetLease()) || r.GetServer() == "" {
		return void
	}
	if r.GetMemoryMib() == 0 && len(r.GetItems()) == 0 {
		return c.forget(r.GetServer())
	}
	old := c.servers[r.GetServer()]
	if old == nil {
		old = &Server{}
	}
	next, ok := reassigned(old, offset, r)
	if !ok {
		return void
	}
	c.put(next)
	return applied
}

// forget drops a server that is gone for good.
func (c *Control) forget(server string) verdict {
	if c.servers[server] == nil {
		return void
	}
	delete(c.servers, server)
	c.stale.servers = true
	return applied
}

func (c *Control) put(s *Server) {
	c.servers[s.ID] = s
	c.stale.servers = true
}

// reassigned returns the server under its new assignment, or false where that
// is malformed or doesn't fit. An item that may be there already keeps the
// larger of its sizes, and one that lingers and is assigned again counts once.
func reassigned(old *Server, offset infra.Offset, r *record.Assignment) (*Server, bool) {
	held := sizes(old.Assigned, old.Lingering)
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
	next.Ready = keep(next.Assigned, keys(old.Ready))
	sortItems(next.Lingering)
	return next, Fits(next.MemoryMiB, next.Assigned, next.Lingering)
}

// Fits says whether the items fit into the memory together.
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

// remove confirms that dropped items are gone for good.
func (c *Control) remove(r *record.Removal) verdict {
	old := c.servers[r.GetServer()]
	if !c.inEffect(r.GetLease()) || old == nil || old.Assignment != infra.Offset(r.GetAssignment()) {
		return void
	}
	next := *old
	next.Lingering = drop(old.Lingering, keys(items(r.GetItems())))
	if len(next.Lingering) == len(old.Lingering) {
		return void
	}
	c.put(&next)
	return applied
}

// ready replaces what a server is known to serve.
func (c *Control) ready(r *record.Readiness) verdict {
	old := c.servers[r.GetServer()]
	if !c.inEffect(r.GetLease()) || old == nil {
		return void
	}
	next := *old
	next.Boot = r.GetBoot()
	next.Ready = keep(old.Assigned, keys(items(r.GetItems())))
	c.put(&next)
	return applied
}

func sizes(items ...[]infra.Item) map[infra.Key]int64 {
	out := map[infra.Key]int64{}
	for _, i := range slices.Concat(items...) {
		out[i.Key()] = i.MiB
	}
	return out
}

func keys(items []infra.Item) map[infra.Key]bool {
	out := map[infra.Key]bool{}
	for _, i := range items {
		out[i.Key()] = true
	}
	return out
}

func keep(items []infra.Item, keys map[infra.Key]bool) []infra.Item {
	var out []infra.Item
	for _, i := range items {
		if keys[i.Key()] {
			out = append(out, i)
		}
	}
	return out
}

func drop(items []infra.Item, keys map[infra.Key]bool) []infra.Item {
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
