package residency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

// The load: instances before one server that alone serves a model, and names a rate
// limit far below what is asked of it. Each instance learns of the limit from its own
// answers or from the lease holder, says every half second what waits, and hears what
// it may send.

const (
	rationDomains = 6
	rationTick    = 25 * time.Millisecond
	rationWords   = 500 * time.Millisecond // between two words of an instance
	rationDelay   = 40 * time.Millisecond  // of a word or its answer, at most
	rationServes  = 200 * time.Millisecond // from a request's arrival to its answer
	rationWindow  = 4 * time.Second
	// rationJudged is when the limit, named at the beginning, has to be kept.
	rationJudged = 3 * time.Second
	rationLength = 40 * time.Second
	rationTold   = 500 * time.Millisecond
	rationWaits  = 2 * time.Second // a caller, until its request is sent
)

var rationStart = time.Unix(1_700_000_000, 0)

type rationEvent struct {
	at  time.Time
	seq int
	do  func()
}

type rationEvents []rationEvent

func (e rationEvents) Len() int { return len(e) }
func (e rationEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e rationEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *rationEvents) Push(x any)   { *e = append(*e, x.(rationEvent)) }
func (e *rationEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// rationWorld is those instances, the server and the lease holder.
type rationWorld struct {
	now        time.Time
	rng        *rand.Rand
	events     rationEvents
	seq        int
	schedulers []*decide.Scheduler
	holder     *rateShares // nil: nobody holds the lease
	reached    func(instance int) bool
	limit      func() decide.RateLimit

	asked   []time.Time       // of any instance
	arrived []rationArrival   // at the server
	told    map[int]time.Time // when an instance had its first answer that names the limit
}

// rationArrival is a request that reached the server.
type rationArrival struct {
	at   time.Time
	told bool // its instance had had an answer that names the limit for rationTold
}

// newRationWorld returns instances before the server, and beside it others that serve
// the same and name no limit.
func newRationWorld(instances, others int, seed uint64, limit float64) *rationWorld {
	w := &rationWorld{
		now: rationStart, rng: rand.New(rand.NewPCG(seed, 1)), holder: newRateShares(),
		reached: func(int) bool { return true }, told: map[int]time.Time{},
		limit: func() decide.RateLimit { return decide.RateLimit{Named: true, PerSecond: limit} },
	}
	t := &decide.Table{
		Servers: []decide.Server{{ID: "s", Pool: "p", FailureDomain: "d0", Slots: 24, Start: "1"}},
		Targets: map[string]*decide.Target{"m": {Name: "m", Pool: "p", Model: "m", Replicas: []decide.Replica{{}}}},
		Entries: map[string]int{}, NoServerQueue: true,
	}
	for n := range others {
		t.Servers = append(t.Servers, decide.Server{ID: fmt.Sprint("other", n), Pool: "p", FailureDomain: "d1", Slots: 24, Start: "1"})
		t.Targets["m"].Replicas = append(t.Targets["m"].Replicas, decide.Replica{Server: n + 1})
	}
	for i := range instances {
		t.Entries[rationDomain(i)]++
	}
	for i := range instances {
		own := *t
		own.OwnDomain = rationDomain(i)
		s := decide.NewScheduler(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		s.SetTable(w.now, &own)
		w.schedulers = append(w.schedulers, s)
		w.after(time.Duration(w.rng.Float64()*float64(rationWords)), func() { w.word(i) })
	}
	w.tick()
	return w
}

func rationDomain(instance int) string { return fmt.Sprint("d", instance%rationDomains) }

func (w *rationWorld) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, rationEvent{w.now.Add(d), w.seq, do})
}

// tick lets time pass where requests wait.
func (w *rationWorld) tick() {
	for i, s := range w.schedulers {
		if s.Queued() > 0 {
			w.carryOut(i, s.Tick(w.now))
		}
	}
	w.after(rationTick, w.tick)
}

func (w *rationWorld) delay() time.Duration {
	return time.Duration(w.rng.Float64() * float64(rationDelay))
}

