package decide

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// A simulation of more requests than the engines have slots for: many instances choose among the same
// engines by reports that are contentionReportLag old, and get requests of three ranks. Rank 0 has a
// short goal, rank 2 can wait for many seconds.

const (
	contentionEngines     = 90
	contentionSlots       = 16
	contentionModels      = 24
	contentionPlaces      = 3  // models that an engine holds
	contentionEngineQueue = 33 // requests that an engine queues before it refuses
	contentionAccounts    = 16
	contentionInterval    = 500 * time.Millisecond // between reports to an instance
	contentionReportLag   = 400 * time.Millisecond // age of the data in a report
	contentionSnapshot    = 100 * time.Millisecond // between snapshots of what instances report
	contentionEnd         = 20 * time.Second
	contentionDeadline    = 10 * time.Second
	lateWorth             = 0.25 // of an answer that starts after its goal, relative to one that starts in time
)

// requestKind is a kind of request of the simulation.
type requestKind struct {
	rank  int
	goal  time.Duration // to the first token
	hold  time.Duration // of a slot, at a server of speed 1
	share float64       // of all requests
}

var contentionKinds = []requestKind{
	{rank: 0, goal: 400 * time.Millisecond, hold: 1200 * time.Millisecond, share: 1.0 / 2},
	{rank: 1, goal: 1500 * time.Millisecond, hold: 500 * time.Millisecond, share: 1.0 / 3},
	{rank: 2, goal: 10 * time.Second, hold: 1200 * time.Millisecond, share: 1.0 / 6},
}

// contentionSettings are the parameters of a simulation.
type contentionSettings struct {
	instances int
	load      float64       // mean demand as a fraction of all slots at speed 1
	speeds    []float64     // speeds of the engines, repeated; nil: all 1
	alone     bool          // instances get no reports of the backlog at all instances
	slow      float64       // factor of the time that requests hold their slots; 0: 1
	end       time.Duration // of the simulation, half of which is the warm-up; 0: contentionEnd
	returns   bool          // refused callers retry once
	cutFrom   time.Duration // no report of shared data arrives from cutFrom until cutTo
	cutTo     time.Duration
	hot       float64 // request rate of the first account relative to each other one; 0: 1
	fifo      bool    // engines start waiting requests in their order of arrival, not by rank
	seed      uint64
}

// contentionRequest is a request of the simulation.
type contentionRequest struct {
	Request
	kind    *requestKind
	at      int       // index of its instance
	first   time.Time // when the caller's first request arrived
	again   bool      // it is the caller's retry
	counted bool
}

// contentionEngine runs contentionSlots requests at once and queues others, the most urgent first.
type contentionEngine struct {
	id      string
	speed   float64
	running int
	waiting []*contentionRequest
	slowed  time.Time // when its speed fell; zero: it didn't
	answers int       // begun and ended since slowed
}

// contentionReport is a snapshot of the data that the instances get in a report.
type contentionReport struct {
	loads    []int // by engine
	backlogs []Backlog
	accounts []AccountDemand
	speeds   []ServerSpeed
}

type contentionSim struct {
	contentionSettings
	now        time.Time
	rng        *rand.Rand
	events     simEvents
	seq        int
	schedulers []*Scheduler
	engines    []*contentionEngine
	byID       map[string]*contentionEngine
	requests   map[string]*contentionRequest
	weights    []float64 // of the models
	arrivals   map[string]*[Ranks]arrivalRate
	starts     map[string]*[Ranks]arrivalRate
	speeds     *SpeedEstimator    // of all instances together
	snapshots  []contentionReport // newest last; reports carry the oldest
	result     contentionResult
}

func (c *contentionSim) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, simEvent{c.now.Add(d), c.seq, do})
}

// contentionRuns holds a function for each simulated contentionSettings, by their text, that returns the
// simulation after its end. A simulation is the same each time, so tests with the same settings share it.
var contentionRuns sync.Map

// runContention returns the simulation after its end. Callers must not change it.
func runContention(in contentionSettings) *contentionSim {
	run, _ := contentionRuns.LoadOrStore(fmt.Sprint(in), sync.OnceValue(func() *contentionSim {
		c := newContentionSim(in)
		c.run()
		return c
	}))
	return run.(func() *contentionSim)()
}

// simulateContention returns the result of the simulation. Callers must not change it.
func simulateContention(in contentionSettings) *contentionResult {
	return &runContention(in).result
}

