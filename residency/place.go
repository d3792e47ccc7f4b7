package residency

import (
	"cmp"
	"math"
	"slices"
)

// planModels orders loads for the models that lack replicas most, and unloads of the
// models that have to make room. It handles demand that moves to other models within
// seconds, and fleets that have lost so many servers that not all models fit: models
// with requests take precedence over models that are only declared in the
// configuration. A declared model that was evicted is loaded again when it is
// requested.
func (w *pool) planModels() []Order {
	out := w.planVersions()
	underReplicated := w.underReplicated()
	w.recordShortages(underReplicated)
	if w.contended {
		return append(append(out, w.planByGain(underReplicated)...), w.unloadDrained()...)
	}
	for len(underReplicated) > 0 {
		slices.SortStableFunc(underReplicated, func(a, b *model) int {
			return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(b.demandPerReplica(), a.demandPerReplica()))
		})
		m := underReplicated[0]
		o, found := w.addReplica(m, "")
		if o != nil {
			out = append(out, *o)
		}
		if !found || len(m.replicas) >= m.desired {
			underReplicated = underReplicated[1:]
		}
	}
	return append(out, w.unloadDrained()...)
}

// underReplicated returns the models with fewer replicas than desired.
func (w *pool) underReplicated() []*model {
	var out []*model
	for _, m := range w.modelList {
		if len(m.replicas) < m.desired {
			out = append(out, m)
		}
	}
	return out
}

// Shortage describes a model that has fewer replicas than desired.
type Shortage struct {
	Service     string
	Model       string
	Concurrency float64 // recent demand, in concurrent requests
	Waiting     int     // requests
	Needed      int     // replicas that its demand needs
	Desired     int     // replicas of them that the pool has places for
	Replicas    int     // including pending ones
	Pending     int     // replicas that are being loaded
	LoadBudget  float64 // loads from the weight store that may still start
	Gain        float64 // of one more replica, in weighted concurrent requests; see pool.gain
	Weight      float64 // of a request, by rank and goal, from 0 to 1
}

// Shortages returns the requested models that lacked replicas in the newest plan.
func (p *Planner) Shortages() []Shortage { return p.shortages }

// recordShortages stores the requested models among the given ones for Shortages.
func (w *pool) recordShortages(shortages []*model) {
	for _, m := range shortages {
		if m.requested() {
			w.p.shortages = append(w.p.shortages, Shortage{
				Service: w.service.Name, Model: m.Name, Concurrency: m.concurrency, Waiting: m.waiting,
				Needed: m.needed, Desired: m.desired, Gain: w.gain(m, len(m.replicas)), Weight: m.weight,
				Replicas: len(m.replicas), Pending: m.pending, LoadBudget: w.budget.tokens,
			})
		}
	}
}

// unloadDrained orders the unload of the models that have drained.
func (w *pool) unloadDrained() []Order {
	var out []Order
	for _, s := range w.servers {
		d := s.draining
		if d == nil || s.callInFlight || !w.drainComplete(d) {
			continue
		}
		s.draining, s.successor = nil, d.successor
		if !s.available(w.now) || !s.Server.Holds(d.model, "") {
			continue
		}
		s.callInFlight = true
		out = append(out, Order{Server: s.ID, Addr: s.Addr, Unload: true, Model: d.model, Sequence: s.sequence})
	}
	return out
}

// urgency ranks a model's shortage, 0 first: a first replica that requests wait for,
// further replicas of a requested model, and a first replica without requests.
func (m *model) urgency() int {
	switch {
	case len(m.replicas) == 0 && m.waiting > 0:
		return 0
	case m.requested():
		return 1
	}
	return 2
}

// requested reports whether the model was requested recently.
func (m *model) requested() bool { return m.waiting > 0 || m.concurrency >= minDemand }

// demandPerReplica returns the model's demand divided by its replicas.
func (m *model) demandPerReplica() float64 { return m.concurrency / float64(max(len(m.replicas), 1)) }