// word has an instance say what it knows and wants, and hear what it may send.
func (w *rationWorld) word(i int) {
	w.after(rationWords, func() { w.word(i) })
	if w.holder == nil || !w.reached(i) {
		return
	}
	sent, said := w.now, w.schedulers[i].RateReports(w.now)
	w.after(w.delay(), func() {
		if w.holder == nil {
			return
		}
		told := decide.RateShares{
			Shares: w.holder.said(w.now, fmt.Sprint("i", i), said), Position: i, Instances: len(w.schedulers),
		}
		w.after(w.delay(), func() {
			_, decisions := w.schedulers[i].ApplyRateShares(w.now, sent, told)
			w.carryOut(i, decisions)
		})
	})
}

// carryOut sends what an instance decided to send.
func (w *rationWorld) carryOut(i int, decisions []decide.Decision) {
	for _, d := range append([]decide.Decision(nil), decisions...) {
		if d.Action == decide.ActionDispatch {
			sent, server := w.now, d.Server.ID
			if server == "s" {
				told, ok := w.told[i]
				w.arrived = append(w.arrived, rationArrival{sent, ok && sent.Sub(told) >= rationTold})
			}
			w.after(rationServes, func() {
				limit := decide.RateLimit{}
				if server == "s" {
					limit = w.limit()
				}
				w.schedulers[i].ObserveRateLimit(w.now, server, sent, limit, true)
				if _, ok := w.told[i]; !ok && limit.Named {
					w.told[i] = w.now
				}
				w.carryOut(i, w.schedulers[i].Ended(w.now, d.Request, server, decide.Outcome{Complete: true, Total: rationServes, Tokens: 1}))
			})
		}
	}
}

// play has callers ask that often, through any instance, until the end.
func (w *rationWorld) play(perSecond float64) {
	n := 0
	var next func()
	next = func() {
		w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		n++
		w.asked = append(w.asked, w.now)
		i := w.rng.IntN(len(w.schedulers))
		w.carryOut(i, w.schedulers[i].Submit(w.now, decide.Request{
			ID: fmt.Sprint(n), Target: "m", Arrived: w.now, Deadline: w.now.Add(10 * time.Second), MaxAttempts: 1,
			Goal: 400 * time.Millisecond, FirstTokenDeadline: w.now.Add(rationWaits),
		}))
	}
	next()
	for end := rationStart.Add(rationLength); w.events[0].at.Before(end); {
		e := heap.Pop(&w.events).(rationEvent)
		w.now = e.at
		e.do()
	}
}

// most returns the most requests that reached the server within rationWindow, from
// a time on that is counted from the beginning.
func (w *rationWorld) most(from time.Duration) int {
	return mostWithin(w.arrived, func(a rationArrival) bool { return a.at.Sub(rationStart) >= from })
}

func mostWithin(arrived []rationArrival, counts func(rationArrival) bool) int {
	most := 0
	var window []time.Time
	for _, a := range arrived {
		if !counts(a) {
			continue
		}
		window = append(window, a.at)
		for a.at.Sub(window[0]) >= rationWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// sentIn returns how many requests reached the server in a time.
func (w *rationWorld) sentIn(from, to time.Duration) float64 {
	n := 0.0
	for _, a := range w.arrived {
		if s := a.at.Sub(rationStart); s >= from && s < to {
			n++
		}
	}
	return n
}

// gated returns how many of the requests that were asked for in a time a single
// gate before the server would have let through, one after the other: the most that
// the limit allows.
func (w *rationWorld) gated(limit float64, from, to time.Duration) float64 {
	n := 0.0
	var free time.Time
	for _, at := range w.asked {
		if s := at.Sub(rationStart); s < from || s >= to {
			continue
		}
		start := at
		if free.After(at) {
			start = free
		}
		if start.Sub(at) > rationWaits {
			continue
		}
		free = start.Add(time.Duration(float64(time.Second) / limit))
		n++
	}
	return n
}

// allowed is what a server that names a limit may get within rationWindow.
func allowed(limit float64) int { return int(1.5*limit*rationWindow.Seconds()) + 5 }

// rationCases are fleets and limits that a request a second and more are asked of.
var rationCases = []struct {
	instances int
	limit     float64
	seeds     uint64
}{{9, 1.3, 3}, {9, 12, 3}, {295, 1.3, 1}, {295, 12, 1}}

func eachRation(t *testing.T, name string, play func(t *testing.T, w *rationWorld, limit float64)) {
	for _, c := range rationCases {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%s, %d instances, %g a second, seed %d", name, c.instances, c.limit, seed), func(t *testing.T) {
				play(t, newRationWorld(c.instances, 0, seed, c.limit), c.limit)
			})
		}
	}
}

