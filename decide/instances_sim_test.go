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

// A simulation of many instances that choose among the same servers: as many instances as
// each server has slots, or many more. Twice per second each instance gets a report of the
// others' load. Each one alone sends too few requests to judge a server by them.

const (
	instanceSimDomains          = 6
	slotEngineSlots             = 12
	instanceSimEngines          = 240
	instanceSimModels           = 48
	scarceModels                = 6  // models that start with two replicas
	slotEngineQueue             = 25 // requests that an engine queues before it refuses
	instanceSimRate             = 1290.0
	instanceSimGoal             = 400 * time.Millisecond
	instanceSimReportInterval   = 500 * time.Millisecond // interval between reports to an instance
	instanceSimReportLag        = 400 * time.Millisecond // age of the data in a report
	instanceSimSnapshotInterval = 100 * time.Millisecond
)

// slotEngine runs slotEngineSlots requests at once and queues others first in, first out.
type slotEngine struct {
	id      string
	running int
	waiting []*slotRequest
	seen    map[int]bool // instances that have sent it a request
}

type slotRequest struct {
	Request
	at   int // index of its instance
	hold time.Duration
}

// instanceSim simulates instances that share engines.
type instanceSim struct {
	now        time.Time
	rng        *rand.Rand
	schedulers []*Scheduler
	engines    []*slotEngine
	requests   map[string]*slotRequest
	own        []map[string]int // in-flight requests by instance and engine
	events     simEvents
	seq        int

	arrived, inTime, refused, rejections, queued int
	connections                                  int

	snapshots []loadSnapshot // newest last; reports carry the oldest
	tables    []*Table       // by instance
	quotas    bool           // reports include the number of contending requests
}

// loadSnapshot is the load of all instances at one time, by engine.
type loadSnapshot struct {
	loads      map[string]int
	contending map[string]float64
}

// takeSnapshot records the load of all instances. An instance's load reaches the others
// with its next report and theirs: instanceSimReportLag later on average.
func (c *instanceSim) takeSnapshot() {
	n := loadSnapshot{loads: map[string]int{}, contending: c.contending()}
	for _, e := range c.engines {
		n.loads[e.id] = e.running + len(e.waiting)
	}
	c.snapshots = append(c.snapshots, n)
	if len(c.snapshots) > int(instanceSimReportLag/instanceSimSnapshotInterval) {
		c.snapshots = c.snapshots[1:]
	}
	c.after(instanceSimSnapshotInterval, c.takeSnapshot)
}

func (c *instanceSim) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, simEvent{c.now.Add(d), c.seq, do})
}

// newInstanceSim returns a simulation whose engines hold up to three models each, placed
// by popularity, and the popularity of the models. A failure domain may have no replica of
// a model.
func newInstanceSim(instances int, seed uint64) (*instanceSim, []float64) {
	c := &instanceSim{now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[string]*slotRequest{}}
	t := &Table{Targets: map[string]*Target{}, Entries: map[string]int{}, NoServerQueue: true, LocalFillLimit: 0.2}
	for i := range instanceSimEngines {
		id := fmt.Sprintf("e%03d", i)
		c.engines = append(c.engines, &slotEngine{id: id, seen: map[int]bool{}})
		t.Servers = append(t.Servers, Server{ID: id, Pool: "p", FailureDomain: fmt.Sprint("d", i%instanceSimDomains), Slots: slotEngineSlots})
	}
	weights := make([]float64, instanceSimModels)
	sum := 0.0
	for m := range weights {
		weights[m] = 1 / float64(m+4)
		sum += weights[m]
	}
	places := make([]int, instanceSimEngines)
	for m := range weights {
		weights[m] /= sum
		name := fmt.Sprint("m", m)
		target := &Target{Name: name, Pool: "p", Model: name}
		replicas := max(2, int(weights[m]*instanceSimEngines))
		if m < scarceModels {
			replicas = 2
		}
		for range replicas {
			e := c.rng.IntN(instanceSimEngines)
			if places[e] < 3 {
				places[e]++
				target.Replicas = append(target.Replicas, Replica{Server: e})
			}
		}
		t.Targets[name] = target
	}
	for i := range instances {
		t.Entries[fmt.Sprint("d", i%instanceSimDomains)]++
	}
	for i := range instances {
		own := *t
		own.OwnDomain = fmt.Sprint("d", i%instanceSimDomains)
		c.tables = append(c.tables, &own)
		s := NewScheduler(rand.New(rand.NewPCG(seed, uint64(i))))
		s.SetTable(c.now, &own)
		c.schedulers = append(c.schedulers, s)
		c.own = append(c.own, map[string]int{})
		c.after(time.Duration(c.rng.Float64()*float64(instanceSimReportInterval)), func() { c.report(i) })
		c.after(time.Duration(i)*time.Millisecond, func() { c.tick(i) })
	}
	c.takeSnapshot()
	return c, weights
}

func (c *instanceSim) tick(i int) {
	c.carryOut(i, c.schedulers[i].Tick(c.now))
	c.after(25*time.Millisecond, func() { c.tick(i) })
}

