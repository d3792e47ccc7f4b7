package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/residency"
	"greengageferry/topology"
)

// decisionBuffer is the capacity of a call's decision channel. At most one decision is
// outstanding at a time; the rest is reserve.
const decisionBuffer = 4

// tickInterval is how often the scheduler checks the deadlines of queued requests. The
// delay of a refusal is small against latency goals of hundreds of milliseconds. No
// timer runs while the queue is empty.
const tickInterval = 25 * time.Millisecond

// dispatcher owns the scheduler. Each method passes an event to the scheduler under the
// lock and delivers the resulting decisions to their calls. A lock is used instead of a
// goroutine with a queue, so that a request's arrival costs no goroutine switch. No I/O
// is waited for under the lock.
type dispatcher struct {
	mu         sync.Mutex
	scheduler  *decide.Scheduler
	calls      map[string]*call                  // unfinished ones, by id
	arrivals   map[string]residency.TargetDemand // requests and work since the last call of demand, by target, which no version of weights restricts
	inFlight   map[string]int                    // dispatched calls, by server id
	ticking    bool                              // a tick is scheduled
	returning  []returningCall                   // refused calls whose callers will come back
	discarded  residency.RankDemand              // counts by rank that aren't reported; see rankDemand
	byRank     bool                              // demand is counted by rank; see decide.Table.RoomByRank
	log        logrus.FieldLogger
	metrics    Metrics
	syncNeeded chan struct{}

	sharesLogged   int       // client accounts over their share in the newest log line about them
	sharesLoggedAt time.Time // when that line was written
}

func newDispatcher(rng *rand.Rand, log logrus.FieldLogger, m Metrics) *dispatcher {
	return &dispatcher{
		scheduler:  decide.NewScheduler(rng),
		calls:      map[string]*call{},
		arrivals:   map[string]residency.TargetDemand{},
		inFlight:   map[string]int{},
		log:        log,
		metrics:    m,
		syncNeeded: make(chan struct{}, 1),
	}
}

func (d *dispatcher) setTable(t *decide.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byRank = t.RoomByRank
	d.deliver(d.scheduler.SetTable(time.Now(), t))
}

func (d *dispatcher) updateRemoteLoad(server string, load residency.Load, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.scheduler.UpdateLoad(time.Now(), server, infra.Load{
		Running:      load.InFlight + d.inFlight[server],
		UnreadTokens: load.Unread + d.scheduler.Unread(server),
		Contending:   load.Contending,
	}, age))
}

func (d *dispatcher) spread(demand map[string]float64) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.SpreadOverServers(demand)
}

func (d *dispatcher) loads() map[string]residency.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]residency.Load, len(d.inFlight))
	for server, n := range d.inFlight {
		if n > 0 {
			out[server] = residency.Load{InFlight: n, Unread: d.scheduler.Unread(server)}
		} else {
			delete(d.inFlight, server)
		}
	}
	return out
}

// inFlightAt returns how many calls are dispatched to the server.
func (d *dispatcher) inFlightAt(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight[server]
}

func (d *dispatcher) demand() map[string]residency.TargetDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.arrivals
	d.arrivals = map[string]residency.TargetDemand{}
	for _, c := range d.calls {
		name := topology.CutWeights(c.target)
		a := out[name]
		rank := d.rankDemand(&a, c)
		if c.serverID != "" {
			a.InFlight++
			rank.InFlight++
		} else {
			a.Waiting++
			rank.Waiting++
		}
		out[name] = a
	}
	d.addReturning(out)
	return out
}

// rankDemand returns the part of a target's demand that has the call's rank. If demand isn't counted
// by rank, it returns one that isn't reported. The lock is held.
func (d *dispatcher) rankDemand(a *residency.TargetDemand, c *call) *residency.RankDemand {
	if !d.byRank {
		return &d.discarded
	}
	return &a.ByRank[decide.RankIndex(c.rank())]
}

