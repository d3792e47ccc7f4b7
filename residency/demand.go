package residency

import (
	"maps"
	"math"
	"slices"
	"time"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/topology"
)

const (
	// minDecayTime and maxDecayTime bound the time constant with which a target's past
	// demand decays. Demand moves to other models within some five seconds; an idle
	// replica is kept that long before another model takes its place.
	minDecayTime = 2 * time.Second
	maxDecayTime = 4 * time.Second
	// rateDecayTime is the time constant with which past requests decay in a target's
	// request rate.
	rateDecayTime = 3 * time.Second
	// workDecayTime is the time constant with which past requests decay in a target's
	// work.
	workDecayTime = 2 * time.Second
	// defaultHoldSeconds is the assumed time that a request occupies a slot until it
	// has been measured.
	defaultHoldSeconds = 1.0
	// holdDecayTime is the time constant of the measured time that a request occupies a
	// slot.
	holdDecayTime = 10 * time.Second
	// rateWeight is the fraction of a target's request rate times the mean time that a
	// request occupies a slot that counts as demand, whatever is in flight. A target
	// whose requests are refused has little in flight and must not lose its replicas
	// for that.
	rateWeight = 0.7
	// minDemand is the demand, in concurrent requests, below which a target counts as
	// not requested.
	minDemand = 0.02
)

// TargetDemand is the demand for a target as reported by one instance.
type TargetDemand struct {
	Requests int                      // received since the previous report
	Waiting  int                      // requests now
	InFlight int                      // requests now
	Work     time.Duration            // server time that the requests take, in time of a whole server; 0: unknown
	ByRank   [decide.Ranks]RankDemand // zero unless ranks compete for servers
}

// RankDemand is the part of a TargetDemand that has one rank.
type RankDemand struct {
	Requests int           // as in TargetDemand
	Waiting  int           // as in TargetDemand
	InFlight int           // as in TargetDemand
	Starts   int           // sent to servers since the previous report
	Goal     time.Duration // shortest time to the first token that the newest requests' routes ask for; 0: none
}

// DemandTracker tracks demand over all instances. It is not safe for concurrent use.
type DemandTracker struct {
	targets     map[string]*targetState
	versions    map[string][]string // see Versions
	accounts    accountReports
	instances   map[string]*instanceState
	decayTime   time.Duration
	holdSeconds float64 // mean time that a request occupies a slot, over all targets
	startedAt   time.Time
	updatedAt   time.Time

	listeningSince time.Time // since when instances have reported to this one without a long gap
	lastReportAt   time.Time // when the newest report arrived

	speeds *speedTracker
}

// InstanceReport is what an instance reports to the lease holder.
type InstanceReport struct {
	Instance     string
	Domain       string                  // its failure domain
	Addr         string                  // IP:port for other instances
	Cores        float64                 // CPU cores that the instance may use
	TargetDemand map[string]TargetDemand // by target
	Loads        map[string]Load         // by server
	StoreDown    bool                    // the instance doesn't reach the platform's store
	Version      int64                   // of the configuration in force at the instance
	Leaving      []topology.ServerStart  // servers whose answers said that they are leaving

	Rates []decide.RateReport // rate limits stated by servers

	Speeds   []decide.SpeedSample   // of servers, since the previous report
	Accounts []decide.AccountDemand // of client accounts, now

	HeldDigest uint64 // of the instance's list of differences between servers and their entries
	Candidates uint64 // digest of the candidates known to the instance
	Competes   bool   // the instance competes for the lease
}

// instanceState is the newest report of one instance.
type instanceState struct {
	reportedAt time.Time
	member     Member
	demand     map[string]TargetDemand
	loads      map[string]Load
	storeDown  bool  // the instance didn't reach the platform's store
	version    int64 // of the configuration in force at the instance
}

// targetState is the demand for a target over all instances.
type targetState struct {
	concurrency   float64 // concurrent requests, in flight or waiting; rises at once and decays slowly
	waiting       int
	requests      float64   // received, decaying with rateDecayTime
	work          float64   // server time of the requests in seconds, decaying with workDecayTime
	lastRequested time.Time // when a request was last reported
	rates         rankRates
	value         requestValue
	goalAt        time.Time // when a request with that goal was last reported
}

// NewDemandTracker returns a tracker without any targets.
func NewDemandTracker() *DemandTracker {
	return &DemandTracker{targets: map[string]*targetState{}, instances: map[string]*instanceState{}, decayTime: maxDecayTime, holdSeconds: defaultHoldSeconds, speeds: newSpeedTracker()}
}

// SetDecayTime sets the time constant with which past demand decays.
func (d *DemandTracker) SetDecayTime(t time.Duration) { d.decayTime = t }

// instanceTimeout is how long after its newest report an instance counts as gone: five
// report intervals.
const instanceTimeout = 2500 * time.Millisecond

