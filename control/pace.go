package control

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"greengageferry/infra"
)

// fallbackLimits are a store's limits while it has told none: slower than
// either partner's store is today.
var fallbackLimits = infra.StoreLimits{LoadsPerSecond: 0.5, ConcurrentLoads: 1}

// pacer keeps a failure domain's loads within its part of each partner's
// weight store. The domains that have servers divide a store evenly, without
// asking each other: its loads a second exactly, and its loads at a time
// rounded, but at least one each. With more domains than loads at a time the
// store may so see a few more at once; it then slows them, and the rate still
// bounds them.
//
// The load it is for: a domain that restarts with every server empty. The harm
// prevented: one domain's loads taking the store from the others' first replicas.
type pacer struct {
	limits map[string]infra.StoreLimits // by partner, as the store told
	parts  map[string]int               // by partner: domains that share its store
	rates  map[string]*rate.Limiter
}

func newPacer() *pacer {
	return &pacer{limits: map[string]infra.StoreLimits{}, parts: map[string]int{}, rates: map[string]*rate.Limiter{}}
}

// set takes in the stores' limits and, by partner, the number of domains that
// share its store.
func (p *pacer) set(now time.Time, limits map[string]infra.StoreLimits, parts map[string]int) {
	p.limits, p.parts = maps.Clone(limits), maps.Clone(parts)
	for partner, limiter := range p.rates {
		if r := p.rate(partner); r != limiter.Limit() {
			limiter.SetLimitAt(now, r)
		}
	}
}

func (p *pacer) sharers(partner string) int { return max(1, p.parts[partner]) }

func (p *pacer) of(partner string) infra.StoreLimits {
	l, known := p.limits[partner]
	if !known || l.LoadsPerSecond <= 0 {
		l.LoadsPerSecond = fallbackLimits.LoadsPerSecond
	}
	if !known || l.ConcurrentLoads <= 0 {
		l.ConcurrentLoads = fallbackLimits.ConcurrentLoads
	}
	return l
}

func (p *pacer) rate(partner string) rate.Limit {
	return rate.Limit(p.of(partner).LoadsPerSecond / float64(p.sharers(partner)))
}

// room returns how many loads the domain may have under way at a time.
func (p *pacer) room(partner string) int {
	return max(1, p.of(partner).ConcurrentLoads/p.sharers(partner))
}

// take asks for one more load, with loading under way now. A burst is one: the
// store's rate is a limit at every moment.
func (p *pacer) take(now time.Time, partner string, loading int) bool {
	if loading >= p.room(partner) {
		return false
	}
	limiter := p.rates[partner]
	if limiter == nil {
		limiter = rate.NewLimiter(p.rate(partner), 1)
		p.rates[partner] = limiter
	}
	return limiter.AllowN(now, 1)
}

// stores returns the stores' limits as a whole, for the planner: it takes the
// failure domain's part of them itself.
func (p *pacer) stores() map[string]infra.StoreLimits {
	out := map[string]infra.StoreLimits{}
	for _, partner := range slices.Sorted(maps.Keys(p.limits)) {
		out[partner] = p.of(partner)
	}
	return out
}