// countStart counts a call that is sent to a server for the first time. The lock is held.
func (d *dispatcher) countStart(c *call) {
	if c.startCounted || !d.byRank {
		return
	}
	c.startCounted = true
	name := topology.CutWeights(c.target)
	a := d.arrivals[name]
	d.rankDemand(&a, c).Starts++
	d.arrivals[name] = a
}

// unfinished returns the calls that the scheduler knows.
func (d *dispatcher) unfinished() []*call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.calls))
}

// submit passes a new call to the scheduler.
func (d *dispatcher) submit(c *call, r decide.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := topology.CutWeights(c.target)
	a := d.arrivals[name]
	a.Requests++
	a.Work += d.scheduler.Work(&r)
	rank := d.rankDemand(&a, c)
	rank.Requests++
	rank.Goal = r.Goal
	d.arrivals[name] = a
	d.calls[c.id] = c
	d.deliver(d.scheduler.Submit(c.arrived, r))
}

// streamStarted tells the scheduler that the first byte of the call's stream arrived.
func (d *dispatcher) streamStarted(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.scheduler.FirstTokenReceived(time.Now(), c.id, c.serverID))
}

// attemptFailed tells the scheduler that the call's attempt failed. A decision follows.
func (d *dispatcher) attemptFailed(c *call, f decide.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	server := c.serverID
	d.releaseServer(c)
	if f.Target != "" {
		c.target = f.Target
	}
	d.deliver(d.scheduler.AttemptFailed(time.Now(), c.id, server, f))
}

// move gives a call another target while it is queued.
func (d *dispatcher) move(c *call, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decisions, moved := d.scheduler.Move(time.Now(), c.id, target)
	if moved {
		c.target = target
		d.deliver(decisions)
	}
}

// completed tells the scheduler that the call's response is complete.
func (d *dispatcher) completed(c *call, o decide.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.id)
	server := c.serverID
	d.releaseServer(c)
	d.deliver(d.scheduler.Ended(time.Now(), c.id, server, o))
}

// abandon tells the scheduler that the call ended without a complete response: its
// caller disconnected, its deadline passed or its response broke off.
func (d *dispatcher) abandon(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.id)
	d.releaseServer(c)
	d.deliver(d.scheduler.Cancel(time.Now(), c.id))
}

// cancelAll ends all calls with the cause.
func (d *dispatcher) cancelAll(cause error) {
	d.mu.Lock()
	calls := slices.Collect(maps.Values(d.calls))
	d.mu.Unlock()
	for _, c := range calls {
		c.cancel(cause)
	}
}

// refuseWaiting refuses all queued calls and all that arrive from now on.
func (d *dispatcher) refuseWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.scheduler.Drain(time.Now()))
}

// releaseServer records that the call's attempt has ended. The lock is held.
func (d *dispatcher) releaseServer(c *call) {
	if c.serverID != "" {
		d.inFlight[c.serverID]--
		c.serverID = ""
	}
}

func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ticking = false
	d.deliver(d.scheduler.Tick(time.Now()))
}

// deliver sends each decision to its call, and schedules a tick while requests are
// queued. The lock is held.
func (d *dispatcher) deliver(decisions []decide.Decision) {
	for _, dec := range decisions {
		c := d.calls[dec.Request]
		d.logDecision(c, dec)
		if c == nil {
			continue
		}
		switch dec.Action {
		case decide.ActionDispatch:
			c.serverID = dec.Server.ID
			d.inFlight[c.serverID]++
			d.countStart(c)
		case decide.ActionRefuse:
			delete(d.calls, dec.Request)
			d.noteReturning(c, dec)
		case decide.ActionQueue:
			d.signalSync()
			continue
		}
		c.decisions <- dec // does not block: at most one is outstanding
	}
	if !d.ticking && d.scheduler.Queued() > 0 {
		d.ticking = true
		time.AfterFunc(tickInterval, d.tick)
	}
}