// HandleReport processes an instance's report.
func (d *DemandTracker) HandleReport(now time.Time, report InstanceReport) {
	if now.Sub(d.lastReportAt) > instanceTimeout {
		d.listeningSince = now // the first report of this lease, or after a long gap
	}
	d.lastReportAt = now
	member := Member{Name: report.Instance, Domain: report.Domain, Addr: report.Addr, Cores: report.Cores}
	d.instances[report.Instance] = &instanceState{reportedAt: now, member: member, demand: report.TargetDemand, loads: report.Loads, storeDown: report.StoreDown, version: report.Version}
	d.speeds.estimator.Add(report.Speeds)
	d.accounts.note(now, report.Instance, report.Accounts)
	for name, a := range report.TargetDemand {
		if a.Requests > 0 || a.Waiting > 0 {
			t := d.target(name)
			t.lastRequested = now
			t.requests += float64(a.Requests)
			t.work += a.Work.Seconds()
			t.noteGoal(now, shortestGoal(&a))
		}
		d.addRates(now, name, &a)
	}
}

// target returns the state of a target, which it creates if needed.
func (d *DemandTracker) target(name string) *targetState {
	t := d.targets[name]
	if t == nil {
		t = &targetState{value: unknownValue}
		d.targets[name] = t
	}
	return t
}

// Update brings the demand of all targets up to date.
func (d *DemandTracker) Update(now time.Time) {
	totals := map[string]TargetDemand{}
	for name, i := range d.instances {
		if now.Sub(i.reportedAt) > instanceTimeout {
			delete(d.instances, name)
			continue
		}
		for target, a := range i.demand {
			s := totals[target]
			s.Waiting += a.Waiting
			s.InFlight += a.InFlight
			for rank, r := range a.ByRank {
				s.ByRank[rank].Waiting += r.Waiting
				s.ByRank[rank].InFlight += r.InFlight
			}
			totals[target] = s
		}
	}
	for name := range totals {
		d.target(name)
	}
	if d.startedAt.IsZero() {
		d.startedAt, d.updatedAt = now, now
	}
	elapsed := now.Sub(d.updatedAt).Seconds()
	d.updatedAt = now
	d.updateHoldTime(now, totals, elapsed)
	keep := math.Exp(-elapsed / d.decayTime.Seconds())
	keepWork := math.Exp(-elapsed / workDecayTime.Seconds())
	keepWeight := math.Exp(-elapsed / weightDecayTime.Seconds())
	keepRate := math.Exp(-elapsed / rateDecayTime.Seconds())
	for name, t := range d.targets {
		sum := totals[name]
		t.waiting = sum.Waiting
		t.requests *= keepRate
		t.work *= keepWork
		current := max(float64(sum.Waiting+sum.InFlight), t.requests/d.rateWindow(now)*d.holdSeconds*rateWeight)
		t.concurrency = max(current, t.concurrency*keep+current*(1-keep))
		if weight := meanWeight(&sum); weight > 0 {
			t.value.weight = t.value.weight*keepWeight + weight*(1-keepWeight)
		}
		if t.concurrency < minDemand && now.Sub(t.lastRequested) > d.decayTime {
			delete(d.targets, name)
		}
	}
	d.updateVersions()
}

// updateVersions finds the targets that are asked for at some software version alone.
func (d *DemandTracker) updateVersions() {
	d.versions = map[string][]string{}
	for name := range d.targets {
		if target, version := topology.CutVersion(name); version != "" {
			d.versions[target] = append(d.versions[target], version)
		}
	}
	for _, versions := range d.versions {
		slices.Sort(versions)
	}
}

// Versions returns the software versions at which a target was lately asked for by requests
// that can't run at another one, since they go on with a stream.
func (d *DemandTracker) Versions(target string) []string { return d.versions[target] }

// rateWindow returns the time in seconds that the decaying request counts stand for:
// rateDecayTime, or less if the tracker is younger. With the full time, a new lease
// holder would take the few requests reported so far for a low rate, overestimate the
// time that requests occupy a slot several times, and find that every model lacks
// replicas.
func (d *DemandTracker) rateWindow(now time.Time) float64 {
	age := max(now.Sub(d.startedAt), minRateWindow)
	return rateDecayTime.Seconds() * (1 - math.Exp(-age.Seconds()/rateDecayTime.Seconds()))
}

// minRateWindow is the shortest time over which a rate is computed: one report from
// each instance.
const minRateWindow = time.Second

// updateHoldTime updates the mean time that a request occupies a slot: the requests in
// flight divided by the request rate.
func (d *DemandTracker) updateHoldTime(now time.Time, totals map[string]TargetDemand, elapsed float64) {
	inFlight, requests := 0.0, 0.0
	for _, s := range totals {
		inFlight += float64(s.InFlight)
	}
	for _, t := range d.targets {
		requests += t.requests
	}
	if requests < 1 || inFlight < 1 || now.Sub(d.startedAt) < minRateWindow {
		return
	}
	keep := math.Exp(-elapsed / holdDecayTime.Seconds())
	d.holdSeconds = d.holdSeconds*keep + inFlight/(requests/d.rateWindow(now))*(1-keep)
}

// Concurrency returns a target's recent demand in concurrent requests, including
// waiting ones.
func (d *DemandTracker) Concurrency(target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.concurrency
	}
	return 0
}

