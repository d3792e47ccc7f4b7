package decide

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// The load: as many instances as each server has slots, or many more, choose
// among the same servers, and hear twice a second what all the others have there.
// Each instance alone sends too little to know a server by its own requests.

const (
	crowdDomains = 6
	crowdSlots   = 12
	crowdEngines = 240
	crowdModels  = 48
	crowdShort   = 6  // models that have two replicas at first
	crowdQueue   = 25 // that an engine takes beyond its slots before it refuses
	crowdRate    = 1290.0
	crowdGoal    = 400 * time.Millisecond
	crowdWords   = 500 * time.Millisecond // between two reports
	crowdLag     = 400 * time.Millisecond // of what a report says
	crowdCount   = 100 * time.Millisecond
)

// crowdEngine runs crowdSlots requests at once, and others wait in their order.
type crowdEngine struct {
	id      string
	running int
	waiting []*crowdRequest
	seen    map[int]bool // the instances that sent it anything
}

type crowdRequest struct {
	Request
	at   int // its instance
	hold time.Duration
}

// crowd is instances before engines.
type crowd struct {
	now        time.Time
	rng        *rand.Rand
	schedulers []*Scheduler
	engines    []*crowdEngine
	requests   map[string]*crowdRequest
	own        []map[string]int // by instance, then by engine
	events     simEvents
	seq        int

	asked, inTime, refused, turnedAway, queued int
	connections                                int

	told   []counted // the newest last; reports bring the oldest
	tables []*Table  // by instance
	quotas bool      // reports say how many requests contend
}

// counted is what all instances have at a moment.
type counted struct {
	loads      map[string]int
	contending map[string]float64
}

// count takes note of what all instances have. What one says is known to the
// others after its word and theirs: crowdLag later in the mean.
func (c *crowd) count() {
	n := counted{loads: map[string]int{}, contending: c.contending()}
	for _, e := range c.engines {
		n.loads[e.id] = e.running + len(e.waiting)
	}
	c.told = append(c.told, n)
	if len(c.told) > int(crowdLag/crowdCount) {
		c.told = c.told[1:]
	}
	c.after(crowdCount, c.count)
}

func (c *crowd) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, simEvent{c.now.Add(d), c.seq, do})
}

// newCrowd returns instances before engines that hold three models each, the
// asked ones by their popularity; a failure domain may have none of a model.
func newCrowd(instances int, seed uint64) (*crowd, []float64) {
	c := &crowd{now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[string]*crowdRequest{}}
	t := &Table{Targets: map[string]*Target{}, Entries: map[string]int{}, NoServerQueue: true, NearFill: 0.2}
	for i := range crowdEngines {
		id := fmt.Sprintf("e%03d", i)
		c.engines = append(c.engines, &crowdEngine{id: id, seen: map[int]bool{}})
		t.Servers = append(t.Servers, Server{ID: id, Pool: "p", FailureDomain: fmt.Sprint("d", i%crowdDomains), Slots: crowdSlots})
	}
	weights := make([]float64, crowdModels)
	sum := 0.0
	for m := range weights {
		weights[m] = 1 / float64(m+4)
		sum += weights[m]
	}
	places := make([]int, crowdEngines)
	for m := range weights {
		weights[m] /= sum
		name := fmt.Sprint("m", m)
		target := &Target{Name: name, Pool: "p", Model: name}
		replicas := max(2, int(weights[m]*crowdEngines))
		if m < crowdShort {
			replicas = 2
		}
		for range replicas {
			e := c.rng.IntN(crowdEngines)
			if places[e] < 3 {
				places[e]++
				target.Replicas = append(target.Replicas, Replica{Server: e})
			}
		}
		t.Targets[name] = target
	}
	for i := range instances {
		t.Entries[fmt.Sprint("d", i%crowdDomains)]++
	}
	for i := range instances {
		own := *t
		own.OwnDomain = fmt.Sprint("d", i%crowdDomains)
		c.tables = append(c.tables, &own)
		s := NewScheduler(rand.New(rand.NewPCG(seed, uint64(i))))
		s.SetTable(c.now, &own)
		c.schedulers = append(c.schedulers, s)
		c.own = append(c.own, map[string]int{})
		c.after(time.Duration(c.rng.Float64()*float64(crowdWords)), func() { c.report(i) })
		c.after(time.Duration(i)*time.Millisecond, func() { c.tick(i) })
	}
	c.count()
	return c, weights
}

func (c *crowd) tick(i int) {
	c.carryOut(i, c.schedulers[i].Tick(c.now))
	c.after(25*time.Millisecond, func() { c.tick(i) })
}

// grow gives the models that are short of replicas what they need, and each
// instance learns of it within half a second.
func (c *crowd) grow(weights []float64) {
	for m := range crowdShort {
		t := *c.tables[0].Targets[fmt.Sprint("m", m)]
		for range int(weights[m]*crowdEngines) - 2 {
			t.Replicas = append(append([]Replica(nil), t.Replicas...), Replica{Server: c.rng.IntN(crowdEngines)})
		}
		for i := range c.tables {
			c.after(time.Duration(c.rng.Float64()*float64(crowdWords)), func() {
				own := *c.tables[i]
				own.Targets = maps.Clone(own.Targets)
				own.Targets[t.Name] = &t
				c.tables[i] = &own
				c.carryOut(i, c.schedulers[i].SetTable(c.now, &own))
			})
		}
	}
}

