package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"greengageferry/config"
	"greengageferry/infra"
)

// deploymentSize describes a deployment for the experiment.
type deploymentSize struct {
	name     string
	domains  []int // backend servers in each failure domain
	entries  []int // entry instances in each failure domain
	models   int
	adapters int
	guests   int     // models of the partner "guest", in the lent part of the pool
	mib      []int64 // model sizes, used in turn
	store    infra.StoreLimits
	weights  config.Partner // weights of the partner "owner"
}

const (
	simSlots          = 8
	simMemory         = 80000 // MiB
	simTokenTime      = 0.025 // seconds per token with one running request
	simMeanTokens     = 200.0 // tokens of a mean answer
	simPlanInterval   = 2 * time.Second
	simTableInterval  = 2 * time.Second // delay until instances learn which replicas are ready
	simReportInterval = time.Second     // interval between exchanges of load reports
	simWarmup         = 10 * time.Minute
)

var (
	flightKitchen = deploymentSize{name: "flight-kitchen", domains: []int{5, 5, 4, 4}, entries: []int{3, 2, 2, 2}, models: 34, adapters: 94, guests: 4,
		mib: []int64{10000, 16000, 28000}, store: infra.StoreLimits{LoadsPerSecond: 3, ConcurrentLoads: 3},
		weights: config.Partner{Weight: 1, AttainmentWeight: 2, MovesWeight: 1}}
	instituto = deploymentSize{name: "instituto", domains: []int{3, 2, 2, 2}, entries: []int{3, 2, 2, 2}, models: 17, adapters: 56, guests: 2,
		mib: []int64{10000, 16000, 28000}, store: infra.StoreLimits{LoadsPerSecond: 1, ConcurrentLoads: 7},
		weights: config.Partner{Weight: 1, AttainmentWeight: 1, MovesWeight: 2}}
	twoYears = deploymentSize{name: "two-years", domains: []int{211}, entries: []int{41}, models: 830, guests: 40,
		mib: []int64{5000, 8000, 12000}, store: infra.StoreLimits{LoadsPerSecond: 12, ConcurrentLoads: 12},
		weights: config.Partner{Weight: 1, AttainmentWeight: 2, MovesWeight: 1}}
	small = deploymentSize{name: "small", domains: []int{3, 3}, entries: []int{2, 2}, models: 10, adapters: 6, guests: 2,
		mib: []int64{10000, 16000, 28000}, store: infra.StoreLimits{LoadsPerSecond: 2, ConcurrentLoads: 2},
		weights: config.Partner{Weight: 1, AttainmentWeight: 1, MovesWeight: 1}}
)

// scenario describes the offered load. Its functions take the elapsed part of the run,
// from 0 to 1.
type scenario struct {
	name         string
	load         func(x float64) float64            // as a part of the capacity
	skew         float64                            // exponent of the power law of the models' popularity
	demandFactor func(x float64, model int) float64 // factor of one model's demand; nil: 1
	guest        float64                            // part of the requests that are for guest models
	longPart     float64                            // part of the requests that are eight times as long
	slowFactor   float64                            // factor by which one server is slower; 0: none
}

func constantLoad(l float64) func(float64) float64 { return func(float64) float64 { return l } }

var scenarios = []scenario{
	{name: "steady", load: constantLoad(0.6), skew: 0.6, guest: 0.1},
	{name: "bursts", load: func(x float64) float64 {
		if math.Mod(x*12, 1) < 0.25 {
			return 1.5
		}
		return 0.4
	}, skew: 0.6, guest: 0.1},
	{name: "skew", load: constantLoad(0.6), skew: 1.2, guest: 0.1},
	{name: "slow-server", load: constantLoad(0.55), skew: 0.6, guest: 0.1, slowFactor: 4},
	{name: "long-short", load: constantLoad(0.75), skew: 0.6, guest: 0.1, longPart: 0.2},
	{name: "saturation", load: constantLoad(1.6), skew: 0.6, guest: 0.1},
	{name: "owner-floods", load: constantLoad(1.6), skew: 0.6, guest: 0.08},
	{name: "guest-floods", load: constantLoad(1.6), skew: 0.6, guest: 0.7},
	{name: "tenfold", load: constantLoad(0.55), skew: 0.6, guest: 0.1, demandFactor: func(x float64, m int) float64 {
		if m%5 == 1 {
			return 1 + 9*min(x*1.2, 1)
		}
		return 1
	}},
	{name: "flapping", load: constantLoad(0.5), skew: 0.6, guest: 0.1, demandFactor: func(x float64, m int) float64 {
		if m%2 == int(x*20)%2 {
			return 3
		}
		return 0.2
	}},
}

