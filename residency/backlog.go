package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/decide"
)

const (
	// rankRateTime is the time constant with which past requests decay in a target's arrivals
	// and starts by rank. It spans a few reports of each instance.
	rankRateTime = 2 * time.Second
	// backlogRetention is how long after a request last waited for a target its backlog is still
	// sent, so that instances know its rates between two bursts.
	backlogRetention = 3 * time.Second
	// maxBacklogs is the number of targets whose backlogs are sent at most, those with most
	// waiting first. They take some 2 KB.
	maxBacklogs = 32
)

// rankRates are a target's arrivals and starts by rank over all instances.
type rankRates struct {
	arrivals  [decide.Ranks]float64 // requests, decaying with rankRateTime
	starts    [decide.Ranks]float64 // of them, requests first sent to servers; decaying likewise
	updatedAt time.Time
	waitedAt  time.Time // when a request was last reported as waiting; zero: never, or not by rank
}

// add counts an instance's report of the target.
func (r *rankRates) add(now time.Time, demand *TargetDemand) {
	keep := r.decay(now)
	r.updatedAt = now
	for rank := range demand.ByRank {
		b := &demand.ByRank[rank]
		r.arrivals[rank] = r.arrivals[rank]*keep + float64(b.Requests)
		r.starts[rank] = r.starts[rank]*keep + float64(b.Starts)
		if b.Waiting > 0 {
			r.waitedAt = now
		}
	}
}

// decay returns the factor, from 0 to 1, by which the counts have decayed since the last update.
func (r *rankRates) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(r.updatedAt).Seconds() / rankRateTime.Seconds())
}

// addRates counts an instance's report of a target, if it has ranks.
func (d *DemandTracker) addRates(now time.Time, target string, demand *TargetDemand) {
	if demand.ByRank == ([decide.Ranks]RankDemand{}) {
		return
	}
	d.target(target).rates.add(now, demand)
}

// Backlogs returns the sums of all live instances' requests by target, at most maxBacklogs, those
// with most waiting first. It holds only targets for which requests have waited within
// backlogRetention.
func (d *DemandTracker) Backlogs(now time.Time) []decide.Backlog {
	var out []decide.Backlog
	window := d.rankRateWindow(now)
	index := map[string]int{}
	for name, t := range d.targets {
		r := &t.rates
		if r.waitedAt.IsZero() || now.Sub(r.waitedAt) > backlogRetention {
			continue
		}
		index[name] = len(out)
		b := decide.Backlog{Target: name}
		keep := r.decay(now)
		for rank := range b.Arrivals {
			b.Arrivals[rank] = r.arrivals[rank] * keep / window
			b.Starts[rank] = r.starts[rank] * keep / window
		}
		out = append(out, b)
	}
	for _, i := range d.instances {
		if now.Sub(i.reportedAt) > instanceTimeout {
			continue
		}
		for name, demand := range i.demand {
			n, found := index[name]
			for rank := 0; found && rank < decide.Ranks; rank++ {
				out[n].Waiting[rank] += float64(demand.ByRank[rank].Waiting)
			}
		}
	}
	slices.SortFunc(out, func(a, b decide.Backlog) int {
		return cmp.Or(cmp.Compare(decide.SumRanks(b.Waiting), decide.SumRanks(a.Waiting)), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxBacklogs)]
}

// rankRateWindow returns the time in seconds by which the decaying counts by rank are divided to get
// rates, as rateWindow does for all requests.
func (d *DemandTracker) rankRateWindow(now time.Time) float64 {
	age := minRateWindow
	if !d.listeningSince.IsZero() {
		age = max(now.Sub(d.listeningSince), minRateWindow)
	}
	return rankRateTime.Seconds() * (1 - math.Exp(-age.Seconds()/rankRateTime.Seconds()))
}