// contending is how many requests wait for what an engine serves.
func (c *crowd) contending() map[string]float64 {
	out := map[string]float64{}
	for _, s := range c.schedulers {
		for _, t := range s.fleet.sortedTargets {
			if n := t.demand(c.now); n > 0 {
				for _, r := range t.replicas {
					out[r.server.ID] += n / float64(len(t.replicas))
				}
			}
		}
	}
	return out
}

// report tells an instance what all have at the engines: told by the others a
// quarter of a second ago in the mean.
func (c *crowd) report(i int) {
	was := c.told[0]
	for _, e := range c.engines {
		load := infra.Load{Running: was.loads[e.id]}
		if c.quotas {
			load.Contending = int(was.contending[e.id] + 0.5)
		}
		c.carryOut(i, c.schedulers[i].Reported(c.now, e.id, load, crowdLag))
	}
	c.after(crowdWords, func() { c.report(i) })
}

func (c *crowd) engine(id string) *crowdEngine {
	var n int
	_, _ = fmt.Sscanf(id, "e%03d", &n)
	return c.engines[n]
}

func (c *crowd) carryOut(i int, decisions []Decision) {
	for _, d := range append([]Decision(nil), decisions...) {
		r := c.requests[d.Request]
		switch d.Action {
		case ActionRefuse:
			c.refused++
			delete(c.requests, d.Request)
		case ActionDispatch:
			e := c.engine(d.Server.ID)
			if !e.seen[i] {
				e.seen[i] = true
				c.connections++
			}
			c.after(time.Millisecond, func() { c.reach(e, r) })
		}
	}
}

func (c *crowd) reach(e *crowdEngine, r *crowdRequest) {
	switch {
	case e.running < crowdSlots:
		c.start(e, r)
	case len(e.waiting) < crowdQueue:
		c.queued++
		e.waiting = append(e.waiting, r)
	default:
		c.turnedAway++
		c.carryOut(r.at, c.schedulers[r.at].Failed(c.now, r.ID, e.id, Failure{Reason: infra.ReasonOverloaded}))
	}
}

func (c *crowd) start(e *crowdEngine, r *crowdRequest) {
	e.running++
	if c.now.Sub(r.Arrived) <= crowdGoal {
		c.inTime++
	}
	sent := c.now
	c.carryOut(r.at, c.schedulers[r.at].Began(c.now, r.ID, e.id))
	c.after(r.hold, func() {
		e.running--
		delete(c.requests, r.ID)
		c.carryOut(r.at, c.schedulers[r.at].Ended(c.now, r.ID, e.id, Outcome{Complete: true, FirstToken: 30 * time.Millisecond, Total: c.now.Sub(sent), Tokens: 100}))
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			c.start(e, next)
		}
	})
}

func (c *crowd) play(weights []float64, d time.Duration) {
	n := 0
	var next func()
	next = func() {
		c.after(time.Duration(c.rng.ExpFloat64()/crowdRate*float64(time.Second)), next)
		n++
		c.asked++
		x, m := c.rng.Float64(), 0
		for m < len(weights)-1 && x >= weights[m] {
			x -= weights[m]
			m++
		}
		hold, class := time.Duration((0.3+1.1*c.rng.ExpFloat64())*float64(time.Second)), 1
		if n%3 == 0 {
			hold, class = time.Duration(0.1*float64(time.Second)), 0
		}
		r := &crowdRequest{at: c.rng.IntN(len(c.schedulers)), hold: hold}
		r.Request = Request{
			ID: fmt.Sprint(n), Target: fmt.Sprint("m", m), Arrived: c.now, Deadline: c.now.Add(10 * time.Second), MaxTokens: 300,
			Goal: crowdGoal, Priority: -class, MaxAttempts: 1, PromptTokens: 800,
		}
		c.requests[r.ID] = r
		c.carryOut(r.at, c.schedulers[r.at].Arrive(c.now, r.Request))
	}
	next()
	for end := c.now.Add(d); len(c.events) > 0 && c.events[0].at.Before(end); {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.do()
	}
}

// result plays eight seconds in which the models that are short get replicas after three.
func crowdResult(instances int, quotas bool) *crowd {
	c, weights := newCrowd(instances, 7)
	c.quotas = quotas
	c.after(3*time.Second, func() { c.grow(weights) })
	c.play(weights, 8*time.Second)
	return c
}

// Without quotas 2.8 of 100 requests of 300 instances were turned
// away by engines that all of them had sent something at once; with 0.6 as many are
// served in time.
func TestWithQuotasInstancesDoNotFloodAServer(t *testing.T) {
	for _, instances := range []int{100, 300} {
		alone, shared := crowdResult(instances, false), crowdResult(instances, true)
		t.Logf("%d instances: turned away %d, with quotas %d of %d; in time %d, with quotas %d",
			instances, alone.turnedAway, shared.turnedAway, alone.asked, alone.inTime, shared.inTime)
		require.Less(t, 2*shared.turnedAway, alone.turnedAway)
		require.Greater(t, float64(shared.inTime), 0.97*float64(alone.inTime))
	}
}
