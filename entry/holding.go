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

// logDownAfter is how long a stream must have gone without an answer, and with
// a failure, before the log counts as out: a single read that failed is no
// outage.
const logDownAfter = 3 * time.Second

// quietEvery is the time between the lease holder's own looks at a server that
// is as it should be. The domain's instances share the looks that find what
// changed (patrol), so the holder's are a last resort: 211 servers in 10 minutes
// are 0.35 looks a second, 0.7 KB/s.
const quietEvery = 10 * time.Minute

// holdingDuties are what the instance does for its failure domain. They end
// first in a shutdown, so that another instance takes over at once.
func (i *Instance) holdingDuties() []supervise.Duty {
	return []supervise.Duty{
		{Name: "control", Run: i.runControl},
		{Name: "claim batchers", Run: i.batchers.Run},
		{Name: "patrol", Run: i.patrol().run},
	}
}

// patrol returns the duty that shares the looks at the failure domain's servers.
func (i *Instance) patrol() *patrol {
	return &patrol{
		own:     i.opts.Settings.Instance.ID,
		domain:  i.domain(),
		list:    i.watcher.List,
		members: i.members(i.domain()),
		view:    i.domains.ownFollower().View,
		engine:  i.opts.Platform.Engine,
		report:  i.missing.found,
		booted:  i.caller.UpdateBoot,
		metrics: i.vars("patrol"),
	}
}

// runControl runs a controller. Each run has a new one: a controller that
// failed can't go on with what it knew.
func (i *Instance) runControl(ctx context.Context) error {
	views := newControlViews(i.domains.ownFollower())
	timing := i.opts.Settings.Timing
	controller := control.New(control.Options{
		Instance:      i.opts.Settings.Instance.ID,
		FailureDomain: i.domain(),
		Engine:        i.opts.Platform.Engine,
		Appender:      i.writer,
		Views:         views,
		OtherViews:    i.domains.others,
		Config:        i.configuration.Config,
		Lists:         i.watcher,
		Store:         i.opts.Platform.Store,
		Planner:       decide.NewPlanner(),
		Demand:        collected{i.collector},
		Applied:       i.peers,
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Limits: control.Limits{
			Lease:           timing.Lease.Value(),
			OrderFlight:     timing.OrderFlight.Value(),
			PollEvery:       timing.StatusEvery.Value(),
			PollInSyncEvery: quietEvery,
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

// controlViews implements control.Views over a follower.
type controlViews struct {
	follower *controlFollower
	changed  chan struct{} // full: a signal is pending already
	complete atomic.Bool   // the stream was read to its end once
}

func newControlViews(follower *controlFollower) *controlViews {
	return &controlViews{follower: follower, changed: make(chan struct{}, 1)}
}

// run passes the follower's changes on until ctx ends.
func (v *controlViews) run(ctx context.Context) error {
	for {
		changed := v.follower.Changed()
		if v.follower.Status().CaughtUp {
			v.complete.Store(true)
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

// View implements control.Views. A state that came from a peer alone doesn't
// count: the peer may itself be behind.
func (v *controlViews) View() *replay.ControlView {
	if !v.complete.Load() {
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

// collected implements control.Demand over a collector.
type collected struct{ *demand.Collector }

// Demand implements control.Demand.
func (c collected) Demand(ctx context.Context) (map[string]decide.Demand, map[string]infra.Load) {
	out := map[string]decide.Demand{}
	for target, r := range c.Collect(ctx) {
		out[target] = decide.Demand{RequestsPerSecond: r.Requests, TokensPerSecond: r.Tokens, RefusedPerSecond: r.Refused}
	}
	return out, c.Loads()
}

// observer implements caller.Observer: it meters demand and tells the
// controller of servers that lack what they should hold.
type observer struct {
	meter *demand.Meter
	loads *demand.Loads
	// domainOf returns a server's failure domain, or "" for one that has gone.
	domainOf func(server string) string
	table    func() *decide.Table
	missing  func(server string)
	used     func(server, addr string)
}

// capacityReasons are the refusals that more replicas would have prevented.
var capacityReasons = map[decide.Reason]bool{
	decide.ReasonDeadline:     true,
	decide.ReasonQueueFull:    true,
	decide.ReasonPartnerShare: true,
	decide.ReasonNoReplica:    true,
}

// Decided implements caller.Observer.
func (o *observer) Decided(target string, d decide.Decision) {
	now := time.Now()
	switch {
	case d.Action == decide.ActionDispatch:
		o.meter.Dispatched(now, target, d.Server.FailureDomain)
		if d.Version != "" { // a model engine, and no plain service
			o.used(d.Server.ID, d.Server.Addr)
		}
	case d.Action == decide.ActionRefuse && capacityReasons[d.Reason]:
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

// Reported implements caller.Observer.
func (o *observer) ReportLoad(server string, load infra.Load) {
	o.loads.Record(time.Now(), server, load)
}

// NotResident implements caller.Observer.
func (o *observer) NotResident(server string) { o.missing(server) }

// servingDomains returns the failure domains where the target has replicas, or
// the own one where it has none.
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

// report returns what a failure domain was asked for through this instance, and
// the loads of its servers that this instance used lately.
func (i *Instance) report(domain string) demand.Report {
	now := time.Now()
	report := demand.Report{Rates: i.meter.Rates(now, domain), Loads: i.loads.Recent(now)}
	for server := range report.Loads {
		if i.domainOf(server) != domain {
			delete(report.Loads, server)
		}
	}
	return report
}