// addReplica chooses a server, of the given software version unless that is empty, for one more
// replica of a model and returns the order to load the model there, or nil if another model has
// to drain first. found is false if no server is suitable.
func (w *pool) addReplica(m *model, version string) (o *Order, found bool) {
	if version == "" && !w.mayLoad(m) {
		return nil, false
	}
	var best *server
	bestCost := math.Inf(1)
	var bestVictim *model
	for _, s := range w.servers {
		if !s.available(w.now) || slices.Contains(m.replicas, s) || slices.Contains(w.rateLimited, s) {
			continue
		}
		if version != "" && s.SoftwareVersion != version {
			continue
		}
		if cost, victim := w.loadCost(s, m); cost < bestCost {
			best, bestCost, bestVictim = s, cost, victim
		}
	}
	if best == nil {
		return nil, false
	}
	return w.assignReplica(best, m, bestVictim), true
}

// loadCost returns the cost of loading the model on a server, infinite if that isn't possible now, and
// the model that has to be unloaded there first, nil if none.
func (w *pool) loadCost(s *server, m *model) (cost float64, victim *model) {
	onDisk := slices.Contains(s.OnDisk, m.Name)
	if !onDisk && (w.budget.tokens < 1 || w.storeLoads >= w.maxStoreLoads(m)) {
		return math.Inf(1), nil
	}
	victim, fits := w.victim(s, m)
	if !fits && victim == nil {
		return math.Inf(1), nil
	}
	cost = w.placementCost(s, m)
	if w.contended {
		cost = w.contendedPlacementCost(s, m, victim)
	}
	if !onDisk {
		cost += storeLoadCost * m.LoadTime.Seconds()
	}
	if fits {
		return cost, nil
	}
	return cost + (unloadCost + w.evictionLoss(victim)), victim
}

// evictionLoss returns the part of a placement's cost that is due to the victim's loss, in full
// batches, while models compete.
func (w *pool) evictionLoss(victim *model) float64 {
	if !w.contended {
		return 0
	}
	return w.evictionCost(victim) / float64(max(w.engine.Slots, 1))
}

// maxStoreLoads bounds the concurrent loads from the weight store over all servers.
// Loads beyond the product of the store's rate and a model's load time slow each other
// down; one more keeps the store busy between two plans.
func (w *pool) maxStoreLoads(m *model) int {
	if w.contended {
		return max(1, int(contendedStoreLoadShare*w.engine.LoadsPerSecond*m.LoadTime.Seconds()))
	}
	return int(math.Ceil(w.engine.LoadsPerSecond*m.LoadTime.Seconds())) + 1
}

const (
	// storeLoadCost, for each second of a load from the weight store, and unloadCost,
	// for an unload before the load, are added to a placement's cost, in which a full
	// batch counts as 1. A load from a server's own disk takes a fraction of the time
	// and none of the weight store's budget.
	storeLoadCost = 0.25
	unloadCost    = 0.5
)

// placementCost returns the cost of placing a model on a server with other demand, in
// full batches. A model with little demand goes to a server with much other demand, and
// leaves servers with free slots to the models that need them. Otherwise servers that
// come back from crashes would be filled with rare models and stay idle.
func (w *pool) placementCost(s *server, m *model) float64 {
	if m.concurrency < w.replicaCapacity() {
		return -min(w.utilization(s), 1)
	}
	return w.utilization(s)
}

// utilization returns the demand for the models on a server relative to its batch.
func (w *pool) utilization(s *server) float64 {
	sum := 0.0
	for _, name := range s.models() {
		if m := w.models[name]; m != nil {
			sum += m.concurrency / float64(max(len(m.replicas), 1))
		}
	}
	return sum / float64(max(w.engine.Slots, 1))
}

