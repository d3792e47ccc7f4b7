package decide

import (
	"math"
	"slices"
)

// loadBurst is how many seconds' worth of the store's rate may be saved up: one
// plan must not begin more loads than the store takes in a short while, or they
// all slow down together.
const loadBurst = 10.0

// loadBudget keeps the planner within each partner's weight store. Failure
// domains share a store and don't talk about it, so each takes an equal part.
type loadBudget struct {
	tokens map[string]float64 // by partner: loads
}

// allowed returns how many loads each partner's store may begin now.
func (b *loadBudget) allowed(w *planView) map[string]int {
	loads := map[string]int{}
	for _, m := range w.in.Config.Models {
		loads[m.Owner] = math.MaxInt
	}
	for _, a := range w.in.Config.Adapters {
		loads[a.Owner] = math.MaxInt
	}
	for owner := range loads {
		limits, ok := w.in.Stores[owner]
		if !ok {
			continue
		}
		parts := float64(max(domainsOf(w, owner), 1))
		if limits.LoadsPerSecond > 0 {
			b.refill(owner, limits.LoadsPerSecond/parts, w.elapsed)
			loads[owner] = min(loads[owner], int(b.tokens[owner]))
		}
		if limits.ConcurrentLoads > 0 {
			most := max(int(float64(limits.ConcurrentLoads)/parts), 1)
			loads[owner] = min(loads[owner], most-w.loading(owner))
		}
		loads[owner] = max(loads[owner], 0)
	}
	return loads
}

func (b *loadBudget) refill(owner string, rate, elapsed float64) {
	most := max(rate*loadBurst, 1)
	old, ok := b.tokens[owner]
	if !ok {
		old = most
	}
	b.tokens[owner] = min(max(old, -most)+rate*elapsed, most)
}

// domainsOf counts the failure domains that have pools of the partner.
func domainsOf(w *planView, owner string) int {
	n := 0
	for _, d := range w.in.Domains {
		for _, p := range w.in.Config.Pools {
			if p.Owner == owner && slices.Contains(p.FailureDomains, d) {
				n++
				break
			}
		}
	}
	return n
}

// loading counts the partner's items that are assigned but not yet served.
func (w *planView) loading(owner string) int {
	n := 0
	for _, s := range w.servers {
		if !s.open {
			continue
		}
		for _, i := range s.Assigned {
			if w.owner(i) == owner && !slices.Contains(s.Ready, i) {
				n++
			}
		}
	}
	return n
}
