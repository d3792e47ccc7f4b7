package residency

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// keepFactor is how much more a replica counts that is there already: less gain than that
	// isn't worth a load, and noise in the demand moves nothing.
	keepFactor = 1.5
	// valueSpread is how much the weights of requested models must differ for their requests to
	// count as competing.
	valueSpread = 1.25
	// turnShare is the share of its goal after which a model whose requests wait without a
	// replica gets a turn. The rest of the goal is left to the load.
	turnShare = 0.25
	// turnLoadShare is the share of the weight store's rate that is kept for turns.
	turnLoadShare = 0.3
	// arrivalSlack is how far the demand of a model may exceed its mean arrivals times the mean
	// time that a request occupies a slot: the time differs by model, and rising arrivals show late.
	arrivalSlack = 2.0
	// storeLoadShare is the share of the concurrent loads at which the weight store's loads slow
	// each other down that is used while models compete: a late replica gains little.
	storeLoadShare = 0.9
	// turnBurst is how many turns may begin at once.
	turnBurst = 2.0
	// diskLoadShare is the time of a load from a server's own disk or memory relative to one
	// from the weight store.
	diskLoadShare = 0.2
	// smallGainShare is the share of a useful batch below which a replica's gain is small. Such
	// loads begin only while less than freeServers of the pool's servers load anything, first
	// replicas whose turn has come also while less than firstLoadServers load such ones: a server
	// carries out one order at a time, and a load that has begun isn't stopped. The other servers
	// are kept for demand that moves.
	smallGainShare   = 0.25
	freeServers      = 0.6
	firstLoadServers = 0.3
	// fillShare is how much a busy server is preferred for a model with little demand, relative to
	// the room for all of its demand.
	fillShare = 0.25
	// reloadShare is what loading a model again costs, as a share of a useful batch: about the
	// gain of the load that waits for it.
	reloadShare      = 0.25
	smallGainServers = 0.3
	// idleLoadServers is the share of a pool's servers that may be loading models without
	// requests at once, while not all models fit.
	idleLoadServers = 0.1
)

// competes reports whether models compete for the pool's places and loads: not all desired
// replicas fit, and the requests differ in rank or goal, or not even one replica of each requested
// model fits.
func (w *pool) competes(requested []*model, places int) bool {
	desired := 0
	for _, m := range w.modelList {
		desired += m.desired
	}
	if desired <= places {
		return false
	}
	if len(requested) > places {
		return true
	}
	least, most := math.Inf(1), 0.0
	for _, m := range requested {
		least, most = min(least, m.weight), max(most, m.weight)
	}
	return most > valueSpread*least
}

// desireByValue computes the desired replicas of the requested models by their share of the
// pool's weighted demand, so that what waits for less urgent models takes none from the others.
func (w *pool) desireByValue(requested []*model) {
	total := 0.0
	for _, m := range requested {
		m.concurrency = min(m.concurrency, w.steadyDemand(m))
		total += m.weight * m.concurrency
	}
	for _, m := range requested {
		m.desired = max(w.desiredOf(m.concurrency, m.weight*m.concurrency/max(total, minDemand)), w.usefulReplicas(m))
		m.wanted = m.desired
	}
}

// steadyDemand returns the demand, in concurrent requests, that a model's recent arrivals bring
// with enough replicas. What waits already is past its goal when a load is done.
func (w *pool) steadyDemand(m *model) float64 {
	return min(float64(m.waiting), 1) + arrivalSlack*m.rate*w.p.demand.HoldSeconds()
}

// usefulReplicas returns how many replicas serve the model's demand with a useful batch each.
func (w *pool) usefulReplicas(m *model) int {
	return min(int(math.Ceil(m.concurrency/w.usefulBatch())), len(w.servers))
}

// allocatePlaces divides the pool's places among the requested models: first one for each model
// whose turn has come, then each further place to the model that gains most by it, up to the
// replicas that it desires. A model may be left without a place; it gets a turn.
func (w *pool) allocatePlaces(requested []*model, places int) {
	for _, m := range requested {
		m.desired = 0
	}
	turns := w.dueModels()
	for _, m := range turns[:min(len(turns), places, max(1, int(firstLoadServers*float64(len(w.servers)))))] {
		m.turn, m.desired = true, 1
		places--
	}
	var h gainHeap
	for _, m := range requested {
		if m.desired < m.wanted {
			h.models, h.gains = append(h.models, m), append(h.gains, w.allocationGain(m))
		}
	}
	heap.Init(&h)
	for ; places > 0 && h.Len() > 0; places-- {
		m := h.models[0]
		m.desired++
		if m.desired >= m.wanted {
			heap.Pop(&h)
			continue
		}
		h.gains[0] = w.allocationGain(m)
		heap.Fix(&h, 0)
	}
}