// assignReplica assigns a replica of m to a server and returns the load order. If a
// victim has to be unloaded first, it only starts to drain the victim, and returns nil.
func (w *pool) assignReplica(target *server, m, victim *model) *Order {
	if m.awaitsOverdueLoad() {
		w.budget.overdueTokens = max(w.budget.overdueTokens-1, 0)
	}
	m.replicas = append(m.replicas, target)
	w.countLoad(m)
	if victim != nil {
		victim.replicas = slices.DeleteFunc(victim.replicas, func(x *server) bool { return x == target })
		target.draining = &drainingModel{model: victim.Name, successor: m.Name, startedAt: w.now}
		w.draining++
		return nil
	}
	if !slices.Contains(target.OnDisk, m.Name) {
		w.storeLoads++
		w.budget.tokens--
	}
	o := Order{Server: target.ID, Addr: target.Addr, Model: m.Name, Sequence: target.sequence}
	target.callInFlight = true
	return &o
}

// victim reports whether the model fits on the server as it is; if not, it returns the
// model there that is cheapest to evict, or nil.
func (w *pool) victim(s *server, m *model) (victim *model, fits bool) {
	used := w.adapterMemoryMB()
	for _, name := range s.models() {
		if x := w.models[name]; x != nil {
			used += x.MemoryMB
		}
	}
	if used+m.MemoryMB <= w.engine.MemoryMB {
		return nil, true
	}
	if float64(w.draining) >= max(1, maxDrainingShare*float64(len(w.servers))) {
		return nil, false
	}
	for _, name := range s.models() {
		x := w.models[name]
		if x == nil || x.Name == m.Name || w.keepsVersion(x, s) || s.isUnloading(name) || w.now.Sub(s.firstSeen[name]) < x.LoadTime || !w.canEvict(x, m) || used-x.MemoryMB+m.MemoryMB > w.engine.MemoryMB {
			continue
		}
		if victim == nil || w.evictionCost(x) < w.evictionCost(victim) {
			victim = x
		}
	}
	return victim, false
}

// evictionCost ranks the models that may lose a replica by the demand that each
// remaining replica would have, and for a last replica by the capacity of one replica.
func (w *pool) evictionCost(m *model) float64 {
	if w.contended {
		return w.lossWithout(m, len(m.replicas)-1)
	}
	if len(m.replicas) < 2 {
		return w.replicaCapacity()
	}
	return m.concurrency / float64(len(m.replicas)-1)
}

// adapterMemoryMB is the memory that a full set of adapters takes.
func (w *pool) adapterMemoryMB() float64 {
	most := 0.0
	for _, m := range w.modelList {
		if m.Adapters > 0 {
			most = max(most, m.AdapterMB)
		}
	}
	return most * float64(w.engine.AdapterSlots)
}

// canEvict reports whether a replica of the victim may be evicted for one of m.
func (w *pool) canEvict(victim, m *model) bool {
	if w.now.Sub(w.p.startedAt) < unloadHoldoff {
		return false
	}
	if w.contended {
		return w.mayTakePlace(victim, m)
	}
	remaining := len(victim.replicas) - 1
	switch {
	case remaining-victim.pending < 1: // the last replica that serves
		return w.canEvictLast(victim, m)
	case remaining >= victim.desired:
		return true
	case !m.requested():
		return false
	case len(m.replicas) == 0:
		return victim.concurrency/float64(remaining) <= w.replicaCapacity()
	}
	return victim.concurrency/float64(remaining) < evictionMargin*m.demandPerReplica()
}

// canEvictLast reports whether the last serving replica of the victim may be evicted
// for one of m: if the victim isn't requested, or if m is overloaded and the victim has
// so little demand that loading it again elsewhere is cheaper.
func (w *pool) canEvictLast(victim, m *model) bool {
	switch {
	case !m.requested():
		return false
	case !victim.requested():
		return len(m.replicas) == 0 || m.demandPerReplica() > w.replicaCapacity()
	}
	return victim.concurrency < rareDemand && victim.waiting == 0 && m.demandPerReplica() > overloadShare*float64(w.engine.Slots)
}
