package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// stepHolder is the lease holder's part of a step: poll the servers, send orders
// that move them toward their assignments, append observations, and plan.
func (c *core) stepHolder(now time.Time, a *actions) {
	for _, id := range sortedKeys(c.servers) {
		c.pollIfDue(now, id, a)
	}
	outOfSync := c.outOfSync()
	c.addDueOrders(now, a, true, outOfSync)
	c.queryOrderers(now, a)
	c.collectIfDue(now, a)
	if c.appending || now.Before(c.retryAt) || c.view.Offset < c.awaitedOffset {
		return
	}
	a.records = c.observationRecords(now, outOfSync)
	if len(a.records) == 0 {
		a.records = c.plan(now)
	}
	c.appending = len(a.records) > 0
}

// outOfSync returns the ids of the servers that don't match their assignment,
// sorted. The result of the comparison is cached until the status or the
// assignment changes: most servers are in sync at any time, and each step checks
// all of them.
func (c *core) outOfSync() []string {
	var out []string
	for id, want := range c.view.Servers {
		s := c.server(id)
		if s.unlistedSince.IsZero() && s.failures == 0 && len(s.sent) == 0 && s.syncedStatus == s.status && s.syncedWant == want {
			continue
		}
		if s.inSync(want, c.ignoresFence(want.Pool)) {
			s.syncedStatus, s.syncedWant = s.status, want
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// takeOver discards statuses from before the lease, once for each lease: they
// may be long out of date.
func (c *core) takeOver() {
	if c.takenOverLease == c.lease.ID() {
		return
	}
	c.takenOverLease = c.lease.ID()
	for _, s := range c.servers {
		s.resetStatus()
	}
	c.log.WithField("lease", c.takenOverLease).Info("lease held")
}

func (c *core) pollIfDue(now time.Time, id string, a *actions) {
	s := c.server(id)
	if s.polling || s.addr == "" || now.Before(s.pollAt) {
		return
	}
	s.polling = true
	s.pollAt = now.Add(c.pollDelay(s, c.view.Servers[id]))
	a.polls = append(a.polls, poll{server: id, addr: s.addr})
}

// maxPollBackoff bounds the consecutive failures that lengthen the poll interval
// of a server that doesn't answer, so that its return is seen within seconds.
const maxPollBackoff = 4

// pollDelay returns the time to a server's next poll, with a jitter of ±20% so
// that polls spread over the interval.
func (c *core) pollDelay(s *server, want *replay.Server) time.Duration {
	every := c.limits.PollEvery * time.Duration(1+min(s.failures, maxPollBackoff))
	if s.inSync(want, want != nil && c.ignoresFence(want.Pool)) {
		every = c.limits.PollInSyncEvery
	}
	return scale(every, 0.8+0.4*c.rng.Float64())
}

// observationRecords returns the records for observed changes of servers and
// orderers.
func (c *core) observationRecords(now time.Time, active []string) []*record.Record {
	var out []*record.Record
	for _, id := range active {
		if len(out) >= maxBatchRecords {
			return out
		}
		s, want := c.server(id), c.view.Servers[id]
		if r := c.goneServerRecord(now, s, want); r != nil {
			out = append(out, r)
			continue
		}
		if r := c.removalRecord(s, want); r != nil {
			out = append(out, r)
		}
		if r := c.readinessRecord(now, s, want); r != nil {
			out = append(out, r)
		}
	}
	return append(out, c.leaveRecords(now)...)
}

// removalRecord confirms that lingering items are gone for good, or returns nil.
func (c *core) removalRecord(s *server, want *replay.Server) *record.Record {
	removed := removableItems(s, want, c.ignoresFence(want.Pool))
	if len(removed) == 0 || s.assignment != want.Assignment {
		return nil
	}
	c.logRemoval(s, removed)
	return &record.Record{Body: &record.Record_Removal{Removal: &record.Removal{
		Lease:      uint64(c.lease.ID()),
		Server:     s.id,
		Assignment: uint64(want.Assignment),
		Items:      replay.ItemRecords(removed),
	}}}
}

// readinessRecord records what a server serves, or returns nil if the log already
// says so. The status of a server that refuses old fencing tokens counts only
// once the server has seen the token of its newest assignment: an unload of an
// older assignment could still arrive.
func (c *core) readinessRecord(now time.Time, s *server, want *replay.Server) *record.Record {
	var readyItems []infra.Item
	boot := want.Boot
	switch {
	case s.silentFor(now) >= c.limits.UnreachableAfter:
	case s.status == nil || s.failures > 0:
		return nil
	case !c.ignoresFence(want.Pool) && infra.Offset(s.status.Fence) < want.Assignment && s.status.Boot == want.Boot:
		return nil
	default:
		readyItems, boot = s.readyItems(want.Assigned), s.status.Boot
	}
	if boot == want.Boot && sameItems(readyItems, want.Ready) {
		return nil
	}
	c.logReadiness(s, want, readyItems)
	return &record.Record{Body: &record.Record_Readiness{Readiness: &record.Readiness{
		Lease:  uint64(c.lease.ID()),
		Server: s.id,
		Boot:   boot,
		Items:  replay.ItemRecords(readyItems),
	}}}
}

// goneServerRecord drops the assignment of a server that is off the list and
// doesn't answer. Its engine may ignore fencing tokens: then its items are
// dropped first, and the server itself only once no earlier order is in flight,
// because an order could still load an item if the server came back.
func (c *core) goneServerRecord(now time.Time, s *server, want *replay.Server) *record.Record {
	unlisted := !s.unlistedSince.IsZero() && c.list.ReadAt.Sub(s.unlistedSince) >= c.limits.ServerGoneAfter
	if !unlisted || s.addr != "" && s.silentFor(now) < c.limits.UnreachableAfter {
		return nil
	}
	memoryMiB := int64(0)
	if c.ignoresFence(want.Pool) {
		switch {
		case len(want.Assigned) > 0:
			memoryMiB = want.MemoryMiB // an assignment without items: all of them become lingering
		case len(want.Lingering) > 0 && s.confirmedAssignment != want.Assignment:
			return nil
		}
	}
	c.logServerGone(s, want, memoryMiB)
	return &record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease: uint64(c.lease.ID()), Server: s.id, Pool: want.Pool, MemoryMib: memoryMiB, Reason: "server_gone",
	}}}
}

