package control

import (
	"context"
	"errors"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
)

// batch is records to append as one.
type batch struct{ records []*record.Record }

// post brings an event to the Controller's goroutine; after that has ended, it
// is dropped.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.ended:
	}
}

func (c *Controller) pollServers(ctx context.Context) {
	for p := range c.polls {
		asked := time.Now()
		call, cancel := context.WithTimeout(ctx, c.limits.PollTimeout)
		status, err := c.o.Engine.Status(call, p.addr)
		cancel()
		c.post(polled{server: p.server, asked: asked, status: status, err: err})
	}
}

func (c *Controller) sendOrders(ctx context.Context) {
	for o := range c.orders {
		err := c.send(ctx, o)
		c.post(ordered{server: o.server, order: o.order, err: err})
	}
}

// send sends one order. It is noted as under way before anything is checked,
// and checked directly before it leaves. A shutdown doesn't cut it off: its
// answer is worth waiting for.
func (c *Controller) send(ctx context.Context, o orderOut) error {
	id := c.underWay.begin(infra.Offset(o.order.Fence))
	if err := c.check(ctx, o); err != nil {
		c.underWay.end(time.Now(), id, true)
		return err
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.limits.OrderFlight)
	defer cancel()
	err := c.o.Engine.Order(call, o.addr, o.order)
	c.underWay.end(time.Now(), id, err == nil || surelyNone(err))
	return err
}

// surelyNone says whether a failed call surely took no effect.
func surelyNone(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}

// check says whether the order may leave now.
func (c *Controller) check(ctx context.Context, o orderOut) error {
	view, p := c.o.Views.View(), c.public.Load()
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return held(o, HeldStopping)
	case view == nil || view.Servers[o.server] == nil || uint64(view.Servers[o.server].Assignment) != o.order.Fence:
		return held(o, HeldAssignment)
	case p.joined == 0 || view.Orderers[c.o.Instance] != p.joined:
		return held(o, HeldNotOrderer)
	case o.underLog && !now.Add(c.limits.OrderFlight).Before(p.until):
		return held(o, HeldLease)
	case !o.underLog && !c.o.Views.Down():
		return held(o, HeldLogUp)
	case !o.underLog && o.ignores && now.Sub(p.listedAt) >= c.limits.Listed:
		return held(o, HeldUnlisted)
	}
	return nil
}

func held(o orderOut, why HeldReason) error {
	return &HeldError{Server: o.server, Fence: infra.Offset(o.order.Fence), Reason: why}
}

func (c *Controller) askOrderers(ctx context.Context) {
	for q := range c.asks {
		call, cancel := context.WithTimeout(ctx, c.limits.PollTimeout)
		offset, err := c.o.Applied.Applied(call, q.instance)
		cancel()
		c.post(answered{ask: q, offset: offset, err: err})
	}
}

// collect asks for demand and for the stores' limits, together within a plan's
// interval.
func (c *Controller) collect(ctx context.Context) {
	for partners := range c.gather {
		call, cancel := context.WithTimeout(ctx, c.limits.PlanEvery)
		g := gathered{stores: map[string]infra.StoreLimits{}}
		for _, partner := range partners {
			if limits, err := c.o.Store.Limits(call, partner); err == nil {
				g.stores[partner] = limits
			}
		}
		g.storeDown = len(g.stores) == 0
		g.demand, g.loads = c.o.Demand.Demand(call)
		cancel()
		c.post(collected{g})
	}
}

// append puts a batch on the control stream. It gives up after a third of a
// lease, when the next renewal is due; the appender has looked for it by then.
func (c *Controller) append(ctx context.Context, records ...*record.Record) (infra.Offset, error) {
	call, cancel := context.WithTimeout(ctx, c.limits.Lease/3)
	defer cancel()
	return c.o.Appender.Append(call, infra.ControlStream(c.o.FailureDomain), records...)
}

func (c *Controller) appendLease(ctx context.Context) {
	for a := range c.leases {
		offset, err := c.append(ctx, a.Record)
		if err != nil {
			offset = 0
		}
		c.post(leaseAppended{offset: offset, reason: a.Reason, kind: kindOf(a.Record), err: err})
	}
}

func (c *Controller) appendMember(ctx context.Context) {
	for b := range c.member {
		joined, err := c.append(ctx, b.records...)
		if err != nil {
			joined = 0
		} else {
			joined += infra.Offset(len(b.records)) - 1 // the join is the last
		}
		c.post(memberAppended{joined: joined})
	}
}

func (c *Controller) appendRecords(ctx context.Context) {
	for b := range c.record {
		first, err := c.append(ctx, b.records...)
		c.post(recordsAppended{first: first, count: len(b.records), err: err})
	}
}

// leave gives the lease up and leaves the orderers, both as best it can: the
// log may be out. It doesn't leave while an order may still arrive; the lease's
// holder says so once the list has lost this instance.
func (c *Controller) leave(ctx context.Context, core *core) {
	var last []*record.Record
	if r := core.lease.Release(); r != nil {
		last = append(last, r)
	}
	view := c.o.Views.View()
	if core.member.may(view) && c.underWay.idle(time.Now()) {
		last = append(last, leaveOf(c.o.Instance))
	}
	if len(last) == 0 {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if _, err := c.o.Appender.Append(call, infra.ControlStream(c.o.FailureDomain), last...); err != nil {
		c.o.Log.WithField("cause", err).Warn("leaving without a word")
	}
}

func kindOf(r *record.Record) string {
	switch r.GetBody().(type) {
	case *record.Record_LeaseClaim:
		return "claim"
	case *record.Record_LeaseRenewal:
		return "renewal"
	}
	return "release"
}