// HoldSeconds returns the mean time in seconds that a request occupies a slot.
func (d *DemandTracker) HoldSeconds() float64 { return d.holdSeconds }

// Value returns what the mean request for a target is worth.
func (d *DemandTracker) Value(target string) requestValue {
	if t := d.targets[target]; t != nil {
		return t.value
	}
	return unknownValue
}

// noteGoal records the goal of requests just reported; 0: they have none. The shortest one of
// the last decay time holds.
func (t *targetState) noteGoal(now time.Time, goal time.Duration) {
	if goal <= 0 {
		return
	}
	if t.value.goal == 0 || goal <= t.value.goal || now.Sub(t.goalAt) > maxDecayTime {
		t.value.goal, t.goalAt = goal, now
	}
}

// Rate returns a target's recent request rate in requests per second.
func (d *DemandTracker) Rate(now time.Time, target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.requests / d.rateWindow(now)
	}
	return 0
}

// Work returns how many servers a target's recent requests kept busy, or would have.
func (d *DemandTracker) Work(target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.work / workDecayTime.Seconds()
	}
	return 0
}

// Waiting returns how many requests wait for a target.
func (d *DemandTracker) Waiting(target string) int {
	if t := d.targets[target]; t != nil {
		return t.waiting
	}
	return 0
}

// LastRequested returns when a target was last requested, zero if not recently.
func (d *DemandTracker) LastRequested(target string) time.Time {
	if t := d.targets[target]; t != nil {
		return t.lastRequested
	}
	return time.Time{}
}

// ListeningSince returns since when instances have reported to this one without a long gap.
func (d *DemandTracker) ListeningSince() time.Time { return d.listeningSince }

// CountedAll reports whether each live instance that reaches this one has had the time to
// report to it. Until then the count of instances has only begun, and who divides something
// by it takes several times its share.
func (d *DemandTracker) CountedAll(now time.Time) bool {
	return !d.listeningSince.IsZero() && now.Sub(d.listeningSince) >= instanceTimeout
}

// Instances returns the number of live instances in each failure domain.
func (d *DemandTracker) Instances() map[string]int {
	out := map[string]int{}
	for _, i := range d.instances {
		out[i.member.Domain]++
	}
	return out
}

// AllReportedSince reports whether every live instance has reported after the given
// time, and so has received what the lease holder knew then.
func (d *DemandTracker) AllReportedSince(since time.Time) bool {
	for _, i := range d.instances {
		if !i.reportedAt.After(since) {
			return false
		}
	}
	return true
}

// Version returns the newest version of the configuration in force at any live
// instance.
func (d *DemandTracker) Version() int64 {
	newest := int64(0)
	for _, i := range d.instances {
		newest = max(newest, i.version)
	}
	return newest
}

// Candidates returns the instances that should compete for the lease.
func (d *DemandTracker) Candidates() Candidates {
	members := make([]Member, 0, len(d.instances))
	for _, i := range d.instances {
		members = append(members, i.member)
	}
	return chooseCandidates(members)
}

// Gateways returns the instances that may be gateways.
func (d *DemandTracker) Gateways() gateway.Members {
	members := make([]gateway.Member, 0, len(d.instances))
	for _, i := range d.instances {
		members = append(members, gateway.Member{Domain: i.member.Domain, Addr: i.member.Addr})
	}
	return gateway.ChooseMembers(members)
}

// Positions returns each live instance's index in the list of all, from 0.
func (d *DemandTracker) Positions() map[string]int {
	out := make(map[string]int, len(d.instances))
	for n, name := range slices.Sorted(maps.Keys(d.instances)) {
		out[name] = n
	}
	return out
}

// InstanceNames returns the names of the live instances.
func (d *DemandTracker) InstanceNames() []string { return slices.Collect(maps.Keys(d.instances)) }

// InstanceAddrs returns the addresses of the live instances for other instances.
func (d *DemandTracker) InstanceAddrs() []string {
	out := make([]string, 0, len(d.instances))
	for _, i := range d.instances {
		out = append(out, i.member.Addr)
	}
	return out
}

// maxReportAge is the maximum age of an instance's report that it doesn't reach the
// store: less than the wait of a new lease holder before its first order, and more than
// the time between two reports.
const maxReportAge = 800 * time.Millisecond

// AllStoreDown reports whether each of the named instances has just reported that it
// doesn't reach the store. An instance without a recent report may reach the store.
func (d *DemandTracker) AllStoreDown(now time.Time, names []string) bool {
	for _, name := range names {
		i := d.instances[name]
		if i == nil || !i.storeDown || now.Sub(i.reportedAt) > maxReportAge {
			return false
		}
	}
	return len(names) > 0
}

// ExpectedRequests returns, for each target, the requests that wait at any instance or
// will arrive within the horizon.
func (d *DemandTracker) ExpectedRequests(now time.Time, horizon time.Duration) map[string]float64 {
	out := make(map[string]float64, len(d.targets))
	for name := range d.targets {
		out[name] = d.Rate(now, name) * horizon.Seconds()
	}
	for _, i := range d.instances {
		for name, a := range i.demand {
			out[name] += float64(a.Waiting)
		}
	}
	return out
}
