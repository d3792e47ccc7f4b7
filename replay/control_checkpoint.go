package replay

import (
	"cmp"
	"maps"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// Checkpoint implements Machine.
func (c *Control) Checkpoint() *record.Checkpoint {
	state := &record.ControlState{
		Lease:      uint64(c.lease.ID),
		Holder:     c.lease.Holder,
		DurationMs: c.lease.DurationMS,
		Renewed:    uint64(c.lease.Renewed),
		Released:   c.lease.Released,
	}
	for _, instance := range slices.Sorted(maps.Keys(c.orderers)) {
		state.Orderers = append(state.Orderers, &record.Orderer{Instance: instance, Joined: uint64(c.orderers[instance])})
	}
	byID := func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) }
	for _, s := range slices.SortedFunc(maps.Values(c.servers), byID) {
		state.Servers = append(state.Servers, serverRecord(s))
	}
	out := c.newCheckpoint()
	out.State = &record.Checkpoint_Control{Control: state}
	return out
}

// Restore implements Machine.
func (c *Control) Restore(cp *record.Checkpoint) error {
	state := cp.GetControl()
	if err := c.checkRestore(cp, state != nil); err != nil {
		return err
	}
	c.restore(cp)
	c.lease = Lease{
		ID:         infra.Offset(state.GetLease()),
		Holder:     state.GetHolder(),
		DurationMS: state.GetDurationMs(),
		Renewed:    infra.Offset(state.GetRenewed()),
		Released:   state.GetReleased(),
	}
	c.orderers = make(map[string]infra.Offset, len(state.GetOrderers()))
	for _, o := range state.GetOrderers() {
		c.orderers[o.GetInstance()] = infra.Offset(o.GetJoined())
	}
	c.servers = make(map[string]*Server, len(state.GetServers()))
	for _, s := range state.GetServers() {
		c.servers[s.GetServer()] = serverFromRecord(s)
	}
	c.staleMaps = staleMaps{orderers: true, servers: true}
	return nil
}

func serverRecord(s *Server) *record.ServerState {
	return &record.ServerState{
		Server:     s.ID,
		Pool:       s.Pool,
		MemoryMib:  s.MemoryMiB,
		Assignment: uint64(s.Assignment),
		Assigned:   ItemRecords(s.Assigned),
		Lingering:  ItemRecords(s.Lingering),
		Ready:      ItemRecords(s.Ready),
		Boot:       s.Boot,
	}
}

func serverFromRecord(s *record.ServerState) *Server {
	return &Server{
		ID:         s.GetServer(),
		Pool:       s.GetPool(),
		MemoryMiB:  s.GetMemoryMib(),
		Assignment: infra.Offset(s.GetAssignment()),
		Assigned:   itemsFromRecords(s.GetAssigned()),
		Lingering:  itemsFromRecords(s.GetLingering()),
		Ready:      itemsFromRecords(s.GetReady()),
		Boot:       s.GetBoot(),
	}
}

// ItemRecords converts items to their form in records.
func ItemRecords(items []infra.Item) []*record.Item {
	var out []*record.Item
	for _, i := range items {
		out = append(out, &record.Item{Model: i.Model, Adapter: i.Adapter, Version: i.Version, Mib: i.MiB})
	}
	return out
}

func itemsFromRecords(records []*record.Item) []infra.Item {
	var out []infra.Item
	for _, i := range records {
		out = append(out, Item(i))
	}
	return out
}
