package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"greengageferry/topology"
)

// pool is the state of one service's servers while one plan is computed.
type pool struct {
	p                  *Planner
	now                time.Time
	service            *topology.Service
	engine             *topology.Engine
	budget             *loadBudget
	models             map[string]*model
	modelList          []*model // in the order of the configuration
	servers            []*server
	rateLimited        []*server      // the servers among them that state a rate limit
	demand             float64        // of all models, in concurrent requests
	storeLoads         int            // loads from the weight store in progress
	draining           int            // servers where a model drains or is being unloaded
	contended          bool           // models compete for places and loads; see isContended
	modelsExceedPlaces bool           // one replica each of all configured models doesn't fit
	loads              int            // servers that load a model, or will once another has drained
	idleLoads          int            // servers that load models without requests
	firstLoads         int            // servers that load the first replica of a model, where its gain is small
	onDisk             map[string]int // servers that hold each model on disk, if contended
}

// model is the state of one model of a pool while a plan is computed.
type model struct {
	topology.Model
	rate            float64 // requests per second, including its adapters'
	concurrency     float64 // demand in concurrent requests, including its adapters'; at least the equivalent of busyServers
	busyServers     float64 // servers that the requests' work keeps busy
	waiting         int     // requests
	needed          int     // replicas that its demand needs
	desired         int     // replicas to have: as many of the needed ones as the pool has places for
	replicas        []*server
	pending         int           // replicas that are still being loaded
	weight          float64       // of its mean request, by rank and goal, from 0 to 1
	goal            time.Duration // shortest time to the first token that its requests ask for; 0: none
	unserved        time.Duration // how long requests have waited for it without a replica that serves
	overdue         bool          // its requests have waited so long that it gets a place; see overdueModels
	priority        float64       // of its next load, in gain per second of loading, if contended
	overduePriority float64       // of its load while it is overdue and none is ordered; 0: else
	// versions are the software versions at which streams of the model go on.
	versions []string
}

// pool returns a service's pool with the desired replicas of all models.
func (p *Planner) pool(now time.Time, service *topology.Service) *pool {
	b := p.budgets[service.Name]
	if b == nil {
		b = &loadBudget{}
		p.budgets[service.Name] = b
	}
	w := &pool{p: p, now: now, service: service, engine: service.Engine, budget: b, models: map[string]*model{}}
	for _, m := range service.Engine.Models {
		w.addModel(m)
	}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		if s := p.servers[id]; s.Service == service.Name {
			w.addServer(s)
		}
	}
	for _, s := range w.rateLimited {
		w.addRateLimited(s)
	}
	w.budget.refill(now, w.engine.LoadsPerSecond)
	for _, m := range w.modelList {
		m.setWeight()
		m.concurrency = max(m.concurrency, m.busyServers/replicaWorkShare*w.replicaCapacity())
		w.demand += m.concurrency
	}
	for _, m := range w.modelList {
		m.needed = w.neededReplicas(m.concurrency)
	}
	w.updateUnserved()
	w.setDesired()
	return w
}

// addModel adds a configured model with the demand for it and its adapters, at all software versions.
func (w *pool) addModel(configured topology.Model) {
	m := &model{Model: configured}
	for n := 0; n <= m.Adapters; n++ {
		name := w.targetName(m.Name, n)
		m.addDemand(w.now, w.p.demand, name)
		for _, version := range w.p.demand.Versions(name) {
			m.addDemand(w.now, w.p.demand, topology.VersionTarget(name, version))
			if !slices.Contains(m.versions, version) {
				m.versions = append(m.versions, version)
			}
		}
	}
	w.models[m.Name] = m
	w.modelList = append(w.modelList, m)
}

// addDemand adds the demand for a target.
func (m *model) addDemand(now time.Time, demand *DemandTracker, target string) {
	m.rate += demand.Rate(now, target)
	concurrency, value := demand.Concurrency(target), demand.value(target)
	m.concurrency += concurrency
	m.weight += concurrency * value.weight * goalUrgency(value.goal, m.LoadTime)
	if value.goal > 0 && (m.goal == 0 || value.goal < m.goal) {
		m.goal = value.goal
	}
	m.waiting += demand.Waiting(target)
	m.busyServers += demand.Work(target)
}

// setWeight divides the sum of the weights by the requests that it was taken over.
func (m *model) setWeight() {
	if m.concurrency > 0 {
		m.weight /= m.concurrency
	} else {
		m.weight = unknownValue.weight
	}
}

// drainComplete reports whether all instances have stopped using a draining model.
func (w *pool) drainComplete(draining *drainingModel) bool {
	if w.now.Sub(draining.startedAt) >= maxDrainTime {
		return true
	}
	if !w.p.demand.AllReportedSince(draining.startedAt) {
		return false
	}
	if draining.announcedAt.IsZero() {
		draining.announcedAt = w.now
	}
	return w.now.Sub(draining.announcedAt) >= minDrainTime
}

