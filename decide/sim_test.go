package decide

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"greengageferry/config"
	"greengageferry/infra"
)

// A small deterministic model of servers that batch continuously, for the
// experiment. It is no cluster: no network, no log, and time is an argument.

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// router is the scheduler's method set that the experiment steps.
type router interface {
	SetTable(now time.Time, t *Table) []Decision
	Arrive(now time.Time, r Request) []Decision
	Failed(now time.Time, request, server string, f Failure) []Decision
	Ended(now time.Time, request, server string, o Outcome) []Decision
	Left(now time.Time, request string) []Decision
	Reported(now time.Time, server string, load infra.Load, age time.Duration) []Decision
	Tick(now time.Time) []Decision
}

// placer is the planner's method.
type placer interface{ Plan(in PlanInput) []Move }

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// job is one request and its attempt.
type job struct {
	Request
	entry  *simEntry
	engine *simEngine // nil: not at a server
	tokens int
	sentAt time.Time
	first  time.Duration
	runs   bool
	over   bool
}

// mark is a point on an engine's token clock: a job's first token or its end.
type mark struct {
	v     float64
	job   *job
	first bool
}

type marks []mark

func (h marks) Len() int           { return len(h) }
func (h marks) Less(i, j int) bool { return h[i].v < h[j].v }
func (h marks) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *marks) Push(x any)        { *h = append(*h, x.(mark)) }
func (h *marks) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simEngine batches continuously: each running request gets a token each step,
// and a step takes longer the fuller the batch is.
type simEngine struct {
	PlanServer
	domain  string
	step    float64 // seconds a step alone
	v       float64 // steps so far
	at      time.Time
	running int
	waiting []*job
	marks   marks
	epoch   int
	prefix  []uint64 // cached, oldest first
	used    map[infra.Key]time.Time
}

const (
	simCrowding   = 0.5 // how much longer a step takes in a full batch
	simPrefixes   = 12  // prompt prefixes that an engine keeps
	simPromptStep = 60  // prompt bytes that take as long as one step
)

func (e *simEngine) stepTime() float64 {
	return e.step * (1 + simCrowding*float64(e.running-1)/float64(e.Slots))
}

func (e *simEngine) advance(now time.Time) {
	if e.running > 0 {
		e.v += now.Sub(e.at).Seconds() / e.stepTime()
	}
	e.at = now
}

func (e *simEngine) load() infra.Load {
	return infra.Load{Running: e.running, Waiting: len(e.waiting), Slots: e.Slots}
}

func (w *world) start(e *simEngine, j *job) {
	e.advance(w.now)
	j.engine, j.sentAt = e, w.now
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Priority < j.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
	w.admit(e)
}

func (w *world) admit(e *simEngine) {
	for e.running < e.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.runs = true
		e.running++
		prompt := float64(j.PromptBytes) / simPromptStep
		if i := slices.Index(e.prefix, j.Prefix); i >= 0 {
			prompt *= 0.2
			e.prefix = slices.Delete(e.prefix, i, i+1)
		}
		e.prefix = append(e.prefix, j.Prefix)
		if len(e.prefix) > simPrefixes {
			e.prefix = e.prefix[1:]
		}
		heap.Push(&e.marks, mark{e.v + prompt + 1, j, true})
		heap.Push(&e.marks, mark{e.v + prompt + float64(j.tokens), j, false})
	}
	w.schedule(e)
}

func (w *world) schedule(e *simEngine) {
	e.epoch++
	epoch := e.epoch
	for len(e.marks) > 0 && e.marks[0].job.over {
		heap.Pop(&e.marks)
	}
	if len(e.marks) == 0 {
		return
	}
	in := max(e.marks[0].v-e.v, 0) * e.stepTime()
	w.after(seconds(in)+1, func() {
		if e.epoch == epoch {
			w.reach(e)
		}
	})
}

func (w *world) reach(e *simEngine) {
	e.advance(w.now)
	var ended []*job
	for len(e.marks) > 0 && e.marks[0].v <= e.v+1e-9 {
		m := heap.Pop(&e.marks).(mark)
		switch {
		case m.job.over:
		case m.first:
			m.job.first = w.now.Sub(m.job.sentAt)
			w.report(m.job.entry, e, 0)
		default:
			m.job.over = true
			e.running--
			ended = append(ended, m.job)
		}
	}
	w.admit(e)
	for _, j := range ended {
		w.met(j)
		w.carryOut(j.entry, j.entry.router.Ended(w.now, j.ID, e.ID, Outcome{Complete: true, FirstToken: j.first, Total: w.now.Sub(j.sentAt), Tokens: j.tokens}))
		w.report(j.entry, e, 0)
	}
}

