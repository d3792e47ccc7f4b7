package instance

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/residency"
	"greengageferry/topology"
)

const (
	simStep           = 50 * time.Millisecond
	simReportInterval = 500 * time.Millisecond
	simRetryWindow    = 10 * time.Second
	simRetryRatio     = 0.2
	simRetryServers   = 4
	// simCalmTime is how long requests succeed before they all fail, so that every budget is
	// full.
	simCalmTime = 30 * time.Second
	simFailTime = 40 * time.Second
)

// retryInstance is an instance of a retryWorld: its count of the others, its share and its
// scheduler are the product's.
type retryInstance struct {
	*Instance
	scheduler  *decide.Scheduler
	nextReport time.Time
}

// retryWorld is a system in simulated time whose servers fail all requests from some time on,
// while lease holders are lost and instances restart.
type retryWorld struct {
	rng       *rand.Rand
	now       time.Time
	reserve   float64
	instances []*retryInstance
	tracker   *residency.DemandTracker // of the lease holder; nil: there is none
	saved     int                      // number of instances that the store keeps
	count     map[string]int           // of tracker at countedAt, with positions
	positions map[string]int
	countedAt time.Time
	requests  []time.Time
	retries   []time.Time
	serial    int
}

func newRetryWorld(seed uint64, instances int, reserve float64) *retryWorld {
	w := &retryWorld{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), reserve: reserve, tracker: residency.NewDemandTracker()}
	w.instances = make([]*retryInstance, instances)
	for n := range w.instances {
		w.start(n)
	}
	return w
}

// start starts an instance, in the place of one that ended.
func (w *retryWorld) start(n int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := &Instance{log: log, viewChanged: make(chan struct{}, 1)}
	i.node.Store(&topology.Node{RetryRatio: simRetryRatio, RetryWindow: simRetryWindow, RetryReserve: w.reserve})
	i.savedInstances.Store(int64(w.saved))
	i.view.Config = &topology.Config{Services: map[string]topology.Service{"svc": {Name: "svc"}}}
	i.view.InstancesByDomain = map[string]int{"d": assumedInstancesPerDomain}
	for s := range simRetryServers {
		i.view.Servers = append(i.view.Servers, topology.Server{ID: fmt.Sprint("s", s), Service: "svc", Domain: "d", Slots: 1 << 20})
	}
	r := &retryInstance{Instance: i, scheduler: decide.NewScheduler(rand.New(rand.NewPCG(w.rng.Uint64(), 0)))}
	r.nextReport = w.now.Add(time.Duration(w.rng.Int64N(int64(simReportInterval))))
	w.instances[n] = r
	w.updateTable(r)
}

func (w *retryWorld) updateTable(r *retryInstance) {
	v := r.currentView()
	r.scheduler.SetTable(w.now, topology.BuildTable("d", &v, r.retryPolicy(&v)))
}

// step passes one step of time: reports to the holder, and requests, which succeed or fail.
func (w *retryWorld) step(perSecond float64, fail bool) {
	w.now = w.now.Add(simStep)
	for n, r := range w.instances {
		if w.tracker != nil && w.now.After(r.nextReport) {
			w.report(n, r)
		}
	}
	for range w.poisson(perSecond * simStep.Seconds()) {
		w.send(w.instances[w.rng.IntN(len(w.instances))], fail)
	}
	if fail && w.rng.Float64() < simBursts*simStep.Seconds() {
		w.burst()
	}
}

// simBursts is how many times a second each instance gets as many failing requests at once as
// its share of the reserve, and some more.
const simBursts = 0.5

func (w *retryWorld) burst() {
	for _, r := range w.instances {
		for range 2 + int(w.reserve)/len(w.instances) {
			w.send(r, true)
		}
	}
}

// poisson returns a whole number with the given mean.
func (w *retryWorld) poisson(mean float64) int {
	n := 0
	for sum := w.rng.ExpFloat64(); sum < mean; sum += w.rng.ExpFloat64() {
		n++
	}
	return n
}

// simCountInterval is how often the holder counts the instances that have reported.
const simCountInterval = 100 * time.Millisecond

func (w *retryWorld) report(n int, r *retryInstance) {
	r.nextReport = w.now.Add(simReportInterval)
	name := fmt.Sprintf("i%04d", n)
	w.tracker.HandleReport(w.now, residency.InstanceReport{Instance: name, Domain: "d", Addr: name})
	if w.now.Sub(w.countedAt) >= simCountInterval {
		w.tracker.Update(w.now)
		w.count, w.positions, w.countedAt = w.tracker.Instances(), w.tracker.Positions(), w.now
	}
	if !w.tracker.CountedAll(w.now) {
		return
	}
	w.saved = decide.CountInstances(w.count)
	r.applyCount(residency.Summary{Instances: w.count, Rates: decide.RateShares{Position: w.positions[name]}})
	select {
	case <-r.viewChanged:
		w.updateTable(r)
	default:
	}
}

