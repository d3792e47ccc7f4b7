package residency

import (
	"math"
	"slices"
	"time"

	"greengageferry/decide"
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
	ByRank   [decide.Ranks]RankDemand // by decide.RankIndex; zero unless ranks compete for servers
}

// RankDemand is the part of a TargetDemand that has one rank.
type RankDemand struct {
	Requests int           // as in TargetDemand
	Waiting  int           // as in TargetDemand
	InFlight int           // as in TargetDemand
	Starts   int           // requests first sent to a server since the previous report
	Goal     time.Duration // shortest time to the first token that the newest requests' routes ask for; 0: none
}

// DemandTracker tracks demand over all instances. It is not safe for concurrent use.
type DemandTracker struct {
	targets     map[string]*targetState
	versions    map[string][]string // see Versions
	accounts    accountReports      // of client accounts
	instances   map[string]*instanceState
	decayTime   time.Duration // time constant with which past demand decays
	holdSeconds float64       // mean time that a request occupies a slot, over all targets
	startedAt   time.Time
	updatedAt   time.Time

	listeningSince time.Time // since when instances have reported to this one without a long gap
	lastReportAt   time.Time // when the newest report arrived

	speeds *speedTracker // of the servers
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

	Registration Registration // from the lease holder's newest answer to the instance
}

// instanceState is the newest report of one instance.
type instanceState struct {
	reportedAt time.Time
	member     Member
	demand     map[string]TargetDemand
	loads      map[string]Load
	version    int64 // of the configuration in force at the instance
}

// targetState is the demand for a target over all instances.
type targetState struct {
	concurrency   float64      // concurrent requests, in flight or waiting; rises at once and decays slowly
	waiting       int          // requests
	requests      float64      // received, decaying with rateDecayTime
	work          float64      // server time of the requests in seconds, decaying with workDecayTime
	lastRequested time.Time    // when a request was last reported
	rates         rankRates    // by rank
	value         requestValue // of the mean request
	goalAt        time.Time    // when a request with value.goal was last reported
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
	d.instances[report.Instance] = &instanceState{reportedAt: now, member: member, demand: report.TargetDemand, loads: report.Loads, version: report.Version}
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
	totals := d.sumDemand(now)
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

// sumDemand drops instances that are gone and returns the requests in flight and waiting of the
// others, by target.
func (d *DemandTracker) sumDemand(now time.Time) map[string]TargetDemand {
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
	return totals
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