// signalSync sends a signal on syncNeeded.
func (d *dispatcher) signalSync() {
	select {
	case d.syncNeeded <- struct{}{}:
	default: // a signal is already pending
	}
}

var actionNames = map[decide.Action]string{
	decide.ActionDispatch: "dispatch",
	decide.ActionQueue:    "queue",
	decide.ActionRefuse:   "refuse",
}

// ActionName returns the name of an action in logs, metrics and messages.
func ActionName(a decide.Action) string { return actionNames[a] }

// addBacklogFields adds the inputs of a refusal for lack of time to its log fields, and counts the
// refusal if they include the backlog of all instances.
func (d *dispatcher) addBacklogFields(f logrus.Fields, in *decide.Inputs) {
	if in.QueueWait > 0 {
		f["wait_ms"] = in.QueueWait.Milliseconds()
	}
	b := &in.Shared
	if !b.Known {
		return
	}
	f["waiting_all"], f["backlog_age_ms"], f["room_on_return"] = int(b.Waiting+0.5), b.Age.Milliseconds(), b.RoomOnReturn
	f["starts_per_s"] = strconv.FormatFloat(b.Starts, 'f', 1, 64)
	f["arrivals_per_s"] = strconv.FormatFloat(b.Arrivals, 'f', 1, 64)
	d.metrics.CountBacklogRefusal(b.RoomOnReturn)
}

// addDispatchFields adds the server of a dispatch and the inputs of its choice to the log fields.
func (d *dispatcher) addDispatchFields(f logrus.Fields, dec *decide.Decision) {
	in := &dec.Inputs
	f["server"] = dec.Server.ID
	f["score"] = strconv.FormatFloat(in.Score, 'g', 3, 64)
	f["unread_tokens"] = in.Unread
	f["first_ms"] = in.TimeToFirstToken.Milliseconds()
	f["load_age_ms"] = in.LoadAge.Milliseconds()
	if in.ServerLimit.Named {
		f["limit_per_s"], f["granted"] = in.ServerLimit.PerSecond, in.Granted
		d.metrics.CountRateLimitedAttempt()
	}
	if in.RoomByRank {
		f["room"] = strconv.FormatFloat(in.RankRoom, 'f', 1, 64)
	}
	if in.Contending > 0 {
		f["contending"] = in.Contending
	}
}

// logDecision counts a decision and writes its log line, with its reason and inputs.
func (d *dispatcher) logDecision(c *call, dec decide.Decision) {
	action := actionNames[dec.Action]
	d.metrics.CountDecision(action, string(dec.Reason))
	f := logrus.Fields{
		"action":     action,
		"reason":     string(dec.Reason),
		"candidates": dec.Inputs.Candidates,
		"in_flight":  dec.Inputs.InFlight,
		"queued":     dec.Inputs.Queued,
		"service_ms": dec.Inputs.ServiceTime.Milliseconds(),
	}
	if c != nil {
		f["request"] = c.headers.ID
		f["target"] = c.target
		f["config"] = c.configVersion
	}
	if dec.Inputs.RoomByRank && c != nil {
		d.metrics.CountRankDecision(action, c.rank(), dec.Inputs.Late)
		f["rank"], f["late"] = c.rank(), dec.Inputs.Late
	}
	switch dec.Action {
	case decide.ActionDispatch:
		d.addDispatchFields(f, &dec)
	case decide.ActionQueue:
		f["wait_ms"] = dec.Inputs.QueueWait.Milliseconds()
	case decide.ActionRefuse:
		f["retry_after_ms"] = dec.RetryAfter.Milliseconds()
		d.addBacklogFields(f, &dec.Inputs)
	}
	level := logrus.InfoLevel
	if dec.Action == decide.ActionRefuse {
		level = logrus.WarnLevel
	}
	d.log.WithFields(f).Log(level, "request decision")
}
