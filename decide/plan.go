package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageferry/config"
	"greengageferry/infra"
)

const (
	// unreachablePatience is how long a server may be out of reach before its
	// replicas no longer count: a restart or a short cut mustn't cost loads.
	unreachablePatience = 30 * time.Second
	// pressureHalfLife smooths the servers' load: far longer than a request,
	// shorter than a load pays off.
	pressureHalfLife = 20 * time.Second
)

// planView is the fleet as one plan changes it.
type planView struct {
	in       PlanInput
	p        *Planner
	elapsed  float64 // seconds since the plan before
	servers  []*planServer
	replicas map[string][]*planServer // by model or adapter name: servers that count
	ready    map[string]int           // by name: replicas that serve
	adapters map[string][]string      // by model, sorted
	lent     map[string]int64         // by pool: MiB that other partners may still fill
	moves    map[string]*Move
	loads    map[string]int // by partner: loads that the store may still begin
	changes  int            // adds and drops so far
}

// planServer is a server as one plan changes it.
type planServer struct {
	*PlanServer
	counts   bool // what it holds counts as replicas
	open     bool // may be given more
	free     int64
	pressure float64
	items    []infra.Item

	victims       []victim // of the last call with these:
	victimsAt     int
	victimsBefore time.Time
}

func (p *Planner) view(in PlanInput) *planView {
	w := &planView{
		in: in, p: p,
		replicas: map[string][]*planServer{},
		ready:    map[string]int{},
		adapters: map[string][]string{},
		lent:     map[string]int64{},
		moves:    map[string]*Move{},
	}
	if !p.last.IsZero() {
		w.elapsed = max(in.Now.Sub(p.last).Seconds(), 0)
	}
	p.last = in.Now
	for _, a := range sortedNames(in.Config.Adapters) {
		m := in.Config.Adapters[a].Model
		w.adapters[m] = append(w.adapters[m], a)
	}
	for i := range in.Servers {
		w.addServer(&in.Servers[i])
	}
	w.loads = p.budget.allowed(w)
	return w
}

func (w *planView) addServer(ps *PlanServer) {
	s := &planServer{PlanServer: ps, victimsAt: -1, free: ps.MemoryMiB - held(*ps), items: slices.Clone(ps.Assigned)}
	s.counts = !ps.Leaving && w.p.reached(w.in.Now, ps)
	s.open = s.counts && ps.Reachable
	s.pressure = w.p.smoothPressure(ps, w.elapsed)
	w.servers = append(w.servers, s)
	pool := w.in.Config.Pools[ps.Pool]
	w.lent[ps.Pool] += int64(pool.Lent * float64(ps.MemoryMiB))
	for _, item := range ps.Assigned {
		if w.owner(item) != pool.Owner {
			w.lent[ps.Pool] -= item.MiB
		}
		if s.counts {
			w.counted(s, item)
		}
	}
}

func (w *planView) counted(s *planServer, item infra.Item) {
	name := nameOfItem(item)
	if !slices.Contains(w.replicas[name], s) {
		w.replicas[name] = append(w.replicas[name], s)
		if s.serves(item) {
			w.ready[name]++
		}
	}
}

// serves says whether the server serves some version of the item, an adapter
// beside its model.
func (s *planServer) serves(item infra.Item) bool {
	return s.isReady(nameOfItem(item)) && (item.Adapter == "" || s.isReady(item.Model))
}

func (s *planServer) isReady(name string) bool {
	return slices.ContainsFunc(s.Ready, func(i infra.Item) bool { return nameOfItem(i) == name })
}

func (s *planServer) has(name string) bool {
	return slices.ContainsFunc(s.items, func(i infra.Item) bool { return nameOfItem(i) == name })
}

// reached says whether the server was reached lately.
func (p *Planner) reached(now time.Time, s *PlanServer) bool {
	if s.Reachable {
		delete(p.unreachable, s.ID)
		return true
	}
	since, ok := p.unreachable[s.ID]
	if !ok {
		p.unreachable[s.ID] = now
		return true
	}
	return now.Sub(since) < unreachablePatience
}

// smoothPressure returns a server's load, and no less than it is now: a burst
// that fills every server is no reason to move anything, and the moment before
// the mean has followed it would be the worst one.
func (p *Planner) smoothPressure(s *PlanServer, elapsed float64) float64 {
	now := float64(s.Load.Running+s.Load.Waiting) / float64(max(s.Slots, s.Load.Slots, 1))
	mean := now
	old, ok := p.pressure[s.ID]
	if ok {
		keep := math.Exp2(-elapsed / pressureHalfLife.Seconds())
		mean = old*keep + now*(1-keep)
	}
	p.pressure[s.ID] = mean
	return max(mean, now)
}

