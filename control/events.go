package control

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
)

// event is the result of an action that core requested, or an external
// notification. Events are applied by the goroutine that owns core.
type event interface{ apply(c *core, now time.Time) }

// pollDone is the result of a status call.
type pollDone struct {
	server  string
	askedAt time.Time
	status  infra.ServerStatus
	err     error
}

func (e pollDone) apply(c *core, now time.Time) {
	s := c.servers[e.server]
	if s == nil {
		return
	}
	if e.err != nil {
		c.increment("polls_failed")
		s.pollFailed(now)
		return
	}
	if e.status.ID != "" && e.status.ID != e.server {
		// Another server has this address now, so the poll failed for this one.
		c.increment("polls_of_another")
		s.pollFailed(now)
		return
	}
	if s.status != nil && s.status.Boot != e.status.Boot {
		c.increment("restarts_seen")
		c.log.WithFields(logrus.Fields{"server": s.id, "boot": e.status.Boot, "before": s.status.Boot}).Warn("server restarted")
	}
	s.pollDone(e.askedAt, e.status)
}

// droppedPoll reports that a poll was dropped because the pollers' channel was
// full.
type droppedPoll struct{ server string }

func (e droppedPoll) apply(c *core, now time.Time) {
	if s := c.servers[e.server]; s != nil {
		s.polling = false
	}
}

// orderDone is the result of an order's call. Whether the order took effect is
// read from the server's status.
type orderDone struct {
	server string
	order  infra.Order
	err    error
}

func (e orderDone) apply(c *core, now time.Time) {
	s := c.servers[e.server]
	if s == nil {
		return
	}
	if e.err == nil {
		s.pollAt = now
		return
	}
	c.increment("orders_failed")
	c.log.WithFields(logrus.Fields{
		"server": e.server, "order": e.order.Kind, "item": itemName(e.order.Item), "fence": e.order.Fence, "cause": e.err,
	}).Warn("order failed")
}

// leaseAppendDone is the result of the LeaseKeeper's append.
type leaseAppendDone struct {
	offset infra.Offset // 0: failed, or outcome not known
	reason string
	kind   string
	err    error
}

func (e leaseAppendDone) apply(c *core, now time.Time) {
	c.lease.AppendDone(now, e.offset)
	fields := logrus.Fields{"record": e.kind, "reason": e.reason, "offset": e.offset}
	if e.err != nil {
		c.increment("lease_appends_failed")
		c.log.WithFields(fields).WithField("cause", e.err).Warn("lease record failed")
		return
	}
	c.log.WithFields(fields).Debug("lease record")
}

// memberAppendDone is the result of appending this instance's join.
type memberAppendDone struct{ joinOffset infra.Offset }

func (e memberAppendDone) apply(c *core, now time.Time) { c.member.appendDone(now, e.joinOffset) }

// recordsAppendDone is the result of appending actions.records.
type recordsAppendDone struct {
	first infra.Offset // of the batch's first record; 0: failed, or outcome not known
	count int
	err   error
}

func (e recordsAppendDone) apply(c *core, now time.Time) {
	c.appending = false
	if e.err != nil {
		c.increment("appends_failed")
		c.retryAt = now.Add(appendRetryDelay)
		c.log.WithFields(logrus.Fields{"records": e.count, "cause": e.err}).Warn("records failed")
		return
	}
	c.awaitedOffset = e.first + infra.Offset(e.count) - 1
}

// queryDone is an orderer's answer to a query.
type queryDone struct {
	query  query
	offset infra.Offset
	err    error
}

func (e queryDone) apply(c *core, now time.Time) {
	if e.err != nil {
		c.increment("asks_failed")
		return
	}
	c.confirmations[e.query.instance.ID] = confirmation{joinOffset: e.query.joinOffset, offset: e.offset}
}

// collectDone is the planData collected for the next plan.
type collectDone struct{ planData }

func (e collectDone) apply(c *core, now time.Time) {
	c.collecting, c.planDataReady = false, true
	if e.demand == nil {
		e.demand = map[string]decide.Demand{}
	}
	c.planData = e.planData
	c.planData.stores = maps.Clone(c.limiter.limits) // a store that is down keeps its last limits
	maps.Copy(c.planData.stores, e.stores)
	if c.cfg != nil && c.list != nil {
		c.limiter.update(now, c.planData.stores, domainsPerStore(c.cfg, c.list))
	}
}

// missingReport reports that a dispatch found an assigned item missing on a server.
type missingReport struct{ server string }

func (e missingReport) apply(c *core, now time.Time) { c.recordMissing(now, e.server) }
