package decide

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengageferry/infra"
)

// The simple policies that the experiment compares with. Each dispatches at
// once: requests that find no slot wait at the server.

// simple routes by a rule and knows nothing but its own requests.
type simple struct {
	table    *Table
	rng      *rand.Rand
	at       map[string]string
	inFlight map[string]int
	turn     int
	rule     func(s *simple, t *Target) Replica
	miss     func(t *Target) // tells a loading placer of each request
}

func newSimple(w *world, rule func(*simple, *Target) Replica) *simple {
	return &simple{table: &Table{}, rng: rand.New(rand.NewPCG(w.rng.Uint64(), 2)), at: map[string]string{}, inFlight: map[string]int{}, rule: rule}
}

func randomRule(s *simple, t *Target) Replica { return t.Replicas[s.rng.IntN(len(t.Replicas))] }

func roundRobinRule(s *simple, t *Target) Replica {
	s.turn++
	return t.Replicas[s.turn%len(t.Replicas)]
}

func leastRule(s *simple, t *Target) Replica {
	best := t.Replicas[s.rng.IntN(len(t.Replicas))]
	for _, r := range t.Replicas {
		if s.inFlight[s.table.Servers[r.Server].ID] < s.inFlight[s.table.Servers[best.Server].ID] {
			best = r
		}
	}
	return best
}

func (s *simple) SetTable(_ time.Time, t *Table) []Decision { s.table = t; return nil }

func (s *simple) Arrive(_ time.Time, r Request) []Decision {
	t := s.table.Targets[r.Target]
	if s.miss != nil {
		s.miss(t)
	}
	if len(t.Replicas) == 0 {
		return []Decision{{Request: r.ID, Action: ActionRefuse, Reason: ReasonNoReplica}}
	}
	srv := s.table.Servers[s.rule(s, t).Server]
	s.at[r.ID] = srv.ID
	s.inFlight[srv.ID]++
	return []Decision{{Request: r.ID, Action: ActionDispatch, Server: srv}}
}

func (s *simple) Failed(_ time.Time, request, _ string, _ Failure) []Decision {
	s.release(request)
	return []Decision{{Request: request, Action: ActionRefuse, Reason: ReasonNoReplica}}
}

func (s *simple) Ended(_ time.Time, request, _ string, _ Outcome) []Decision {
	s.release(request)
	return nil
}

func (s *simple) Left(_ time.Time, request string) []Decision {
	s.release(request)
	return nil
}

func (s *simple) release(request string) {
	if at, ok := s.at[request]; ok {
		s.inFlight[at]--
		delete(s.at, request)
	}
}

func (s *simple) Reported(time.Time, string, infra.Load, time.Duration) []Decision { return nil }
func (s *simple) Tick(time.Time) []Decision                                        { return nil }

// static places once: a replica of each, then a second where room allows.
type static struct{ planner *Planner }

func (s static) Plan(in PlanInput) []Move {
	in.Demand = nil
	return s.planner.Plan(in)
}

// lru places like static, then loads whatever callers wait for: a model whose
// servers are full goes to the emptiest server, the least recently used there
// making room.
type lru struct {
	static
	w *world
	d *simDomain
}

func (l *lru) wanted(t *Target) {
	if l.w.loading[t.Partner] >= l.w.stores[t.Partner].ConcurrentLoads {
		return
	}
	var best *simEngine
	for _, d := range l.w.domains {
		for _, e := range d.engines {
			has := slices.ContainsFunc(e.Assigned, func(i infra.Item) bool { return nameOfItem(i) == t.Name })
			if has {
				e.used[infra.Key{Model: t.Model}] = l.w.now
			}
			switch load := e.running + len(e.waiting); {
			case has && (load < e.Slots || !e.serves(t.Name)):
				return // a free slot, or it is being loaded
			case has:
			case d == l.d && load < e.Slots && (best == nil || load < best.running+len(best.waiting)):
				best = e
			}
		}
	}
	if best != nil {
		l.bring(best, t)
	}
}

func (l *lru) bring(e *simEngine, t *Target) {
	conf := l.w.conf
	var items []infra.Item
	if !slices.ContainsFunc(e.Assigned, func(i infra.Item) bool { return i.Model == t.Model && i.Adapter == "" }) {
		items = append(items, infra.Item{Model: t.Model, Version: "1", MiB: conf.Models[t.Model].MiB})
	}
	if t.Adapter != "" {
		items = append(items, infra.Item{Model: t.Model, Adapter: t.Adapter, Version: "1", MiB: conf.Adapters[t.Adapter].MiB})
	}
	for e.MemoryMiB-occupiedMiB(e.PlanServer) < totalMiB(items) {
		if !l.evictOldest(e, t.Model) {
			return
		}
	}
	for _, i := range items {
		l.w.load(e, i, t.Partner)
	}
}

// evictOldest drops the least recently used model that is also elsewhere.
func (l *lru) evictOldest(e *simEngine, but string) bool {
	oldest := ""
	for _, i := range e.Assigned {
		if i.Adapter == "" && i.Model != but && l.copies(i.Model) > 1 &&
			(oldest == "" || e.used[infra.Key{Model: i.Model}].Before(e.used[infra.Key{Model: oldest}])) {
			oldest = i.Model
		}
	}
	for _, i := range slices.Clone(e.Assigned) {
		if oldest != "" && i.Model == oldest {
			l.w.unload(e, i)
			e.Lingering = nil // what runs ends at once: a favor to the baseline
		}
	}
	return oldest != ""
}

func (l *lru) copies(model string) int {
	n := 0
	for _, e := range l.w.engines {
		for _, i := range e.Assigned {
			if i.Model == model && i.Adapter == "" {
				n++
			}
		}
	}
	return n
}

func ownRouter(w *world, _ *simDomain) router {
	return NewScheduler(rand.New(rand.NewPCG(w.rng.Uint64(), 3)))
}

func ownPlacer(*world, *simDomain) placer { return NewPlanner() }

func staticPlacer(*world, *simDomain) placer { return static{NewPlanner()} }

func ruleRouter(rule func(*simple, *Target) Replica) func(*world, *simDomain) router {
	return func(w *world, _ *simDomain) router { return newSimple(w, rule) }
}

func lruRouter(w *world, d *simDomain) router {
	s := newSimple(w, leastRule)
	s.miss = d.placer.(*lru).wanted
	return s
}

var ownPolicy = policy{"own", ownRouter, ownPlacer}

var baselines = []policy{
	{"random", ruleRouter(randomRule), ownPlacer},
	{"round-robin", ruleRouter(roundRobinRule), ownPlacer},
	{"least-in-flight", ruleRouter(leastRule), ownPlacer},
	{"static", ruleRouter(leastRule), staticPlacer},
	{"lru-loading", lruRouter, func(w *world, d *simDomain) placer { return &lru{static{NewPlanner()}, w, d} }},
}

// ablations show what each half of the policy brings.
var ablations = []policy{
	{"own-routing-static", ownRouter, staticPlacer},
}
