package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/infra"
)

const (
	// loadWorth is how many lost requests one load is worth where the partner's
	// two weights are equal. Waiting until a load would have paid for itself
	// costs at most twice what a planner that knew the future would pay, and no
	// move follows noise.
	loadWorth = 3.0
	// regretHalfLife is how long a lost request counts: demand that comes and
	// goes within minutes doesn't add up to a move for ever.
	regretHalfLife = 5 * time.Minute
	// crowded is the load at which callers of a model begin to wait.
	crowded = 0.9
	// spare is the most load that a server may have to be given more to do.
	spare = 0.7
	// minResidence is how long an item stays before demand may move it.
	minResidence = 2 * time.Minute
	// maxShifts bounds the shifts of one plan: the next one, seconds later, sees
	// what they brought.
	maxShifts = 8
	// evictRatio is how much more a new replica must be worth than what goes.
	evictRatio = 1.0
)

// observe adds up what callers lost since the last plan for want of a replica.
// While no server has slots to spare nothing adds up: what is lost then is lost
// for want of servers, and no move brings it back.
func (p *Planner) observe(w *planView) {
	keep := math.Exp2(-w.elapsed / regretHalfLife.Seconds())
	for name := range p.regret {
		if p.regret[name] *= keep; p.regret[name] < 0.01 {
			delete(p.regret, name)
		}
	}
	if !slices.ContainsFunc(w.servers, func(s *planServer) bool { return s.open && s.pressure <= spare }) {
		return
	}
	for name := range w.in.Demand {
		if lost := w.unmet(name); lost > 0 && w.declared(w.item(name)) {
			p.regret[name] += lost * w.elapsed * w.partner(w.owner(w.item(name))).AttainmentWeight
		}
	}
}

// unmet returns the requests a second that one more replica could serve: those
// refused, and a part of the others where each replica here is crowded. While
// one loads nothing counts, since it isn't known yet how much it helps.
func (w *planView) unmet(name string) float64 {
	d := w.in.Demand[name]
	least := math.Inf(1)
	for _, s := range w.replicas[name] {
		if !s.serves(w.item(name)) {
			return 0
		}
		least = min(least, s.pressure)
	}
	if math.IsInf(least, 1) {
		return d.RefusedPerSecond
	}
	return d.RefusedPerSecond + d.RequestsPerSecond*min(max(least-crowded, 0), 1)
}

// shift adds replicas where callers lose more than the loads are worth, the
// largest loss first. It is for demand that moves between models: a server with
// spare slots takes over from crowded ones, at the cost of replicas that are
// worth less.
func (w *planView) shift() {
	names := sortedNames(w.p.regret)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(w.p.regret[b], w.p.regret[a]) })
	shifts := 0
	for _, name := range names {
		if w.declared(w.item(name)) && !w.isReserved(name) && w.p.regret[name] >= w.price(name) && w.shiftOne(name) {
			if shifts++; shifts == maxShifts {
				return
			}
		}
	}
}

// price returns what a load has to bring in before it is made.
func (w *planView) price(name string) float64 {
	return loadWorth * w.partner(w.owner(w.item(name))).MovesWeight
}

func (w *planView) shiftOne(name string) bool {
	lost := w.unmet(name)
	if lost <= 0 {
		return false
	}
	item := w.item(name)
	weight := w.partner(w.owner(item)).AttainmentWeight
	var best *planServer
	var gone []victim
	most := 0.0
	for _, s := range w.servers {
		if !s.open || s.has(name) || s.pressure > spare {
			continue
		}
		size := sizeOf(w.itemsFor(s, item))
		if !w.allows(s, item.Model, size) {
			continue
		}
		v, value, ok := w.clear(s, size, w.in.Now.Add(-minResidence))
		gain := lost*(1-s.pressure)*weight - evictRatio*value
		if ok && gain > most {
			best, gone, most = s, v, gain
		}
	}
	return best != nil && w.take(best, gone, w.itemsFor(best, item), most)
}

// take makes the shift, or clears the memory for it.
func (w *planView) take(s *planServer, gone []victim, items []infra.Item, gain float64) bool {
	name := nameOfItem(items[len(items)-1])
	if len(gone) > 0 {
		w.evict(s, gone, items, moveDemand)
	} else if !w.add(s, items, moveDemand, gain) {
		return false
	}
	delete(w.p.regret, name)
	s.pressure += crowded - spare
	return true
}