// add assigns the items to the server, if the store and the memory allow it.
func (w *planView) add(s *planServer, items []infra.Item, reason string, gain float64) bool {
	var size int64
	need := map[string]int{}
	for _, i := range items {
		size += i.MiB
		need[w.owner(i)]++
	}
	for owner, n := range need {
		if w.loads[owner] < n {
			return false
		}
	}
	if s.free < size || !w.allows(s, items[0].Model, size) {
		return false
	}
	m := w.move(s, reason, gain)
	w.changes++
	for _, i := range items {
		owner := w.owner(i)
		w.loads[owner]--
		w.p.budget.tokens[owner]--
		s.free -= i.MiB
		s.items = append(s.items, i)
		if owner != w.in.Config.Pools[s.Pool].Owner {
			w.lent[s.Pool] -= i.MiB
		}
		m.Add = append(m.Add, i)
		w.counted(s, i)
	}
	return true
}

// drop takes the item off the server. Its memory is free in a later plan, once
// it is confirmed gone.
func (w *planView) drop(s *planServer, item infra.Item, reason string) {
	if !slices.Contains(s.items, item) {
		return
	}
	w.changes++
	m := w.move(s, reason, 0)
	m.Drop = append(m.Drop, item)
	s.items = slices.DeleteFunc(s.items, func(i infra.Item) bool { return i.Key() == item.Key() })
	if name := nameOfItem(item); !s.has(name) && s.counts {
		w.replicas[name] = slices.DeleteFunc(slices.Clone(w.replicas[name]), func(x *planServer) bool { return x == s })
		if s.serves(item) {
			w.ready[name]--
		}
	}
}

func (w *planView) move(s *planServer, reason string, gain float64) *Move {
	m := w.moves[s.ID]
	if m == nil {
		m = &Move{Server: s.ID, Reason: reason}
		w.moves[s.ID] = m
	}
	m.Gain += gain
	return m
}

// result returns the moves, the highest gain for each load first.
func (w *planView) result() []Move {
	moves := make([]Move, 0, len(w.moves))
	for _, id := range sortedNames(w.moves) {
		moves = append(moves, *w.moves[id])
	}
	rate := func(m Move) float64 { return m.Gain / float64(max(len(m.Add), 1)) }
	slices.SortStableFunc(moves, func(a, b Move) int { return cmp.Compare(rate(b), rate(a)) })
	return moves
}

// allows says whether the model may be on the server's pool, and the lent part
// has room for the size.
func (w *planView) allows(s *planServer, model string, size int64) bool {
	m := w.in.Config.Models[model]
	if !slices.Contains(m.Pools, s.Pool) {
		return false
	}
	return w.in.Config.Pools[s.Pool].Owner == m.Owner || w.lent[s.Pool] >= size
}

// item returns the declared version of a model or adapter.
func (w *planView) item(name string) infra.Item {
	if m, ok := w.in.Config.Models[name]; ok {
		return infra.Item{Model: name, Version: m.Version, MiB: m.MiB}
	}
	a := w.in.Config.Adapters[name]
	return infra.Item{Model: a.Model, Adapter: name, Version: a.Version, MiB: a.MiB}
}

func (w *planView) owner(i infra.Item) string {
	if i.Adapter != "" {
		return w.in.Config.Adapters[i.Adapter].Owner
	}
	return w.in.Config.Models[i.Model].Owner
}

// partner returns the weights of a partner, the defaults where it has none.
func (w *planView) partner(name string) config.Partner {
	p := w.in.Config.Partners[name]
	for _, x := range []*float64{&p.Weight, &p.AttainmentWeight, &p.MovesWeight} {
		if *x <= 0 {
			*x = 1
		}
	}
	return p
}

func nameOfItem(i infra.Item) string {
	if i.Adapter != "" {
		return i.Adapter
	}
	return i.Model
}

// held returns the memory, in MiB, that is or may be taken on a server.
func held(s PlanServer) int64 {
	var mib int64
	for _, i := range s.Assigned {
		mib += i.MiB
	}
	for _, l := range s.Lingering {
		if !slices.ContainsFunc(s.Assigned, func(i infra.Item) bool { return i.Key() == l.Key() }) {
			mib += l.MiB
		}
	}
	return mib
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