// policy is a combination of a router and a planner.
type policy struct {
	name   string
	router func(w *world, d *simDomain) router
	placer func(w *world, d *simDomain) placer
}

// result holds the outcome of a run as callers see it.
type result struct {
	requests, met, refused, moves int
	missedByReason                map[string]int
	missedByTarget                map[string]int
	partnerRequests, partnerMet   map[string]int
	waits                         []float64 // seconds from arrival to dispatch
	refusals                      []float64 // seconds from arrival to refusal
	accelerators                  int
}

// attainment returns the part of requests that met their deadline.
func (r *result) attainment() float64 { return float64(r.met) / float64(max(r.requests, 1)) }

func (r *result) partnerAttainment(partner string) float64 {
	return float64(r.partnerMet[partner]) / float64(max(r.partnerRequests[partner], 1))
}

// p99 returns the 99th percentile of times, which it sorts.
func p99(times []float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sort.Float64s(times)
	return times[len(times)*99/100]
}

func (z deploymentSize) config() *config.Config {
	c := &config.Config{
		Partners: map[string]config.Partner{"owner": z.weights, "guest": {Weight: 1, AttainmentWeight: 1, MovesWeight: 1}},
		Pools:    map[string]config.Pool{},
		Models:   map[string]config.Model{},
		Adapters: map[string]config.Adapter{},
	}
	pool := config.Pool{Owner: "owner", MemoryMiB: simMemory, Slots: simSlots, Lent: 0.35}
	for i, n := range z.domains {
		pool.FailureDomains = append(pool.FailureDomains, fmt.Sprintf("d%d", i))
		pool.Servers += n
	}
	c.Pools["pool"] = pool
	for i := range z.models + z.guests {
		owner := "owner"
		if i >= z.models {
			owner = "guest"
		}
		c.Models[fmt.Sprintf("m%03d", i)] = config.Model{Owner: owner, Version: "1", Pools: []string{"pool"}, MiB: z.mib[i%len(z.mib)],
			MaxTokens: 1600, FirstTokenMS: 700, PerTokenMS: 37, TimeoutMS: 20000}
	}
	for i := range z.adapters {
		c.Adapters[fmt.Sprintf("a%03d", i)] = config.Adapter{Owner: "owner", Model: fmt.Sprintf("m%03d", i%z.models), Version: "1", MiB: 400}
	}
	return c
}

func (z deploymentSize) meanMiB() float64 {
	sum := 0.0
	for _, mib := range z.mib {
		sum += float64(mib)
	}
	return sum / float64(len(z.mib))
}

