package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"greengageferry/topology"
)

// pool is one service's servers while one plan is made.
type pool struct {
	p        *Planner
	now      time.Time
	service  *topology.Service
	engine   *topology.Engine
	budget   *loadBudget
	models   map[string]*model
	ordered  []*model // as the configuration lists them
	servers  []*server
	limited  []*server // of them, those that name a rate limit
	demand   float64   // of all models together, in requests at once
	loading  int
	retiring int
}

// model is one model of a pool while a plan is made.
type model struct {
	topology.Model
	rate     float64 // requests a second, its adapters' included
	level    float64 // requests at once, its adapters' included; at least what the work asked for amounts to
	busy     float64 // servers that the work asked for keeps busy
	waiting  int
	wanted   int // replicas
	replicas []*server
	coming   int // of replicas, still being loaded
}

func (p *Planner) pool(now time.Time, service *topology.Service) *pool {
	b := p.budgets[service.Name]
	if b == nil {
		b = &loadBudget{}
		p.budgets[service.Name] = b
	}
	w := &pool{p: p, now: now, service: service, engine: service.Engine, budget: b, models: map[string]*model{}}
	for _, m := range service.Engine.Models {
		x := &model{Model: m}
		for n := 0; n <= m.Adapters; n++ {
			name := w.target(m.Name, n)
			x.rate += p.demand.Rate(now, name)
			x.level += p.demand.Level(name)
			x.waiting += p.demand.Waiting(name)
			x.busy += p.demand.Work(name)
		}
		w.models[m.Name] = x
		w.ordered = append(w.ordered, x)
	}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		if s := p.servers[id]; s.Service == service.Name {
			w.addServer(s)
		}
	}
	for _, s := range w.limited {
		w.addLimited(s)
	}
	w.budget.fill(now, w.engine.LoadsPerSecond)
	for _, m := range w.ordered {
		m.level = max(m.level, m.busy/busyPart*w.fair())
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
	if _, ok := w.p.limits[s.ID]; ok {
		w.limited = append(w.limited, s)
		return
	}
	if r := s.retiring; r != nil && w.models[r.heir] != nil {
		w.models[r.heir].replicas = append(w.models[r.heir].replicas, s)
		w.models[r.heir].coming++
	}
	for _, name := range s.models() {
		if m := w.models[name]; m != nil && !s.goes(name) {
			m.add(s)
		}
	}
}

func (m *model) add(s *server) {
	m.replicas = append(m.replicas, s)
	if !s.Server.Holds(m.Name, "") {
		m.coming++
	}
}

// addLimited counts a server that names a rate limit as a replica only of those of
// its models that no other server holds and that are asked for so little that the
// limit is enough for them. The others are brought to other servers, where their
// requests needn't wait for the limit.
func (w *pool) addLimited(s *server) {
	var alone []*model
	for _, name := range s.models() {
		if m := w.models[name]; m != nil && !s.goes(name) && len(m.replicas) == 0 {
			alone = append(alone, m)
		}
	}
	slices.SortFunc(alone, func(a, b *model) int { return cmp.Compare(a.rate, b.rate) })
	left := w.p.limits[s.ID] * limitPart
	for _, m := range alone {
		if m.rate <= left {
			left -= m.rate
			m.add(s)
		}
	}
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
	return (len(w.servers) - len(w.limited)) * int((w.engine.MemoryMB-w.adapterRoom())/size)
}

// fair is the demand of one model, in requests at once, from which another
// replica helps.
func (w *pool) fair() float64 { return float64(max(w.engine.Slots, 1)) * replicaFill }
