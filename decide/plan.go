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
	// unreachableGrace is how long a server may be unreachable before its replicas
	// no longer count. A restart or a short network failure must not cause loads.
	unreachableGrace = 30 * time.Second
	// utilizationHalfLife is the half-life of the smoothed utilization. It is much
	// longer than a request and shorter than the time in which a load pays off.
	utilizationHalfLife = 20 * time.Second
)

// planState is the working copy of the fleet that one plan changes.
type planState struct {
	input         PlanInput
	p             *Planner
	elapsed       float64 // seconds since the previous plan
	servers       []*planServer
	replicas      map[string][]*planServer // by model or adapter name: servers with countsReplicas that are assigned it
	readyReplicas map[string]int           // by model or adapter name: how many of these servers have it ready
	adapters      map[string][]string      // adapter names by model, sorted
	lendableMiB   map[string]int64         // by pool: MiB still free for other partners' models
	moves         map[string]*Move         // by server ID
	loadsLeft     map[string]int           // by partner: loads that the weight store allows now
	changes       int                      // number of adds and drops in this plan
}

// planServer is the working copy of one server.
type planServer struct {
	*PlanServer
	countsReplicas bool // its items count as replicas: not leaving and recently reachable
	assignable     bool // more items may be assigned to it
	freeMiB        int64
	utilization    float64 // smoothed requests per slot; above 1 when requests wait
	items          []infra.Item

	// victims caches the result of planState.victims for the two fields below.
	victims       []victim
	victimsChange int // planState.changes at the time
	victimsCutoff time.Time
}

func (p *Planner) newPlanState(input PlanInput) *planState {
	w := &planState{
		input: input, p: p,
		replicas:      map[string][]*planServer{},
		readyReplicas: map[string]int{},
		adapters:      map[string][]string{},
		lendableMiB:   map[string]int64{},
		moves:         map[string]*Move{},
	}
	if !p.lastPlan.IsZero() {
		w.elapsed = max(input.Now.Sub(p.lastPlan).Seconds(), 0)
	}
	p.lastPlan = input.Now
	for _, a := range sortedNames(input.Config.Adapters) {
		m := input.Config.Adapters[a].Model
		w.adapters[m] = append(w.adapters[m], a)
	}
	for i := range input.Servers {
		w.addServer(&input.Servers[i])
	}
	w.loadsLeft = p.budget.allowed(w)
	return w
}

func (w *planState) addServer(ps *PlanServer) {
	s := &planServer{PlanServer: ps, victimsChange: -1, freeMiB: ps.MemoryMiB - occupiedMiB(*ps), items: slices.Clone(ps.Assigned)}
	s.countsReplicas = !ps.Leaving && w.p.recentlyReachable(w.input.Now, ps)
	s.assignable = s.countsReplicas && ps.Reachable
	s.utilization = w.p.smoothUtilization(ps, w.elapsed)
	w.servers = append(w.servers, s)
	pool := w.input.Config.Pools[ps.Pool]
	w.lendableMiB[ps.Pool] += int64(pool.Lent * float64(ps.MemoryMiB))
	for _, item := range ps.Assigned {
		if w.owner(item) != pool.Owner {
			w.lendableMiB[ps.Pool] -= item.MiB
		}
		if s.countsReplicas {
			w.countReplica(s, item)
		}
	}
}

func (w *planState) countReplica(s *planServer, item infra.Item) {
	name := nameOfItem(item)
	if !slices.Contains(w.replicas[name], s) {
		w.replicas[name] = append(w.replicas[name], s)
		if s.serves(item) {
			w.readyReplicas[name]++
		}
	}
}

// serves reports whether the server has some version of the item ready, and for an
// adapter also its model.
func (s *planServer) serves(item infra.Item) bool {
	return s.isReady(nameOfItem(item)) && (item.Adapter == "" || s.isReady(item.Model))
}

func (s *planServer) isReady(name string) bool {
	return slices.ContainsFunc(s.Ready, func(i infra.Item) bool { return nameOfItem(i) == name })
}

func (s *planServer) has(name string) bool {
	return slices.ContainsFunc(s.items, func(i infra.Item) bool { return nameOfItem(i) == name })
}

// recentlyReachable reports whether the server was reachable within unreachableGrace.
func (p *Planner) recentlyReachable(now time.Time, s *PlanServer) bool {
	if s.Reachable {
		delete(p.unreachableSince, s.ID)
		return true
	}
	since, ok := p.unreachableSince[s.ID]
	if !ok {
		p.unreachableSince[s.ID] = now
		return true
	}
	return now.Sub(since) < unreachableGrace
}