// send sends one request, with two attempts.
func (w *retryWorld) send(r *retryInstance, fail bool) {
	w.serial++
	id := fmt.Sprint(w.serial)
	w.requests = append(w.requests, w.now)
	decisions := r.scheduler.Submit(w.now, decide.Request{ID: id, Target: "svc", Idempotent: true, MaxAttempts: 2, Deadline: w.now.Add(time.Second)})
	for attempt := 1; len(decisions) > 0 && decisions[0].Action == decide.ActionDispatch; attempt++ {
		if attempt > 1 {
			w.retries = append(w.retries, w.now)
		}
		server := decisions[0].Server.ID
		if !fail {
			r.scheduler.Ended(w.now, id, server, decide.Outcome{Complete: true, Total: time.Millisecond, FirstToken: time.Millisecond, Tokens: 1})
			return
		}
		decisions = r.scheduler.AttemptFailed(w.now, id, server, decide.Failure{Reason: infra.ReasonFailed})
	}
	r.scheduler.Cancel(w.now, id)
}

// loseHolder begins anew to count instances, as a new lease holder does.
func (w *retryWorld) loseHolder() { w.tracker = residency.NewDemandTracker() }

// worst returns by how many the retries in any window exceed what is allowed then; 0 or less:
// never.
func (w *retryWorld) worst() float64 {
	within := func(times []time.Time, end time.Time) int {
		n := 0
		for _, t := range times {
			if !t.After(end) && t.After(end.Add(-simRetryWindow)) {
				n++
			}
		}
		return n
	}
	worst := math.Inf(-1)
	for n, end := range w.retries {
		if n+1 < len(w.retries) && w.retries[n+1].Equal(end) {
			continue
		}
		requests := max(within(w.requests, end), within(w.requests, end.Add(-simRetryWindow/2)), within(w.requests, end.Add(-simRetryWindow)))
		worst = max(worst, float64(within(w.retries, end))-simRetryRatio*float64(requests)-w.reserve)
	}
	return worst
}

// retrySizes are the sizes at which the bound is tried: few requests for each instance, so
// that the reserve binds and not the ratio.
var retrySizes = []struct {
	instances int
	reserve   float64
	perSecond float64 // requests, of all instances
}{
	{9, 58, 2}, {72, 184, 5}, {295, 630, 20}, {985, 1, 50},
}

// Guards against instances that together send more retries than the platform allows, when a
// lease holder has just begun to count them, or when instances restart with a full budget.
func TestRetriesOfAllInstancesAreBoundedWhileHoldersAreLostAndInstancesRestart(t *testing.T) {
	t.Parallel()
	for _, size := range retrySizes {
		for name, disturb := range map[string]func(w *retryWorld, step int){
			"holder lost every 4 s": func(w *retryWorld, step int) {
				if step%80 == 0 {
					w.loseHolder()
				}
			},
			"all restarted every 8 s": func(w *retryWorld, step int) {
				if step%160 == 80 {
					w.loseHolder()
					for n := range w.instances {
						w.start(n)
					}
				}
			},
			"restarted in turn, and holders lost": func(w *retryWorld, step int) {
				for range max(1, len(w.instances)/200) {
					w.start(w.rng.IntN(len(w.instances)))
				}
				if step%200 == 0 {
					w.loseHolder()
				}
			},
			"half lost for good": func(w *retryWorld, step int) {
				if step == 100 {
					w.instances = w.instances[:max(1, len(w.instances)/2)]
					w.loseHolder()
				}
			},
		} {
			t.Run(fmt.Sprintf("%d instances, %s", size.instances, name), func(t *testing.T) {
				w := newRetryWorld(uint64(size.instances), size.instances, size.reserve)
				for range int(simCalmTime / simStep) {
					w.step(size.perSecond, false)
				}
				for step := range int(simFailTime / simStep) {
					disturb(w, step)
					w.step(size.perSecond, true)
				}
				t.Logf("%d requests, %d retries, %.0f at most beyond what is allowed", len(w.requests), len(w.retries), w.worst())
				require.LessOrEqual(t, w.worst(), 0.0)
			})
		}
	}
}

// The bound must not cost calm days their retries: when a server crashes, each instance has
// some for the requests that it had there.
func TestInstancesKeepRetriesForTheCrashOfAServer(t *testing.T) {
	w := newRetryWorld(1, 9, 58)
	for range int(simCalmTime / simStep) {
		w.step(100, false)
	}
	for _, r := range w.instances {
		before := len(w.retries)
		for range 10 {
			w.send(r, true)
		}
		require.GreaterOrEqual(t, len(w.retries)-before, 3)
	}
}
