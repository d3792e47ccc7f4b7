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
	// SampleOwn is how many entry instances of the own failure domain are asked
	// each time. A balancer spreads callers evenly, so a few speak for all; the
	// cost stays the same however many instances there are.
	OwnDomainSample = 4
	// SampleOthers is how many of all other failure domains are asked each time.
	OtherDomainsSample = 2
	// AskEvery is the least time between two rounds. An answer names up to a
	// hundred targets in some 3 KB, so six of them in 15 s are 1.2 KB/s.
	SampleInterval = 15 * time.Second
	// SampleLife is how long an answer counts: four rounds.
	SampleTTL = 4 * SampleInterval
	// askTime bounds one round.
	sampleTimeout = 2 * time.Second
)

// Report is what an entry instance says of a failure domain.
type Report struct {
	Rates map[string]Rates      // what the domain was asked for through it, by target
	Loads map[string]infra.Load // the loads that rode on its answers lately, by server
}

// Asker asks an entry instance what a failure domain was asked for through it.
type Querier interface {
	Demand(ctx context.Context, instance infra.Instance, domain string) (Report, error)
}

// Collector estimates what callers ask of one failure domain from a sample of
// entry instances.
type Collector struct {
	domain  string
	querier Querier
	entries func() []infra.Instance // the live ones, of all failure domains

	mu        sync.Mutex
	rng       *rand.Rand
	lastRound time.Time         // when the last round began
	samples   map[string]sample // by instance id
}

// sample is one instance's answer.
type sample struct {
	receivedAt time.Time
	domain     string // where the instance is
	report     Report
}

// NewCollector returns a collector for a failure domain.
func NewCollector(domain string, querier Querier, entries func() []infra.Instance, rng *rand.Rand) *Collector {
	return &Collector{domain: domain, querier: querier, entries: entries, rng: rng, samples: map[string]sample{}}
}

// Collect returns the estimate of the failure domain's whole demand, by target,
// after asking a new sample if AskEvery has passed.
func (c *Collector) Collect(ctx context.Context) map[string]Rates {
	entries := c.entries()
	if c.startRound(time.Now()) {
		c.sampleRound(ctx, entries)
	}
	return c.estimate(time.Now(), entries)
}

// due says whether a round is, and notes that it begins.
func (c *Collector) startRound(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastRound) < SampleInterval {
		return false
	}
	c.lastRound = now
	return true
}

// round asks a new sample.
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
	_ = group.Wait() // ask returns no error: an instance that is silent is not counted
}

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

// choose draws the instances to ask.
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

// Loads returns the newest loads that the samples told of, by server.
func (c *Collector) Loads() map[string]infra.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := map[string]infra.Load{}
	told := map[string]time.Time{}
	for _, s := range c.samples {
		for server, load := range s.report.Loads {
			if s.receivedAt.After(told[server]) {
				loads[server], told[server] = load, s.receivedAt
			}
		}
	}
	return loads
}

// estimate scales what the newest samples of each failure domain say to all
// instances there.
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
