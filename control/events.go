package control

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
)

// event is the end of something that core asked for, or something that
// happened beside it. Each is applied by the goroutine that owns core.
type event interface{ apply(c *core, now time.Time) }

// polled is the end of a status call.
type polled struct {
	server string
	asked  time.Time
	status infra.ServerStatus
	err    error
}

func (e polled) apply(c *core, now time.Time) {
	s := c.servers[e.server]
	if s == nil {
		return
	}
	if e.err != nil {
		c.add("polls_failed")
		s.unanswered(now)
		return
	}
	if e.status.ID != "" && e.status.ID != e.server {
		// Another server has this address now: nothing is known of the one meant.
		c.add("polls_of_another")
		s.unanswered(now)
		return
	}
	if s.status != nil && s.status.Boot != e.status.Boot {
		c.add("restarts_seen")
		c.log.WithFields(logrus.Fields{"server": s.id, "boot": e.status.Boot, "before": s.status.Boot}).Warn("server restarted")
	}
	s.polled(e.asked, e.status)
}

// unsentPoll says that a poll found no room with the pollers.
type unsentPoll struct{ server string }

func (e unsentPoll) apply(c *core, now time.Time) {
	if s := c.servers[e.server]; s != nil {
		s.polling = false
	}
}

// ordered is the end of an order's call. Whether it took effect is seen in the
// server's status.
type ordered struct {
	server string
	order  infra.Order
	err    error
}

func (e ordered) apply(c *core, now time.Time) {
	s := c.servers[e.server]
	if s == nil {
		return
	}
	if e.err == nil {
		s.pollAt = now
		return
	}
	c.add("orders_failed")
	c.log.WithFields(logrus.Fields{
		"server": e.server, "order": e.order.Kind, "item": itemName(e.order.Item), "fence": e.order.Fence, "cause": e.err,
	}).Warn("order failed")
}

// leaseAppended is the end of the lease keeper's append.
type leaseAppended struct {
	offset infra.Offset // 0: failed, or not known
	reason string
	kind   string
	err    error
}

func (e leaseAppended) apply(c *core, now time.Time) {
	c.lease.Done(now, e.offset)
	fields := logrus.Fields{"record": e.kind, "reason": e.reason, "offset": e.offset}
	if e.err != nil {
		c.add("lease_appends_failed")
		c.log.WithFields(fields).WithField("cause", e.err).Warn("lease record failed")
		return
	}
	c.log.WithFields(fields).Debug("lease record")
}

// memberAppended is the end of the append of the own join.
type memberAppended struct{ joined infra.Offset }

func (e memberAppended) apply(c *core, now time.Time) { c.member.done(now, e.joined) }

// recordsAppended is the end of the append of a batch.
type recordsAppended struct {
	first infra.Offset // 0: failed, or not known
	count int
	err   error
}

func (e recordsAppended) apply(c *core, now time.Time) {
	c.appending = false
	if e.err != nil {
		c.add("appends_failed")
		c.retryAt = now.Add(appendRetry)
		c.log.WithFields(logrus.Fields{"records": e.count, "cause": e.err}).Warn("records failed")
		return
	}
	c.settled = e.first + infra.Offset(e.count) - 1
}

// answered is an orderer's word on how far it has applied.
type answered struct {
	ask    ask
	offset infra.Offset
	err    error
}

func (e answered) apply(c *core, now time.Time) {
	if e.err != nil {
		c.add("asks_failed")
		return
	}
	c.said[e.ask.instance.ID] = confirmation{joined: e.ask.joined, offset: e.offset}
}

// collected is what a plan rests on beside the log and the statuses.
type collected struct{ gathered }

func (e collected) apply(c *core, now time.Time) {
	c.gathering, c.ready = false, true
	if e.demand == nil {
		e.demand = map[string]decide.Demand{}
	}
	c.gathered = e.gathered
	c.gathered.stores = maps.Clone(c.pace.limits) // a store that is out keeps its last limits
	maps.Copy(c.gathered.stores, e.stores)
	if c.cfg != nil && c.list != nil {
		c.pace.set(now, c.gathered.stores, storeSharers(c.cfg, c.list))
	}
}

// missed says that a dispatch found an assigned item missing on a server.
type missed struct{ server string }

func (e missed) apply(c *core, now time.Time) { c.miss(now, e.server) }
