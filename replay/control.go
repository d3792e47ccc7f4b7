package replay

import (
	"maps"

	"greengageferry/infra"
	"greengageferry/record"
)

// Control is the state machine of a failure domain's control stream. It keeps the
// placement lease, the orderers (the instances that may send load and unload
// orders to backend servers), and the assignment of each backend server.
type Control struct {
	machineBase
	lease     Lease
	orderers  map[string]infra.Offset
	servers   map[string]*Server // a *Server is replaced, never modified
	lastView  *ControlView       // newest view returned by View
	staleMaps staleMaps          // maps changed since lastView
}

// staleMaps says which maps of the newest view are out of date.
type staleMaps struct{ orderers, servers bool }

// NewControl returns the machine of an empty stream.
func NewControl() *Control {
	return &Control{
		machineBase: newMachineBase(),
		orderers:    map[string]infra.Offset{},
		servers:     map[string]*Server{},
		staleMaps:   staleMaps{orderers: true, servers: true},
	}
}

// Apply implements Machine.
func (c *Control) Apply(offset infra.Offset, r *record.Record) {
	if !c.accept(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_LeaseClaim:
		c.countRecord(r, c.claimLease(offset, body.LeaseClaim))
	case *record.Record_LeaseRenewal:
		c.countRecord(r, c.renewLease(offset, body.LeaseRenewal.GetLease()))
	case *record.Record_LeaseRelease:
		c.countRecord(r, c.releaseLease(offset, body.LeaseRelease.GetLease()))
	case *record.Record_OrdererJoin:
		c.countRecord(r, c.addOrderer(offset, body.OrdererJoin.GetInstance()))
	case *record.Record_OrdererLeave:
		c.countRecord(r, c.removeOrderer(body.OrdererLeave.GetInstance()))
	case *record.Record_Assignment:
		c.countRecord(r, c.assign(offset, body.Assignment))
	case *record.Record_Removal:
		c.countRecord(r, c.confirmRemoval(body.Removal))
	case *record.Record_Readiness:
		c.countRecord(r, c.updateReady(body.Readiness))
	case *record.Record_Checkpoint:
		c.countRecord(r, applied)
	default:
		c.countRecord(r, unexpected)
	}
}

// claimLease is a compare-and-set: the claim takes effect only if the lease is
// still in the state that the claimant saw.
func (c *Control) claimLease(offset infra.Offset, r *record.LeaseClaim) applyResult {
	seen := infra.Offset(r.GetPrevious()) == c.lease.ID && infra.Offset(r.GetLastSeen()) == c.lease.Renewed
	if !seen || r.GetHolder() == "" || r.GetDurationMs() == 0 {
		return noEffect
	}
	c.lease = Lease{ID: offset, Holder: r.GetHolder(), DurationMS: r.GetDurationMs(), Renewed: offset}
	return applied
}

func (c *Control) renewLease(offset infra.Offset, lease uint64) applyResult {
	if !c.isCurrentLease(lease) {
		return noEffect
	}
	c.lease.Renewed = offset
	return applied
}

func (c *Control) releaseLease(offset infra.Offset, lease uint64) applyResult {
	if !c.isCurrentLease(lease) {
		return noEffect
	}
	c.lease.Renewed = offset
	c.lease.Released = true
	return applied
}

// isCurrentLease reports whether lease is the current lease and isn't released. A
// lease stays current after its duration has passed, until another claim on the
// log replaces it, because readers don't use a clock.
func (c *Control) isCurrentLease(lease uint64) bool {
	return lease != 0 && infra.Offset(lease) == c.lease.ID && !c.lease.Released
}

// addOrderer adds an instance to the orderers. A second join of the same instance
// has no effect: the offset of the first one must stay, because the orderers
// queried before memory is reused are those that joined before a given offset.
func (c *Control) addOrderer(offset infra.Offset, instance string) applyResult {
	if _, joined := c.orderers[instance]; joined || instance == "" {
		return noEffect
	}
	c.orderers[instance] = offset
	c.staleMaps.orderers = true
	return applied
}

func (c *Control) removeOrderer(instance string) applyResult {
	if _, joined := c.orderers[instance]; !joined {
		return noEffect
	}
	delete(c.orderers, instance)
	c.staleMaps.orderers = true
	return applied
}

// Lease returns the current state of the placement lease.
func (c *Control) Lease() Lease { return c.lease }

// View returns a view of the current state. It shares with the previous view each
// map without changes, and each *Server that didn't change.
func (c *Control) View() *ControlView {
	next := &ControlView{Offset: c.offset, Lease: c.lease}
	if c.staleMaps.orderers {
		next.Orderers = maps.Clone(c.orderers)
	} else {
		next.Orderers = c.lastView.Orderers
	}
	if c.staleMaps.servers {
		next.Servers = maps.Clone(c.servers)
	} else {
		next.Servers = c.lastView.Servers
	}
	c.staleMaps = staleMaps{}
	c.lastView = next
	return next
}
