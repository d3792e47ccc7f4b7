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
	// turnPlaceShare is the share of a pool's places, and turnLoadShare the share of the weight
	// store's rate, that are kept for turns.
	turnPlaceShare = 0.34
	turnLoadShare  = 0.3
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
	// smallGainShare is the share of a useful batch below which a replica's gain is small, and
	// smallGainServers the share of a pool's servers that may be loading such replicas at once. A
	// server carries out one order at a time, and a load that has begun isn't stopped: the other
	// servers are kept for demand that moves.
	smallGainShare   = 0.25
	smallGainServers = 0.3
	// freeServers is the share of a pool's servers below which loads of any gain may begin.
	freeServers = 0.6
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
	return 1 + arrivalSlack*m.rate*w.p.demand.HoldSeconds()
}

// usefulReplicas returns how many replicas serve the model's demand with a useful batch each.
func (w *pool) usefulReplicas(m *model) int {
	return min(int(math.Ceil(m.concurrency/w.usefulBatch())), len(w.servers))
}

// allocatePlaces divides the pool's places among the requested models: first one for each model
// whose turn has come, then each further place to the model that gains most by it, up to the
// replicas that it desires. A model may be left without a place; it gets a turn.
func (w *pool) allocatePlaces(requested []*model, places int) {
	h := gainHeap{models: slices.Clone(requested)}
	for _, m := range requested {
		h.limits = append(h.limits, m.desired)
		m.desired = 0
	}
	turns := w.dueModels()
	for _, m := range turns[:min(len(turns), max(1, int(turnPlaceShare*float64(places))))] {
		m.turn, m.desired = true, 1
		places--
	}
	h.gains = make([]float64, len(h.models))
	for i, m := range h.models {
		h.gains[i] = w.allocationGain(m)
	}
	heap.Init(&h)
	for ; places > 0 && h.Len() > 0; places-- {
		m := h.models[0]
		m.desired++
		if m.desired >= h.limits[0] {
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
	gain := w.gain(m, m.desired)
	if m.desired < len(m.replicas) {
		gain *= keepFactor
	}
	return gain
}

// dueModels returns the models whose requests have waited without a replica for a part of their
// goal, those first whose wait weighs most. A wait counts the more the longer it lasts, so that
// each model comes to its turn.
func (w *pool) dueModels() []*model {
	var out []*model
	for _, m := range w.modelList {
		if m.unserved > 0 && m.unserved >= time.Duration(turnShare*float64(m.goal)) {
			out = append(out, m)
		}
	}
	weight := func(m *model) float64 {
		return w.gain(m, 0) * m.unserved.Seconds() / max(m.goal, minTurnGoal).Seconds()
	}
	slices.SortStableFunc(out, func(a, b *model) int { return cmp.Compare(weight(b), weight(a)) })
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

// countLoads counts the servers that are loading replicas of small gain, or of models without
// requests.
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
			w.smallGainLoads++
		case w.gainIsSmall(m, len(m.replicas)):
			w.smallGainLoads++
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
		return float64(w.smallGainLoads) < max(1, smallGainServers*servers) || float64(w.loads) < freeServers*servers
	}
	return true
}

// countLoad counts a load that begins.
func (w *pool) countLoad(m *model) {
	w.loads++
	if !m.requested() {
		w.idleLoads++
	}
	if w.gainIsSmall(m, len(m.replicas)) {
		w.smallGainLoads++
	}
}

// mayTakePlace reports whether a replica of the victim may be evicted for one of m while models
// compete: the victim isn't requested, or has more replicas than places. The last one that
// serves stays while others are being loaded.
func (w *pool) mayTakePlace(victim, m *model) bool {
	switch {
	case !m.requested():
		return false
	case !victim.requested():
		return true
	case len(victim.replicas) <= victim.desired:
		return false
	}
	return victim.desired == 0 || len(victim.replicas)-victim.pending > 1
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
	if w.budget.turnTokens >= 1 && a.awaitsTurn() != b.awaitsTurn() {
		if a.awaitsTurn() {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.priority, a.priority)
}

// awaitsTurn reports whether the model's turn has come and its load isn't ordered yet.
func (m *model) awaitsTurn() bool { return m.turn && len(m.replicas) == 0 }

// gainHeap is a heap of models by the gain of their next place, the greatest first.
type gainHeap struct {
	models []*model
	limits []int // places that each model can use
	gains  []float64
}

func (h *gainHeap) Len() int           { return len(h.models) }
func (h *gainHeap) Less(i, j int) bool { return h.gains[i] > h.gains[j] }

func (h *gainHeap) Swap(i, j int) {
	h.models[i], h.models[j] = h.models[j], h.models[i]
	h.limits[i], h.limits[j] = h.limits[j], h.limits[i]
	h.gains[i], h.gains[j] = h.gains[j], h.gains[i]
}

// Push implements heap.Interface; nothing is pushed.
func (h *gainHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *gainHeap) Pop() any {
	n := len(h.models) - 1
	h.models, h.limits, h.gains = h.models[:n], h.limits[:n], h.gains[:n]
	return nil
}