// smoothUtilization returns a server's smoothed utilization, but at least its current
// one. A burst that fills every server must not cause moves, and until the mean has
// caught up with the burst the servers would seem to have spare slots.
func (p *Planner) smoothUtilization(s *PlanServer, elapsed float64) float64 {
	now := float64(s.Load.Running+s.Load.Waiting) / float64(max(s.Slots, s.Load.Slots, 1))
	mean := now
	old, ok := p.utilization[s.ID]
	if ok {
		keep := math.Exp2(-elapsed / utilizationHalfLife.Seconds())
		mean = old*keep + now*(1-keep)
	}
	p.utilization[s.ID] = mean
	return max(mean, now)
}

// add assigns the items to the server if the weight store and the memory allow it.
func (w *planState) add(s *planServer, items []infra.Item, reason string, gain float64) bool {
	var size int64
	need := map[string]int{}
	for _, i := range items {
		size += i.MiB
		need[w.owner(i)]++
	}
	for owner, n := range need {
		if w.loadsLeft[owner] < n {
			return false
		}
	}
	if s.freeMiB < size || !w.mayHost(s, items[0].Model, size) {
		return false
	}
	m := w.moveFor(s, reason, gain)
	w.changes++
	for _, i := range items {
		owner := w.owner(i)
		w.loadsLeft[owner]--
		w.p.budget.tokens[owner]--
		s.freeMiB -= i.MiB
		s.items = append(s.items, i)
		if owner != w.input.Config.Pools[s.Pool].Owner {
			w.lendableMiB[s.Pool] -= i.MiB
		}
		m.Add = append(m.Add, i)
		w.countReplica(s, i)
	}
	return true
}

// drop removes the item from the server. Its memory is free in a later plan, after
// the removal is confirmed.
func (w *planState) drop(s *planServer, item infra.Item, reason string) {
	if !slices.Contains(s.items, item) {
		return
	}
	w.changes++
	m := w.moveFor(s, reason, 0)
	m.Drop = append(m.Drop, item)
	s.items = slices.DeleteFunc(s.items, func(i infra.Item) bool { return i.Key() == item.Key() })
	if name := nameOfItem(item); !s.has(name) && s.countsReplicas {
		w.replicas[name] = slices.DeleteFunc(slices.Clone(w.replicas[name]), func(x *planServer) bool { return x == s })
		if s.serves(item) {
			w.readyReplicas[name]--
		}
	}
}

func (w *planState) moveFor(s *planServer, reason string, gain float64) *Move {
	m := w.moves[s.ID]
	if m == nil {
		m = &Move{Server: s.ID, Reason: reason}
		w.moves[s.ID] = m
	}
	m.Gain += gain
	return m
}

// sortedMoves returns the moves, those with the highest gain per load first.
func (w *planState) sortedMoves() []Move {
	moves := make([]Move, 0, len(w.moves))
	for _, id := range sortedNames(w.moves) {
		moves = append(moves, *w.moves[id])
	}
	rate := func(m Move) float64 { return m.Gain / float64(max(len(m.Add), 1)) }
	slices.SortStableFunc(moves, func(a, b Move) int { return cmp.Compare(rate(b), rate(a)) })
	return moves
}

// mayHost reports whether the model may run in the server's pool and, if the pool
// belongs to another partner, whether its lent part has size MiB left.
func (w *planState) mayHost(s *planServer, model string, size int64) bool {
	m := w.input.Config.Models[model]
	if !slices.Contains(m.Pools, s.Pool) {
		return false
	}
	return w.input.Config.Pools[s.Pool].Owner == m.Owner || w.lendableMiB[s.Pool] >= size
}

// item returns the declared version of a model or adapter.
func (w *planState) item(name string) infra.Item {
	if m, ok := w.input.Config.Models[name]; ok {
		return infra.Item{Model: name, Version: m.Version, MiB: m.MiB}
	}
	a := w.input.Config.Adapters[name]
	return infra.Item{Model: a.Model, Adapter: name, Version: a.Version, MiB: a.MiB}
}

func (w *planState) owner(i infra.Item) string {
	if i.Adapter != "" {
		return w.input.Config.Adapters[i.Adapter].Owner
	}
	return w.input.Config.Models[i.Model].Owner
}

// partnerWeights returns a partner's weights; a missing weight is 1.
func (w *planState) partnerWeights(name string) config.Partner {
	p := w.input.Config.Partners[name]
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

// occupiedMiB returns the memory, in MiB, of a server's assigned and lingering items.
func occupiedMiB(s PlanServer) int64 {
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
