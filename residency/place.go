package residency

import (
	"cmp"
	"math"
	"slices"
)

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
	Loads    float64 // that the weight store would still let begin
}

// Lacking returns the models that are asked for and lacked replicas in the last plan.
func (p *Planner) Lacking() []Lack { return p.lacking }

func (w *pool) noteLacking(lacking []*model) {
	for _, m := range lacking {
		if m.asked() {
			w.p.lacking = append(w.p.lacking, Lack{
				Service: w.service.Name, Model: m.Name, Level: m.level, Waiting: m.waiting,
				Wanted: m.wanted, Replicas: len(m.replicas), Coming: m.coming, Loads: w.budget.tokens,
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
		if !s.free(w.now) || slices.Contains(m.replicas, s) || slices.Contains(w.limited, s) {
			continue
		}
		onDisk := slices.Contains(s.OnDisk, m.Name)
		if !onDisk && (w.budget.tokens < 1 || w.loading >= w.mostLoading(m)) {
			continue
		}
		victim, fits := w.victim(s, m)
		if !fits && victim == nil {
			continue
		}
		cost := w.crowding(s, m)
		if !onDisk {
			cost += storeCost * m.LoadTime.Seconds()
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

// mostLoading bounds the loads from the weight store under way over all servers.
// Each one beyond what the store's rate and a load's time make together slows
// them all; one more keeps the store busy between two plans.
func (w *pool) mostLoading(m *model) int {
	return int(math.Ceil(w.engine.LoadsPerSecond*m.LoadTime.Seconds())) + 1
}

const (
	// storeCost, for each second that a load from the weight store takes, and
	// unloadCost, for an unload before a load, are weighed against a server's fill
	// of 1. A load from a server's own disk takes a fraction of the time and none
	// of the weight store's budget.
	storeCost  = 0.25
	unloadCost = 0.5
)

// crowding is what a server's other demand costs a model there, in fills of its
// batch. A model that hardly anybody asks for goes where much else is asked for, and
// leaves the servers with free slots to the models that need them: engines that had
// crashed came back with rare models, and while 60 to 105 of 240 servers were full,
// as many had next to nothing to do.
func (w *pool) crowding(s *server, m *model) float64 {
	if m.level < w.fair() {
		return -min(w.pressure(s), 1)
	}
	return w.pressure(s)
}

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
		w.budget.tokens--
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
		if x == nil || x == m || s.goes(name) || w.now.Sub(s.loaded[name]) < x.LoadTime || !w.spare(x, m) || used-x.MemoryMB+m.MemoryMB > w.engine.MemoryMB {
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
