// Package replay rebuilds this system's shared state from the platform's log.
// Each stream has a machine: a pure function of the records read, with no
// clock, no randomness and no I/O, so that any two readers of the same records
// agree. A record that a machine doesn't know, or that is void at its place on
// the log, changes nothing but the machine's counters.
package replay

import (
	"greengageferry/infra"
	"greengageferry/record"
)

// Machine is the state of one stream. It is stepped by its one owner.
type Machine interface {
	// Apply steps the machine with the record at the next offset. Offsets
	// ascend; one that was applied already is ignored.
	Apply(offset infra.Offset, r *record.Record)
	// Offset returns the offset last applied.
	Offset() infra.Offset
	// Checkpoint returns the whole state after Offset, or nil for a stream
	// that has none.
	Checkpoint() *record.Checkpoint
	// Restore replaces the state by a checkpoint's. It refuses one that covers
	// less than Offset, so that no reader goes back.
	Restore(c *record.Checkpoint) error
}

// Item converts a record's item.
func Item(i *record.Item) infra.Item {
	return infra.Item{Model: i.GetModel(), Adapter: i.GetAdapter(), Version: i.GetVersion(), MiB: i.GetMib()}
}

// ControlView is an immutable view of a failure domain's control stream.
type ControlView struct {
	Offset   infra.Offset
	Lease    Lease
	Orderers map[string]infra.Offset // instances that may send orders, and where they joined
	Servers  map[string]*Server      // by backend server id; each *Server is immutable too
}

// Lease is a failure domain's placement lease.
type Lease struct {
	ID         infra.Offset // the claim's offset; 0: none was ever claimed
	Holder     string       // instance id
	DurationMS uint32
	Renewed    infra.Offset // the last record that extended it
	Released   bool
}

// Server is what the log says of one backend server.
type Server struct {
	ID         string
	Pool       string
	MemoryMiB  int64
	Assignment infra.Offset // the newest assignment's offset: the fencing number of its orders
	Assigned   []infra.Item // what it may hold
	Lingering  []infra.Item // dropped, but may still be there or come back
	Ready      []infra.Item // what it is known to serve; a subset of Assigned
	Boot       string
}
