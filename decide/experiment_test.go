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

// size is a deployment for the experiment.
type size struct {
	name     string
	domains  []int // backend servers in each failure domain
	entries  []int // entry instances in each
	models   int
	adapters int
	guests   int // models of the other partner, in the lent part
	mib      []int64
	store    infra.StoreLimits
	weights  config.Partner // of the owner
}

const (
	simSlots  = 8
	simMemory = 80000 // MiB
	simStep   = 0.025 // seconds for a token, alone
	simTokens = 200.0 // of a mean answer
	simPlan   = 2 * time.Second
	simTable  = 2 * time.Second // how late a change of what is ready is known
	simReport = time.Second     // between two exchanges of load reports
	simSettle = 10 * time.Minute
)

var (
	flightKitchen = size{name: "flight-kitchen", domains: []int{5, 5, 4, 4}, entries: []int{3, 2, 2, 2}, models: 34, adapters: 94, guests: 4,
		mib: []int64{10000, 16000, 28000}, store: infra.StoreLimits{LoadsPerSecond: 3, ConcurrentLoads: 3},
		weights: config.Partner{Weight: 1, AttainmentWeight: 2, MovesWeight: 1}}
	instituto = size{name: "instituto", domains: []int{3, 2, 2, 2}, entries: []int{3, 2, 2, 2}, models: 17, adapters: 56, guests: 2,
		mib: []int64{10000, 16000, 28000}, store: infra.StoreLimits{LoadsPerSecond: 1, ConcurrentLoads: 7},
		weights: config.Partner{Weight: 1, AttainmentWeight: 1, MovesWeight: 2}}
	twoYears = size{name: "two-years", domains: []int{211}, entries: []int{41}, models: 830, guests: 40,
		mib: []int64{5000, 8000, 12000}, store: infra.StoreLimits{LoadsPerSecond: 12, ConcurrentLoads: 12},
		weights: config.Partner{Weight: 1, AttainmentWeight: 2, MovesWeight: 1}}
	small = size{name: "small", domains: []int{3, 3}, entries: []int{2, 2}, models: 10, adapters: 6, guests: 2,
		mib: []int64{10000, 16000, 28000}, store: infra.StoreLimits{LoadsPerSecond: 2, ConcurrentLoads: 2},
		weights: config.Partner{Weight: 1, AttainmentWeight: 1, MovesWeight: 1}}
)

// scenario is a load. Its functions take the part of the run that has passed,
// from 0 to 1.
type scenario struct {
	name  string
	load  func(x float64) float64            // of the capacity
	skew  float64                            // exponent of the models' popularity
	shift func(x float64, model int) float64 // factor of one model's demand; nil: 1
	guest float64                            // part of the load that the guests ask for
	long  float64                            // part of requests that are eight times as long
	slow  float64                            // factor of one server's time; 0: none
}

func steady(l float64) func(float64) float64 { return func(float64) float64 { return l } }

var scenarios = []scenario{
	{name: "steady", load: steady(0.6), skew: 0.6, guest: 0.1},
	{name: "bursts", load: func(x float64) float64 {
		if math.Mod(x*12, 1) < 0.25 {
			return 1.5
		}
		return 0.4
	}, skew: 0.6, guest: 0.1},
	{name: "skew", load: steady(0.6), skew: 1.2, guest: 0.1},
	{name: "slow-server", load: steady(0.55), skew: 0.6, guest: 0.1, slow: 4},
	{name: "long-short", load: steady(0.75), skew: 0.6, guest: 0.1, long: 0.2},
	{name: "saturation", load: steady(1.6), skew: 0.6, guest: 0.1},
	{name: "owner-floods", load: steady(1.6), skew: 0.6, guest: 0.08},
	{name: "guest-floods", load: steady(1.6), skew: 0.6, guest: 0.7},
	{name: "tenfold", load: steady(0.55), skew: 0.6, guest: 0.1, shift: func(x float64, m int) float64 {
		if m%5 == 1 {
			return 1 + 9*min(x*1.2, 1)
		}
		return 1
	}},
	{name: "flapping", load: steady(0.5), skew: 0.6, guest: 0.1, shift: func(x float64, m int) float64 {
		if m%2 == int(x*20)%2 {
			return 3
		}
		return 0.2
	}},
}

// policy is a way to decide: routers and planners.
type policy struct {
	name   string
	router func(w *world, d *simDomain) router
	placer func(w *world, d *simDomain) placer
}

// result is what callers saw.
type result struct {
	asked, met, refused, moves int
	missed                     map[string]int
	lost                       map[string]int
	partnerAsked, partnerMet   map[string]int
	waits                      []float64 // seconds from arrival to dispatch
	refusals                   []float64 // seconds from arrival to refusal
	accelerators               int
}

func (r *result) attainment() float64 { return float64(r.met) / float64(max(r.asked, 1)) }

