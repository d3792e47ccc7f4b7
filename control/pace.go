package control

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"greengageferry/infra"
)

// fallbackLimits are used for a store whose limits aren't known. They are below
// the limits of both partners' stores.
var fallbackLimits = infra.StoreLimits{LoadsPerSecond: 0.5, ConcurrentLoads: 1}

// loadLimiter keeps a failure domain's loads within its share of each partner's
// weight store. The domains that share a store divide its limits evenly, without
// communication: the rate exactly, the concurrent loads rounded down but at least
// one each. With more domains than concurrent loads, the store may therefore get
// a few more at once; it slows them down, and the rate limit still holds.
//
// Without the division, the loads of a domain that restarts with all servers
// empty would delay the first replicas of the others.
type loadLimiter struct {
	limits         map[string]infra.StoreLimits // by partner, as the store returned them
	sharingDomains map[string]int               // by partner: domains that share its store
	rates          map[string]*rate.Limiter
}

func newLoadLimiter() *loadLimiter {
	return &loadLimiter{limits: map[string]infra.StoreLimits{}, sharingDomains: map[string]int{}, rates: map[string]*rate.Limiter{}}
}

// update sets the stores' limits and the number of domains that share each store,
// both by partner.
func (p *loadLimiter) update(now time.Time, limits map[string]infra.StoreLimits, sharingDomains map[string]int) {
	p.limits, p.sharingDomains = maps.Clone(limits), maps.Clone(sharingDomains)
	for partner, limiter := range p.rates {
		if r := p.loadRate(partner); r != limiter.Limit() {
			limiter.SetLimitAt(now, r)
		}
	}
}

// sharers returns the number of domains that share the partner's store.
func (p *loadLimiter) sharers(partner string) int { return max(1, p.sharingDomains[partner]) }

// limitsFor returns the whole store's limits, with fallbacks for unknown ones.
func (p *loadLimiter) limitsFor(partner string) infra.StoreLimits {
	l, known := p.limits[partner]
	if !known || l.LoadsPerSecond <= 0 {
		l.LoadsPerSecond = fallbackLimits.LoadsPerSecond
	}
	if !known || l.ConcurrentLoads <= 0 {
		l.ConcurrentLoads = fallbackLimits.ConcurrentLoads
	}
	return l
}

// loadRate returns the domain's share of the store's loads per second.
func (p *loadLimiter) loadRate(partner string) rate.Limit {
	return rate.Limit(p.limitsFor(partner).LoadsPerSecond / float64(p.sharers(partner)))
}

// maxConcurrent returns how many loads the domain may have in progress at once.
func (p *loadLimiter) maxConcurrent(partner string) int {
	return max(1, p.limitsFor(partner).ConcurrentLoads/p.sharers(partner))
}

// allow reports whether the domain may start one more load while inProgress are
// running, and counts the load if so. The burst is 1, because the store's rate is
// a limit at every moment.
func (p *loadLimiter) allow(now time.Time, partner string, inProgress int) bool {
	if inProgress >= p.maxConcurrent(partner) {
		return false
	}
	limiter := p.rates[partner]
	if limiter == nil {
		limiter = rate.NewLimiter(p.loadRate(partner), 1)
		p.rates[partner] = limiter
	}
	return limiter.AllowN(now, 1)
}

// storeLimits returns the whole stores' limits by partner, for the planner, which
// divides them among the failure domains itself.
func (p *loadLimiter) storeLimits() map[string]infra.StoreLimits {
	out := map[string]infra.StoreLimits{}
	for _, partner := range slices.Sorted(maps.Keys(p.limits)) {
		out[partner] = p.limitsFor(partner)
	}
	return out
}
