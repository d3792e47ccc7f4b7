package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"greengageferry/topology"
)

const (
	// replicaFill is the part of a server's batch that one model's requests may
	// take before it gets another replica. A prompt that is read holds up the
	// whole batch for tens of milliseconds, so the first token's goal is missed
	// long before the slots are full.
	replicaFill = 0.30
	// surplus is how many replicas' worth of demand less a model must have
	// before one of its replicas is taken for another: a noisy count mustn't
	// move models back and forth.
	surplus = 0.6
	// copyLevel is the demand, in requests at once, for which an adapter gets
	// one more copy where places are free.
	copyLevel = 1.0
	// loadBurst is how many loads from the weight store may begin at once.
	loadBurst = 3.0
	// loadPart is the part of the weight store's rate that is used: the platform
	// judges loads when they begin, which may be later than ordered.
	loadPart = 0.9
	// maxQuestions bounds the questions for servers' states at once: a new holder
	// asks each server once.
	maxQuestions = 32
	// askAgain is when a server that didn't say its state is asked again.
	askAgain = time.Second
	// maxLoading bounds the loads under way over all servers, since each more
	// beyond the weight store's concurrency slows them all.
	maxLoading = 4
)

// Planner decides about orders. It does no I/O, and its answer is a function of
// what it was told. It is not safe for concurrent use.
type Planner struct {
	servers map[string]*server
	config  *topology.Config
	demand  *Demand
	tokens  float64 // loads from the weight store that may begin now
	filled  time.Time
}

// NewPlanner returns a planner for a new lease: it begins without loads to
// spend, since the holder before may just have spent them.
func NewPlanner(demand *Demand) *Planner {
	return &Planner{servers: map[string]*server{}, demand: demand}
}

// Update takes in the deployment as it is now.
func (p *Planner) Update(now time.Time, v *topology.View) {
	p.config = v.Config
	listed := map[string]bool{}
	for _, e := range v.Servers {
		listed[e.ID] = true
		s := p.servers[e.ID]
		if s == nil {
			s = &server{Server: e, entry: e}
			p.servers[e.ID] = s
		}
		s.update(now, e)
	}
	for id := range p.servers {
		if !listed[id] {
			delete(p.servers, id)
		}
	}
}

// Plan returns the orders to send now, at most one for each server. Each has to
// be answered by Done.
func (p *Planner) Plan(now time.Time) []Order {
	if p.config == nil {
		return nil
	}
	p.demand.Update(now)
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(p.config.Services)) {
		service := p.config.Services[name]
		if service.Engine == nil {
			continue
		}
		w := p.pool(now, &service)
		out = append(out, w.planAdapters()...)
		out = append(out, w.planModels()...)
	}
	for _, o := range out {
		p.servers[o.Server].sending = true
	}
	return out
}

// Done takes in how an order went: its result, or none and whether it may yet
// be carried out.
func (p *Planner) Done(now time.Time, o Order, r Result, mayHappen bool) {
	s := p.servers[o.Server]
	if s == nil {
		return
	}
	s.sending = false
	switch {
	case r == Accepted || r == AlreadySo && o.Adapter != "" && o.Unload: // an unused adapter goes at once
		s.accepted(now, o, p.patience(s, o))
	default:
		s.refused(now, o, mayHappen)
	}
}

// Unsure returns the servers, as orders without a model, whose state isn't
// known and has to be asked for. Each has to be answered by Said or Silent.
func (p *Planner) Unsure(now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		if len(out) < maxQuestions && p.config != nil && p.config.Services[s.Service].Engine != nil && s.unsure(now) {
			s.sending = true
			out = append(out, Order{Server: id, Addr: s.Addr})
		}
	}
	return out
}

// Said takes in a server's state.
func (p *Planner) Said(now time.Time, id string, st State) {
	if s := p.servers[id]; s != nil {
		s.said(now, st)
	}
}

// Silent takes in that a server did not say its state.
func (p *Planner) Silent(now time.Time, id string) {
	if s := p.servers[id]; s != nil {
		s.sending, s.quiet = false, now.Add(askAgain)
	}
}