func (r *result) of(partner string) float64 {
	return float64(r.partnerMet[partner]) / float64(max(r.partnerAsked[partner], 1))
}

// p99 returns the 99th percentile of times.
func p99(times []float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sort.Float64s(times)
	return times[len(times)*99/100]
}

func (z size) config() *config.Config {
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

func (z size) meanMiB() float64 {
	sum := 0.0
	for _, mib := range z.mib {
		sum += float64(mib)
	}
	return sum / float64(len(z.mib))
}

func newWorld(z size, p policy, seed uint64) *world {
	w := &world{
		now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), conf: z.config(),
		engines: map[string]*simEngine{}, loading: map[string]int{},
		stores:   map[string]infra.StoreLimits{"owner": z.store, "guest": z.store},
		adapters: map[string][]string{},
		result:   result{missed: map[string]int{}, lost: map[string]int{}, partnerAsked: map[string]int{}, partnerMet: map[string]int{}},
	}
	for _, a := range sortedNames(w.conf.Adapters) {
		m := w.conf.Adapters[a].Model
		w.adapters[m] = append(w.adapters[m], a)
	}
	for i, n := range z.domains {
		d := &simDomain{name: fmt.Sprintf("d%d", i), demand: map[string]*Demand{}}
		for j := range n {
			e := &simEngine{domain: d.name, step: simStep, updatedAt: w.now, PlanServer: PlanServer{ID: fmt.Sprintf("%s-s%03d", d.name, j), Pool: "pool",
				MemoryMiB: simMemory, Slots: simSlots, Reachable: true, Since: map[infra.Key]time.Time{}}}
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
	w.duties(z)
	return w
}

func (w *world) duties(z size) {
	for i, d := range w.domains {
		w.after(time.Duration(i)*time.Second, func() { w.every(simPlan, func() { w.plan(d) }) })
	}
	w.every(simTable, func() { w.tables(z) })
	w.every(simReport, w.exchange)
	w.every(50*time.Millisecond, func() {
		for _, d := range w.domains {
			for _, e := range d.entries {
				w.carryOut(e, e.router.Tick(w.now))
			}
		}
	})
}

// exchange tells each instance the loads of its domain's servers, half a second old.
func (w *world) exchange() {
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

func (w *world) plan(d *simDomain) {
	in := PlanInput{Now: w.now, Domain: d.name, Config: w.conf, Demand: map[string]Demand{}, Elsewhere: map[string]int{}, Stores: w.stores}
	for name, dem := range d.demand {
		s := simPlan.Seconds()
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
				in.Elsewhere[nameOfItem(i)]++
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

// tables tells each instance what is ready.
func (w *world) tables(z size) {
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

// simulate runs a scenario for a time after the first placement and returns
// what callers saw.
func simulate(z size, sc scenario, p policy, seed uint64, length time.Duration) result {
	w := newWorld(z, p, seed)
	w.run(simStart.Add(simSettle))
	w.result.moves, w.moves = 0, true
	w.drive(z, sc, length)
	w.run(simStart.Add(simSettle + length + 25*time.Second))
	return w.result
}

// drive makes arrivals at random, as many as the scenario's load of the capacity.
func (w *world) drive(z size, sc scenario, length time.Duration) {
	if sc.slow > 0 {
		w.domains[0].engines[0].step *= sc.slow
	}
	tokens := simTokens * (1 + sc.long*7)
	perServer := simSlots / (simStep * (1 + simFullBatchSlowdown) * (tokens + 800/simPromptStep))
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
		w.request(sc, x, n, names, popular)
		w.after(seconds(w.rng.ExpFloat64()/(capacity*sc.load(x))), next)
	}
	next()
}

func (w *world) request(sc scenario, x float64, n int, names []string, popular []int) {
	guest := w.rng.Float64() < sc.guest
	weights := make([]float64, len(names))
	sum := 0.0
	for i, name := range names {
		if (w.conf.Models[name].Owner == "guest") != guest {
			continue
		}
		weights[i] = math.Pow(float64(popular[i]+3), -sc.skew)
		if sc.shift != nil {
			weights[i] *= sc.shift(x, i)
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
	mean := simTokens
	if w.rng.Float64() < sc.long {
		mean *= 8
	}
	tokens := int(mean * (0.5 + w.rng.Float64()))
	deadline := 6*time.Second + time.Duration(mean*simStep*(1+simFullBatchSlowdown)*1.3*float64(time.Second))
	d := w.domains[w.rng.IntN(len(w.domains))]
	w.arrive(d, Request{ID: fmt.Sprint("r", n), Partner: w.conf.Models[names[pick]].Owner, Target: target, Deadline: w.now.Add(deadline),
		PromptBytes: 800, MaxTokens: int(mean * 1.5), Prefix: uint64(pick*10 + w.rng.IntN(4) + 1), Idempotent: true}, tokens)
}
