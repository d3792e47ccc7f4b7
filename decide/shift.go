package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/infra"
)

const (
	// lostRequestsPerLoad is how many lost requests justify one load where the
	// partner's two weights are equal. Waiting until the losses equal the cost of a
	// load costs at most twice as much as a planner that knew the future would pay,
	// and prevents moves that follow noise.
	lostRequestsPerLoad = 3.0
	// lostDemandHalfLife is the half-life of lost requests. It keeps demand that
	// comes and goes within minutes from adding up to a move.
	lostDemandHalfLife = 5 * time.Minute
	// crowdedUtilization is the utilization at which requests begin to wait.
	crowdedUtilization = 0.9
	// spareUtilization is the highest utilization at which a server is given more
	// models for demand.
	spareUtilization = 0.7
	// minResidence is how long an item stays assigned before demand may evict it.
	minResidence = 2 * time.Minute
	// maxRebalances bounds the replicas that one plan adds for demand. The next
	// plan, seconds later, sees their effect.
	maxRebalances = 8
	// evictRatio is how many times the value of the evicted models a new replica's
	// value must exceed.
	evictRatio = 1.0
)

// recordLostDemand adds the requests lost since the last plan for lack of a replica.
// Nothing is added while no server has spare slots: those requests are lost for lack of
// servers, which no move can change.
func (p *Planner) recordLostDemand(w *planState) {
	keep := math.Exp2(-w.elapsed / lostDemandHalfLife.Seconds())
	for name := range p.lostDemand {
		if p.lostDemand[name] *= keep; p.lostDemand[name] < 0.01 {
			delete(p.lostDemand, name)
		}
	}
	if !slices.ContainsFunc(w.servers, func(s *planServer) bool { return s.assignable && s.utilization <= spareUtilization }) {
		return
	}
	for name := range w.input.Demand {
		if lost := w.unmetDemand(name); lost > 0 && w.declared(w.item(name)) {
			p.lostDemand[name] += lost * w.elapsed * w.partnerWeights(w.owner(w.item(name))).AttainmentWeight
		}
	}
}

// unmetDemand returns the requests per second that one more replica could serve: the
// refused ones, and a part of the others where every replica in this domain is crowded.
// It returns 0 while a replica loads, since its effect isn't known yet.
func (w *planState) unmetDemand(name string) float64 {
	d := w.input.Demand[name]
	least := math.Inf(1)
	for _, s := range w.replicas[name] {
		if !s.serves(w.item(name)) {
			return 0
		}
		least = min(least, s.utilization)
	}
	if math.IsInf(least, 1) {
		return d.RefusedPerSecond
	}
	return d.RefusedPerSecond + d.RequestsPerSecond*min(max(least-crowdedUtilization, 0), 1)
}

// rebalance adds replicas for names whose lost demand exceeds the cost of a load, the
// largest loss first. It handles demand that moves between models: servers with spare
// slots take over from crowded ones, and less valuable replicas are evicted.
func (w *planState) rebalance() {
	names := sortedNames(w.p.lostDemand)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(w.p.lostDemand[b], w.p.lostDemand[a]) })
	added := 0
	for _, name := range names {
		if w.declared(w.item(name)) && !w.isReserved(name) && w.p.lostDemand[name] >= w.loadCost(name) && w.rebalanceOne(name) {
			if added++; added == maxRebalances {
				return
			}
		}
	}
}

// loadCost returns the lost demand at which a load of the name is justified.
func (w *planState) loadCost(name string) float64 {
	return lostRequestsPerLoad * w.partnerWeights(w.owner(w.item(name))).MovesWeight
}

func (w *planState) rebalanceOne(name string) bool {
	lost := w.unmetDemand(name)
	if lost <= 0 {
		return false
	}
	item := w.item(name)
	weight := w.partnerWeights(w.owner(item)).AttainmentWeight
	var best *planServer
	var evicted []victim
	bestGain := 0.0
	for _, s := range w.servers {
		if !s.assignable || s.has(name) || s.utilization > spareUtilization {
			continue
		}
		size := totalMiB(w.itemsFor(s, item))
		if !w.mayHost(s, item.Model, size) {
			continue
		}
		v, value, ok := w.clear(s, size, w.input.Now.Add(-minResidence))
		gain := lost*(1-s.utilization)*weight - evictRatio*value
		if ok && gain > bestGain {
			best, evicted, bestGain = s, v, gain
		}
	}
	return best != nil && w.startRebalance(best, evicted, w.itemsFor(best, item), bestGain)
}

// startRebalance adds the items, or evicts the victims and reserves the memory.
func (w *planState) startRebalance(s *planServer, evicted []victim, items []infra.Item, gain float64) bool {
	name := nameOfItem(items[len(items)-1])
	if len(evicted) > 0 {
		w.evict(s, evicted, items, moveDemand)
	} else if !w.add(s, items, moveDemand, gain) {
		return false
	}
	delete(w.p.lostDemand, name)
	s.utilization += crowdedUtilization - spareUtilization
	return true
}
