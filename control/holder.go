package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// hold is the lease holder's part of a step: look at the servers, order them
// toward their assignments, say on the log what was seen, and plan.
func (c *core) hold(now time.Time, a *actions) {
	for _, id := range sortedKeys(c.servers) {
		c.pollIfDue(now, id, a)
	}
	active := c.active()
	c.orderAll(now, a, true, active)
	c.askOrderers(now, a)
	c.gatherIfDue(now, a)
	if c.appending || now.Before(c.retryAt) || c.view.Offset < c.settled {
		return
	}
	a.records = c.seen(now, active)
	if len(a.records) == 0 {
		a.records = c.plan(now)
	}
	c.appending = len(a.records) > 0
}

// active returns the servers with an assignment that aren't as they should be,
// sorted. A status is compared with the log once, when either is new: most of
// a domain's servers are quiet at any time, and a step looks at all of them.
func (c *core) active() []string {
	var out []string
	for id, want := range c.view.Servers {
		s := c.server(id)
		if s.missingSince.IsZero() && s.failures == 0 && len(s.sent) == 0 && s.calmStatus == s.status && s.calmWant == want {
			continue
		}
		if s.quiet(want, c.ignoresFence(want.Pool)) {
			s.calmStatus, s.calmWant = s.status, want
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// takeOver forgets statuses from before the lease: they may be of long ago.
func (c *core) takeOver() {
	if c.held == c.lease.ID() {
		return
	}
	c.held = c.lease.ID()
	for _, s := range c.servers {
		s.forgetStatus()
	}
	c.log.WithField("lease", c.held).Info("lease held")
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

// maxPollBackoff bounds how much less often a silent server is looked at: one
// that comes back is seen within a few seconds.
const maxPollBackoff = 4

// pollDelay is jittered by a fifth, so that the looks spread over the interval.
func (c *core) pollDelay(s *server, want *replay.Server) time.Duration {
	every := c.l.PollEvery * time.Duration(1+min(s.failures, maxPollBackoff))
	if s.quiet(want, want != nil && c.ignoresFence(want.Pool)) {
		every = c.l.PollQuiet
	}
	return scale(every, 0.8+0.4*c.rng.Float64())
}

// seen returns records for what was seen of the servers and the orderers.
func (c *core) seen(now time.Time, active []string) []*record.Record {
	var out []*record.Record
	for _, id := range active {
		if len(out) >= maxBatch {
			return out
		}
		s, want := c.server(id), c.view.Servers[id]
		if r := c.retire(now, s, want); r != nil {
			out = append(out, r)
			continue
		}
		if r := c.removal(s, want); r != nil {
			out = append(out, r)
		}
		if r := c.readiness(now, s, want); r != nil {
			out = append(out, r)
		}
	}
	return append(out, c.departures(now)...)
}

func (c *core) removal(s *server, want *replay.Server) *record.Record {
	gone := removable(s, want, c.ignoresFence(want.Pool))
	if len(gone) == 0 || s.assignment != want.Assignment {
		return nil
	}
	c.logRemoval(s, gone)
	return &record.Record{Body: &record.Record_Removal{Removal: &record.Removal{
		Lease:      uint64(c.lease.ID()),
		Server:     s.id,
		Assignment: uint64(want.Assignment),
		Items:      replay.ItemRecords(gone),
	}}}
}

// readiness says what a server serves, where that isn't what the log says. A
// server that refuses old numbers is believed only once it has seen its newest
// assignment's: an unload from before could still come.
func (c *core) readiness(now time.Time, s *server, want *replay.Server) *record.Record {
	var ready []infra.Item
	boot := want.Boot
	switch {
	case s.silent(now) >= c.l.Unreachable:
	case s.status == nil || s.failures > 0:
		return nil
	case !c.ignoresFence(want.Pool) && infra.Offset(s.status.Fence) < want.Assignment && s.status.Boot == want.Boot:
		return nil
	default:
		ready, boot = s.ready(want.Assigned), s.status.Boot
	}
	if boot == want.Boot && sameItems(ready, want.Ready) {
		return nil
	}
	c.logReadiness(s, want, ready)
	return &record.Record{Body: &record.Record_Readiness{Readiness: &record.Readiness{
		Lease:  uint64(c.lease.ID()),
		Server: s.id,
		Boot:   boot,
		Items:  replay.ItemRecords(ready),
	}}}
}

// retire drops the assignment of a server that is gone: off the list, and
// silent. On an engine that ignores fencing numbers its items are dropped
// first, and it is forgotten only once no earlier order is under way, should it
// come back.
func (c *core) retire(now time.Time, s *server, want *replay.Server) *record.Record {
	unlisted := !s.missingSince.IsZero() && c.list.ReadAt.Sub(s.missingSince) >= c.l.ServerGone
	if !unlisted || s.addr != "" && s.silent(now) < c.l.Unreachable {
		return nil
	}
	memory := int64(0)
	if c.ignoresFence(want.Pool) {
		switch {
		case len(want.Assigned) > 0:
			memory = want.MemoryMiB // drops the items, and keeps them lingering
		case len(want.Lingering) > 0 && s.confirmedFor != want.Assignment:
			return nil
		}
	}
	c.logRetire(s, want, memory)
	return &record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease: uint64(c.lease.ID()), Server: s.id, Pool: want.Pool, MemoryMib: memory, Reason: "server_gone",
	}}}
}

// departures says of orderers that are gone from the list that they have left.
func (c *core) departures(now time.Time) []*record.Record {
	var out []*record.Record
	for _, instance := range sortedKeys(c.unlisted) {
		if instance == c.self || c.list.ReadAt.Sub(c.unlisted[instance]) < c.l.OrdererGone {
			continue
		}
		c.logDeparture(instance, now)
		out = append(out, leaveOf(instance))
	}
	return out
}

// askOrderers asks the orderers on whose word a removal waits, each at most
// once a second. What they said so far settles the servers it is enough for.
func (c *core) askOrderers(now time.Time, a *actions) {
	c.said[c.self] = confirmation{joined: c.view.Orderers[c.self], offset: c.applied}
	waiting := map[string]bool{}
	for id, want := range c.view.Servers {
		s := c.server(id)
		if len(want.Lingering) == 0 || !c.ignoresFence(want.Pool) || s.confirmedFor == want.Assignment {
			continue
		}
		left := unconfirmed(c.view, want.Assignment, c.said)
		if len(left) == 0 {
			s.confirmedFor, s.confirmedAt = want.Assignment, now
		}
		for _, instance := range left {
			waiting[instance] = true
		}
	}
	for _, instance := range sortedKeys(waiting) {
		line, listed := c.list.Get(instance)
		if !listed || now.Sub(c.asked[instance]) < askEvery || instance == c.self {
			continue
		}
		c.asked[instance] = now
		a.asks = append(a.asks, ask{instance: line, joined: c.view.Orderers[instance]})
	}
}

// askEvery bounds what a paused orderer costs: one small call a second.
const askEvery = time.Second

// gatherIfDue asks for demand and the stores' limits as often as it plans.
func (c *core) gatherIfDue(now time.Time, a *actions) {
	if c.gathering || now.Before(c.gatherAt) || c.cfg == nil || len(c.cfg.Partners) == 0 {
		return
	}
	c.gathering = true
	c.gatherAt = now.Add(c.l.PlanEvery)
	a.gather = sortedKeys(c.cfg.Partners)
}

// plan asks the planner, once what it rests on is known.
func (c *core) plan(now time.Time) []*record.Record {
	if c.cfg == nil || !c.ready || now.Before(c.planAt) || !c.allPolled() {
		return nil
	}
	c.planAt = now.Add(c.l.PlanEvery)
	c.add("plans")
	in := c.planInput(now, c.cfg)
	return c.assignments(in, c.planner.Plan(in))
}

// allPolled says whether each server was looked at once, answering or not.
func (c *core) allPolled() bool {
	for _, line := range c.engines {
		if s := c.server(line.ID); s.status == nil && s.failures == 0 {
			return false
		}
	}
	return true
}
