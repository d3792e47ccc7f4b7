// Package demand measures what callers ask for, so that placement can follow
// it. Each entry instance meters its own requests; the lease holder of a
// failure domain asks a sample of instances and scales what they say.
package demand

import (
	"math"
	"sync"
	"time"
)

const (
	// TimeConstant is how long a request counts toward a rate: long enough
	// that an instance with three requests a second gives a steady figure, and
	// short beside the hour in which demand moves tenfold.
	DecayTimeConstant = 30 * time.Second
	// forgotten is the count at which a target is dropped: five time constants
	// after a single request.
	minCount = 0.007
)

// Rates is what is asked of one model or adapter, in a second.
type Rates struct {
	Requests float64
	Tokens   float64
	Refused  float64 // for want of capacity
}

// key names a target and the failure domain that served it, or would have.
type key struct {
	target string
	domain string
}

// counts decay: what was counted a TimeConstant ago weighs 1/e.
type counts struct {
	updatedAt                 time.Time
	requests, tokens, refused float64
}

// Meter counts requests with exponential decay. Its methods may be called from
// any goroutine.
type Meter struct {
	mu     sync.Mutex
	counts map[key]*counts
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{counts: map[key]*counts{}} }

// Dispatched counts a request sent to a server of the failure domain.
func (m *Meter) Dispatched(now time.Time, target, domain string) {
	m.add(now, key{target, domain}, func(c *counts) { c.requests++ })
}

// Generated counts the tokens of a request's answer.
func (m *Meter) Generated(now time.Time, target, domain string, tokens int) {
	m.add(now, key{target, domain}, func(c *counts) { c.tokens += float64(tokens) })
}

// Refused counts a request refused for want of capacity, spread evenly over the
// failure domains that could have served it.
func (m *Meter) Refused(now time.Time, target string, domains []string) {
	part := 1 / float64(max(len(domains), 1))
	for _, domain := range domains {
		m.add(now, key{target, domain}, func(c *counts) { c.refused += part })
	}
}

// Rates returns the rates of what a failure domain was asked, by target.
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

// decay brings the counts up to now.
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

func (c *counts) rates() Rates {
	seconds := DecayTimeConstant.Seconds()
	return Rates{Requests: c.requests / seconds, Tokens: c.tokens / seconds, Refused: c.refused / seconds}
}
