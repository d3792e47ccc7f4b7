package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
)

// tickEvery is how often time passes for the scheduler while it has requests:
// fine enough that a refusal for a deadline comes "at once" beside a first
// token's target of hundreds of ms.
const tickEvery = 10 * time.Millisecond

// dispatcher is the duty that owns the scheduler. It is told of everything
// through its ring, steps the scheduler and hands each decision to the call
// that it is about. It waits for nobody but its ring.
type dispatcher struct {
	server    *Server
	scheduler *decide.Scheduler
	calls     map[string]*call // those that the scheduler was told of, by request id
}

// know and forget keep the calls that the scheduler was told of.
func (d *dispatcher) know(c *call) {
	d.calls[c.id] = c
	d.server.known.Store(int64(len(d.calls)))
}

func (d *dispatcher) forget(request string) {
	delete(d.calls, request)
	d.server.known.Store(int64(len(d.calls)))
}

// event is one thing that happened, told to the dispatcher.
type event interface {
	apply(d *dispatcher, now time.Time) []decide.Decision
}

type arrived struct {
	call    *call
	suspect bool
}

type failed struct {
	call    *call
	server  string
	failure decide.Failure
}

type ended struct {
	call    *call
	server  string
	outcome decide.Outcome
}

type left struct{ call *call }

type reported struct {
	server string
	load   infra.Load
	age    time.Duration
}

type cached struct {
	server string
	events []infra.CacheEvent
}

func (e arrived) apply(d *dispatcher, now time.Time) []decide.Decision {
	d.know(e.call)
	return d.scheduler.Submit(now, e.call.request(e.suspect))
}

func (e failed) apply(d *dispatcher, now time.Time) []decide.Decision {
	if d.calls[e.call.id] == nil { // the scheduler that knew it was lost in a restart
		e.call.tell(restartRefusal(e.call.id))
		return nil
	}
	d.server.observeFailure(e.server, e.failure)
	return d.scheduler.AttemptFailed(now, e.call.id, e.server, e.failure)
}

func (e ended) apply(d *dispatcher, now time.Time) []decide.Decision {
	if d.calls[e.call.id] == nil {
		return nil
	}
	d.forget(e.call.id)
	d.server.opts.Observer.Ended(e.call.target.Name, e.server, e.outcome)
	return d.scheduler.Ended(now, e.call.id, e.server, e.outcome)
}

func (e left) apply(d *dispatcher, now time.Time) []decide.Decision {
	if d.calls[e.call.id] == nil {
		return nil
	}
	d.forget(e.call.id)
	return d.scheduler.Cancel(now, e.call.id)
}

func (e reported) apply(d *dispatcher, now time.Time) []decide.Decision {
	return d.scheduler.UpdateLoad(now, e.server, e.load, e.age)
}

func (e cached) apply(d *dispatcher, now time.Time) []decide.Decision {
	d.scheduler.ApplyCacheEvents(now, e.server, e.events)
	return nil
}

// reasonRestarted is the reason of the refusals that a lost scheduler causes.
const reasonRestarted decide.Reason = CodeRestarted

func restartRefusal(request string) decide.Decision {
	return decide.Decision{Request: request, Action: decide.ActionRefuse, Reason: reasonRestarted, RetryAfter: soon}
}

// dispatch is the dispatcher's duty until ctx ends. If it panics, its supervisor starts it again with
// a new scheduler; what waited for a decision is refused.
func (s *Server) dispatch(ctx context.Context) error {
	d := &dispatcher{
		server:    s,
		scheduler: decide.NewScheduler(rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))),
		calls:     map[string]*call{},
	}
	s.known.Store(0)
	defer d.abandon()
	if t := s.table.Load(); t != nil {
		d.carryOut(d.scheduler.SetTable(time.Now(), t))
	}
	return d.loop(ctx)
}

func (d *dispatcher) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var ticks <-chan time.Time
		if len(d.calls) > 0 {
			ticks = ticker.C
		}
		select {
		case <-ctx.Done():
			d.empty()
			return nil
		case e := <-d.server.ring:
			d.carryOut(e.apply(d, time.Now()))
		case <-d.server.newTable:
			t := d.server.table.Load()
			d.server.flights.keepOnly(t)
			d.carryOut(d.scheduler.SetTable(time.Now(), t))
		case <-ticks:
			d.carryOut(d.scheduler.Tick(time.Now()))
		}
	}
}

// empty takes in what is still on the ring.
func (d *dispatcher) empty() {
	for {
		select {
		case e := <-d.server.ring:
			d.carryOut(e.apply(d, time.Now()))
		default:
			return
		}
	}
}

// abandon refuses what waits for a decision that won't come.
func (d *dispatcher) abandon() {
	for id, c := range d.calls {
		c.tell(restartRefusal(id))
	}
}

// carryOut logs each decision and hands it to its call.
func (d *dispatcher) carryOut(decisions []decide.Decision) {
	for _, dec := range decisions {
		c := d.calls[dec.Request]
		d.server.logDecision(c, dec)
		if c == nil || dec.Action == decide.ActionQueue {
			continue
		}
		d.server.opts.Observer.Decided(c.target.Name, dec)
		if dec.Action == decide.ActionRefuse {
			d.forget(dec.Request)
		}
		if !c.tell(dec) {
			d.server.metrics.count("decisions_dropped")
		}
	}
}

// tell hands the call a decision. It says false if the call reads none any more.
func (c *call) tell(d decide.Decision) bool {
	select {
	case c.decisions <- d:
		return true
	default:
		return false
	}
}

var actionNames = map[decide.Action]string{
	decide.ActionDispatch: "dispatch",
	decide.ActionQueue:    "queue",
	decide.ActionRefuse:   "refuse",
}

// logDecision writes the one line for a routing decision, with its inputs and
// its reason.
func (s *Server) logDecision(c *call, d decide.Decision) {
	s.metrics.count("decisions." + actionNames[d.Action] + "." + string(d.Reason))
	fields := logrus.Fields{
		"request":    d.Request,
		"action":     actionNames[d.Action],
		"reason":     string(d.Reason),
		"candidates": d.Inputs.Candidates,
		"in_flight":  d.Inputs.InFlight,
		"queued":     d.Inputs.Queued,
		"wait_ms":    d.Inputs.QueueWait.Milliseconds(),
		"service_ms": d.Inputs.ServiceTime.Milliseconds(),
		"score":      d.Inputs.Score,
	}
	if c != nil {
		fields["partner"] = c.who.partner
		fields["target"] = c.target.Name
		fields["priority"] = c.priority
	}
	if d.Action == decide.ActionDispatch {
		fields["server"] = d.Server.ID
		fields["server_domain"] = d.Server.FailureDomain
	}
	if d.Action == decide.ActionRefuse {
		fields["retry_after_ms"] = d.RetryAfter.Milliseconds()
	}
	s.opts.Log.WithFields(fields).Info("routing decision")
}

// offer puts an arrival on the ring to the dispatcher. Ring full: the arrival
// is refused as not run, since a backlog there is lost time for every request.
func (s *Server) offer(e event) bool {
	select {
	case s.ring <- e:
		return true
	default:
		return false
	}
}

// tell puts an event of a request in hand on the ring. Ring full: it waits,
// since a lost event would keep a server's slot; the dispatcher waits for
// nobody, so the ring empties.
func (s *Server) tell(e event) {
	select {
	case s.ring <- e:
	case <-s.stopped:
	}
}

// hint puts a hint on the ring. Ring full: it is dropped; the next one is newer.
func (s *Server) hint(e event) {
	if !s.offer(e) {
		s.metrics.count("hints_dropped")
	}
}
