package residency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// The workload: most requests are for hot models, some of which change after some
// seconds; rare models each have a request every few seconds. Three quarters of the
// servers' slots are needed, and twice a fifth of the servers restart without models
// except on disk. All models together fit on the servers, three on each.
const (
	slotsPerServer = 12
	stepTime       = 100 * time.Millisecond
	hotGoal        = 400 * time.Millisecond
	rareGoal       = 3 * time.Second
	abandonAfter   = 10 * time.Second // until a waiting request is abandoned
)

// simRequest is one request for a model.
type simRequest struct {
	model   int
	rare    bool
	arrived time.Time
	ends    time.Time
}

// workload sends simulated requests to a simulation's servers.
type workload struct {
	*simulation
	rng     *rand.Rand
	models  int
	hot     []int
	weights []float64
	hotRate float64 // requests per second for hot models
	rare    float64 // requests per second over all models that can't become hot

	rareDeadline time.Duration // of requests for rare models; 0: as for all others
	fair         bool          // waiting requests take free slots in random order of the models

	waiting map[int][]*simRequest
	running map[*simServer][]*simRequest
	arrived map[string]int

	totalByModel, servedByModel map[int]int // requests

	total, inTime, totalRare, inTimeRare, abandoned int
}

func newWorkload(t testing.TB, servers int, seed uint64) *workload {
	models := servers * 444 / 240
	r := &workload{
		simulation: newSimulation(t, servers, models, 0), rng: rand.New(rand.NewPCG(seed, 2)), models: models,
		hotRate: 9 * float64(servers), rare: 0.5 * float64(servers),
		waiting: map[int][]*simRequest{}, running: map[*simServer][]*simRequest{}, arrived: map[string]int{},
		totalByModel: map[int]int{}, servedByModel: map[int]int{},
	}
	e := r.service.Engine
	e.Slots, e.LoadsPerSecond = slotsPerServer, 0.15*float64(servers)
	for i := range e.Models {
		e.Models[i].LoadTime = 4200 * time.Millisecond
	}
	r.setHotModels(0)
	// As on a real platform, hot models start on many servers and the others on one.
	freePlaces := 3 * servers
	places := make([]int, servers)
	tryPlace := func(m int) bool {
		for range 200 {
			if x := r.rng.IntN(servers); places[x] < 3 && r.servers[x].models[fmt.Sprint("m", m)] == nil {
				places[x]++
				freePlaces--
				r.placeModel(fmt.Sprint("m", m), x)
				return true
			}
		}
		return false
	}
	for m := range models {
		tryPlace(m)
	}
	for n := 0; freePlaces > 0 && n < 10*servers; n++ {
		tryPlace(r.drawHotModel())
	}
	for _, x := range r.servers { // disks start full
		for len(x.onDisk) < 6 {
			x.onDisk[fmt.Sprint("m", r.rng.IntN(models))] = true
		}
	}
	return r
}

// candidates returns the number of models that can become hot; the others are rare.
func (r *workload) candidates() int { return r.models * 120 / 444 }

// setHotModels selects the hot models for a second of the scenario.
func (r *workload) setHotModels(second int) {
	n := r.models * 48 / 444
	r.hot, r.weights = nil, nil
	sum := 0.0
	order := rand.New(rand.NewPCG(5, 9)).Perm(r.candidates())
	for i := range n {
		r.hot = append(r.hot, order[(i+second/2)%len(order)])
		w := math.Pow(float64(i+1), -0.6)
		r.weights = append(r.weights, w)
		sum += w
	}
	for i := range r.weights {
		r.weights[i] /= sum
	}
}

func (r *workload) drawHotModel() int {
	x := r.rng.Float64()
	for i, w := range r.weights {
		if x -= w; x < 0 {
			return r.hot[i]
		}
	}
	return r.hot[0]
}

// restartServers restarts a random fraction of the servers without models except on
// disk.
func (r *workload) restartServers(fraction float64) {
	for _, x := range r.servers {
		if r.rng.Float64() < fraction {
			x.models, x.sequence, x.born, x.loading, x.unloading = map[string]map[string]bool{}, 0, r.now, "", ""
			r.running[x] = nil
		}
	}
}

// runSecond simulates one second.
func (r *workload) runSecond() {
	for range int(time.Second / stepTime) {
		r.addArrivals()
		r.serve()
		r.step()
	}
}

func (r *workload) addArrivals() {
	enqueue := func(m int, rare bool) {
		r.total++
		r.totalByModel[m]++
		if rare {
			r.totalRare++
		}
		r.arrived[fmt.Sprint("m", m)]++
		r.waiting[m] = append(r.waiting[m], &simRequest{model: m, rare: rare, arrived: r.now})
	}
	for range r.poisson(r.hotRate * stepTime.Seconds()) {
		enqueue(r.drawHotModel(), false)
	}
	for range r.poisson(r.rare * stepTime.Seconds()) {
		enqueue(r.candidates()+r.rng.IntN(r.models-r.candidates()), true)
	}
}

func (r *workload) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := r.rng.Float64(); x > p; x *= r.rng.Float64() {
		n++
	}
	return n
}