// patience returns how long an accepted order for a model is waited for.
func (p *Planner) patience(s *server, o Order) time.Duration {
	if o.Unload {
		return unloadPatience
	}
	service := p.config.Services[s.Service]
	if service.Engine == nil {
		return 0
	}
	for _, m := range service.Engine.Models {
		if m.Name == o.Model {
			return loadPatience * m.LoadTime
		}
	}
	return 0
}

// Held returns the adapters that servers hold beyond their entries.
func (p *Planner) Held() []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		for _, c := range p.servers[id].done {
			if !c.order.Unload {
				out = append(out, c.order)
			}
		}
	}
	return out
}

// pool is one service's servers while one plan is made.
type pool struct {
	p       *Planner
	now     time.Time
	service *topology.Service
	engine  *topology.Engine
	models  map[string]*model
	ordered []*model // as the configuration lists them
	servers []*server
	loading int
}

// model is one model of a pool while a plan is made.
type model struct {
	topology.Model
	level    float64 // requests at once, its adapters' included
	waiting  int
	wanted   int // replicas
	replicas []*server
	coming   int // of replicas, still being loaded
}

func (p *Planner) pool(now time.Time, service *topology.Service) *pool {
	w := &pool{p: p, now: now, service: service, engine: service.Engine, models: map[string]*model{}}
	for _, m := range service.Engine.Models {
		x := &model{Model: m}
		for n := 0; n <= m.Adapters; n++ {
			name := w.target(m.Name, n)
			x.level += p.demand.Level(name)
			x.waiting += p.demand.Waiting(name)
		}
		w.models[m.Name] = x
		w.ordered = append(w.ordered, x)
	}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		if s := p.servers[id]; s.Service == service.Name {
			w.addServer(s)
		}
	}
	w.fill()
	for _, m := range w.ordered {
		m.wanted = w.wanted(m.level)
	}
	return w
}

// target names the nth adapter of a model, or the model itself for 0.
func (w *pool) target(model string, n int) string {
	if n == 0 {
		return topology.TargetName(w.service.Name, model, "")
	}
	return topology.TargetName(w.service.Name, model, topology.AdapterName(n))
}

func (w *pool) addServer(s *server) {
	if s.waitsFor != nil && !s.waitsFor.Unload {
		w.loading++
	}
	if s.Leaving {
		return
	}
	w.servers = append(w.servers, s)
	for _, name := range s.models() {
		m := w.models[name]
		if m == nil || s.waitsFor != nil && s.waitsFor.Unload && s.waitsFor.Model == name {
			continue
		}
		m.replicas = append(m.replicas, s)
		if !s.Server.Holds(name, "") {
			m.coming++
		}
	}
}

// fill gives the weight store's budget its due.
func (w *pool) fill() {
	if !w.p.filled.IsZero() {
		w.p.tokens = min(w.p.tokens+w.now.Sub(w.p.filled).Seconds()*w.engine.LoadsPerSecond*loadPart, loadBurst)
	}
	w.p.filled = w.now
}

// wanted returns how many replicas a level of demand wants.
func (w *pool) wanted(level float64) int {
	each := float64(max(w.engine.Slots, 1)) * replicaFill
	return min(max(int(math.Ceil(level/each)), 1), max(len(w.servers), 1))
}

// planModels orders loads for the models that lack replicas most, and unloads
// what has to make room for them.
func (w *pool) planModels() []Order {
	lacking := slices.Clone(w.ordered)
	lacking = slices.DeleteFunc(lacking, func(m *model) bool { return len(m.replicas) >= m.wanted })
	slices.SortStableFunc(lacking, func(a, b *model) int {
		return cmp.Or(
			cmp.Compare(min(len(a.replicas), 1), min(len(b.replicas), 1)), // none at all first
			cmp.Compare(b.waiting, a.waiting),
			cmp.Compare(b.need(), a.need()),
		)
	})
	var out []Order
	for _, m := range lacking {
		if o, ok := w.addReplica(m); ok {
			out = append(out, o)
		}
	}
	return out
}