// leave ends a job whose caller has gone: its deadline passed.
func (w *world) leave(j *job) {
	if j.over {
		return
	}
	j.over = true
	why := "late in the entry's queue"
	if e := j.engine; e != nil {
		e.advance(w.now)
		why = "late at the server"
		if j.runs {
			e.running--
			why = "late in the batch"
		} else if i := slices.Index(e.waiting, j); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
		}
		w.admit(e)
	}
	w.count(j, why, 0)
	w.carryOut(j.entry, j.entry.router.Left(w.now, j.ID))
}

// simEntry is an entry instance.
type simEntry struct {
	domain *simDomain
	router router
	jobs   map[string]*job
}

type simDomain struct {
	name    string
	entries []*simEntry
	engines []*simEngine
	placer  placer
	demand  map[string]*Demand // since the last plan
}

func (d *simDomain) demandOf(target string) *Demand {
	if d.demand[target] == nil {
		d.demand[target] = &Demand{}
	}
	return d.demand[target]
}

// world is one run.
type world struct {
	now      time.Time
	seq      int
	events   simEvents
	rng      *rand.Rand
	conf     *config.Config
	domains  []*simDomain
	engines  map[string]*simEngine
	stores   map[string]infra.StoreLimits
	loading  map[string]int
	loadMiB  float64 // MiB a second of one load at the store's full speed
	result   result
	dirty    bool                // what is ready has changed
	adapters map[string][]string // by model
	moves    bool                // count moves: after the first placement
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now.Add(d), w.seq, do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

func (w *world) run(until time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) report(to *simEntry, e *simEngine, age time.Duration) {
	w.carryOut(to, to.router.Reported(w.now, e.ID, e.load(), age))
}

func (w *world) carryOut(at *simEntry, decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		j := at.jobs[d.Request]
		if j == nil || j.over {
			continue
		}
		switch d.Action {
		case ActionRefuse:
			j.over = true
			w.result.refusals = append(w.result.refusals, w.now.Sub(j.Arrived).Seconds())
			w.count(j, string(d.Reason), 0)
		case ActionDispatch:
			e := w.engines[d.Server.ID]
			if !e.serves(j.Target) {
				w.carryOut(at, at.router.Failed(w.now, j.ID, e.ID, Failure{Reason: infra.ReasonNotResident, Effect: infra.EffectNone}))
				continue
			}
			w.result.waits = append(w.result.waits, w.now.Sub(j.Arrived).Seconds())
			w.start(e, j)
		}
	}
}

func (e *simEngine) serves(target string) bool {
	return slices.ContainsFunc(e.Ready, func(i infra.Item) bool { return nameOfItem(i) == target })
}

// arrive takes in a request at one of the domain's entry instances.
func (w *world) arrive(d *simDomain, r Request, tokens int) {
	entry := d.entries[w.rng.IntN(len(d.entries))]
	r.Arrived = w.now
	j := &job{Request: r, entry: entry, tokens: tokens}
	entry.jobs[r.ID] = j
	dem := d.demandOf(r.Target)
	dem.RequestsPerSecond++
	dem.TokensPerSecond += float64(tokens)
	w.result.requests++
	w.result.partnerRequests[r.Partner]++
	w.after(r.Deadline.Sub(w.now), func() { w.leave(j); delete(entry.jobs, r.ID) })
	w.carryOut(entry, entry.router.Arrive(w.now, r))
}

func (w *world) met(j *job) { w.count(j, "", 1) }

func (w *world) count(j *job, why string, met int) {
	w.result.met += met
	w.result.partnerMet[j.Partner] += met
	if why == "" {
		return
	}
	w.result.missedByReason[why]++
	w.result.missedByTarget[j.Target]++
	if !strings.HasPrefix(why, "late") {
		w.result.refused++
		j.entry.domain.demandOf(j.Target).RefusedPerSecond++
	}
}

// load makes an item resident after the store has given it.
func (w *world) load(e *simEngine, item infra.Item, owner string) {
	e.Assigned = append(e.Assigned, item)
	e.AssignedAt[item.Key()] = w.now
	if w.moves {
		w.result.moves++
	}
	w.loading[owner]++
	slower := 1.0
	if most := w.stores[owner].ConcurrentLoads; most > 0 {
		slower = max(1, float64(w.loading[owner])/float64(most))
	}
	w.after(seconds(slower*float64(item.MiB)/w.loadMiB), func() {
		w.loading[owner]--
		if slices.ContainsFunc(e.Assigned, func(i infra.Item) bool { return i.Key() == item.Key() }) {
			e.Ready = append(e.Ready, item)
			w.dirty = true
		}
	})
}

func (w *world) unload(e *simEngine, item infra.Item) {
	same := func(i infra.Item) bool { return i.Key() == item.Key() }
	e.Assigned = slices.DeleteFunc(e.Assigned, same)
	e.Ready = slices.DeleteFunc(e.Ready, same)
	w.dirty = true
	e.Lingering = append(e.Lingering, item)
	w.after(2*time.Second, func() { e.Lingering = slices.DeleteFunc(e.Lingering, same) })
	if w.moves {
		w.result.moves++
	}
}