func newContentionSim(in contentionSettings) *contentionSim {
	in.end = cmp.Or(in.end, contentionEnd)
	in.slow = cmp.Or(in.slow, 1)
	c := &contentionSim{
		contentionSettings: in, now: simStart, rng: rand.New(rand.NewPCG(in.seed, 1)), byID: map[string]*contentionEngine{},
		requests: map[string]*contentionRequest{}, arrivals: map[string]*[Ranks]arrivalRate{}, starts: map[string]*[Ranks]arrivalRate{}, speeds: NewSpeedEstimator(),
	}
	t := c.newTable()
	for i := range in.instances {
		s := NewScheduler(rand.New(rand.NewPCG(in.seed, uint64(i))))
		own := *t
		own.OwnDomain = fmt.Sprint("d", i%3)
		s.SetTable(c.now, &own)
		c.schedulers = append(c.schedulers, s)
		c.after(time.Duration(c.rng.Float64()*float64(contentionInterval)), func() { c.report(i) })
		c.after(time.Duration(i)*time.Millisecond, func() { c.tick(i) })
	}
	c.takeSnapshot()
	c.arrive()
	return c
}

func (c *contentionSim) run() {
	for end := c.now.Add(c.end); len(c.events) > 0 && c.events[0].at.Before(end); {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.do()
	}
}

// newTable returns the routing table, with models placed by popularity.
func (c *contentionSim) newTable() *Table {
	t := &Table{
		Targets: map[string]*Target{}, Entries: map[string]int{}, NoServerQueue: true, LocalFillLimit: 0.2,
		RoomByRank: true, AccountWeights: map[string]float64{},
	}
	for a := range contentionAccounts {
		t.AccountWeights[fmt.Sprint("account", a)] = 1
	}
	for i := range c.instances {
		t.Entries[fmt.Sprint("d", i%3)]++
	}
	for i := range contentionEngines {
		e := &contentionEngine{id: fmt.Sprintf("e%03d", i), speed: 1}
		if len(c.contentionSettings.speeds) > 0 {
			e.speed = c.contentionSettings.speeds[i%len(c.contentionSettings.speeds)]
		}
		c.engines, c.byID[e.id] = append(c.engines, e), e
		t.Servers = append(t.Servers, Server{ID: e.id, Pool: "p", FailureDomain: fmt.Sprint("d", i%3), Slots: contentionSlots})
	}
	c.result.workByEngine = make([]time.Duration, contentionEngines)
	sum := 0.0
	for m := range contentionModels {
		c.weights = append(c.weights, 1/float64(m+4))
		sum += c.weights[m]
	}
	place := 0
	order := c.rng.Perm(contentionEngines)
	for m := range c.weights {
		c.weights[m] /= sum
		target := &Target{Name: fmt.Sprint("m", m), Pool: "p", Model: fmt.Sprint("m", m)}
		for range max(2, int(c.weights[m]*contentionEngines*contentionPlaces)) {
			target.Replicas = append(target.Replicas, Replica{Server: order[place%contentionEngines]})
			place++
		}
		t.Targets[target.Name] = target
	}
	return t
}

func (c *contentionSim) tick(i int) {
	c.carryOut(i, c.schedulers[i].Tick(c.now))
	c.after(25*time.Millisecond, func() { c.tick(i) })
}

func (c *contentionSim) carryOut(i int, decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		r := c.requests[d.Request]
		switch d.Action {
		case ActionRefuse:
			delete(c.requests, d.Request)
			c.refuse(r, d.RetryAfter)
		case ActionDispatch:
			e := c.byID[d.Server.ID]
			c.after(time.Millisecond, func() { c.deliver(e, r) })
		}
	}
}

func (c *contentionSim) deliver(e *contentionEngine, r *contentionRequest) {
	switch {
	case e.running < contentionSlots:
		c.start(e, r)
	case len(e.waiting) < contentionEngineQueue:
		e.waiting = append(e.waiting, r)
	default:
		c.carryOut(r.at, c.schedulers[r.at].AttemptFailed(c.now, r.ID, e.id, Failure{Reason: infra.ReasonOverloaded}))
	}
}

func (c *contentionSim) start(e *contentionEngine, r *contentionRequest) {
	e.running++
	c.count(e, r)
	c.starts[r.Target][r.Rank].add(c.now)
	sent := c.now
	c.carryOut(r.at, c.schedulers[r.at].FirstTokenReceived(c.now, r.ID, e.id))
	c.after(time.Duration(float64(r.kind.hold)*c.slow/e.speed), func() {
		e.running--
		if !e.slowed.IsZero() && !sent.Before(e.slowed) {
			e.answers++
		}
		delete(c.requests, r.ID)
		c.carryOut(r.at, c.schedulers[r.at].Ended(c.now, r.ID, e.id, Outcome{Complete: true, FirstToken: 30 * time.Millisecond, Total: c.now.Sub(sent), Tokens: 100}))
		c.startWaiting(e)
	})
}

// startWaiting starts the most urgent request that waits at an engine, or the first one.
func (c *contentionSim) startWaiting(e *contentionEngine) {
	if len(e.waiting) == 0 {
		return
	}
	next := 0
	for n, r := range e.waiting {
		if !c.fifo && r.Rank < e.waiting[next].Rank {
			next = n
		}
	}
	r := e.waiting[next]
	e.waiting = slices.Delete(e.waiting, next, next+1)
	c.start(e, r)
}