func TestAllInstancesTogetherKeepARateLimitAndUseIt(t *testing.T) {
	for _, demand := range []float64{0.6, 1.5, 5} {
		eachRation(t, fmt.Sprintf("%g times as much asked", demand), func(t *testing.T, w *rationWorld, limit float64) {
			w.play(demand * limit)
			sent, gated := w.sentIn(rationJudged, rationLength), w.gated(limit, rationJudged, rationLength)
			t.Logf("at most %d of %d; sent %g, one gate %g", w.most(rationJudged), allowed(limit), sent, gated)
			require.LessOrEqual(t, w.most(rationJudged), allowed(limit))
			require.Greater(t, sent, 0.8*gated)
			require.LessOrEqual(t, sent, 1.1*limit*(rationLength-rationJudged).Seconds())
		})
	}
}

// A failure domain that is cut off serves what its instances' own turns allow, and
// the others what the lease holder grants.
func TestARateLimitIsKeptWhileAFailureDomainIsCutOff(t *testing.T) {
	eachRation(t, "cut", func(t *testing.T, w *rationWorld, limit float64) {
		cut := func() bool { s := w.now.Sub(rationStart); return s > 10*time.Second && s < 25*time.Second }
		w.reached = func(i int) bool { return !cut() || i%rationDomains != 0 }
		w.play(5 * limit)
		require.LessOrEqual(t, w.most(rationJudged), allowed(limit))
		require.Greater(t, w.sentIn(12*time.Second, 25*time.Second), 0.8*5/6*w.gated(limit, 12*time.Second, 25*time.Second))
	})
}

func TestARateLimitIsKeptWhileNobodyHoldsTheLease(t *testing.T) {
	eachRation(t, "no holder", func(t *testing.T, w *rationWorld, limit float64) {
		w.after(10*time.Second, func() { w.holder = nil })
		w.after(25*time.Second, func() { w.holder = newRateShares() })
		w.play(5 * limit)
		t.Logf("without a holder sent %g, one gate %g", w.sentIn(12*time.Second, 25*time.Second), w.gated(limit, 12*time.Second, 25*time.Second))
		require.LessOrEqual(t, w.most(rationJudged), allowed(limit))
		require.GreaterOrEqual(t, w.sentIn(27*time.Second, rationLength), 0.8*w.gated(limit, 27*time.Second, rationLength))
	})
}

// The lease passes on several times, and each holder begins anew.
func TestARateLimitIsKeptWhileTheLeasePassesOn(t *testing.T) {
	eachRation(t, "", func(t *testing.T, w *rationWorld, limit float64) {
		for at := 5 * time.Second; at < 35*time.Second; at += 5 * time.Second {
			w.after(at, func() { w.holder = nil })
			w.after(at+2*time.Second, func() { w.holder = newRateShares() })
		}
		w.play(5 * limit)
		require.LessOrEqual(t, w.most(rationJudged), allowed(limit))
	})
}

// Instances that never heard of each other know neither how many they are nor whose
// turn it is.
func TestARateLimitIsKeptBeforeAnyLeaseHolderIsKnown(t *testing.T) {
	eachRation(t, "", func(t *testing.T, w *rationWorld, limit float64) {
		w.holder = nil
		w.play(5 * limit)
		require.LessOrEqual(t, mostWithin(w.arrived, func(a rationArrival) bool { return a.told }), allowed(limit))
	})
}

// A limit that is named anew in each answer, a little different, is one limit.
func TestARateLimitThatMovesIsKept(t *testing.T) {
	eachRation(t, "", func(t *testing.T, w *rationWorld, limit float64) {
		w.limit = func() decide.RateLimit {
			return decide.RateLimit{Named: true, PerSecond: limit * (0.8 + 0.2*w.rng.Float64())}
		}
		w.after(15*time.Second, func() { w.holder = nil })
		w.play(5 * limit)
		require.LessOrEqual(t, w.most(rationJudged), allowed(limit))
	})
}