// allocationGain returns the gain of the next place for a model; it counts more if the model
// fills the place already.
func (w *pool) allocationGain(m *model) float64 {
	if m.desired < len(m.replicas) {
		return keepFactor * w.lossWithout(m, m.desired)
	}
	return w.gain(m, m.desired)
}

// lossWithout returns what the model loses without the replica after its first n ones. Without the
// only one it has to be loaded again, which keeps a server from another load.
func (w *pool) lossWithout(m *model, n int) float64 {
	loss := w.gain(m, n)
	if n == 0 {
		loss += reloadShare * w.usefulBatch() * min(m.concurrency, 1)
	}
	return loss
}

// dueModels returns the models whose requests have waited without a replica for a part of their
// goal: first those that are being loaded, then those whose wait weighs most. A wait counts the more
// the longer it lasts, so that each model comes to its turn.
func (w *pool) dueModels() []*model {
	var out []*model
	for _, m := range w.modelList {
		if m.unserved > 0 && m.unserved >= time.Duration(turnShare*float64(m.goal)) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.pending, a.pending), cmp.Compare(w.turnGain(b), w.turnGain(a)))
	})
	return out
}

// minTurnGoal is the goal that requests without one, or with a shorter one, count as having.
const minTurnGoal = 200 * time.Millisecond

// updateUnserved brings up to date since when requests for each model wait although no server
// serves it.
func (w *pool) updateUnserved() {
	for _, m := range w.modelList {
		key := w.targetName(m.Name, 0)
		if m.waiting == 0 || len(m.replicas) > m.pending {
			delete(w.p.unservedSince, key)
			continue
		}
		since, ok := w.p.unservedSince[key]
		if !ok {
			since = w.now
			w.p.unservedSince[key] = since
		}
		m.unserved = w.now.Sub(since)
	}
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

// turnGain returns the gain of a first replica, which counts the more the longer requests have
// waited for it.
func (w *pool) turnGain(m *model) float64 {
	return w.gain(m, 0) * m.unserved.Seconds() / (turnShare * max(m.goal, minTurnGoal).Seconds())
}

// setPriority computes the model's priority for the next load: the gain for each second that it
// takes.
func (w *pool) setPriority(m *model) {
	load := m.LoadTime.Seconds()
	if w.onDisk[m.Name] > 0 {
		load *= diskLoadShare
	}
	m.priority = w.gain(m, len(m.replicas)) / max(load, 0.001)
}

// comparePriority orders models that compete for loads: first those whose turn has come, for as
// many loads as are kept for turns, then by priority.
func (w *pool) comparePriority(a, b *model) int {
	if w.budget.turnTokens >= 1 && (a.awaitsTurn() || b.awaitsTurn()) {
		return cmp.Compare(w.waitedGain(b), w.waitedGain(a))
	}
	return cmp.Compare(b.priority, a.priority)
}

// waitedGain returns the gain of the model's turn, 0 if it awaits none.
func (w *pool) waitedGain(m *model) float64 {
	if !m.awaitsTurn() {
		return 0
	}
	return w.turnGain(m)
}

// awaitsTurn reports whether the model's turn has come and its load isn't ordered yet.
func (m *model) awaitsTurn() bool { return m.turn && len(m.replicas) == 0 }

// gainHeap is a heap of models by the gain of their next place, the greatest first.
type gainHeap struct {
	models []*model
	gains  []float64
}

func (h *gainHeap) Len() int           { return len(h.models) }
func (h *gainHeap) Less(i, j int) bool { return h.gains[i] > h.gains[j] }

func (h *gainHeap) Swap(i, j int) {
	h.models[i], h.models[j] = h.models[j], h.models[i]
	h.gains[i], h.gains[j] = h.gains[j], h.gains[i]
}

// Push implements heap.Interface; nothing is pushed.
func (h *gainHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *gainHeap) Pop() any {
	n := len(h.models) - 1
	h.models, h.gains = h.models[:n], h.gains[:n]
	return nil
}