func newWorld(z deploymentSize, p policy, seed uint64) *world {
	w := &world{
		now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), conf: z.config(),
		engines: map[string]*simEngine{}, loading: map[string]int{},
		stores:   map[string]infra.StoreLimits{"owner": z.store, "guest": z.store},
		adapters: map[string][]string{},
		result:   result{missedByReason: map[string]int{}, missedByTarget: map[string]int{}, partnerRequests: map[string]int{}, partnerMet: map[string]int{}},
	}
	for _, a := range sortedNames(w.conf.Adapters) {
		m := w.conf.Adapters[a].Model
		w.adapters[m] = append(w.adapters[m], a)
	}
	for i, n := range z.domains {
		d := &simDomain{name: fmt.Sprintf("d%d", i), demand: map[string]*Demand{}}
		for j := range n {
			e := &simEngine{domain: d.name, step: simTokenTime, updatedAt: w.now, PlanServer: PlanServer{ID: fmt.Sprintf("%s-s%03d", d.name, j), Pool: "pool",
				MemoryMiB: simMemory, Slots: simSlots, Reachable: true, AssignedAt: map[infra.Key]time.Time{}}}
			e.used = map[infra.Key]time.Time{}
			w.engines[e.ID] = e
			d.engines = append(d.engines, e)
		}
		w.result.accelerators += n
		w.domains = append(w.domains, d)
	}
	for i, d := range w.domains {
		d.placer = p.placer(w, d)
		for range z.entries[i] {
			d.entries = append(d.entries, &simEntry{domain: d, router: p.router(w, d), jobs: map[string]*job{}})
		}
	}
	w.loadMiB = z.meanMiB() * z.store.LoadsPerSecond / float64(z.store.ConcurrentLoads)
	w.scheduleLoops(z)
	return w
}

func (w *world) scheduleLoops(z deploymentSize) {
	for i, d := range w.domains {
		w.after(time.Duration(i)*time.Second, func() { w.every(simPlanInterval, func() { w.runPlan(d) }) })
	}
	w.every(simTableInterval, func() { w.publishTables(z) })
	w.every(simReportInterval, w.exchangeReports)
	w.every(50*time.Millisecond, func() {
		for _, d := range w.domains {
			for _, e := range d.entries {
				w.carryOut(e, e.router.Tick(w.now))
			}
		}
	})
}

// exchangeReports reports the loads of each domain's servers to its instances, half a
// second late.
func (w *world) exchangeReports() {
	for _, d := range w.domains {
		for _, e := range d.engines {
			load := e.load()
			w.after(500*time.Millisecond, func() {
				for _, to := range d.entries {
					w.carryOut(to, to.router.UpdateLoad(w.now, e.ID, load, 500*time.Millisecond))
				}
			})
		}
	}
}

func (w *world) runPlan(d *simDomain) {
	in := PlanInput{Now: w.now, Domain: d.name, Config: w.conf, Demand: map[string]Demand{}, OtherDomainReplicas: map[string]int{}, Stores: w.stores}
	for name, dem := range d.demand {
		s := simPlanInterval.Seconds()
		in.Demand[name] = Demand{dem.RequestsPerSecond / s, dem.TokensPerSecond / s, dem.RefusedPerSecond / s}
	}
	clear(d.demand)
	for _, o := range w.domains {
		in.Domains = append(in.Domains, o.name)
		for _, e := range o.engines {
			if o == d {
				e.Load = e.load()
				in.Servers = append(in.Servers, e.PlanServer)
				continue
			}
			for _, i := range e.Assigned {
				in.OtherDomainReplicas[nameOfItem(i)]++
			}
		}
	}
	for _, m := range d.placer.Plan(in) {
		e := w.engines[m.Server]
		for _, i := range m.Drop {
			w.unload(e, i)
		}
		for _, i := range m.Add {
			w.load(e, i, w.ownerOf(i))
		}
	}
}

func (w *world) ownerOf(i infra.Item) string {
	if i.Adapter != "" {
		return w.conf.Adapters[i.Adapter].Owner
	}
	return w.conf.Models[i.Model].Owner
}

