package residency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"greengageferry/decide"
)

// The simulation: instances send requests to one server that alone serves a model and
// states a rate limit far below the demand. Each instance learns of the limit from its
// own answers or from the lease holder, reports its waiting requests every half second,
// and is told how many it may send.
const (
	simDomains      = 6
	simTick         = 25 * time.Millisecond
	reportInterval  = 500 * time.Millisecond // between two reports of an instance
	maxNetworkDelay = 40 * time.Millisecond  // of a report or its answer
	serviceTime     = 200 * time.Millisecond // from a request's arrival to its answer
	limitWindow     = 4 * time.Second
	// settleTime is when the limit, stated from the beginning, has to be kept.
	settleTime      = 3 * time.Second
	simDuration     = 40 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	maxQueueTime    = 2 * time.Second // until a request is sent; then it is given up
)

var simStart = time.Unix(1_700_000_000, 0)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []simEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// rateSimulation is the instances, the server and the lease holder.
type rateSimulation struct {
	now        time.Time
	rng        *rand.Rand
	events     eventQueue
	seq        int
	schedulers []*decide.Scheduler
	holder     *rateAllocator // nil: no instance holds the lease
	reachable  func(instance int) bool
	limit      func() decide.RateLimit

	requested    []time.Time       // requests at any instance
	arrivals     []serverArrival   // at the server
	limitKnownAt map[int]time.Time // when an instance had its first answer that states the limit
}

// serverArrival is a request that reached the server.
type serverArrival struct {
	at         time.Time
	limitKnown bool // its instance had received an answer that states the limit at least limitNoticeTime before
}

// newRateSimulation returns a simulation with a rate-limited server and other servers
// that serve the same model without a limit.
func newRateSimulation(instances, unlimitedServers int, seed uint64, limit float64) *rateSimulation {
	w := &rateSimulation{
		now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), holder: newRateAllocator(),
		reachable: func(int) bool { return true }, limitKnownAt: map[int]time.Time{},
		limit: func() decide.RateLimit { return decide.RateLimit{Named: true, PerSecond: limit} },
	}
	t := &decide.Table{
		Servers: []decide.Server{{ID: "s", Pool: "p", FailureDomain: "d0", Slots: 24, Start: "1"}},
		Targets: map[string]*decide.Target{"m": {Name: "m", Pool: "p", Model: "m", Replicas: []decide.Replica{{}}}},
		Entries: map[string]int{}, NoServerQueue: true,
	}
	for n := range unlimitedServers {
		t.Servers = append(t.Servers, decide.Server{ID: fmt.Sprint("other", n), Pool: "p", FailureDomain: "d1", Slots: 24, Start: "1"})
		t.Targets["m"].Replicas = append(t.Targets["m"].Replicas, decide.Replica{Server: n + 1})
	}
	for i := range instances {
		t.Entries[instanceDomain(i)]++
	}
	for i := range instances {
		table := *t
		table.OwnDomain = instanceDomain(i)
		s := decide.NewScheduler(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		s.SetTable(w.now, &table)
		w.schedulers = append(w.schedulers, s)
		w.schedule(time.Duration(w.rng.Float64()*float64(reportInterval)), func() { w.report(i) })
	}
	w.tick()
	return w
}

func instanceDomain(instance int) string { return fmt.Sprint("d", instance%simDomains) }

// schedule runs do after a time.
func (w *rateSimulation) schedule(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now.Add(d), w.seq, do})
}

// tick advances the schedulers of the instances with waiting requests.
func (w *rateSimulation) tick() {
	for i, s := range w.schedulers {
		if s.Queued() > 0 {
			w.dispatch(i, s.Tick(w.now))
		}
	}
	w.schedule(simTick, w.tick)
}

func (w *rateSimulation) networkDelay() time.Duration {
	return time.Duration(w.rng.Float64() * float64(maxNetworkDelay))
}