func (c *contentionSim) count(e *contentionEngine, r *contentionRequest) {
	if !r.counted {
		return
	}
	for n := range c.engines {
		if c.engines[n] == e {
			c.result.workByEngine[n] += r.kind.hold
		}
	}
	switch took := c.now.Sub(r.first); {
	case took <= r.kind.goal:
		c.result.inTime[r.kind.rank]++
		if r.Account == "account0" {
			c.result.hotInTime++
		}
	case took < contentionDeadline:
		c.result.late[r.kind.rank]++
	}
}

// arrive has requests arrive one after the other, at any instance.
func (c *contentionSim) arrive() {
	hold := 0.0
	for _, k := range contentionKinds {
		hold += k.share * k.hold.Seconds()
	}
	rate := c.load * contentionEngines * contentionSlots / (hold * c.slow)
	extra := 0.0
	if c.hot > 0 {
		extra = c.hot - 1
	}
	rate *= (contentionAccounts + extra) / contentionAccounts
	c.after(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		c.arrive()
		c.submit(extra)
	})
}

// counts reports whether requests that arrive at that time are counted: after the warm-up, and early
// enough for an answer.
func (c *contentionSim) counts(at time.Duration) bool {
	return at >= c.end/2 && at < c.end-contentionKinds[1].goal
}

func (c *contentionSim) submit(extra float64) {
	k := &contentionKinds[pickShare(c.rng.Float64(), func(n int) float64 { return contentionKinds[n].share }, len(contentionKinds))]
	account := max(0, int(c.rng.Float64()*(contentionAccounts+extra)-extra))
	target := fmt.Sprint("m", pickShare(c.rng.Float64(), func(n int) float64 { return c.weights[n] }, len(c.weights)))
	c.seq++
	r := &contentionRequest{kind: k, at: c.rng.IntN(len(c.schedulers)), counted: c.counts(c.now.Sub(simStart))}
	r.Request = Request{
		ID: fmt.Sprint(c.seq), Target: target, Arrived: c.now, Deadline: c.now.Add(contentionDeadline), MaxTokens: 100, MaxAttempts: 2,
		Goal: k.goal, Rank: k.rank, Priority: 2 - k.rank, Account: fmt.Sprint("account", account),
	}
	if c.arrivals[target] == nil {
		c.arrivals[target], c.starts[target] = &[Ranks]arrivalRate{}, &[Ranks]arrivalRate{}
	}
	if r.counted {
		c.result.arrived[k.rank]++
		if account == 0 {
			c.result.hotArrived++
		}
	}
	r.first = c.now
	c.submitTo(r)
}

func (c *contentionSim) submitTo(r *contentionRequest) {
	c.arrivals[r.Target][r.Rank].add(c.now)
	c.requests[r.ID] = r
	c.carryOut(r.at, c.schedulers[r.at].Submit(c.now, r.Request))
}

// refuse ends a request. With returns its caller retries once at a random instance, after the retry
// delay but before its latest retry time; see CallerWaitDivisor.
func (c *contentionSim) refuse(r *contentionRequest, after time.Duration) {
	if r.counted {
		c.result.held += c.now.Sub(r.Arrived)
	}
	if !c.returns || r.again {
		c.countRefused(r)
		return
	}
	c.after(min(after, r.Deadline.Sub(c.now)/CallerWaitDivisor), func() { c.retryRefused(r) })
}

// countRefused counts a caller that doesn't retry.
func (c *contentionSim) countRefused(r *contentionRequest) {
	if !r.counted {
		return
	}
	c.result.refused[r.kind.rank]++
	if r.again {
		c.result.again[r.kind.rank]++
	}
}

// retryRefused submits the caller's retry at a random instance.
func (c *contentionSim) retryRefused(was *contentionRequest) {
	r := *was
	c.seq++
	r.ID, r.Arrived, r.at, r.again = fmt.Sprint(c.seq), c.now, c.rng.IntN(len(c.schedulers)), true
	if r.counted {
		c.result.returned[r.kind.rank]++
	}
	c.submitTo(&r)
}

// pickShare returns the index at which the sum of the shares exceeds x.
func pickShare(x float64, share func(int) float64, n int) int {
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// The simulation counts each request once.
func TestContentionCountsEachRequestOnce(t *testing.T) {
	r := simulateContention(contentionSettings{instances: 9, load: 0.5, seed: 7})
	t.Log(r)
	for rank := range r.arrived {
		require.LessOrEqual(t, r.inTime[rank]+r.late[rank], r.arrived[rank])
		require.Greater(t, r.inTimeShare(rank), 0.95)
	}
}
