package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
)

// tickInterval is the time between the scheduler's ticks while it has requests.
// It is short relative to the target for the first token, which is hundreds of
// ms, so that requests that would miss their deadline are refused promptly.
const tickInterval = 10 * time.Millisecond

// dispatcher is the duty that owns the scheduler. It takes events from a queue,
// applies them to the scheduler and delivers each decision to its call. It never
// blocks except on its queue.
type dispatcher struct {
	server    *Server
	scheduler *decide.Scheduler
	calls     map[string]*call // calls that the scheduler knows, by request ID
}

// track adds a call that the scheduler is about to learn of.
func (d *dispatcher) track(c *call) {
	d.calls[c.id] = c
	d.server.knownRequests.Store(int64(len(d.calls)))
}

func (d *dispatcher) forget(request string) {
	delete(d.calls, request)
	d.server.knownRequests.Store(int64(len(d.calls)))
}

// event is a change that the dispatcher applies to the scheduler.
type event interface {
	apply(d *dispatcher, now time.Time) []decide.Decision
}

type arrived struct {
	call    *call
	suspect bool
}

type attemptFailed struct {
	call    *call
	server  string
	failure decide.Failure
}

type ended struct {
	call    *call
	server  string
	outcome decide.Outcome
}

type canceled struct{ call *call }

type loadReported struct {
	server string
	load   infra.Load
	age    time.Duration
}

type cacheChanged struct {
	server string
	events []infra.CacheEvent
}

func (e arrived) apply(d *dispatcher, now time.Time) []decide.Decision {
	d.track(e.call)
	return d.scheduler.Submit(now, e.call.schedulerRequest(e.suspect))
}

func (e attemptFailed) apply(d *dispatcher, now time.Time) []decide.Decision {
	if d.calls[e.call.id] == nil { // the scheduler that knew the call was lost in a restart
		e.call.notify(restartRefusal(e.call.id))
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

func (e canceled) apply(d *dispatcher, now time.Time) []decide.Decision {
	if d.calls[e.call.id] == nil {
		return nil
	}
	d.forget(e.call.id)
	return d.scheduler.Cancel(now, e.call.id)
}

func (e loadReported) apply(d *dispatcher, now time.Time) []decide.Decision {
	return d.scheduler.UpdateLoad(now, e.server, e.load, e.age)
}

func (e cacheChanged) apply(d *dispatcher, now time.Time) []decide.Decision {
	d.scheduler.ApplyCacheEvents(now, e.server, e.events)
	return nil
}

// reasonDispatcherRestarted is the reason for refusing requests whose scheduler
// was lost in a restart.
const reasonDispatcherRestarted decide.Reason = CodeDispatcherRestarted

// restartRefusal returns the decision to refuse a request after a restart.
func restartRefusal(request string) decide.Decision {
	return decide.Decision{Request: request, Action: decide.ActionRefuse, Reason: reasonDispatcherRestarted, RetryAfter: shortRetryAfter}
}

// runDispatcher runs the dispatcher until ctx ends. After a panic, the supervisor
// starts it again with a new scheduler; calls that waited for a decision are
// refused.
func (s *Server) runDispatcher(ctx context.Context) error {
	d := &dispatcher{
		server:    s,
		scheduler: decide.NewScheduler(rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))),
		calls:     map[string]*call{},
	}
	s.knownRequests.Store(0)
	defer d.refuseWaiting()
	if t := s.table.Load(); t != nil {
		d.deliver(d.scheduler.SetTable(time.Now(), t))
	}
	return d.loop(ctx)
}

func (d *dispatcher) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var ticks <-chan time.Time
		if len(d.calls) > 0 {
			ticks = ticker.C
		}
		select {
		case <-ctx.Done():
			d.drainEvents()
			return nil
		case e := <-d.server.queue:
			d.deliver(e.apply(d, time.Now()))
		case <-d.server.newTable:
			t := d.server.table.Load()
			d.server.serverTracker.retainListed(t)
			d.deliver(d.scheduler.SetTable(time.Now(), t))
		case <-ticks:
			d.deliver(d.scheduler.Tick(time.Now()))
		}
	}
}

// drainEvents applies the events still in the queue.
func (d *dispatcher) drainEvents() {
	for {
		select {
		case e := <-d.server.queue:
			d.deliver(e.apply(d, time.Now()))
		default:
			return
		}
	}
}

// refuseWaiting refuses the calls whose decision will not come because the
// dispatcher ends.
func (d *dispatcher) refuseWaiting() {
	for id, c := range d.calls {
		c.notify(restartRefusal(id))
	}
}

// deliver logs each decision and passes it to its call.
func (d *dispatcher) deliver(decisions []decide.Decision) {
	for _, decision := range decisions {
		c := d.calls[decision.Request]
		d.server.logDecision(c, decision)
		if c == nil || decision.Action == decide.ActionQueue {
			continue
		}
		d.server.opts.Observer.Decided(c.target.Name, decision)
		if decision.Action == decide.ActionRefuse {
			d.forget(decision.Request)
		}
		if !c.notify(decision) {
			d.server.metrics.count("decisions_dropped")
		}
	}
}

// notify passes a decision to the call. It returns false if the call no longer
// reads decisions.
func (c *call) notify(d decide.Decision) bool {
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

// logDecision counts a routing decision and logs it with its inputs and reason.
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
		fields["partner"] = c.sender.partner
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

// tryEnqueue queues an event for the dispatcher. It returns false if the queue is
// full. A new request is then refused as not run, since a backlog in this queue
// delays every request.
func (s *Server) tryEnqueue(e event) bool {
	select {
	case s.queue <- e:
		return true
	default:
		return false
	}
}

// enqueue queues an event of an admitted request. If the queue is full it blocks,
// since a lost event would leak a server's slot. The dispatcher itself never
// blocks, so the queue drains.
func (s *Server) enqueue(e event) {
	select {
	case s.queue <- e:
	case <-s.stopped:
	}
}

// enqueueHint queues an advisory event. If the queue is full the event is dropped,
// since a newer one will follow.
func (s *Server) enqueueHint(e event) {
	if !s.tryEnqueue(e) {
		s.metrics.count("hints_dropped")
	}
}