// report makes an instance report to the lease holder and process the answer, and
// schedules the next report.
func (w *rateSimulation) report(i int) {
	w.schedule(reportInterval, func() { w.report(i) })
	if w.holder == nil || !w.reachable(i) {
		return
	}
	sent, reported := w.now, w.schedulers[i].RateReports(w.now)
	w.schedule(w.networkDelay(), func() {
		if w.holder == nil {
			return
		}
		shares := decide.RateShares{
			Shares: w.holder.reported(w.now, fmt.Sprint("i", i), reported), Position: i, Instances: len(w.schedulers),
		}
		w.schedule(w.networkDelay(), func() {
			_, decisions := w.schedulers[i].ApplyRateShares(w.now, sent, shares)
			w.dispatch(i, decisions)
		})
	})
}

// dispatch executes an instance's scheduling decisions.
func (w *rateSimulation) dispatch(i int, decisions []decide.Decision) {
	for _, d := range append([]decide.Decision(nil), decisions...) {
		if d.Action == decide.ActionDispatch {
			sent, server := w.now, d.Server.ID
			if server == "s" {
				limitKnownAt, ok := w.limitKnownAt[i]
				w.arrivals = append(w.arrivals, serverArrival{sent, ok && sent.Sub(limitKnownAt) >= limitNoticeTime})
			}
			w.schedule(serviceTime, func() {
				limit := decide.RateLimit{}
				if server == "s" {
					limit = w.limit()
				}
				w.schedulers[i].ObserveRateLimit(w.now, server, sent, limit, true)
				if _, ok := w.limitKnownAt[i]; !ok && limit.Named {
					w.limitKnownAt[i] = w.now
				}
				w.dispatch(i, w.schedulers[i].Ended(w.now, d.Request, server, decide.Outcome{Complete: true, Total: serviceTime, Tokens: 1}))
			})
		}
	}
}

// run sends requests to random instances at the given mean rate until the end.
func (w *rateSimulation) run(perSecond float64) {
	n := 0
	var next func()
	next = func() {
		w.schedule(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		n++
		w.requested = append(w.requested, w.now)
		i := w.rng.IntN(len(w.schedulers))
		w.dispatch(i, w.schedulers[i].Submit(w.now, decide.Request{
			ID: fmt.Sprint(n), Target: "m", Arrived: w.now, Deadline: w.now.Add(10 * time.Second), MaxAttempts: 1,
			Goal: 400 * time.Millisecond, FirstTokenDeadline: w.now.Add(maxQueueTime),
		}))
	}
	next()
	for end := simStart.Add(simDuration); w.events[0].at.Before(end); {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
}

// maxArrivals returns the most requests that reached the server within limitWindow,
// counting from a time after the start.
func (w *rateSimulation) maxArrivals(from time.Duration) int {
	return maxInWindow(w.arrivals, func(a serverArrival) bool { return a.at.Sub(simStart) >= from })
}

func maxInWindow(arrived []serverArrival, counts func(serverArrival) bool) int {
	most := 0
	var window []time.Time
	for _, a := range arrived {
		if !counts(a) {
			continue
		}
		window = append(window, a.at)
		for a.at.Sub(window[0]) >= limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// arrivalsIn returns how many requests reached the server in a time interval.
func (w *rateSimulation) arrivalsIn(from, to time.Duration) float64 {
	count := 0.0
	for _, a := range w.arrivals {
		if s := a.at.Sub(simStart); s >= from && s < to {
			count++
		}
	}
	return count
}

// idealThroughput returns how many of the requests of a time interval a single gate
// before the server would have admitted, one after the other: the most that the limit
// allows.
func (w *rateSimulation) idealThroughput(limit float64, from, to time.Duration) float64 {
	n := 0.0
	var free time.Time
	for _, at := range w.requested {
		if s := at.Sub(simStart); s < from || s >= to {
			continue
		}
		start := at
		if free.After(at) {
			start = free
		}
		if start.Sub(at) > maxQueueTime {
			continue
		}
		free = start.Add(time.Duration(float64(time.Second) / limit))
		n++
	}
	return n
}

// maxAllowed is how many requests may reach a server within limitWindow if it states
// the limit.
func maxAllowed(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }
