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

// A small deterministic simulation of servers with continuous batching, for the policy
// experiment. It has no network and no log, and time is an argument.

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// router is the part of the scheduler's methods that the experiment uses, so that
// baselines can replace it.
type router interface {
	SetTable(now time.Time, t *Table) []Decision
	Submit(now time.Time, r Request) []Decision
	AttemptFailed(now time.Time, request, server string, f Failure) []Decision
	Ended(now time.Time, request, server string, o Outcome) []Decision
	Cancel(now time.Time, request string) []Decision
	UpdateLoad(now time.Time, server string, load infra.Load, age time.Duration) []Decision
	Tick(now time.Time) []Decision
}

// placer is the planner's method, so that baselines can replace it.
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

// job is a request with its current attempt.
type job struct {
	Request
	entry   *simEntry
	engine  *simEngine // nil: not at a server
	tokens  int
	sentAt  time.Time
	first   time.Duration
	inBatch bool
	done    bool
}

// milestone is the step of an engine at which a job gets its first token or ends.
type milestone struct {
	steps float64
	job   *job
	first bool
}

type milestones []milestone

func (h milestones) Len() int           { return len(h) }
func (h milestones) Less(i, j int) bool { return h[i].steps < h[j].steps }
func (h milestones) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *milestones) Push(x any)        { *h = append(*h, x.(milestone)) }
func (h *milestones) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simEngine simulates continuous batching: each running request gets one token per step,
// and a step takes longer the fuller the batch is.
type simEngine struct {
	PlanServer
	domain     string
	step       float64 // seconds per step with a single request
	steps      float64 // steps completed
	updatedAt  time.Time
	running    int
	waiting    []*job
	milestones milestones
	epoch      int
	prefix     []uint64 // cached prompt prefixes, least recently used first
	used       map[infra.Key]time.Time
}

const (
	simFullBatchSlowdown = 0.5 // relative increase of the step time in a full batch
	simPrefixes          = 12  // prompt prefixes that an engine caches
	simPromptStep        = 60  // prompt bytes prefilled in the time of one step
)

func (e *simEngine) stepTime() float64 {
	return e.step * (1 + simFullBatchSlowdown*float64(e.running-1)/float64(e.Slots))
}

func (e *simEngine) advance(now time.Time) {
	if e.running > 0 {
		e.steps += now.Sub(e.updatedAt).Seconds() / e.stepTime()
	}
	e.updatedAt = now
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
		j.inBatch = true
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
		heap.Push(&e.milestones, milestone{e.steps + prompt + 1, j, true})
		heap.Push(&e.milestones, milestone{e.steps + prompt + float64(j.tokens), j, false})
	}
	w.schedule(e)
}

func (w *world) schedule(e *simEngine) {
	e.epoch++
	epoch := e.epoch
	for len(e.milestones) > 0 && e.milestones[0].job.done {
		heap.Pop(&e.milestones)
	}
	if len(e.milestones) == 0 {
		return
	}
	in := max(e.milestones[0].steps-e.steps, 0) * e.stepTime()
	w.after(seconds(in)+1, func() {
		if e.epoch == epoch {
			w.processMilestones(e)
		}
	})
}

func (w *world) processMilestones(e *simEngine) {
	e.advance(w.now)
	var ended []*job
	for len(e.milestones) > 0 && e.milestones[0].steps <= e.steps+1e-9 {
		m := heap.Pop(&e.milestones).(milestone)
		switch {
		case m.job.done:
		case m.first:
			m.job.first = w.now.Sub(m.job.sentAt)
			w.report(m.job.entry, e, 0)
		default:
			m.job.done = true
			e.running--
			ended = append(ended, m.job)
		}
	}
	w.admit(e)
	for _, j := range ended {
		w.countMet(j)
		w.carryOut(j.entry, j.entry.router.Ended(w.now, j.ID, e.ID, Outcome{Complete: true, FirstToken: j.first, Total: w.now.Sub(j.sentAt), Tokens: j.tokens}))
		w.report(j.entry, e, 0)
	}
}

// expire ends a job whose deadline has passed: its caller disconnects.
func (w *world) expire(j *job) {
	if j.done {
		return
	}
	j.done = true
	why := "late in the entry's queue"
	if e := j.engine; e != nil {
		e.advance(w.now)
		why = "late at the server"
		if j.inBatch {
			e.running--
			why = "late in the batch"
		} else if i := slices.Index(e.waiting, j); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
		}
		w.admit(e)
	}
	w.count(j, why, 0)
	w.carryOut(j.entry, j.entry.router.Cancel(w.now, j.ID))
}

// simEntry is an instance.
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

// world is the state of one simulation run.
type world struct {
	now          time.Time
	seq          int
	events       simEvents
	rng          *rand.Rand
	conf         *config.Config
	domains      []*simDomain
	engines      map[string]*simEngine
	stores       map[string]infra.StoreLimits
	loading      map[string]int
	loadMiB      float64 // MiB per second of one load at the store's full speed
	result       result
	readyChanged bool                // the set of ready items has changed
	adapters     map[string][]string // by model
	moves        bool                // whether moves are counted; set after the first placement
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
	w.carryOut(to, to.router.UpdateLoad(w.now, e.ID, e.load(), age))
}

func (w *world) carryOut(at *simEntry, decisions []Decision) {
	for _, d := range slices.Clone(decisions) {
		j := at.jobs[d.Request]
		if j == nil || j.done {
			continue
		}
		switch d.Action {
		case ActionRefuse:
			j.done = true
			w.result.refusals = append(w.result.refusals, w.now.Sub(j.Arrived).Seconds())
			w.count(j, string(d.Reason), 0)
		case ActionDispatch:
			e := w.engines[d.Server.ID]
			if !e.serves(j.Target) {
				w.carryOut(at, at.router.AttemptFailed(w.now, j.ID, e.ID, Failure{Reason: infra.ReasonNotResident, Effect: infra.EffectNone}))
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

// arrive submits a request at a random instance of the domain.
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
	w.after(r.Deadline.Sub(w.now), func() { w.expire(j); delete(entry.jobs, r.ID) })
	w.carryOut(entry, entry.router.Submit(w.now, r))
}

func (w *world) countMet(j *job) { w.count(j, "", 1) }

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

// load makes an item resident once the store has delivered it.
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
			w.readyChanged = true
		}
	})
}

func (w *world) unload(e *simEngine, item infra.Item) {
	same := func(i infra.Item) bool { return i.Key() == item.Key() }
	e.Assigned = slices.DeleteFunc(e.Assigned, same)
	e.Ready = slices.DeleteFunc(e.Ready, same)
	w.readyChanged = true
	e.Lingering = append(e.Lingering, item)
	w.after(2*time.Second, func() { e.Lingering = slices.DeleteFunc(e.Lingering, same) })
	if w.moves {
		w.result.moves++
	}
}
