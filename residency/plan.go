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
	// take before another replica helps at all: below it a server isn't busy.
	replicaFill = 0.20
	// shareSlack is how many servers a model gets for each server's worth of the
	// pool's whole demand that it has. All models of a server share its batch, so
	// what counts is that each server's sum can be made equal: with 1 that needs
	// a perfect fit, and with more than 2 the places run out.
	shareSlack = 1.5
	// spareMargin is how much less demand each of a model's replicas must have,
	// after one of them is gone, than each replica of the model that gets its
	// place, where no model has more than it wants: a noisy count mustn't move
	// models back and forth.
	spareMargin = 0.4
	// retireLeast is how long after all instances have been told that a model goes
	// it is unloaded: they have to take the word in, and what they sent before
	// has to arrive. Requests that reach the server later are refused, and most
	// may be sent to no other. retireMost bounds the wait for an instance that is
	// silent.
	retireLeast = 100 * time.Millisecond
	retireMost  = 1100 * time.Millisecond
	// leastResidence is how long a model stays that was just loaded.
	leastResidence = 3 * time.Second
	// maxRetiring is the part of a pool's servers that may be exchanging a model
	// at once: meanwhile they serve less.
	maxRetiring = 0.4
	// rareLevel is the demand, in requests at once, below which a model's last
	// replica may be moved for a model that overflows its servers: with more than
	// overflow of a batch for each of its replicas.
	rareLevel = 1.5
	overflow  = 0.7
	// learning is how long a new lease holder unloads nothing: until then it has
	// not heard from all instances what is asked for, and everything seems idle.
	learning = 1200 * time.Millisecond
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
	// maxLoading bounds the loads from the weight store under way over all
	// servers, since each more beyond its concurrency slows them all.
	maxLoading = 5
)

// Planner decides about orders. It does no I/O, and its answer is a function of
// what it was told. It is not safe for concurrent use.
type Planner struct {
	servers map[string]*server
	config  *topology.Config
	demand  *Demand
	tokens  float64 // loads from the weight store that may begin now
	filled  time.Time
	begun   time.Time // when the first plan was made
	lacking []Lack    // of the last plan
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
	if p.begun.IsZero() {
		p.begun = now
	}
	p.lacking = p.lacking[:0]
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
		s := p.servers[o.Server]
		s.sending, s.pending = true, &o
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
	s.sending, s.pending = false, nil
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

// Held returns what servers hold beyond their entries, as orders: adapters that
// they accepted, and models that must not be used there any more as unloads.
func (p *Planner) Held() []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		for _, c := range s.done {
			out = append(out, c.order)
		}
		for _, d := range s.dropped {
			out = append(out, Order{Server: id, Model: d.model, Unload: true})
		}
		if s.retiring != nil {
			out = append(out, Order{Server: id, Model: s.retiring.model, Unload: true})
		}
	}
	return out
}

// pool is one service's servers while one plan is made.
type pool struct {
	p        *Planner
	now      time.Time
	service  *topology.Service
	engine   *topology.Engine
	models   map[string]*model
	ordered  []*model // as the configuration lists them
	servers  []*server
	demand   float64 // of all models together, in requests at once
	loading  int
	retiring int
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
		w.demand += m.level
	}
	for _, m := range w.ordered {
		m.wanted = w.wanted(m.level)
	}
	w.fitWanted()
	return w
}

// told says whether the instances know that a model goes.
func (w *pool) told(r *retirement) bool {
	if w.now.Sub(r.at) >= retireMost {
		return true
	}
	if !w.p.demand.AllSaid(r.at) {
		return false
	}
	if r.known.IsZero() {
		r.known = w.now
	}
	return w.now.Sub(r.known) >= retireLeast
}

// target names the nth adapter of a model, or the model itself for 0.
func (w *pool) target(model string, n int) string {
	if n == 0 {
		return topology.TargetName(w.service.Name, model, "")
	}
	return topology.TargetName(w.service.Name, model, topology.AdapterName(n))
}

