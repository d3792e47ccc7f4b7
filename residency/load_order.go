package residency

import (
	"cmp"
	"slices"
)

const (
	// storeLoadShare is the share of the concurrent loads at which the weight store's loads slow
	// each other down that is used while models compete: a late replica gains little.
	storeLoadShare = 0.9
	// diskLoadShare is the time of a load from a server's own disk or memory relative to one
	// from the weight store.
	diskLoadShare = 0.2
	// smallGainShare is the share of a useful batch below which a replica's gain is small. Such
	// loads begin only while less than freeServers of the pool's servers load anything, first
	// replicas whose turn has come also while less than firstLoadServers load such ones: a server
	// carries out one order at a time, and a load that has begun isn't stopped. The other servers
	// are kept for demand that moves.
	smallGainShare   = 0.25
	freeServers      = 0.75
	firstLoadServers = 0.3
	// fillShare is how much a busy server is preferred for a model with little demand, relative to
	// the room for all of its demand.
	fillShare = 0.25
	// idleLoadServers is the share of a pool's servers that may be loading models without
	// requests at once, while not all models fit.
	idleLoadServers = 0.1
)

// planByGain orders loads for the models that lack replicas, the one with the greatest priority
// first each time.
func (w *pool) planByGain(models []*model) []Order {
	for _, m := range models {
		w.setPriority(m)
	}
	var out []Order
	for len(models) > 0 {
		best := 0
		for i, m := range models {
			if w.comparePriority(m, models[best]) < 0 {
				best = i
			}
		}
		m := models[best]
		o, found := w.addReplica(m, "")
		if o != nil {
			out = append(out, *o)
		}
		if !found || len(m.replicas) >= m.desired {
			models = slices.Delete(models, best, best+1)
			continue
		}
		w.setPriority(m)
	}
	return out
}

// setPriority computes the model's priority for the next load: the gain for each second that it
// takes, and what its turn counts.
func (w *pool) setPriority(m *model) {
	load := m.LoadTime.Seconds()
	if w.onDisk[m.Name] > 0 {
		load *= diskLoadShare
	}
	m.priority, m.waitedGain = w.gain(m, len(m.replicas))/max(load, 0.001), 0
	if m.awaitsTurn() {
		m.waitedGain = w.turnGain(m)
	}
}

// comparePriority orders models that compete for loads: first those whose turn has come, for as
// many loads as are kept for turns, then by priority.
func (w *pool) comparePriority(a, b *model) int {
	if w.budget.turnTokens >= 1 && a.waitedGain != b.waitedGain {
		return cmp.Compare(b.waitedGain, a.waitedGain)
	}
	return cmp.Compare(b.priority, a.priority)
}

// gainIsSmall reports whether the nth replica of the model gains little.
func (w *pool) gainIsSmall(m *model, n int) bool {
	return w.gain(m, n-1) < smallGainShare*w.usefulBatch()
}

// countLoads counts the servers that are loading models, among them first replicas of small gain
// and models without requests.
func (w *pool) countLoads() {
	for _, s := range w.servers {
		m := w.models[s.loadingModel()]
		if m != nil {
			w.loads++
		}
		switch {
		case m == nil:
		case !m.requested():
			w.idleLoads++
		case len(m.replicas) == m.pending && w.gainIsSmall(m, 1):
			w.firstLoads++
		}
	}
}

// countLoad counts a load that begins.
func (w *pool) countLoad(m *model) {
	w.loads++
	if !m.requested() {
		w.idleLoads++
	}
	if len(m.replicas) == 1 && w.gainIsSmall(m, 1) {
		w.firstLoads++
	}
}

// mayLoad reports whether one more load of the model may begin beside those that are going on.
func (w *pool) mayLoad(m *model) bool {
	servers := float64(len(w.servers))
	switch {
	case w.contended && !m.requested():
		return false
	case w.crowded && !m.requested():
		return float64(w.idleLoads) < max(1, idleLoadServers*servers)
	case w.contended && w.gainIsSmall(m, len(m.replicas)+1):
		return float64(w.loads) < freeServers*servers || m.awaitsTurn() && float64(w.firstLoads) < max(1, firstLoadServers*servers)
	}
	return true
}

// roomCost returns the cost of placing the model on a server, in full batches, while models compete:
// the part of its demand that the server has no slots for beside its other models. A model with
// little demand goes to the busiest of the servers with room, and leaves the others to models that
// need them.
func (w *pool) roomCost(s *server, m, victim *model) float64 {
	slots := float64(max(w.engine.Slots, 1))
	used := w.utilization(s)
	if victim != nil {
		used -= victim.concurrency / float64(max(len(victim.replicas), 1)) / slots
	}
	need := min(m.concurrency/float64(len(m.replicas)+1), w.usefulBatch()) / slots
	lack := max(0, need-max(0, 1-used))
	if m.concurrency < w.usefulBatch() {
		return lack/max(need, minDemand/slots) - fillShare*min(used, 1)
	}
	return lack/max(need, minDemand/slots) + used
}

// mayTakePlace reports whether a replica of the victim may be evicted for one of m while models
// compete: the victim isn't requested, has more replicas than places, or has served what
// waited and loses clearly less than m gains, whose requests have waited for long. The last one that
// serves stays while others are being loaded.
func (w *pool) mayTakePlace(victim, m *model) bool {
	switch {
	case !m.requested():
		return false
	case !victim.requested():
		return true
	case len(victim.replicas)-victim.pending <= 1 && victim.pending > 0:
		return false
	case len(victim.replicas) > victim.desired:
		return true
	}
	return m.awaitsTurn() && victim.waiting == 0 && w.turnGain(m) > keepFactor*w.lossWithout(victim, len(victim.replicas)-1)
}
