package residency

import (
	"cmp"
	"slices"
)

const (
	// contendedStoreLoadShare is the part of the weight store's capacity, in concurrent loads, that
	// is used while models compete: loads beyond the capacity slow each other down.
	contendedStoreLoadShare = 0.9
	// diskLoadShare is the assumed time of a load from a server's own disk or memory relative to one
	// from the weight store.
	diskLoadShare = 0.2
	// smallGainShare is the share of a useful batch below which a replica's gain is small.
	smallGainShare = 0.25
	// maxLoadingShare is the share of a pool's servers that load models above which no load of
	// small gain begins. A server executes one order at a time and doesn't stop a load, so the
	// other servers are kept for changes of demand.
	maxLoadingShare = 0.75
	// firstLoadShare is the share of a pool's servers that load first replicas of small gain up
	// to which overdue models are exempt from maxLoadingShare. It also bounds the places that
	// overdue models get.
	firstLoadShare = 0.3
	// busyServerPreference is the weight of a server's utilization in the choice of a server for a
	// model with little demand, relative to the part of the demand that the server has no slots for.
	busyServerPreference = 0.25
	// idleLoadShare is the share of a pool's servers that may load models without requests at
	// the same time, while not all models fit.
	idleLoadShare = 0.1
)

// planByGain orders loads for the models that lack replicas, each time the one that
// comparePriority puts first.
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

// setPriority computes the model's priority for the next load, the gain per second of loading, and its
// overduePriority.
func (w *pool) setPriority(m *model) {
	load := m.LoadTime.Seconds()
	if w.onDisk[m.Name] > 0 {
		load *= diskLoadShare
	}
	m.priority, m.overduePriority = w.gain(m, len(m.replicas))/max(load, 0.001), 0
	if m.awaitsOverdueLoad() {
		m.overduePriority = w.overdueGain(m)
	}
}

// comparePriority orders models that compete for loads: first the overdue ones, for as many
// loads as are kept for them, then by priority.
func (w *pool) comparePriority(a, b *model) int {
	if w.budget.overdueTokens >= 1 && a.overduePriority != b.overduePriority {
		return cmp.Compare(b.overduePriority, a.overduePriority)
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
	switch {
	case !m.requested():
		w.idleLoads++
	case len(m.replicas) == 1 && w.gainIsSmall(m, 1):
		w.firstLoads++
	}
}

// mayLoad reports whether one more load of the model may begin beside those in progress.
func (w *pool) mayLoad(m *model) bool {
	servers := float64(len(w.servers))
	switch {
	case w.contended && !m.requested():
		return false
	case w.modelsExceedPlaces && !m.requested():
		return float64(w.idleLoads) < max(1, idleLoadShare*servers)
	case w.contended && w.gainIsSmall(m, len(m.replicas)+1):
		return float64(w.loads) < maxLoadingShare*servers || m.awaitsOverdueLoad() && float64(w.firstLoads) < max(1, firstLoadShare*servers)
	}
	return true
}

// contendedPlacementCost returns the cost of placing the model on a server while models compete:
// the part of its demand that the server has no slots for beside its other models, from 0 to 1, and
// the server's utilization. A model with little demand goes to the busiest server with free slots
// and leaves the others to models that need them.
func (w *pool) contendedPlacementCost(s *server, m, victim *model) float64 {
	slots := float64(max(w.engine.Slots, 1))
	used := w.utilization(s)
	if victim != nil {
		used -= victim.concurrency / float64(max(len(victim.replicas), 1)) / slots
	}
	need := min(m.concurrency/float64(len(m.replicas)+1), w.usefulBatch()) / slots
	lack := max(0, need-max(0, 1-used))
	if m.concurrency < w.usefulBatch() {
		return lack/max(need, minDemand/slots) - busyServerPreference*min(used, 1)
	}
	return lack/max(need, minDemand/slots) + used
}

// mayTakePlace reports whether a replica of the victim may be evicted for one of m while models
// compete: the victim isn't requested, has more replicas than places, or m is overdue
// while no request waits for the victim, which loses clearly less than m gains. The last replica
// that serves stays while others are being loaded.
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
	return m.awaitsOverdueLoad() && victim.waiting == 0 && w.overdueGain(m) > existingReplicaFactor*w.lossWithout(victim, len(victim.replicas)-1)
}