// leaveRecords returns a leave for each orderer that has been off the list for
// Limits.OrdererGoneAfter.
func (c *core) leaveRecords(now time.Time) []*record.Record {
	var out []*record.Record
	for _, instance := range sortedKeys(c.unlistedSince) {
		if instance == c.self || c.list.ReadAt.Sub(c.unlistedSince[instance]) < c.limits.OrdererGoneAfter {
			continue
		}
		c.logOrdererGone(instance, now)
		out = append(out, leaveRecord(instance))
	}
	return out
}

// queryOrderers queries the orderers whose confirmation a removal waits for, each
// at most once in queryEvery. It marks the assignments that all orderers needed
// have confirmed.
func (c *core) queryOrderers(now time.Time, a *actions) {
	c.confirmations[c.self] = confirmation{joinOffset: c.view.Orderers[c.self], offset: c.applied}
	waiting := map[string]bool{}
	for id, want := range c.view.Servers {
		s := c.server(id)
		if len(want.Lingering) == 0 || !c.ignoresFence(want.Pool) || s.confirmedAssignment == want.Assignment {
			continue
		}
		unconfirmed := unconfirmedOrderers(c.view, want.Assignment, c.confirmations)
		if len(unconfirmed) == 0 {
			s.confirmedAssignment, s.confirmedAt = want.Assignment, now
		}
		for _, instance := range unconfirmed {
			waiting[instance] = true
		}
	}
	for _, instance := range sortedKeys(waiting) {
		target, listed := c.list.Get(instance)
		if !listed || now.Sub(c.queriedAt[instance]) < queryEvery || instance == c.self {
			continue
		}
		c.queriedAt[instance] = now
		a.queries = append(a.queries, query{instance: target, joinOffset: c.view.Orderers[instance]})
	}
}

// queryEvery bounds the cost of an orderer that is paused: one small call a
// second.
const queryEvery = time.Second

// collectIfDue requests demand and the stores' limits once in a plan interval.
func (c *core) collectIfDue(now time.Time, a *actions) {
	if c.collecting || now.Before(c.collectAt) || c.cfg == nil || len(c.cfg.Partners) == 0 {
		return
	}
	c.collecting = true
	c.collectAt = now.Add(c.limits.PlanEvery)
	a.collectPartners = sortedKeys(c.cfg.Partners)
}

// plan returns the assignments of a new plan if one is due and its inputs are
// known.
func (c *core) plan(now time.Time) []*record.Record {
	if c.cfg == nil || !c.planDataReady || now.Before(c.planAt) || !c.allPolled() {
		return nil
	}
	c.planAt = now.Add(c.limits.PlanEvery)
	c.increment("plans")
	in := c.planInput(now, c.cfg)
	return c.assignmentRecords(in, c.planner.Plan(in))
}

// allPolled reports whether each server was polled once, with or without an
// answer.
func (c *core) allPolled() bool {
	for _, instance := range c.engines {
		if s := c.server(instance.ID); s.status == nil && s.failures == 0 {
			return false
		}
	}
	return true
}
