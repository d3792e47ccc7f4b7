package decide

import (
	"math"
	"slices"
)

// loadBurstSeconds is the capacity of the load token bucket, in seconds of the weight
// store's rate. One plan must not start more loads than the store handles in a short
// time, since all of them would slow down.
const loadBurstSeconds = 10.0

// loadBudget keeps the planner within the limits of each partner's weight store.
// Failure domains share a store without coordination, so each takes an equal part.
type loadBudget struct {
	tokens map[string]float64 // by partner: loads, in a token bucket
}

// allowed returns, by partner, how many loads may start now.
func (b *loadBudget) allowed(w *planState) map[string]int {
	loads := map[string]int{}
	for _, m := range w.input.Config.Models {
		loads[m.Owner] = math.MaxInt
	}
	for _, a := range w.input.Config.Adapters {
		loads[a.Owner] = math.MaxInt
	}
	for owner := range loads {
		limits, ok := w.input.Stores[owner]
		if !ok {
			continue
		}
		parts := float64(max(countDomains(w, owner), 1))
		if limits.LoadsPerSecond > 0 {
			b.refill(owner, limits.LoadsPerSecond/parts, w.elapsed)
			loads[owner] = min(loads[owner], int(b.tokens[owner]))
		}
		if limits.ConcurrentLoads > 0 {
			limit := max(int(float64(limits.ConcurrentLoads)/parts), 1)
			loads[owner] = min(loads[owner], limit-w.loadsInProgress(owner))
		}
		loads[owner] = max(loads[owner], 0)
	}
	return loads
}

func (b *loadBudget) refill(owner string, rate, elapsed float64) {
	capacity := max(rate*loadBurstSeconds, 1)
	old, ok := b.tokens[owner]
	if !ok {
		old = capacity
	}
	b.tokens[owner] = min(max(old, -capacity)+rate*elapsed, capacity)
}

// countDomains counts the failure domains that have pools of the partner.
func countDomains(w *planState, owner string) int {
	n := 0
	for _, d := range w.input.Domains {
		for _, p := range w.input.Config.Pools {
			if p.Owner == owner && slices.Contains(p.FailureDomains, d) {
				n++
				break
			}
		}
	}
	return n
}

// loadsInProgress counts the partner's items that are assigned but not yet ready.
func (w *planState) loadsInProgress(owner string) int {
	n := 0
	for _, s := range w.servers {
		if !s.assignable {
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
