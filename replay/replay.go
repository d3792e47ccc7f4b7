// Package replay contains the replicated state machines that rebuild the shared
// state of all instances from the platform's log.
//
// Each kind of stream has a Machine: Config, Control, Quarantine and Claims. Its
// state depends only on the records applied, never on a clock, randomness or
// I/O, so any two readers of the same records agree. A record that a machine
// doesn't support, or that the state at its offset doesn't allow, changes only
// the machine's counters. All machines but Claims can be saved to a checkpoint
// and restored from one.
package replay

import (
	"greengageferry/infra"
	"greengageferry/record"
)

// Machine is the state machine of one stream. It isn't safe for concurrent use.
type Machine interface {
	// Apply applies the record at offset. Offsets must ascend; a record at or
	// below the offset last applied is ignored.
	Apply(offset infra.Offset, r *record.Record)
	// Offset returns the offset of the record last applied.
	Offset() infra.Offset
	// Checkpoint returns the whole state as of Offset, or nil if the stream has
	// no checkpoints.
	Checkpoint() *record.Checkpoint
	// Restore replaces the state with the checkpoint's. It returns an error for
	// a checkpoint older than Offset, so that no reader goes back.
	Restore(c *record.Checkpoint) error
}

// Item converts an item from its form in records.
func Item(i *record.Item) infra.Item {
	return infra.Item{Model: i.GetModel(), Adapter: i.GetAdapter(), Version: i.GetVersion(), MiB: i.GetMib()}
}

// ControlView is an immutable snapshot of a failure domain's control stream.
type ControlView struct {
	Offset infra.Offset
	Lease  Lease
	// Orderers contains the instances that may send load and unload orders to
	// backend servers, each with the offset of its join.
	Orderers map[string]infra.Offset
	Servers  map[string]*Server // by backend server id; each *Server is immutable
}

// Lease is a failure domain's placement lease: its holder decides what the
// domain's backend servers hold.
type Lease struct {
	ID         infra.Offset // offset of the claim; 0: the lease was never claimed
	Holder     string       // instance id
	DurationMS uint32
	Renewed    infra.Offset // offset of the newest claim, renewal or release that took effect
	Released   bool
}

// Server is the state of one backend server according to the log.
type Server struct {
	ID         string
	Pool       string
	MemoryMiB  int64
	Assignment infra.Offset // offset of the newest assignment, used as the fencing token of its orders
	Assigned   []infra.Item // items that the server may hold
	Lingering  []infra.Item // items no longer assigned that may still be loaded, or be loaded again
	Ready      []infra.Item // items that the server is known to serve; a subset of Assigned
	Boot       string       // id of the server process, as of the newest readiness record
}