// publishTables gives each instance a new table if the ready replicas changed.
func (w *world) publishTables(z deploymentSize) {
	if !w.readyChanged {
		return
	}
	w.readyChanged = false
	base := Table{Targets: map[string]*Target{}, Weights: map[string]float64{"owner": 1, "guest": 1}, Entries: map[string]int{}}
	for name, m := range w.conf.Models {
		base.Targets[name] = &Target{Name: name, Partner: m.Owner, Model: name, MaxTokens: m.MaxTokens, Timeout: 20 * time.Second}
	}
	for name, a := range w.conf.Adapters {
		base.Targets[name] = &Target{Name: name, Partner: a.Owner, Model: a.Model, Adapter: name, MaxTokens: 1600, Timeout: 20 * time.Second}
	}
	for i, d := range w.domains {
		base.Entries[d.name] = z.entries[i]
		for _, e := range d.engines {
			base.Servers = append(base.Servers, Server{ID: e.ID, Pool: e.Pool, FailureDomain: d.name, Slots: e.Slots})
			for _, i := range e.Ready {
				t := base.Targets[nameOfItem(i)]
				t.Replicas = append(t.Replicas, Replica{len(base.Servers) - 1, i.Version})
			}
		}
	}
	for _, d := range w.domains {
		t := base
		t.OwnDomain = d.name
		for _, e := range d.entries {
			w.carryOut(e, e.router.SetTable(w.now, &t))
		}
	}
}

// simulate runs a scenario for length after the first placement and returns its result.
func simulate(z deploymentSize, sc scenario, p policy, seed uint64, length time.Duration) result {
	w := newWorld(z, p, seed)
	w.run(simStart.Add(simWarmup))
	w.result.moves, w.moves = 0, true
	w.generateLoad(z, sc, length)
	w.run(simStart.Add(simWarmup + length + 25*time.Second))
	return w.result
}

// generateLoad schedules random arrivals at the scenario's load.
func (w *world) generateLoad(z deploymentSize, sc scenario, length time.Duration) {
	if sc.slowFactor > 0 {
		w.domains[0].engines[0].step *= sc.slowFactor
	}
	tokens := simMeanTokens * (1 + sc.longPart*7)
	perServer := simSlots / (simTokenTime * (1 + simFullBatchSlowdown) * (tokens + 800/simPromptStep))
	capacity := perServer * float64(w.result.accelerators)
	names := sortedNames(w.conf.Models)
	popular := w.rng.Perm(len(names))
	begin := w.now
	n := 0
	var next func()
	next = func() {
		x := w.now.Sub(begin).Seconds() / length.Seconds()
		if x >= 1 {
			return
		}
		n++
		w.issueRequest(sc, x, n, names, popular)
		w.after(seconds(w.rng.ExpFloat64()/(capacity*sc.load(x))), next)
	}
	next()
}

func (w *world) issueRequest(sc scenario, x float64, n int, names []string, popular []int) {
	guest := w.rng.Float64() < sc.guest
	weights := make([]float64, len(names))
	sum := 0.0
	for i, name := range names {
		if (w.conf.Models[name].Owner == "guest") != guest {
			continue
		}
		weights[i] = math.Pow(float64(popular[i]+3), -sc.skew)
		if sc.demandFactor != nil {
			weights[i] *= sc.demandFactor(x, i)
		}
		sum += weights[i]
	}
	at := w.rng.Float64() * sum
	pick := 0
	for i := range weights {
		if at -= weights[i]; at < 0 && weights[i] > 0 {
			pick = i
			break
		}
	}
	target := names[pick]
	if as := w.adapters[target]; len(as) > 0 && w.rng.Float64() < 0.3 {
		target = as[w.rng.IntN(len(as))]
	}
	mean := simMeanTokens
	if w.rng.Float64() < sc.longPart {
		mean *= 8
	}
	tokens := int(mean * (0.5 + w.rng.Float64()))
	deadline := 6*time.Second + time.Duration(mean*simTokenTime*(1+simFullBatchSlowdown)*1.3*float64(time.Second))
	d := w.domains[w.rng.IntN(len(w.domains))]
	w.arrive(d, Request{ID: fmt.Sprint("r", n), Partner: w.conf.Models[names[pick]].Owner, Target: target, Deadline: w.now.Add(deadline),
		PromptBytes: 800, MaxTokens: int(mean * 1.5), Prefix: uint64(pick*10 + w.rng.IntN(4) + 1), Idempotent: true}, tokens)
}
