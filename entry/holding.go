package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"greengageferry/control"
	"greengageferry/decide"
	"greengageferry/demand"
	"greengageferry/infra"
	"greengageferry/replay"
	"greengageferry/supervise"
)

// logDownAfter is how long ago the last successful read of a stream must be, with failed
// reads since, before the log counts as down. A single failed read is no outage.
const logDownAfter = 3 * time.Second

// inSyncPollInterval is the time between two polls by which the lease holder checks a
// server that matches its assignment. The instances of the domain share the regular checks
// (serverChecker), so the lease holder's polls are only a fallback. At 211 servers they
// make 0.35 polls/s, or 0.7 KB/s.
const inSyncPollInterval = 10 * time.Minute

// domainDuties returns the duties that the instance carries out for its failure domain. They
// end first in a shutdown, so that other instances take over at once.
func (i *Instance) domainDuties() []supervise.Duty {
	return []supervise.Duty{
		{Name: "control", Run: i.runControl},
		{Name: "patrol", Run: i.serverChecker().run},
	}
}

// serverChecker returns the duty that checks this instance's share of the failure
// domain's servers.
func (i *Instance) serverChecker() *serverChecker {
	return &serverChecker{
		ownID:      i.opts.Settings.Instance.ID,
		domain:     i.domain(),
		list:       i.watcher.List,
		members:    i.members(i.domain()),
		view:       i.controlFollowers.ownFollower().View,
		engine:     i.opts.Platform.Engine,
		report:     i.missingReports.enqueue,
		reportBoot: i.caller.UpdateBoot,
		metrics:    i.vars("patrol"),
	}
}

// runControl runs a controller. Each run creates a new one, because the state of a
// controller that failed can't be trusted.
func (i *Instance) runControl(ctx context.Context) error {
	views := newControlViews(i.controlFollowers.ownFollower())
	timing := i.opts.Settings.Timing
	controller := control.New(control.Options{
		Instance:      i.opts.Settings.Instance.ID,
		FailureDomain: i.domain(),
		Engine:        i.opts.Platform.Engine,
		Appender:      i.writer,
		Views:         views,
		OtherViews:    i.controlFollowers.otherViews,
		Config:        i.configTracker.Config,
		Lists:         i.watcher,
		Store:         i.opts.Platform.Store,
		Planner:       decide.NewPlanner(),
		Demand:        demandSource{i.collector},
		Applied:       i.peers,
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Limits: control.Limits{
			Lease:           timing.Lease.Value(),
			OrderFlight:     timing.OrderFlight.Value(),
			PollEvery:       timing.StatusEvery.Value(),
			PollInSyncEvery: inSyncPollInterval,
			PlanEvery:       timing.PlanEvery.Value(),
		},
		Log:     i.log,
		Metrics: i.vars("control"),
	})
	i.controller.Store(controller)
	return supervise.Run(ctx, supervise.Options{Log: i.log},
		supervise.Duty{Name: "control views", Run: views.run},
		supervise.Duty{Name: "controller", Run: controller.Run},
	)
}

// controlViews implements control.Views with a follower.
type controlViews struct {
	follower     *controlFollower
	changed      chan struct{} // capacity 1; full if a signal is already pending
	caughtUpOnce atomic.Bool   // the log was read to the stream's end at least once
}

func newControlViews(follower *controlFollower) *controlViews {
	return &controlViews{follower: follower, changed: make(chan struct{}, 1)}
}

// run forwards the follower's change signals until ctx ends.
func (v *controlViews) run(ctx context.Context) error {
	for {
		changed := v.follower.Changed()
		if v.follower.Status().CaughtUp {
			v.caughtUpOnce.Store(true)
		}
		select {
		case v.changed <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// View implements control.Views. It returns nil until the stream was read to its end once:
// a state that came only from a peer may be out of date, because the peer may be behind.
func (v *controlViews) View() *replay.ControlView {
	if !v.caughtUpOnce.Load() {
		return nil
	}
	return v.follower.View()
}

// Changed implements control.Views.
func (v *controlViews) Changed() <-chan struct{} { return v.changed }

// Down implements control.Views.
func (v *controlViews) Down() bool {
	s := v.follower.Status()
	return !s.CaughtUp && time.Since(s.LastRead) > logDownAfter
}

// demandSource implements control.Demand with a collector.
type demandSource struct{ *demand.Collector }

// Demand implements control.Demand.
func (c demandSource) Demand(ctx context.Context) (map[string]decide.Demand, map[string]infra.Load) {
	out := map[string]decide.Demand{}
	for target, r := range c.Collect(ctx) {
		out[target] = decide.Demand{RequestsPerSecond: r.Requests, TokensPerSecond: r.Tokens, RefusedPerSecond: r.Refused}
	}
	return out, c.Loads()
}

// observer implements caller.Observer. It meters demand, records the servers' load reports
// and the use of model engines, and reports servers that lack an assigned model or adapter.
type observer struct {
	meter *demand.Meter
	loads *demand.Loads
	// domainOf returns a server's failure domain, or "" for a server that is not listed.
	domainOf func(server string) string
	table    func() *decide.Table
	// missingReports queues a report that the server lacks an item.
	missingReports func(server string)
	markUsed       func(server, addr string)
}

// capacityReasons are the reasons of refusals that more replicas would have prevented.
var capacityReasons = map[decide.Reason]bool{
	decide.ReasonDeadline:     true,
	decide.ReasonQueueFull:    true,
	decide.ReasonPartnerShare: true,
	decide.ReasonNoReplica:    true,
}

// Decided implements caller.Observer.
func (o *observer) Decided(target string, decision decide.Decision) {
	now := time.Now()
	switch {
	case decision.Action == decide.ActionDispatch:
		o.meter.Dispatched(now, target, decision.Server.FailureDomain)
		if decision.Version != "" { // a model engine, not a plain service
			o.markUsed(decision.Server.ID, decision.Server.Addr)
		}
	case decision.Action == decide.ActionRefuse && capacityReasons[decision.Reason]:
		o.meter.Refused(now, target, servingDomains(o.table(), target))
	}
}

// Ended implements caller.Observer.
func (o *observer) Ended(target, server string, outcome decide.Outcome) {
	if outcome.Tokens == 0 {
		return
	}
	o.meter.Generated(time.Now(), target, o.domainOf(server), outcome.Tokens)
}

// ReportLoad implements caller.Observer.
func (o *observer) ReportLoad(server string, load infra.Load) {
	o.loads.Record(time.Now(), server, load)
}

// NotResident implements caller.Observer.
func (o *observer) NotResident(server string) { o.missingReports(server) }

// servingDomains returns the failure domains where the target has replicas, or the
// instance's own if it has none.
func servingDomains(t *decide.Table, target string) []string {
	if t == nil {
		return nil
	}
	found := t.Targets[target]
	if found == nil || len(found.Replicas) == 0 {
		return []string{t.OwnDomain}
	}
	var domains []string
	seen := map[string]bool{}
	for _, r := range found.Replicas {
		domain := t.Servers[r.Server].FailureDomain
		if !seen[domain] {
			seen[domain] = true
			domains = append(domains, domain)
		}
	}
	return domains
}

// demandReport returns the demand on a failure domain that this instance metered, and the
// recent load reports of the domain's servers.
func (i *Instance) demandReport(domain string) demand.Report {
	now := time.Now()
	demandReport := demand.Report{Rates: i.meter.Rates(now, domain), Loads: i.loads.Recent(now)}
	for server := range demandReport.Loads {
		if i.domainOf(server) != domain {
			delete(demandReport.Loads, server)
		}
	}
	return demandReport
}
