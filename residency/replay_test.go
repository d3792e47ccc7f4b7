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

// The load: hot models that most requests ask for, part of them others after
// some seconds, and rare ones that each have a request every few seconds; three
// quarters of the engines' slots are wanted, and twice a fifth of the engines start
// again, empty but for their disks. All models fit on the engines together, three
// on each.

const (
	replaySlots = 12
	replayStep  = 100 * time.Millisecond
	replayGoal  = 400 * time.Millisecond
	rareGoal    = 3 * time.Second
	replayGiven = 10 * time.Second // until a request is given up
)

// replayRequest is one request at a model.
type replayRequest struct {
	model   int
	rare    bool
	arrived time.Time
	ends    time.Time
}

// replay plays requests to a world's engines.
type replay struct {
	*world
	rng     *rand.Rand
	models  int
	hot     []int
	weights []float64
	rate    float64 // of hot requests a second
	rare    float64 // of rare ones, over all models that aren't hot candidates
	waiting map[int][]*replayRequest
	running map[*engine][]*replayRequest
	arrived map[string]int

	askedOf, servedOf map[int]int // requests by model

	asked, inTime, asksRare, inTimeRare, gaveUp int
}

func newReplay(t testing.TB, engines int, seed uint64) *replay {
	models := engines * 444 / 240
	r := &replay{
		world: newWorld(t, engines, models, 0), rng: rand.New(rand.NewPCG(seed, 2)), models: models,
		rate: 9 * float64(engines), rare: 0.5 * float64(engines),
		waiting: map[int][]*replayRequest{}, running: map[*engine][]*replayRequest{}, arrived: map[string]int{},
		askedOf: map[int]int{}, servedOf: map[int]int{},
	}
	e := r.service.Engine
	e.Slots, e.LoadsPerSecond = replaySlots, 0.15*float64(engines)
	for i := range e.Models {
		e.Models[i].LoadTime = 4200 * time.Millisecond
	}
	r.moveTo(0)
	// the hot models on many engines, each other on one, as a platform begins
	free := 3 * engines
	places := make([]int, engines)
	put := func(m int) bool {
		for range 200 {
			if x := r.rng.IntN(engines); places[x] < 3 && r.engines[x].models[fmt.Sprint("m", m)] == nil {
				places[x]++
				free--
				r.place(fmt.Sprint("m", m), x)
				return true
			}
		}
		return false
	}
	for m := range models {
		put(m)
	}
	for n := 0; free > 0 && n < 10*engines; n++ {
		put(r.draw())
	}
	for _, x := range r.engines { // disks begin full
		for len(x.disk) < 6 {
			x.disk[fmt.Sprint("m", r.rng.IntN(models))] = true
		}
	}
	return r
}

// candidates is the number of models that may become hot: the others are rare.
func (r *replay) candidates() int { return r.models * 120 / 444 }

// moveTo has other models be hot.
func (r *replay) moveTo(turn int) {
	n := r.models * 48 / 444
	r.hot, r.weights = nil, nil
	sum := 0.0
	order := rand.New(rand.NewPCG(5, 9)).Perm(r.candidates())
	for i := range n {
		r.hot = append(r.hot, order[(i+turn/2)%len(order)])
		w := math.Pow(float64(i+1), -0.6)
		r.weights = append(r.weights, w)
		sum += w
	}
	for i := range r.weights {
		r.weights[i] /= sum
	}
}

func (r *replay) draw() int {
	x := r.rng.Float64()
	for i, w := range r.weights {
		if x -= w; x < 0 {
			return r.hot[i]
		}
	}
	return r.hot[0]
}

// crash has some engines start again, empty but for their disks.
func (r *replay) crash(part float64) {
	for _, x := range r.engines {
		if r.rng.Float64() < part {
			x.models, x.sequence, x.born, x.loading, x.unloads = map[string]map[string]bool{}, 0, r.now, "", ""
			r.running[x] = nil
		}
	}
}

// second plays one second of requests.
func (r *replay) second() {
	for range int(time.Second / replayStep) {
		r.arrive()
		r.serve()
		r.step()
	}
}

func (r *replay) arrive() {
	add := func(m int, rare bool) {
		r.asked++
		r.askedOf[m]++
		if rare {
			r.asksRare++
		}
		r.arrived[fmt.Sprint("m", m)]++
		r.waiting[m] = append(r.waiting[m], &replayRequest{model: m, rare: rare, arrived: r.now})
	}
	for range r.poisson(r.rate * replayStep.Seconds()) {
		add(r.draw(), false)
	}
	for range r.poisson(r.rare * replayStep.Seconds()) {
		add(r.candidates()+r.rng.IntN(r.models-r.candidates()), true)
	}
}