// addReplicas adds the missing replicas of the scarce models. Each instance gets the new
// table within half a second.
func (c *instanceSim) addReplicas(weights []float64) {
	for m := range scarceModels {
		t := *c.tables[0].Targets[fmt.Sprint("m", m)]
		for range int(weights[m]*instanceSimEngines) - 2 {
			t.Replicas = append(append([]Replica(nil), t.Replicas...), Replica{Server: c.rng.IntN(instanceSimEngines)})
		}
		for i := range c.tables {
			c.after(time.Duration(c.rng.Float64()*float64(instanceSimReportInterval)), func() {
				own := *c.tables[i]
				own.Targets = maps.Clone(own.Targets)
				own.Targets[t.Name] = &t
				c.tables[i] = &own
				c.carryOut(i, c.schedulers[i].SetTable(c.now, &own))
			})
		}
	}
}

// contending returns the number of requests that compete for each engine.
func (c *instanceSim) contending() map[string]float64 {
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

// report gives an instance the oldest snapshot of all engines, about instanceSimReportLag
// old.
func (c *instanceSim) report(i int) {
	was := c.snapshots[0]
	for _, e := range c.engines {
		load := infra.Load{Running: was.loads[e.id]}
		if c.quotas {
			load.Contending = int(was.contending[e.id] + 0.5)
		}
		c.carryOut(i, c.schedulers[i].UpdateLoad(c.now, e.id, load, instanceSimReportLag))
	}
	c.after(instanceSimReportInterval, func() { c.report(i) })
}

func (c *instanceSim) engine(id string) *slotEngine {
	var n int
	_, _ = fmt.Sscanf(id, "e%03d", &n)
	return c.engines[n]
}

func (c *instanceSim) carryOut(i int, decisions []Decision) {
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
			c.after(time.Millisecond, func() { c.deliver(e, r) })
		}
	}
}

func (c *instanceSim) deliver(e *slotEngine, r *slotRequest) {
	switch {
	case e.running < slotEngineSlots:
		c.start(e, r)
	case len(e.waiting) < slotEngineQueue:
		c.queued++
		e.waiting = append(e.waiting, r)
	default:
		c.rejections++
		c.carryOut(r.at, c.schedulers[r.at].AttemptFailed(c.now, r.ID, e.id, Failure{Reason: infra.ReasonOverloaded}))
	}
}

func (c *instanceSim) start(e *slotEngine, r *slotRequest) {
	e.running++
	if c.now.Sub(r.Arrived) <= instanceSimGoal {
		c.inTime++
	}
	sent := c.now
	c.carryOut(r.at, c.schedulers[r.at].FirstTokenReceived(c.now, r.ID, e.id))
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

func (c *instanceSim) run(weights []float64, d time.Duration) {
	n := 0
	var next func()
	next = func() {
		c.after(time.Duration(c.rng.ExpFloat64()/instanceSimRate*float64(time.Second)), next)
		n++
		c.arrived++
		x, m := c.rng.Float64(), 0
		for m < len(weights)-1 && x >= weights[m] {
			x -= weights[m]
			m++
		}
		hold, class := time.Duration((0.3+1.1*c.rng.ExpFloat64())*float64(time.Second)), 1
		if n%3 == 0 {
			hold, class = time.Duration(0.1*float64(time.Second)), 0
		}
		r := &slotRequest{at: c.rng.IntN(len(c.schedulers)), hold: hold}
		r.Request = Request{
			ID: fmt.Sprint(n), Target: fmt.Sprint("m", m), Arrived: c.now, Deadline: c.now.Add(10 * time.Second), MaxTokens: 300,
			Goal: instanceSimGoal, Priority: -class, MaxAttempts: 1, PromptTokens: 800,
		}
		c.requests[r.ID] = r
		c.carryOut(r.at, c.schedulers[r.at].Submit(c.now, r.Request))
	}
	next()
	for end := c.now.Add(d); len(c.events) > 0 && c.events[0].at.Before(end); {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.do()
	}
}

// runInstanceSim simulates eight seconds; after three the scarce models get replicas.
func runInstanceSim(instances int, quotas bool) *instanceSim {
	c, weights := newInstanceSim(instances, 7)
	c.quotas = quotas
	c.after(3*time.Second, func() { c.addReplicas(weights) })
	c.run(weights, 8*time.Second)
	return c
}

// Without quotas, instances that saw the same free engines sent to them at once: with 300
// instances the engines rejected 2.8 of 100 requests. With quotas they reject 0.6 of 100,
// and as many requests are served in time.
func TestQuotasReduceRejectionsByServers(t *testing.T) {
	for _, instances := range []int{100, 300} {
		alone, shared := runInstanceSim(instances, false), runInstanceSim(instances, true)
		t.Logf("%d instances: rejected %d, with quotas %d of %d; in time %d, with quotas %d",
			instances, alone.rejections, shared.rejections, alone.arrived, alone.inTime, shared.inTime)
		require.Less(t, 2*shared.rejections, alone.rejections)
		require.Greater(t, float64(shared.inTime), 0.97*float64(alone.inTime))
	}
}
