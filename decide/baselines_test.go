package decide

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengageferry/infra"
)

// Baseline policies for the experiment. Each dispatches at once; requests that find no
// slot wait at the server.

// baselineRouter routes by a fixed rule and knows only its own requests.
type baselineRouter struct {
	table     *Table
	rng       *rand.Rand
	server    map[string]string
	inFlight  map[string]int
	turn      int
	rule      func(s *baselineRouter, t *Target) Replica
	onRequest func(t *Target) // notifies an on-demand placer of each request; may be nil
}

func newBaselineRouter(w *world, rule func(*baselineRouter, *Target) Replica) *baselineRouter {
	return &baselineRouter{table: &Table{}, rng: rand.New(rand.NewPCG(w.rng.Uint64(), 2)), server: map[string]string{}, inFlight: map[string]int{}, rule: rule}
}

func randomRule(s *baselineRouter, t *Target) Replica { return t.Replicas[s.rng.IntN(len(t.Replicas))] }

func roundRobinRule(s *baselineRouter, t *Target) Replica {
	s.turn++
	return t.Replicas[s.turn%len(t.Replicas)]
}

func leastInFlightRule(s *baselineRouter, t *Target) Replica {
	best := t.Replicas[s.rng.IntN(len(t.Replicas))]
	for _, r := range t.Replicas {
		if s.inFlight[s.table.Servers[r.Server].ID] < s.inFlight[s.table.Servers[best.Server].ID] {
			best = r
		}
	}
	return best
}

func (s *baselineRouter) SetTable(_ time.Time, t *Table) []Decision { s.table = t; return nil }

func (s *baselineRouter) Submit(_ time.Time, r Request) []Decision {
	t := s.table.Targets[r.Target]
	if s.onRequest != nil {
		s.onRequest(t)
	}
	if len(t.Replicas) == 0 {
		return []Decision{{Request: r.ID, Action: ActionRefuse, Reason: ReasonNoReplica}}
	}
	srv := s.table.Servers[s.rule(s, t).Server]
	s.server[r.ID] = srv.ID
	s.inFlight[srv.ID]++
	return []Decision{{Request: r.ID, Action: ActionDispatch, Server: srv}}
}

func (s *baselineRouter) AttemptFailed(_ time.Time, request, _ string, _ Failure) []Decision {
	s.release(request)
	return []Decision{{Request: request, Action: ActionRefuse, Reason: ReasonNoReplica}}
}

func (s *baselineRouter) Ended(_ time.Time, request, _ string, _ Outcome) []Decision {
	s.release(request)
	return nil
}

func (s *baselineRouter) Cancel(_ time.Time, request string) []Decision {
	s.release(request)
	return nil
}

func (s *baselineRouter) release(request string) {
	if server, ok := s.server[request]; ok {
		s.inFlight[server]--
		delete(s.server, request)
	}
}

func (s *baselineRouter) UpdateLoad(time.Time, string, infra.Load, time.Duration) []Decision {
	return nil
}
func (s *baselineRouter) Tick(time.Time) []Decision { return nil }

// staticPlacement ignores demand: it places one replica of each model, then a second where
// memory allows.
type staticPlacement struct{ planner *Planner }

func (s staticPlacement) Plan(in PlanInput) []Move {
	in.Demand = nil
	return s.planner.Plan(in)
}

// lruPlacement starts like staticPlacement, then loads models on demand: a model whose
// servers are full is loaded on the least loaded server, which evicts its least recently
// used models.
type lruPlacement struct {
	staticPlacement
	w *world
	d *simDomain
}

func (l *lruPlacement) loadOnDemand(t *Target) {
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
				return // has a free slot or is being loaded
			case has:
			case d == l.d && load < e.Slots && (best == nil || load < best.running+len(best.waiting)):
				best = e
			}
		}
	}
	if best != nil {
		l.place(best, t)
	}
}

func (l *lruPlacement) place(e *simEngine, t *Target) {
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

// evictOldest evicts the least recently used model that also has another replica, but not
// the model except.
func (l *lruPlacement) evictOldest(e *simEngine, except string) bool {
	oldest := ""
	for _, i := range e.Assigned {
		if i.Adapter == "" && i.Model != except && l.copies(i.Model) > 1 &&
			(oldest == "" || e.used[infra.Key{Model: i.Model}].Before(e.used[infra.Key{Model: oldest}])) {
			oldest = i.Model
		}
	}
	for _, i := range slices.Clone(e.Assigned) {
		if oldest != "" && i.Model == oldest {
			l.w.unload(e, i)
			e.Lingering = nil // running requests end at once, which favors the baseline
		}
	}
	return oldest != ""
}

func (l *lruPlacement) copies(model string) int {
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

func staticPlacer(*world, *simDomain) placer { return staticPlacement{NewPlanner()} }

func ruleRouter(rule func(*baselineRouter, *Target) Replica) func(*world, *simDomain) router {
	return func(w *world, _ *simDomain) router { return newBaselineRouter(w, rule) }
}

func lruRouter(w *world, d *simDomain) router {
	s := newBaselineRouter(w, leastInFlightRule)
	s.onRequest = d.placer.(*lruPlacement).loadOnDemand
	return s
}

var ownPolicy = policy{"own", ownRouter, ownPlacer}

var baselines = []policy{
	{"random", ruleRouter(randomRule), ownPlacer},
	{"round-robin", ruleRouter(roundRobinRule), ownPlacer},
	{"least-in-flight", ruleRouter(leastInFlightRule), ownPlacer},
	{"static", ruleRouter(leastInFlightRule), staticPlacer},
	{"lru-loading", lruRouter, func(w *world, d *simDomain) placer { return &lruPlacement{staticPlacement{NewPlanner()}, w, d} }},
}

// ablations combine this project's routing with static placement, to measure the effect of
// each half.
var ablations = []policy{
	{"own-routing-static", ownRouter, staticPlacer},
}
