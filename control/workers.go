package control

import (
	"context"
	"errors"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
)

// batch holds records to append as one.
type batch struct{ records []*record.Record }

// post sends an event to the Controller's goroutine, or drops the event if that
// goroutine has ended.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

func (c *Controller) pollServers(ctx context.Context) {
	for p := range c.polls {
		askedAt := time.Now()
		call, cancel := context.WithTimeout(ctx, c.limits.PollTimeout)
		status, err := c.o.Engine.Status(call, p.addr)
		cancel()
		c.post(pollDone{server: p.server, askedAt: askedAt, status: status, err: err})
	}
}

func (c *Controller) sendOrders(ctx context.Context) {
	for o := range c.orders {
		err := c.send(ctx, o)
		c.post(orderDone{server: o.server, order: o.order, err: err})
	}
}

// send sends one order. The order is added to those in flight before it is
// checked, and checked directly before it is sent. A shutdown doesn't cancel the
// call: without its answer the order would count as in flight for longer.
func (c *Controller) send(ctx context.Context, o outgoingOrder) error {
	id := c.inFlightOrders.begin(infra.Offset(o.order.Fence))
	if err := c.checkOrder(ctx, o); err != nil {
		c.inFlightOrders.end(time.Now(), id, true)
		return err
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.limits.OrderFlight)
	defer cancel()
	err := c.o.Engine.Order(call, o.addr, o.order)
	c.inFlightOrders.end(time.Now(), id, err == nil || hadNoEffect(err))
	return err
}

// hadNoEffect reports whether a failed call certainly had no effect.
func hadNoEffect(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}

// checkOrder returns a NotSentError if the order may not be sent now.
func (c *Controller) checkOrder(ctx context.Context, o outgoingOrder) error {
	view, p := c.o.Views.View(), c.sharedState.Load()
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return notSent(o, NotSentStopping)
	case view == nil || view.Servers[o.server] == nil || uint64(view.Servers[o.server].Assignment) != o.order.Fence:
		return notSent(o, NotSentStaleAssignment)
	case p.joinOffset == 0 || view.Orderers[c.o.Instance] != p.joinOffset:
		return notSent(o, NotSentNotOrderer)
	case o.byHolder && !now.Add(c.limits.OrderFlight).Before(p.leaseUntil):
		return notSent(o, NotSentLeaseExpiring)
	case !o.byHolder && !c.o.Views.Down():
		return notSent(o, NotSentLogUp)
	case !o.byHolder && o.unfenced && now.Sub(p.listedAt) >= c.limits.MaxListedAge:
		return notSent(o, NotSentUnlisted)
	}
	return nil
}

func notSent(o outgoingOrder, reason NotSentReason) error {
	return &NotSentError{Server: o.server, Fence: infra.Offset(o.order.Fence), Reason: reason}
}

func (c *Controller) queryOrderers(ctx context.Context) {
	for q := range c.queries {
		call, cancel := context.WithTimeout(ctx, c.limits.PollTimeout)
		offset, err := c.o.Applied.Applied(call, q.instance)
		cancel()
		c.post(queryDone{query: q, offset: offset, err: err})
	}
}

// collect requests the demand and the stores' limits, together within a plan
// interval.
func (c *Controller) collect(ctx context.Context) {
	for partners := range c.collectPartners {
		call, cancel := context.WithTimeout(ctx, c.limits.PlanEvery)
		g := planData{stores: map[string]infra.StoreLimits{}}
		for _, partner := range partners {
			if limits, err := c.o.Store.Limits(call, partner); err == nil {
				g.stores[partner] = limits
			}
		}
		g.allStoresDown = len(g.stores) == 0
		g.demand, g.loads = c.o.Demand.Demand(call)
		cancel()
		c.post(collectDone{g})
	}
}

// append appends a batch to the control stream and returns the first record's
// offset. It gives up once a lease that was claimed or renewed by the batch would
// have expired. The appender repeats lost calls within that time.
func (c *Controller) append(ctx context.Context, records ...*record.Record) (infra.Offset, error) {
	call, cancel := context.WithTimeout(ctx, c.limits.Lease)
	defer cancel()
	return c.o.Appender.Append(call, infra.ControlStream(c.o.FailureDomain), records...)
}

func (c *Controller) appendLease(ctx context.Context) {
	for a := range c.leaseAppends {
		offset, err := c.append(ctx, a.Record)
		if err != nil {
			offset = 0
		}
		c.post(leaseAppendDone{offset: offset, reason: a.Reason, kind: leaseRecordKind(a.Record), err: err})
	}
}

func (c *Controller) appendMember(ctx context.Context) {
	for b := range c.member {
		joinOffset, err := c.append(ctx, b.records...)
		if err != nil {
			joinOffset = 0
		} else {
			joinOffset += infra.Offset(len(b.records)) - 1 // the join is the last
		}
		c.post(memberAppendDone{joinOffset: joinOffset})
	}
}

func (c *Controller) appendRecords(ctx context.Context) {
	for b := range c.recordAppends {
		first, err := c.append(ctx, b.records...)
		c.post(recordsAppendDone{first: first, count: len(b.records), err: err})
	}
}

// leave releases the lease and leaves the orderers, both best-effort: the log may
// be down. It doesn't leave while an order may still arrive; the lease holder then
// appends the leave once this instance is off the list.
func (c *Controller) leave(ctx context.Context, core *core) {
	var records []*record.Record
	if r := core.lease.Release(); r != nil {
		records = append(records, r)
	}
	view := c.o.Views.View()
	if core.member.mayOrder(view) && c.inFlightOrders.idle(time.Now()) {
		records = append(records, leaveRecord(c.o.Instance))
	}
	if len(records) == 0 {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if _, err := c.o.Appender.Append(call, infra.ControlStream(c.o.FailureDomain), records...); err != nil {
		c.o.Log.WithField("cause", err).Warn("release and leave records not appended")
	}
}

func leaseRecordKind(r *record.Record) string {
	switch r.GetBody().(type) {
	case *record.Record_LeaseClaim:
		return "claim"
	case *record.Record_LeaseRenewal:
		return "renewal"
	}
	return "release"
}
