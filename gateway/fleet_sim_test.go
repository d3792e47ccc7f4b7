package gateway_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/infra"
)

// A simulation of instances whose schedulers send requests to servers that fail if they have
// to refuse too many.

const (
	simRefusalLimit   = 5 // refusals per second that a server survives
	simDowntime       = 3 * time.Second
	simReportInterval = 300 * time.Millisecond // between two load reports to an instance
	simNetworkDelay   = time.Millisecond
	simTickInterval   = 25 * time.Millisecond
	simLength         = 12 * time.Second
	simSettled        = 4 * time.Second // falls before that don't count, unless simOptions says otherwise
	simDomains        = 3
)

var simStart = time.UnixMilli(1_000_000)

// simOptions describes a fleet and its load.
type simOptions struct {
	instances, servers, slots, waiting int
	load                               float64       // requested, as a fraction of what the servers can serve
	service                            time.Duration // of a request alone at a server; twice that with all slots taken
	sturdy                             bool          // servers survive any number of refusals
	direct                             bool          // all instances send to the servers themselves
	settled                            time.Duration // falls before that don't count; 0: simSettled
	knownBy                            float64       // fraction of the instances that know the refusal limit from the start
	leaveEvery                         time.Duration // a member is replaced so often; 0: never
	seed                               uint64
}

func (o simOptions) String() string {
	return fmt.Sprintf("instances=%d servers=%d slots=%d load=%g", o.instances, o.servers, o.slots, o.load)
}

// rate returns the requests per second of all instances together.
func (o simOptions) rate() float64 {
	return o.load * float64(o.servers*o.slots) / (2 * o.service.Seconds())
}

// timeout returns how long callers wait.
func (o simOptions) timeout() time.Duration { return max(time.Second, 4*o.service) }

// simServer is a backend server.
type simServer struct {
	id       string
	domain   string
	start    int // number of starts
	down     bool
	running  map[string]*simRequest
	upSince  time.Time
	refusals []simRefusal // within the last second
}

// simRequest is a request at an instance.
type simRequest struct {
	id       string
	instance int
	sent     time.Time
	attempt  int
}

// simRefusal is a request that a server refused.
type simRefusal struct {
	at       time.Time
	instance int
	repeat   bool // the request had been sent to a server before
}

// simFall is a server's failure, with what led to it.
type simFall struct {
	instances  int           // whose requests the server refused within the last second
	repeats    int           // of these refused requests, sent before
	refusals   int           // within the last second
	afterStart time.Duration // since the server started
}

// simInstance is what an instance knows and admits as a gateway.
type simInstance struct {
	addr    string
	limits  gateway.Limits
	members gateway.Members
	limiter gateway.Limiter
	waiting map[uint64]func() // by attempt: sends it
}

// fleetSim is the simulation.
type fleetSim struct {
	simOptions
	now        time.Time
	rng        *rand.Rand
	events     eventHeap
	seq        int
	schedulers []*decide.Scheduler
	servers    map[string]*simServer
	order      []*simServer
	requests   map[string]*simRequest
	gateways   []*simInstance // by instance
	holder     gateway.Limits // what the lease holder was told

	arrived, served, refused int
	falls                    []simFall // after simSettled
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at.Before(h[b].at) || h[a].at.Equal(h[b].at) && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (f *fleetSim) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, do})
}

func simDomain(n int) string { return fmt.Sprint("d", n%simDomains) }

func newFleetSim(o simOptions) *fleetSim {
	f := &fleetSim{simOptions: o, now: simStart, rng: rand.New(rand.NewPCG(1, 1+o.seed)), servers: map[string]*simServer{}, requests: map[string]*simRequest{}}
	for n := range o.servers {
		s := &simServer{upSince: simStart, id: fmt.Sprintf("s%03d", n), domain: simDomain(n), running: map[string]*simRequest{}}
		f.servers[s.id] = s
		f.order = append(f.order, s)
	}
	for n := range o.instances {
		s := decide.NewScheduler(rand.New(rand.NewPCG(2, uint64(n))))
		f.schedulers = append(f.schedulers, s)
		s.SetTable(f.now, f.table(n))
		f.after(time.Duration(f.rng.Float64()*float64(simReportInterval)), func() { f.report(n) })
		f.after(time.Duration(f.rng.Float64()*float64(simTickInterval)), func() { f.tick(n) })
	}
	f.addGateways()
	f.after(0, f.arrive)
	return f
}

// table returns the routing table of the nth instance. It lists all servers that aren't down.
func (f *fleetSim) table(n int) *decide.Table {
	t := &decide.Table{OwnDomain: simDomain(n), Targets: map[string]*decide.Target{}, Entries: map[string]int{}, NoServerQueue: true}
	for i := range f.instances {
		t.Entries[simDomain(i)]++
	}
	target := &decide.Target{Name: "m", Pool: "p", Model: "m", MaxTokens: 100}
	for _, s := range f.order {
		if s.down {
			continue
		}
		target.Replicas = append(target.Replicas, decide.Replica{Server: len(t.Servers), Version: "1"})
		t.Servers = append(t.Servers, decide.Server{ID: s.id, Pool: "p", FailureDomain: s.domain, Slots: f.slots, Start: strconv.Itoa(s.start)})
	}
	t.Targets["m"] = target
	return t
}

