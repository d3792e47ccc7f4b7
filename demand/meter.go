// Package demand measures the callers' demand for models and adapters, on which
// placement is based. Each entry instance counts its own requests in a Meter and
// keeps the servers' load reports in Loads. The lease holder of a failure domain
// runs a Collector, which queries a sample of instances and scales their rates to
// all instances.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// DecayTimeConstant is the time in which a count decays to 1/e. It is long
	// enough for a steady rate at three requests per second, and short compared
	// to the hour in which demand can change tenfold.
	DecayTimeConstant = 30 * time.Second
	// minCount is the count below which a target is dropped. A single request
	// decays to it in five time constants.
	minCount = 0.007
)

// Rates is the demand for one model or adapter, per second.
type Rates struct {
	Requests float64
	Tokens   float64
	Refused  float64 // requests refused for lack of capacity
}

// key is a target and the failure domain that served it or could have served it.
type key struct {
	target string
	domain string
}

// counts are exponentially decayed counts as of updatedAt. What was counted one
// DecayTimeConstant ago has a weight of 1/e.
type counts struct {
	updatedAt                 time.Time
	requests, tokens, refused float64
}

// Meter counts requests with exponential decay. Its methods are safe for concurrent
// use.
type Meter struct {
	mu     sync.Mutex
	counts map[key]*counts
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{counts: map[key]*counts{}} }

// Dispatched counts a request that was sent to a server in the failure domain.
func (m *Meter) Dispatched(now time.Time, target, domain string) {
	m.add(now, key{target, domain}, func(c *counts) { c.requests++ })
}

// Generated counts tokens of the answer to a request.
func (m *Meter) Generated(now time.Time, target, domain string, tokens int) {
	m.add(now, key{target, domain}, func(c *counts) { c.tokens += float64(tokens) })
}

// Refused counts a request that was refused for lack of capacity, split evenly among
// the failure domains that could have served it.
func (m *Meter) Refused(now time.Time, target string, domains []string) {
	part := 1 / float64(max(len(domains), 1))
	for _, domain := range domains {
		m.add(now, key{target, domain}, func(c *counts) { c.refused += part })
	}
}

// Rates returns the demand for a failure domain, by target.
func (m *Meter) Rates(now time.Time, domain string) map[string]Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := map[string]Rates{}
	for k, c := range m.counts {
		c.decay(now)
		if c.requests+c.refused+c.tokens < minCount {
			delete(m.counts, k)
			continue
		}
		if k.domain == domain {
			rates[k.target] = c.rates()
		}
	}
	return rates
}

// add decays the counts of the key to now and lets count change them.
func (m *Meter) add(now time.Time, k key, count func(*counts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counts[k]
	if c == nil {
		c = &counts{updatedAt: now}
		m.counts[k] = c
	}
	c.decay(now)
	count(c)
}

// decay decays the counts from updatedAt to now.
func (c *counts) decay(now time.Time) {
	passed := now.Sub(c.updatedAt)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed.Seconds() / DecayTimeConstant.Seconds())
	c.requests *= factor
	c.tokens *= factor
	c.refused *= factor
	c.updatedAt = now
}

// rates returns the counts as rates per second.
func (c *counts) rates() Rates {
	seconds := DecayTimeConstant.Seconds()
	return Rates{Requests: c.requests / seconds, Tokens: c.tokens / seconds, Refused: c.refused / seconds}
}