func TestWhenAServerNamesNoLimitAnyMoreItGetsWhatIsAskedOfIt(t *testing.T) {
	eachRation(t, "", func(t *testing.T, w *rationWorld, limit float64) {
		named := w.limit
		w.limit = func() decide.RateLimit {
			if w.now.Sub(rationStart) > 20*time.Second {
				return decide.RateLimit{}
			}
			return named()
		}
		w.play(3 * limit)
		asked := 0.0
		for _, at := range w.asked {
			if at.Sub(rationStart) >= 25*time.Second {
				asked++
			}
		}
		require.Greater(t, w.sentIn(25*time.Second, rationLength), 0.95*asked)
	})
}

// Where other servers have room for all that is asked, a server in need must still get
// some of it: else nobody hears that it isn't in need any more, and it stands idle.
func TestAServerThatNamesNoLimitAnyMoreIsUsedAgainBesideOthers(t *testing.T) {
	for _, c := range rationCases {
		t.Run(fmt.Sprintf("%d instances, %g a second", c.instances, c.limit), func(t *testing.T) {
			w := newRationWorld(c.instances, 2, 1, c.limit)
			named := w.limit
			w.limit = func() decide.RateLimit {
				if w.now.Sub(rationStart) > 20*time.Second {
					return decide.RateLimit{}
				}
				return named()
			}
			w.play(5 * c.limit)
			require.LessOrEqual(t, mostWithin(w.arrived, func(a rationArrival) bool {
				at := a.at.Sub(rationStart)
				return at >= rationJudged && at < 20*time.Second
			}), allowed(c.limit))
			t.Logf("sent %g while it names a limit, %g after", w.sentIn(rationJudged, 20*time.Second)/17, w.sentIn(30*time.Second, rationLength)/10)
			require.Positive(t, w.sentIn(rationJudged, 20*time.Second))
			require.Greater(t, w.sentIn(30*time.Second, rationLength), 0.15*5*c.limit*10)
		})
	}
}

// Words wait for a lock, and one that came before may be taken in after another.
func TestWordsThatCrossGrantNoMore(t *testing.T) {
	r := newRateShares()
	limit := decide.RateLimit{Named: true, PerSecond: 2}
	said := []decide.RateReport{{Server: "s", Limit: limit, Heard: true, Waiting: 1}}
	at := func(ms int) time.Time { return rationStart.Add(time.Duration(ms) * time.Millisecond) }
	r.said(at(0), "a", said)
	require.Equal(t, 1, r.said(at(600), "a", said)[0].Granted)
	require.Zero(t, r.said(at(300), "b", said)[0].Granted, "it was taken in late")
	require.Zero(t, r.said(at(610), "c", said)[0].Granted)
}

// A server that starts again knows nothing of the limit that it had named.
func TestALimitEndsWithTheServersStart(t *testing.T) {
	r := newRateShares()
	limit := decide.RateLimit{Named: true, PerSecond: 2}
	r.said(rationStart, "a", []decide.RateReport{{Server: "s", Start: "1", Limit: limit, Heard: true}})
	told := r.said(rationStart.Add(time.Second), "b", []decide.RateReport{{Server: "s", Start: "2", Heard: true}})
	require.Equal(t, "2", told[0].Start)
	require.False(t, told[0].Limit.Named)
}

// The instances that had heard of the limit from the server itself have ended, and
// the lease has passed on. Those that were only told keep the limit: without a share
// of it nobody would ever ask the server again, and hear that the limit has ended.
func TestALimitThatInstancesWereOnlyToldOfIsSharedOut(t *testing.T) {
	r := newRateShares()
	said := []decide.RateReport{{Server: "s", Limit: decide.RateLimit{Named: true, PerSecond: 2}, Age: time.Minute, Waiting: 1}}
	granted := 0
	for n := range 10 {
		for _, share := range r.said(rationStart.Add(time.Duration(n)*rationWords), "a", said) {
			granted += share.Granted
		}
	}
	require.Positive(t, granted)
}

// What instances were told goes round: it mustn't look newer than what a server says.
func TestWhatInstancesWereToldNeverGoesBeforeAnAnswer(t *testing.T) {
	r := newRateShares()
	limit := decide.RateLimit{Named: true, PerSecond: 2}
	r.said(rationStart, "a", []decide.RateReport{{Server: "s", Limit: limit, Heard: true}})
	later := rationStart.Add(time.Second)
	r.said(later, "a", []decide.RateReport{{Server: "s", Heard: true}})
	told := r.said(later.Add(time.Millisecond), "b", []decide.RateReport{{Server: "s", Limit: limit}})
	require.False(t, told[0].Limit.Named)
}