// need is a model's demand for each replica that it has.
func (m *model) need() float64 { return m.level / float64(max(len(m.replicas), 1)) }

// addReplica returns the order that brings a model nearer to one more replica.
func (w *pool) addReplica(m *model) (Order, bool) {
	if w.loading >= maxLoading {
		return Order{}, false
	}
	var best *server
	bestCost := math.Inf(1)
	var bestVictim *model
	for _, s := range w.servers {
		if !s.free(w.now) || slices.Contains(m.replicas, s) {
			continue
		}
		onDisk := slices.Contains(s.OnDisk, m.Name)
		if !onDisk && w.p.tokens < 1 {
			continue
		}
		victim, fits := w.victim(s, m)
		if !fits && victim == nil {
			continue
		}
		cost := w.pressure(s)
		if !onDisk {
			cost += storeCost
		}
		if !fits {
			cost += unloadCost
		}
		if cost < bestCost {
			best, bestCost, bestVictim = s, cost, victim
			if fits {
				bestVictim = nil
			}
		}
	}
	if best == nil {
		return Order{}, false
	}
	return w.order(best, m, bestVictim), true
}

const (
	// storeCost and unloadCost weigh a load from the weight store, and an unload
	// before it, against a server's fill of 1.
	storeCost  = 0.5
	unloadCost = 1.0
)

// pressure is how full a server is with the demand of the models that it holds.
func (w *pool) pressure(s *server) float64 {
	sum := 0.0
	for _, name := range s.models() {
		if m := w.models[name]; m != nil {
			sum += m.level / float64(max(len(m.replicas), 1))
		}
	}
	return sum / float64(max(w.engine.Slots, 1))
}

// order returns the order for a replica at a server, and books it.
func (w *pool) order(s *server, m, victim *model) Order {
	o := Order{Server: s.ID, Addr: s.Addr, Model: m.Name, Sequence: s.sequence}
	if victim != nil {
		o.Unload, o.Model = true, victim.Name
		victim.replicas = slices.DeleteFunc(victim.replicas, func(x *server) bool { return x == s })
	} else {
		w.loading++
		if !slices.Contains(s.OnDisk, m.Name) {
			w.p.tokens--
		}
	}
	m.replicas = append(m.replicas, s)
	s.sending = true
	return o
}

// victim says whether the model fits at the server as it is; if not, it returns
// the model there that can best be spared, or nil.
func (w *pool) victim(s *server, m *model) (victim *model, fits bool) {
	used := w.adapterRoom()
	for _, name := range s.models() {
		if x := w.models[name]; x != nil {
			used += x.MemoryMB
		}
	}
	if used+m.MemoryMB <= w.engine.MemoryMB {
		return nil, true
	}
	for _, name := range s.models() {
		x := w.models[name]
		if x == nil || x == m || !w.spare(x, m) || used-x.MemoryMB+m.MemoryMB > w.engine.MemoryMB {
			continue
		}
		if victim == nil || x.need() < victim.need() {
			victim = x
		}
	}
	return victim, false
}

// adapterRoom is the memory that a full set of adapters takes.
func (w *pool) adapterRoom() float64 {
	most := 0.0
	for _, m := range w.ordered {
		if m.Adapters > 0 {
			most = max(most, m.AdapterMB)
		}
	}
	return most * float64(w.engine.AdapterSlots)
}

// spare says whether a replica of x may go for one of m. The last one never
// goes while the model is asked for, and only for a model that has none.
func (w *pool) spare(x, m *model) bool {
	left := len(x.replicas) - 1
	if left < 1 {
		return len(m.replicas) == 0 && m.waiting > 0 && x.level < forgottenDemand
	}
	if left-x.coming < 1 {
		return false
	}
	each := float64(max(w.engine.Slots, 1)) * replicaFill
	return x.level <= (float64(left)-surplus)*each || left >= 1 && x.level < forgottenDemand
}
