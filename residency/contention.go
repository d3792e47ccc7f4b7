package residency

import (
	"container/heap"
	"math"
)

const (
	// keepFactor is how much more a replica counts that is there already: less gain than that
	// isn't worth a load, and noise in the demand moves nothing.
	keepFactor = 1.5
	// valueSpread is how much the weights of requested models must differ for their requests to
	// count as competing.
	valueSpread = 1.25
	// arrivalSlack is how far the demand of a model may exceed its mean arrivals times the mean
	// time that a request occupies a slot: the time differs by model, and rising arrivals show late.
	arrivalSlack = 1.4
	// reloadShare is what loading a model again costs, as a share of a useful batch: about the
	// gain of the load that waits for it.
	reloadShare = 0.25
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