// serve assigns waiting requests to the servers with their model that have the fewest
// running requests.
func (r *workload) serve() {
	for _, x := range r.servers {
		kept := r.running[x][:0]
		for _, q := range r.running[x] {
			if r.now.Before(q.ends) {
				kept = append(kept, q)
			}
		}
		r.running[x] = kept
		for _, q := range kept { // an unload waits for the running requests of its model
			if x.unloading == fmt.Sprint("m", q.model) {
				x.readyAt = r.now.Add(2 * stepTime)
			}
		}
	}
	for _, m := range r.serveOrder() {
		name := fmt.Sprint("m", m)
		var left []*simRequest
		for _, q := range r.sortQueue(r.waiting[m]) {
			var best *simServer
			for _, x := range r.servers {
				if x.models[name] != nil && x.unloading != name && len(r.running[x]) < slotsPerServer && (best == nil || len(r.running[x]) < len(r.running[best])) {
					best = x
				}
			}
			age := r.now.Sub(q.arrived)
			switch {
			case best != nil:
				r.startRequest(q, best, age)
			case age > r.deadline(q):
				r.abandoned++
			default:
				left = append(left, q)
			}
		}
		r.waiting[m] = left
	}
}

// serveOrder returns the models in the order in which their waiting requests take free slots.
func (r *workload) serveOrder() []int {
	if r.fair {
		return r.rng.Perm(r.models)
	}
	out := make([]int, r.models)
	for m := range out {
		out[m] = m
	}
	return out
}

// deadline returns how long a request waits until it is abandoned.
func (r *workload) deadline(q *simRequest) time.Duration {
	if q.rare && r.rareDeadline > 0 {
		return r.rareDeadline
	}
	return abandonAfter
}

// sortQueue puts requests that can still meet their goal first, as the instances do.
func (r *workload) sortQueue(waiting []*simRequest) []*simRequest {
	missed := func(q *simRequest) bool { return !q.rare && r.now.Sub(q.arrived) > hotGoal }
	slices.SortStableFunc(waiting, func(a, b *simRequest) int {
		switch {
		case missed(a) == missed(b):
			return a.arrived.Compare(b.arrived)
		case missed(b):
			return -1
		}
		return 1
	})
	return waiting
}

func (r *workload) startRequest(q *simRequest, x *simServer, age time.Duration) {
	hold := time.Duration((0.1 + 0.85*r.rng.ExpFloat64()) * float64(time.Second))
	q.ends = r.now.Add(hold)
	r.servedByModel[q.model]++
	r.running[x] = append(r.running[x], q)
	if q.rare && age <= rareGoal {
		r.inTimeRare++
	}
	if !q.rare && age <= hotGoal {
		r.inTime++
	}
}

// step reports the demand to the planner and computes a plan.
func (r *workload) step() {
	clear(r.simulation.demand)
	for m := range r.models {
		if n := len(r.waiting[m]); n > 0 {
			r.setDemand(fmt.Sprint("m", m), 0, n)
		}
	}
	for _, x := range r.servers {
		for _, q := range r.running[x] {
			name := topology.TargetName("llm", fmt.Sprint("m", q.model), "")
			a := r.simulation.demand[name]
			a.InFlight++
			r.simulation.demand[name] = a
		}
	}
	for name, n := range r.arrived {
		a := r.simulation.demand[topology.TargetName("llm", name, "")]
		a.Requests = n
		r.simulation.demand[topology.TargetName("llm", name, "")] = a
	}
	clear(r.arrived)
	r.exactRequests = true
	r.simulation.step()
}

// runScenario moves the hot models twice and restarts servers twice within 30 s.
func (r *workload) runScenario() {
	for sec := range 30 {
		switch sec {
		case 6, 20:
			r.setHotModels(sec)
			r.restartServers(0.2)
		}
		r.runSecond()
	}
}

// While demand moves and servers fail, loads stay within the weight store's rate,
// nothing is overcommitted (the simulation checks this for each order), and no model
// starves.
func TestWeightStoreRateAndNoStarvation(t *testing.T) {
	r := newWorkload(t, 120, 1)
	r.runScenario()
	const window, overage, slack = 5 * time.Second, 1.1, 3
	most := r.service.Engine.LoadsPerSecond*window.Seconds()*overage + slack
	for n, begun := range r.storeLoads {
		within := 0
		for _, other := range r.storeLoads[n:] {
			if other.Sub(begun) < window {
				within++
			}
		}
		require.LessOrEqual(t, float64(within), most, "loads within five seconds")
	}
	starved, total := 0, 0
	for m, n := range r.totalByModel {
		if n < 4 {
			continue
		}
		total++
		if r.servedByModel[m] == 0 {
			starved++
		}
	}
	require.LessOrEqual(t, float64(starved), 1+0.1*float64(total))
	t.Logf("hot in time %.3f, rare %.3f, given up %.3f, loads %d",
		float64(r.inTime)/float64(r.total-r.totalRare), float64(r.inTimeRare)/float64(r.totalRare), float64(r.abandoned)/float64(r.total), len(r.storeLoads))
}
