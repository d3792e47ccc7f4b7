package residency

import (
	"container/heap"
	"math"
)

const (
	// existingReplicaFactor multiplies the gain of a replica that exists, so that noise in the
	// demand causes no loads.
	existingReplicaFactor = 1.5
	// minWeightRatio is the ratio of the greatest to the smallest weight of the requested models
	// above which they compete.
	minWeightRatio = 1.25
	// arrivalSlack multiplies the demand that is computed from a model's arrivals and the mean time
	// that a request occupies a slot: the time differs by model, and the mean lags behind rising
	// arrivals.
	arrivalSlack = 1.4
	// reloadShare is the cost of loading a model again, as a share of a useful batch: about the
	// gain of another load that has to wait for it.
	reloadShare = 0.25
	// usefulBatchShare is the share of a server's batch up to which the requests of one model
	// are served there without waiting for each other. The rest is left to the server's other
	// models and to uneven arrivals.
	usefulBatchShare = 0.65
)

// isContended reports whether models compete for the pool's places and loads: not all desired
// replicas fit, and the requests differ in weight, or not even one replica of each requested
// model fits.
func (w *pool) isContended(requested []*model, places int) bool {
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
	return most > minWeightRatio*least
}

// setNeededByWeight computes the needed replicas of the requested models by their share of the
// pool's weighted demand, so that requests that wait for less urgent models take no replicas from
// the others.
func (w *pool) setNeededByWeight(requested []*model) {
	total := 0.0
	for _, m := range requested {
		m.concurrency = min(m.concurrency, w.steadyDemand(m))
		total += m.weight * m.concurrency
	}
	for _, m := range requested {
		m.needed = max(w.neededForShare(m.concurrency, m.weight*m.concurrency/max(total, minDemand)), w.usefulReplicas(m))
	}
}

// steadyDemand returns the demand, in concurrent requests, that a model's recent arrivals bring
// with enough replicas. A backlog adds one request at most: it is past its goal by the time a load is
// done.
func (w *pool) steadyDemand(m *model) float64 {
	return min(float64(m.waiting), 1) + arrivalSlack*m.rate*w.p.demand.HoldSeconds()
}

// usefulReplicas returns how many replicas serve the model's demand with a useful batch each.
func (w *pool) usefulReplicas(m *model) int {
	return min(int(math.Ceil(m.concurrency/w.usefulBatch())), len(w.servers))
}

// allocatePlaces divides the pool's places among the requested models: first one for each
// overdue model, then each further place to the model that gains most by it, up to the replicas
// that it needs. A model may be left without a place until it is overdue.
func (w *pool) allocatePlaces(requested []*model, places int) {
	for _, m := range requested {
		m.desired = 0
	}
	overdue := w.overdueModels()
	for _, m := range overdue[:min(len(overdue), places, max(1, int(firstLoadShare*float64(len(w.servers)))))] {
		m.overdue, m.desired = true, 1
		places--
	}
	var h gainHeap
	for _, m := range requested {
		if m.desired < m.needed {
			h.models, h.gains = append(h.models, m), append(h.gains, w.allocationGain(m))
		}
	}
	heap.Init(&h)
	for ; places > 0 && h.Len() > 0; places-- {
		m := h.models[0]
		m.desired++
		if m.desired >= m.needed {
			heap.Pop(&h)
			continue
		}
		h.gains[0] = w.allocationGain(m)
		heap.Fix(&h, 0)
	}
}

// allocationGain returns the gain of the next place for a model, which is greater if the model has
// a replica for it.
func (w *pool) allocationGain(m *model) float64 {
	if m.desired < len(m.replicas) {
		return existingReplicaFactor * w.lossWithout(m, m.desired)
	}
	return w.gain(m, m.desired)
}

// gain returns what the replica after the first n ones adds to a model's demand that is served,
// in weighted concurrent requests. Each further replica adds less; a first one adds at most a
// useful batch.
func (w *pool) gain(m *model, n int) float64 {
	if m.concurrency <= 0 {
		return 0
	}
	share := w.usefulBatch() / m.concurrency
	return m.weight * m.concurrency * math.Exp(-float64(n)*share) * (1 - math.Exp(-share))
}

// usefulBatch returns how many requests for one model a server serves without letting them wait
// for each other.
func (w *pool) usefulBatch() float64 { return usefulBatchShare * float64(max(w.engine.Slots, 1)) }

// lossWithout returns what the model loses without the replica after its first n ones, in weighted
// concurrent requests. If that is its only one, the loss includes the cost of loading it again.
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