func (r *replay) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := r.rng.Float64(); x > p; x *= r.rng.Float64() {
		n++
	}
	return n
}

// serve gives waiting requests to the engines with their model that have least to do.
func (r *replay) serve() {
	for _, x := range r.engines {
		kept := r.running[x][:0]
		for _, q := range r.running[x] {
			if r.now.Before(q.ends) {
				kept = append(kept, q)
			}
		}
		r.running[x] = kept
		for _, q := range kept { // an unload waits for the runs of its model
			if x.unloads == fmt.Sprint("m", q.model) {
				x.ready = r.now.Add(2 * replayStep)
			}
		}
	}
	for m := range r.models {
		name := fmt.Sprint("m", m)
		var left []*replayRequest
		for _, q := range r.inTurn(r.waiting[m]) {
			var best *engine
			for _, x := range r.engines {
				if x.models[name] != nil && x.unloads != name && len(r.running[x]) < replaySlots && (best == nil || len(r.running[x]) < len(r.running[best])) {
					best = x
				}
			}
			age := r.now.Sub(q.arrived)
			switch {
			case best != nil:
				r.begin(q, best, age)
			case age > replayGiven:
				r.gaveUp++
			default:
				left = append(left, q)
			}
		}
		r.waiting[m] = left
	}
}

// inTurn puts those that can still make their goal first, as the instances do.
func (r *replay) inTurn(waiting []*replayRequest) []*replayRequest {
	missed := func(q *replayRequest) bool { return !q.rare && r.now.Sub(q.arrived) > replayGoal }
	slices.SortStableFunc(waiting, func(a, b *replayRequest) int {
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

func (r *replay) begin(q *replayRequest, x *engine, age time.Duration) {
	hold := time.Duration((0.1 + 0.85*r.rng.ExpFloat64()) * float64(time.Second))
	q.ends = r.now.Add(hold)
	r.servedOf[q.model]++
	r.running[x] = append(r.running[x], q)
	if q.rare && age <= rareGoal {
		r.inTimeRare++
	}
	if !q.rare && age <= replayGoal {
		r.inTime++
	}
}

// step tells the planner what was asked for, and lets a plan be made.
func (r *replay) step() {
	clear(r.world.asked)
	for m := range r.models {
		if n := len(r.waiting[m]); n > 0 {
			r.ask(fmt.Sprint("m", m), 0, n)
		}
	}
	for _, x := range r.engines {
		for _, q := range r.running[x] {
			name := topology.TargetName("llm", fmt.Sprint("m", q.model), "")
			a := r.world.asked[name]
			a.InFlight++
			r.world.asked[name] = a
		}
	}
	for name, n := range r.arrived {
		a := r.world.asked[topology.TargetName("llm", name, "")]
		a.Requests = n
		r.world.asked[topology.TargetName("llm", name, "")] = a
	}
	clear(r.arrived)
	r.exact = true
	r.world.step()
}

// play has the hot models move twice and engines start again twice, over 30 s.
func (r *replay) play() {
	for sec := range 30 {
		switch sec {
		case 6, 20:
			r.moveTo(sec)
			r.crash(0.2)
		}
		r.second()
	}
}

// However demand moves and engines fail, the weight store's rate is kept, nothing is
// overcommitted (the world checks that at each order), and no model starves.
func TestAtHundredsOfEnginesTheStoresRateIsKeptAndNoModelStarves(t *testing.T) {
	r := newReplay(t, 120, 1)
	r.play()
	const window, overage, slack = 5 * time.Second, 1.1, 3
	most := r.service.Engine.LoadsPerSecond*window.Seconds()*overage + slack
	for n, begun := range r.loads {
		within := 0
		for _, other := range r.loads[n:] {
			if other.Sub(begun) < window {
				within++
			}
		}
		require.LessOrEqual(t, float64(within), most, "loads within five seconds")
	}
	starved, asked := 0, 0
	for m, n := range r.askedOf {
		if n < 4 {
			continue
		}
		asked++
		if r.servedOf[m] == 0 {
			starved++
		}
	}
	require.LessOrEqual(t, float64(starved), 1+0.1*float64(asked))
	t.Logf("hot in time %.3f, rare %.3f, given up %.3f, loads %d",
		float64(r.inTime)/float64(r.asked-r.asksRare), float64(r.inTimeRare)/float64(r.asksRare), float64(r.gaveUp)/float64(r.asked), len(r.loads))
}