func (w *pool) addServer(s *server) {
	if s.waitsFor != nil && !s.waitsFor.Unload && !slices.Contains(s.OnDisk, s.waitsFor.Model) {
		w.loading++
	}
	if s.retiring != nil || s.waitsFor != nil && s.waitsFor.Unload {
		w.retiring++
	}
	if s.Leaving {
		return
	}
	w.servers = append(w.servers, s)
	if r := s.retiring; r != nil && w.models[r.heir] != nil {
		w.models[r.heir].replicas = append(w.models[r.heir].replicas, s)
		w.models[r.heir].coming++
	}
	for _, name := range s.models() {
		m := w.models[name]
		if m == nil || s.goes(name) {
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

// wanted returns how many replicas a level of demand wants: the model's share of
// the servers with some slack, but no more than would have something to do.
func (w *pool) wanted(level float64) int {
	servers := max(len(w.servers), 1)
	busy := math.Ceil(level / w.fair())
	share := math.Ceil(level / max(w.demand, 1) * float64(servers) * shareSlack)
	return min(max(int(min(busy, share)), 1), servers)
}

// fitWanted takes replicas from what the busiest models want until all that is
// asked for has a place: a model with little demand then always finds one again
// after it gave its place up for a busy one.
func (w *pool) fitWanted() {
	sum := 0
	var busiest []*model
	for _, m := range w.ordered {
		if m.asked() {
			sum += m.wanted
			busiest = append(busiest, m)
		}
	}
	for places := w.places(); sum > places; sum-- {
		most := slices.MaxFunc(busiest, func(a, b *model) int { return cmp.Compare(a.wanted, b.wanted) })
		if most.wanted <= 1 {
			return
		}
		most.wanted--
	}
}

// places returns how many models the servers hold together, if each has the
// mean size.
func (w *pool) places() int {
	size := 0.0
	for _, m := range w.ordered {
		size += m.MemoryMB / float64(len(w.ordered))
	}
	if size <= 0 {
		return len(w.servers)
	}
	return len(w.servers) * int((w.engine.MemoryMB-w.adapterRoom())/size)
}

// fair is the demand of one model, in requests at once, from which another
// replica helps.
func (w *pool) fair() float64 { return float64(max(w.engine.Slots, 1)) * replicaFill }

// planModels orders loads for the models that lack replicas most, and unloads
// what has to make room for them. It is for demand that moves to other models
// within seconds, and for a fleet that has lost so many servers that not every
// model fits any more: what is asked for goes before what is only declared, and
// a declared model that lost its place is loaded again once it is asked for.
func (w *pool) planModels() []Order {
	var out []Order
	lacking := w.lacking()
	w.noteLacking(lacking)
	for len(lacking) > 0 {
		slices.SortStableFunc(lacking, func(a, b *model) int {
			return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(b.need(), a.need()))
		})
		m := lacking[0]
		o, found := w.addReplica(m)
		if o != nil {
			out = append(out, *o)
		}
		if !found || len(m.replicas) >= m.wanted {
			lacking = lacking[1:]
		}
	}
	return append(out, w.unloads()...)
}

// lacking returns the models with fewer replicas than they want.
func (w *pool) lacking() []*model {
	var out []*model
	for _, m := range w.ordered {
		if len(m.replicas) < m.wanted {
			out = append(out, m)
		}
	}
	return out
}

// Lack is a model that has fewer replicas than its demand wants.
type Lack struct {
	Service  string
	Model    string
	Level    float64 // requests at once, lately
	Waiting  int     // requests
	Wanted   int     // replicas
	Replicas int     // with those that are coming
	Coming   int
}

// Lacking returns the models that are asked for and lacked replicas in the last
// plan, with the loads that the weight store would still let begin.
func (p *Planner) Lacking() (lacking []Lack, loads float64) { return p.lacking, p.tokens }

func (w *pool) noteLacking(lacking []*model) {
	for _, m := range lacking {
		if m.asked() {
			w.p.lacking = append(w.p.lacking, Lack{
				Service: w.service.Name, Model: m.Name, Level: m.level, Waiting: m.waiting,
				Wanted: m.wanted, Replicas: len(m.replicas), Coming: m.coming,
			})
		}
	}
}

// unloads orders the unloads that instances have been told of for long enough.
func (w *pool) unloads() []Order {
	var out []Order
	for _, s := range w.servers {
		r := s.retiring
		if r == nil || s.sending || !w.told(r) {
			continue
		}
		s.retiring = nil
		if !s.free(w.now) || !s.Server.Holds(r.model, "") {
			continue
		}
		s.sending = true
		out = append(out, Order{Server: s.ID, Addr: s.Addr, Unload: true, Model: r.model, Sequence: s.sequence})
	}
	return out
}

// urgency ranks what a model lacks, 0 first: its first replica while requests
// wait for it, more replicas, and a first replica that nobody asks for.
func (m *model) urgency() int {
	switch {
	case len(m.replicas) == 0 && m.waiting > 0:
		return 0
	case m.asked():
		return 1
	}
	return 2
}

// asked says whether the model was asked for lately.
func (m *model) asked() bool { return m.waiting > 0 || m.level >= forgottenDemand }

// need is a model's demand for each replica that it has.
func (m *model) need() float64 { return m.level / float64(max(len(m.replicas), 1)) }

// addReplica finds a place for one more replica of a model, and returns the
// order to load it, nil where something has to make room first.
func (w *pool) addReplica(m *model) (o *Order, found bool) {
	var best *server
	bestCost := math.Inf(1)
	var bestVictim *model
	for _, s := range w.servers {
		if !s.free(w.now) || slices.Contains(m.replicas, s) {
			continue
		}
		onDisk := slices.Contains(s.OnDisk, m.Name)
		if !onDisk && (w.p.tokens < 1 || w.loading >= maxLoading) {
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
		return nil, false
	}
	return w.order(best, m, bestVictim), true
}

const (
	// storeCost and unloadCost weigh a load from the weight store, and an unload
	// before it, against a server's fill of 1.
	storeCost  = 1.0
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

// order returns the order for a replica at a server, and books it. Where a
// victim has to go first, it is only marked.
func (w *pool) order(s *server, m, victim *model) *Order {
	m.replicas = append(m.replicas, s)
	if victim != nil {
		victim.replicas = slices.DeleteFunc(victim.replicas, func(x *server) bool { return x == s })
		s.retiring = &retirement{model: victim.Name, heir: m.Name, at: w.now}
		w.retiring++
		return nil
	}
	if !slices.Contains(s.OnDisk, m.Name) {
		w.loading++
		w.p.tokens--
	}
	o := Order{Server: s.ID, Addr: s.Addr, Model: m.Name, Sequence: s.sequence}
	s.sending = true
	return &o
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
	if float64(w.retiring) >= max(1, maxRetiring*float64(len(w.servers))) {
		return nil, false
	}
	for _, name := range s.models() {
		x := w.models[name]
		if x == nil || x == m || s.goes(name) || w.now.Sub(s.loaded[name]) < leastResidence || !w.spare(x, m) || used-x.MemoryMB+m.MemoryMB > w.engine.MemoryMB {
			continue
		}
		if victim == nil || w.dearness(x) < w.dearness(victim) {
			victim = x
		}
	}
	return victim, false
}

// dearness ranks the models that a replica may be taken from: what each replica
// that is left would have to serve, and for the last one a fair demand.
func (w *pool) dearness(x *model) float64 {
	if len(x.replicas) < 2 {
		return w.fair()
	}
	return x.level / float64(len(x.replicas)-1)
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

// spare says whether a replica of x may go for one of m.
func (w *pool) spare(x, m *model) bool {
	if w.now.Sub(w.p.begun) < learning {
		return false
	}
	left := len(x.replicas) - 1
	switch {
	case left-x.coming < 1: // its last one that serves
		return w.spareLast(x, m)
	case left >= x.wanted:
		return true
	case !m.asked():
		return false
	case len(m.replicas) == 0:
		return x.level/float64(left) <= w.fair()
	}
	return x.level/float64(left) < spareMargin*m.need()
}

// spareLast says whether the last replica of x that serves may go for one of m:
// if nobody asks for x, or if m overflows its servers and x has so little to do
// that it is cheaper to load it again elsewhere.
func (w *pool) spareLast(x, m *model) bool {
	switch {
	case !m.asked():
		return false
	case !x.asked():
		return len(m.replicas) == 0 || m.need() > w.fair()
	}
	return x.level < rareLevel && x.waiting == 0 && m.need() > overflow*float64(w.engine.Slots)
}
