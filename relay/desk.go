package relay

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/residency"
)

// decisionsKept is how many decisions one call may have unread: a queued one
// and the one that ends the wait, with room to spare.
const decisionsKept = 4

// tickEvery is how often time passes for requests that wait: fine enough that a
// refusal for a deadline comes at once beside a goal of hundreds of
// milliseconds, and no timer runs while nothing waits.
const tickEvery = 25 * time.Millisecond

// desk owns the scheduler. Whoever has something to tell it steps it under the
// lock and hands each decision to the call that it is about. A lock and not a
// duty with a ring: a request's arrival costs no switch to another goroutine,
// and nothing waits for I/O under it.
type desk struct {
	mu        sync.Mutex
	scheduler *decide.Scheduler
	calls     map[string]*call
	asked     map[string]residency.TargetDemand
	inFlight  map[string]int // by server
	ticking   bool
	log       logrus.FieldLogger
	metrics   Metrics
	wanted    chan struct{}
}

func newDesk(rng *rand.Rand, log logrus.FieldLogger, m Metrics) *desk {
	return &desk{
		scheduler: decide.NewScheduler(rng),
		calls:     map[string]*call{},
		asked:     map[string]residency.TargetDemand{},
		inFlight:  map[string]int{},
		log:       log,
		metrics:   m,
		wanted:    make(chan struct{}, 1),
	}
}

func (d *desk) setTable(t *decide.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(d.scheduler.SetTable(time.Now(), t))
}

func (d *desk) reported(server string, load residency.Load, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(d.scheduler.Reported(time.Now(), server, infra.Load{
		Running:      load.InFlight + d.inFlight[server],
		UnreadTokens: load.Unread + d.scheduler.Unread(server),
		Contending:   load.Contending,
	}, age))
}

// spread divides what is wanted of targets among the servers that serve them.
func (d *desk) spread(wanted map[string]float64) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Spread(wanted)
}

func (d *desk) loads() map[string]residency.Load {
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

func (d *desk) demand() map[string]residency.TargetDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.asked
	d.asked = map[string]residency.TargetDemand{}
	for _, c := range d.calls {
		a := out[c.target]
		if c.at != "" {
			a.InFlight++
		} else {
			a.Waiting++
		}
		out[c.target] = a
	}
	return out
}

// arrive tells the scheduler of a call.
func (d *desk) arrive(c *call, r decide.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.asked[c.target]
	a.Requests++
	a.Work += d.scheduler.Work(&r)
	d.asked[c.target] = a
	d.calls[c.id] = c
	d.carryOut(d.scheduler.Arrive(c.arrived, r))
}

// began tells the scheduler that the first byte of the call's stream has come.
func (d *desk) began(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(d.scheduler.Began(time.Now(), c.id, c.at))
}

// failed tells the scheduler that the call's attempt failed; a decision follows.
func (d *desk) failed(c *call, f decide.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	server := c.at
	d.leaveServer(c)
	d.carryOut(d.scheduler.Failed(time.Now(), c.id, server, f))
}

// ended tells the scheduler that the call is over.
func (d *desk) ended(c *call, o decide.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.id)
	server := c.at
	d.leaveServer(c)
	d.carryOut(d.scheduler.Ended(time.Now(), c.id, server, o))
}

// left tells the scheduler that the call's caller has gone, or its time is up.
func (d *desk) left(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.id)
	d.leaveServer(c)
	d.carryOut(d.scheduler.Left(time.Now(), c.id))
}

// drain refuses what waits and whatever arrives from now on.
func (d *desk) drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(d.scheduler.Drain(time.Now()))
}

// leaveServer notes that the call has no attempt any more. The lock is held.
func (d *desk) leaveServer(c *call) {
	if c.at != "" {
		d.inFlight[c.at]--
		c.at = ""
	}
}

func (d *desk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ticking = false
	d.carryOut(d.scheduler.Tick(time.Now()))
}

// carryOut hands each decision to its call. The lock is held.
func (d *desk) carryOut(decisions []decide.Decision) {
	for _, dec := range decisions {
		c := d.calls[dec.Request]
		d.note(c, dec)
		if c == nil {
			continue
		}
		switch dec.Action {
		case decide.ActionDispatch:
			c.at = dec.Server.ID
			d.inFlight[c.at]++
		case decide.ActionRefuse:
			delete(d.calls, dec.Request)
		case decide.ActionQueue:
			d.want()
			continue
		}
		c.decisions <- dec // has room: one is outstanding at a time
	}
	if !d.ticking && d.scheduler.Queued() > 0 {
		d.ticking = true
		time.AfterFunc(tickEvery, d.tick)
	}
}

func (d *desk) want() {
	select {
	case d.wanted <- struct{}{}:
	default: // somebody is about to look anyway
	}
}

var actionNames = map[decide.Action]string{
	decide.ActionDispatch: "dispatch",
	decide.ActionQueue:    "queue",
	decide.ActionRefuse:   "refuse",
}

// note writes the one line for a decision, with its inputs and its reason.
func (d *desk) note(c *call, dec decide.Decision) {
	action := actionNames[dec.Action]
	d.metrics.Decided(action, string(dec.Reason))
	f := logrus.Fields{
		"action":     action,
		"reason":     string(dec.Reason),
		"candidates": dec.Inputs.Candidates,
		"in_flight":  dec.Inputs.InFlight,
		"queued":     dec.Inputs.Queued,
		"service_ms": dec.Inputs.Service.Milliseconds(),
	}
	if c != nil {
		f["request"] = c.said.ID
		f["target"] = c.target
		f["config"] = c.version
	}
	switch dec.Action {
	case decide.ActionDispatch:
		f["server"] = dec.Server.ID
		f["score"] = strconv.FormatFloat(dec.Inputs.Score, 'g', 3, 64)
		f["unread_tokens"] = dec.Inputs.Unread
		f["first_ms"] = dec.Inputs.First.Milliseconds()
		f["load_age_ms"] = dec.Inputs.LoadAge.Milliseconds()
		if dec.Inputs.Limit.Named {
			f["limit_per_s"], f["granted"] = dec.Inputs.Limit.PerSecond, dec.Inputs.Granted
			d.metrics.SentLimited()
		}
		if dec.Inputs.Contending > 0 {
			f["contending"] = dec.Inputs.Contending
		}
	case decide.ActionQueue:
		f["wait_ms"] = dec.Inputs.Wait.Milliseconds()
	case decide.ActionRefuse:
		f["retry_after_ms"] = dec.RetryAfter.Milliseconds()
	}
	level := logrus.InfoLevel
	if dec.Action == decide.ActionRefuse {
		level = logrus.WarnLevel
	}
	d.log.WithFields(f).Log(level, "request decision")
}
