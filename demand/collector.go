package demand

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
)

const (
	// OwnDomainSample is the number of entry instances in the collector's own
	// failure domain that are queried per round. A load balancer spreads callers
	// evenly, so a few instances represent all of them, and the cost doesn't
	// grow with the number of instances.
	OwnDomainSample = 4
	// OtherDomainsSample is the number of instances that are queried per round in
	// all other failure domains together.
	OtherDomainsSample = 2
	// SampleInterval is the minimum time between two rounds. An answer has up to
	// a hundred targets in about 3 KB, so six answers in 15 s are 1.2 KB/s.
	SampleInterval = 15 * time.Second
	// SampleTTL is how long an answer is used: four rounds.
	SampleTTL = 4 * SampleInterval
	// sampleTimeout limits the time of one round.
	sampleTimeout = 2 * time.Second
)

// Report is an entry instance's report on a failure domain.
type Report struct {
	Rates map[string]Rates      // demand for the domain's servers through the instance, by target
	Loads map[string]infra.Load // recent loads reported in the servers' answers, by server
}

// Querier queries an entry instance for its report on a failure domain.
type Querier interface {
	Demand(ctx context.Context, instance infra.Instance, domain string) (Report, error)
}

// Collector estimates the callers' demand for one failure domain from a sample of
// entry instances.
type Collector struct {
	domain  string
	querier Querier
	entries func() []infra.Instance // returns the live entry instances of all failure domains

	mu        sync.Mutex
	rng       *rand.Rand
	lastRound time.Time         // start of the last round
	samples   map[string]sample // by instance id
}

// sample is the answer of one instance.
type sample struct {
	receivedAt time.Time
	domain     string // the failure domain of the instance
	report     Report
}

// NewCollector returns a collector for a failure domain.
func NewCollector(domain string, querier Querier, entries func() []infra.Instance, rng *rand.Rand) *Collector {
	return &Collector{domain: domain, querier: querier, entries: entries, rng: rng, samples: map[string]sample{}}
}

// Collect returns the estimated demand for the failure domain from all callers, by
// target. It queries a new sample first if SampleInterval has passed.
func (c *Collector) Collect(ctx context.Context) map[string]Rates {
	entries := c.entries()
	if c.startRound(time.Now()) {
		c.sampleRound(ctx, entries)
	}
	return c.estimate(time.Now(), entries)
}

// startRound reports whether a round is due and, if so, records its start.
func (c *Collector) startRound(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastRound) < SampleInterval {
		return false
	}
	c.lastRound = now
	return true
}

// sampleRound queries a new sample of instances.
func (c *Collector) sampleRound(ctx context.Context, entries []infra.Instance) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	var group errgroup.Group
	for _, instance := range c.chooseInstances(entries) {
		group.Go(func() error {
			c.query(ctx, instance)
			return nil
		})
	}
	_ = group.Wait() // query returns no error; an instance that fails to answer is not counted
}

// query stores the answer of one instance, or removes its earlier answer after a
// failure.
func (c *Collector) query(ctx context.Context, instance infra.Instance) {
	report, err := c.querier.Demand(ctx, instance, c.domain)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.samples, instance.ID)
		return
	}
	c.samples[instance.ID] = sample{receivedAt: time.Now(), domain: instance.FailureDomain, report: report}
}

// chooseInstances returns a random choice of the instances to query.
func (c *Collector) chooseInstances(entries []infra.Instance) []infra.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chosen []infra.Instance
	left := map[bool]int{true: OwnDomainSample, false: OtherDomainsSample}
	for _, i := range c.rng.Perm(len(entries)) {
		own := entries[i].FailureDomain == c.domain
		if left[own] == 0 {
			continue
		}
		left[own]--
		chosen = append(chosen, entries[i])
	}
	return chosen
}

// Loads returns the newest loads in the samples, by server.
func (c *Collector) Loads() map[string]infra.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := map[string]infra.Load{}
	newest := map[string]time.Time{}
	for _, s := range c.samples {
		for server, load := range s.report.Loads {
			if s.receivedAt.After(newest[server]) {
				loads[server], newest[server] = load, s.receivedAt
			}
		}
	}
	return loads
}

// estimate returns the sum of the samples' rates. The rates from each failure domain
// are scaled from the sampled instances to all instances there.
func (c *Collector) estimate(now time.Time, entries []infra.Instance) map[string]Rates {
	c.mu.Lock()
	defer c.mu.Unlock()
	instances := map[string]int{}
	for _, e := range entries {
		instances[e.FailureDomain]++
	}
	sampled := map[string]int{}
	for id, s := range c.samples {
		if now.Sub(s.receivedAt) > SampleTTL {
			delete(c.samples, id)
			continue
		}
		sampled[s.domain]++
	}
	total := map[string]Rates{}
	for _, s := range c.samples {
		scale := float64(instances[s.domain]) / float64(sampled[s.domain])
		for target, r := range s.report.Rates {
			t := total[target]
			t.Requests += r.Requests * scale
			t.Tokens += r.Tokens * scale
			t.Refused += r.Refused * scale
			total[target] = t
		}
	}
	return total
}