// targetName returns the target name of a model's nth adapter, or of the model itself
// for 0.
func (w *pool) targetName(model string, n int) string {
	if n == 0 {
		return topology.TargetName(w.service.Name, model, "")
	}
	return topology.TargetName(w.service.Name, model, topology.AdapterName(n))
}

// addServer adds a server, unless it is leaving, and counts the models on it as
// replicas; for a server that states a rate limit, addRateLimited does so later.
func (w *pool) addServer(s *server) {
	if s.executing != nil && !s.executing.Unload && !slices.Contains(s.OnDisk, s.executing.Model) {
		w.storeLoads++
	}
	if s.draining != nil || s.executing != nil && s.executing.Unload {
		w.draining++
	}
	if s.Leaving {
		return
	}
	w.servers = append(w.servers, s)
	if _, ok := w.p.limits[s.ID]; ok {
		w.rateLimited = append(w.rateLimited, s)
		return
	}
	if m := w.models[s.loadingModel()]; m != nil && !slices.Contains(s.models(), m.Name) {
		m.replicas = append(m.replicas, s) // once another model has been unloaded
		m.pending++
	}
	for _, name := range s.models() {
		if m := w.models[name]; m != nil && !s.isUnloading(name) {
			m.addReplica(s)
		}
	}
}

// addReplica counts a server as a replica of the model.
func (m *model) addReplica(s *server) {
	m.replicas = append(m.replicas, s)
	if !s.Server.Holds(m.Name, "") {
		m.pending++
	}
}

// addRateLimited counts a server that states a rate limit as a replica only of those of
// its models that no other server holds and whose request rates together fit into the
// limit. The other models are loaded on other servers, where their requests need not
// wait for the limit.
func (w *pool) addRateLimited(s *server) {
	var onlyHere []*model
	for _, name := range s.models() {
		if m := w.models[name]; m != nil && !s.isUnloading(name) && len(m.replicas) == 0 {
			onlyHere = append(onlyHere, m)
		}
	}
	slices.SortFunc(onlyHere, func(a, b *model) int { return cmp.Compare(a.rate, b.rate) })
	budget := w.p.limits[s.ID] * rateLimitShare
	for _, m := range onlyHere {
		if m.rate <= budget {
			budget -= m.rate
			m.addReplica(s)
		}
	}
}

// neededReplicas returns how many replicas a concurrency needs: the model's share of the
// servers with some slack, but no more replicas than would be busy.
func (w *pool) neededReplicas(concurrency float64) int {
	return w.neededForShare(concurrency, concurrency/max(w.demand, 1))
}

// neededForShare is neededReplicas for a given share, from 0 to 1, of the pool's total demand.
func (w *pool) neededForShare(concurrency, demandShare float64) int {
	servers := max(len(w.servers), 1)
	busy := math.Ceil(concurrency / w.replicaCapacity())
	share := math.Ceil(demandShare * float64(servers) * serverShareSlack)
	return min(max(int(min(busy, share)), 1), servers)
}

// setDesired sets the desired replicas: the needed ones, or fewer if the pool has too few places
// for the requested models.
func (w *pool) setDesired() {
	sum, places := 0, w.modelCapacity()
	var requested []*model
	for _, m := range w.modelList {
		m.desired = m.needed
		if m.requested() {
			sum += m.needed
			requested = append(requested, m)
		}
	}
	w.modelsExceedPlaces = len(w.modelList) > places
	w.contended = w.isContended(requested, places)
	if w.contended {
		w.setNeededByWeight(requested)
		w.allocatePlaces(requested, places)
		w.countOnDisk()
	} else {
		limitDesired(requested, sum-places)
	}
	w.countLoads()
}

// countOnDisk counts the servers that hold each model on disk.
func (w *pool) countOnDisk() {
	w.onDisk = make(map[string]int, len(w.modelList))
	for _, s := range w.servers {
		for _, name := range s.OnDisk {
			w.onDisk[name]++
		}
	}
}

// limitDesired takes the given number of desired replicas from the models that desire most, but
// leaves each of them one. A model with little demand can then always be placed again after it
// was evicted for a busy one.
func limitDesired(busiest []*model, excess int) {
	for ; excess > 0; excess-- {
		largest := slices.MaxFunc(busiest, func(a, b *model) int { return cmp.Compare(a.desired, b.desired) })
		if largest.desired <= 1 {
			return
		}
		largest.desired--
	}
}

// modelCapacity returns how many models of mean size the servers without a rate limit
// can hold together.
func (w *pool) modelCapacity() int {
	size := 0.0
	for _, m := range w.modelList {
		size += m.MemoryMB / float64(len(w.modelList))
	}
	if size <= 0 {
		return len(w.servers)
	}
	return (len(w.servers) - len(w.rateLimited)) * int((w.engine.MemoryMB-w.adapterMemoryMB())/size)
}

// replicaCapacity returns the demand for one model, in concurrent requests, above which
// another replica helps.
func (w *pool) replicaCapacity() float64 { return float64(max(w.engine.Slots, 1)) * replicaBatchShare }
