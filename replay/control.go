package replay

import (
	"maps"

	"greengageferry/infra"
	"greengageferry/record"
)

// Control is the machine of a failure domain's control stream: its placement
// lease, the instances that may order, and each backend server's assignment.
type Control struct {
	base
	lease    Lease
	orderers map[string]infra.Offset
	servers  map[string]*Server // each is replaced, never changed
	view     *ControlView       // handed out last
	stale    stale              // what changed since
}

// stale says which maps of the view handed out last are out of date.
type stale struct{ orderers, servers bool }

// NewControl returns the machine of an empty stream.
func NewControl() *Control {
	return &Control{
		base:     newBase(),
		orderers: map[string]infra.Offset{},
		servers:  map[string]*Server{},
		stale:    stale{orderers: true, servers: true},
	}
}

// Apply implements Machine.
func (c *Control) Apply(offset infra.Offset, r *record.Record) {
	if !c.begin(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_LeaseClaim:
		c.count(r, c.claim(offset, body.LeaseClaim))
	case *record.Record_LeaseRenewal:
		c.count(r, c.renew(offset, body.LeaseRenewal.GetLease()))
	case *record.Record_LeaseRelease:
		c.count(r, c.release(offset, body.LeaseRelease.GetLease()))
	case *record.Record_OrdererJoin:
		c.count(r, c.join(offset, body.OrdererJoin.GetInstance()))
	case *record.Record_OrdererLeave:
		c.count(r, c.leave(body.OrdererLeave.GetInstance()))
	case *record.Record_Assignment:
		c.count(r, c.assign(offset, body.Assignment))
	case *record.Record_Removal:
		c.count(r, c.remove(body.Removal))
	case *record.Record_Readiness:
		c.count(r, c.ready(body.Readiness))
	case *record.Record_Checkpoint:
		c.count(r, applied)
	default:
		c.count(r, foreign)
	}
}

// claim is a compare-and-set on the lease that the claimant saw.
func (c *Control) claim(offset infra.Offset, r *record.LeaseClaim) verdict {
	seen := infra.Offset(r.GetPrevious()) == c.lease.ID && infra.Offset(r.GetLastSeen()) == c.lease.Renewed
	if !seen || r.GetHolder() == "" || r.GetDurationMs() == 0 {
		return void
	}
	c.lease = Lease{ID: offset, Holder: r.GetHolder(), DurationMS: r.GetDurationMs(), Renewed: offset}
	return applied
}

func (c *Control) renew(offset infra.Offset, lease uint64) verdict {
	if !c.inEffect(lease) {
		return void
	}
	c.lease.Renewed = offset
	return applied
}

func (c *Control) release(offset infra.Offset, lease uint64) verdict {
	if !c.inEffect(lease) {
		return void
	}
	c.lease.Renewed = offset
	c.lease.Released = true
	return applied
}

// inEffect says whether the lease named is the newest effective one, and not
// given up. That its time may have run out doesn't matter to a reader: only
// another claim on the log ends it.
func (c *Control) inEffect(lease uint64) bool {
	return lease != 0 && infra.Offset(lease) == c.lease.ID && !c.lease.Released
}

// join keeps an orderer's first join, should it say so twice: the older the
// join, the more it is asked.
func (c *Control) join(offset infra.Offset, instance string) verdict {
	if _, joined := c.orderers[instance]; joined || instance == "" {
		return void
	}
	c.orderers[instance] = offset
	c.stale.orderers = true
	return applied
}

func (c *Control) leave(instance string) verdict {
	if _, joined := c.orderers[instance]; !joined {
		return void
	}
	delete(c.orderers, instance)
	c.stale.orderers = true
	return applied
}

// Lease returns the lease.
func (c *Control) Lease() Lease { return c.lease }

// View returns the state now. A map that didn't change since the last call is
// shared with its view, and a server that didn't change always is.
func (c *Control) View() *ControlView {
	next := &ControlView{Offset: c.offset, Lease: c.lease}
	if c.stale.orderers {
		next.Orderers = maps.Clone(c.orderers)
	} else {
		next.Orderers = c.view.Orderers
	}
	if c.stale.servers {
		next.Servers = maps.Clone(c.servers)
	} else {
		next.Servers = c.view.Servers
	}
	c.stale = stale{}
	c.view = next
	return next
}