func (f *fleetSim) report(n int) {
	for _, s := range f.order {
		f.carryOut(n, f.schedulers[n].UpdateLoad(f.now, s.id, infra.Load{Running: len(s.running)}, 0))
	}
	f.after(simReportInterval, func() { f.report(n) })
}

func (f *fleetSim) tick(n int) {
	f.carryOut(n, f.schedulers[n].Tick(f.now))
	f.after(simTickInterval, func() { f.tick(n) })
}

func (f *fleetSim) arrive() {
	f.after(time.Duration(f.rng.ExpFloat64()/f.rate()*float64(time.Second)), f.arrive)
	f.arrived++
	r := &simRequest{id: strconv.Itoa(f.arrived), instance: f.rng.IntN(f.instances)}
	f.requests[r.id] = r
	f.carryOut(r.instance, f.schedulers[r.instance].Submit(f.now, decide.Request{
		ID: r.id, Target: "m", Arrived: f.now, Deadline: f.now.Add(f.timeout()), MaxTokens: 100, Idempotent: true,
	}))
}

func (f *fleetSim) carryOut(n int, decisions []decide.Decision) {
	for _, d := range append([]decide.Decision(nil), decisions...) {
		r := f.requests[d.Request]
		switch d.Action {
		case decide.ActionRefuse:
			f.refused++
			delete(f.requests, d.Request)
		case decide.ActionDispatch:
			r.attempt++
			r.sent = f.now
			f.send(n, f.servers[d.Server.ID], r)
		}
	}
}

// deliver has a request arrive at its server. done is called when it ends there.
func (f *fleetSim) deliver(s *simServer, r *simRequest, done func(gateway.Ending)) {
	switch {
	case s.down:
		done(gateway.Completed)
		f.fail(s, r, decide.Failure{Reason: infra.ReasonUnreachable, Effect: infra.EffectNone, Unsent: true})
	case len(s.running) >= f.slots+f.waiting:
		f.shown(r.instance)
		done(gateway.Refused)
		f.fail(s, r, decide.Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone})
		f.refuse(s, r)
	default:
		s.running[r.id] = r
		start, attempt := s.start, r.attempt
		took := time.Duration(float64(f.service) * (1 + float64(len(s.running))/float64(f.slots)))
		f.after(took, func() {
			done(gateway.Completed)
			f.complete(s, r, start, attempt)
		})
	}
}

func (f *fleetSim) fail(s *simServer, r *simRequest, failure decide.Failure) {
	f.after(simNetworkDelay, func() {
		f.carryOut(r.instance, f.schedulers[r.instance].AttemptFailed(f.now, r.id, s.id, failure))
	})
}

func (f *fleetSim) complete(s *simServer, r *simRequest, start, attempt int) {
	if s.start != start || r.attempt != attempt {
		return
	}
	delete(s.running, r.id)
	f.served++
	f.shown(r.instance)
	f.after(simNetworkDelay, func() {
		delete(f.requests, r.id)
		f.carryOut(r.instance, f.schedulers[r.instance].Ended(f.now, r.id, s.id, decide.Outcome{Complete: true, FirstToken: f.service / 4, Total: f.now.Sub(r.sent), Tokens: 50}))
	})
}

// refuse counts a refusal, under which the server may fall.
func (f *fleetSim) refuse(s *simServer, r *simRequest) {
	s.refusals = append(s.refusals, simRefusal{f.now, r.instance, r.attempt > 1})
	for f.now.Sub(s.refusals[0].at) >= time.Second {
		s.refusals = s.refusals[1:]
	}
	if f.sturdy || len(s.refusals) <= simRefusalLimit {
		return
	}
	if f.now.Sub(simStart) >= cmp.Or(f.settled, simSettled) {
		f.falls = append(f.falls, s.fall(f.now))
	}
	s.down, s.refusals = true, nil
	s.start++
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		f.fail(s, s.running[id], decide.Failure{Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown})
	}
	s.running = map[string]*simRequest{}
	f.publish()
	f.after(simDowntime, func() {
		s.down, s.upSince = false, f.now
		f.publish()
	})
}

// fall describes the failure of the server by its refusals.
func (s *simServer) fall(now time.Time) simFall {
	out := simFall{refusals: len(s.refusals), afterStart: now.Sub(s.upSince)}
	seen := map[int]bool{}
	for _, x := range s.refusals {
		seen[x.instance] = true
		if x.repeat {
			out.repeats++
		}
	}
	out.instances = len(seen)
	return out
}

// publish gives each instance a new routing table within a report interval.
func (f *fleetSim) publish() {
	for n, s := range f.schedulers {
		f.after(time.Duration(f.rng.Float64()*float64(simReportInterval)), func() { f.carryOut(n, s.SetTable(f.now, f.table(n))) })
	}
}

// run simulates simLength.
func (f *fleetSim) run() {
	for end := simStart.Add(simLength); f.events[0].at.Before(end); {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}
