package caller

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/caller/api"
	"greengageferry/decide"
	"greengageferry/infra"
)

// maxCrashes is the number of servers that may crash while running one request
// before the request is refused. The quarantine learns of a crash only after an
// append to the log; until then the request must not crash server after server.
const maxCrashes = 2

// job is the work that a call sends to a backend server.
type job interface {
	// attempt sends the request to one server and relays its answer to the end.
	// On success the complete answer was written.
	attempt(ctx context.Context, d decide.Decision) (decide.Outcome, *attemptError)
	// fail ends the answer with a problem, in the form that the bytes already
	// written allow.
	fail(p *api.Problem)
}

// attemptError says why an attempt produced no complete answer.
type attemptError struct {
	failure      decide.Failure
	final        *api.Problem // if set, no further attempt makes sense
	disconnected bool         // the caller disconnected
	err          error        // the cause, for the log
}

// Error implements error.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// run schedules the call and attempts it until it succeeds or no further attempt
// is allowed. It returns nil once the complete answer was written, and otherwise
// the problem to report; a panic is reported as a problem too.
func (s *Server) run(ctx context.Context, c *call, j job) (p *api.Problem) {
	defer s.cancelCall(c)
	defer func() {
		if v := recover(); v != nil {
			s.opts.Log.WithFields(logrus.Fields{"request": c.id, "panic": v, "stack": string(debug.Stack())}).Error("request panicked")
			p = c.problem(http.StatusInternalServerError, api.TypeServer, CodeInternal, "an internal fault", shortRetryAfter)
		}
	}()
	if !s.tryEnqueue(arrived{c, s.opts.Quarantine.Suspect(c.fingerprint)}) {
		c.ended.Store(true)
		return unavailable(CodeDispatcherBusy, "too many requests arrive at once", shortRetryAfter)
	}
	for {
		d, p := c.awaitDecision(ctx)
		if p != nil {
			return p
		}
		if d.Action == decide.ActionRefuse {
			return c.refusalProblem(d.Reason, d.RetryAfter)
		}
		o, err := s.attempt(ctx, c, j, d)
		if err == nil {
			s.finishCall(c, d.Server.ID, o)
			return nil
		}
		if p := c.finalProblem(ctx, err); p != nil {
			s.finishCall(c, d.Server.ID, o)
			return p
		}
		if s.opts.Quarantine.Quarantined(c.fingerprint) {
			s.finishCall(c, d.Server.ID, o)
			return c.refusalProblem(decide.ReasonQuarantined, 0)
		}
		s.enqueue(attemptFailed{c, d.Server.ID, err.failure})
	}
}

// awaitDecision waits for the scheduler's next decision about the call.
func (c *call) awaitDecision(ctx context.Context) (decide.Decision, *api.Problem) {
	select {
	case d := <-c.decisions:
		return d, nil
	case <-ctx.Done():
		return decide.Decision{}, c.contextProblem(ctx)
	}
}

// attempt dispatches the call once and records the result: whether the call may
// have run, the load in flight, metrics, crashes and the log line.
func (s *Server) attempt(ctx context.Context, c *call, j job, d decide.Decision) (decide.Outcome, *attemptError) {
	c.server = d.Server
	before := c.mayHaveRun
	c.mayHaveRun = true // until the server reports otherwise
	boot := s.serverTracker.begin(d.Server.ID)
	if !c.target.Service {
		s.refreshBoot(d.Server)
	}
	defer s.serverTracker.end(d.Server.ID)
	o, err := j.attempt(ctx, d)
	if err == nil {
		return o, nil
	}
	if err.failure.Effect == infra.EffectNone {
		c.mayHaveRun = before
	}
	s.metrics.count("attempts_failed." + string(err.failure.Reason))
	if s.detectCrash(ctx, c, boot, err) {
		c.crashes++
		err.failure.Crash = true
	}
	s.opts.Log.WithFields(logrus.Fields{
		"request": c.id,
		"server":  d.Server.ID,
		"reason":  string(err.failure.Reason),
		"effect":  err.failure.Effect.String(),
		"tokens":  err.failure.Tokens,
		"crash":   err.failure.Crash,
		"error":   stripURL(err.err),
	}).Warn("attempt failed")
	return o, err
}

// finalProblem returns the problem that ends the call if no further attempt is
// allowed, and nil otherwise.
func (c *call) finalProblem(ctx context.Context, e *attemptError) *api.Problem {
	switch {
	case e.disconnected:
		return c.disconnectedProblem()
	case ctx.Err() != nil:
		return c.contextProblem(ctx)
	case e.final != nil:
		return e.final
	case c.mayHaveRun && !c.idempotent:
		return c.refusalProblem(decide.ReasonMayHaveRun, 0)
	case c.crashes >= maxCrashes:
		return c.refusalProblem(decide.ReasonQuarantined, 0)
	}
	return nil
}

// contextProblem returns the problem for the end of the call's context.
func (c *call) contextProblem(ctx context.Context) *api.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.deadlineProblem()
	}
	return c.disconnectedProblem()
}

// statusClientClosedRequest is nginx's status for a disconnected client. It only
// appears in logs, since nobody receives the answer.
const statusClientClosedRequest = 499

func (c *call) disconnectedProblem() *api.Problem {
	return c.problem(statusClientClosedRequest, api.TypeInvalid, string(decide.ReasonCallerLeft), "the caller has gone", 0)
}

// finishCall tells the scheduler, at most once, that the call ended.
func (s *Server) finishCall(c *call, server string, o decide.Outcome) {
	if !c.ended.Swap(true) {
		s.enqueue(ended{c, server, o})
	}
}

// cancelCall tells the scheduler that nobody waits for the call any more, unless
// the scheduler already knows that the call ended.
func (s *Server) cancelCall(c *call) {
	if !c.ended.Swap(true) {
		s.enqueue(canceled{c})
	}
}

// stripURL removes the requested URL from an error: a service's path or query may
// hold data that must not be logged.
func stripURL(err error) error {
	var e *url.Error
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}

// failureOf returns the failure that a platform error describes. An error of any
// other type counts as one that may have taken effect.
func failureOf(err error) decide.Failure {
	var e *infra.Error
	if errors.As(err, &e) {
		return decide.Failure{Reason: e.Reason, Effect: e.Effect}
	}
	return decide.Failure{Reason: infra.ReasonProtocol, Effect: infra.EffectUnknown}
}

// logEnd counts and logs how a request ended.
func (s *Server) logEnd(c *call, p *api.Problem) {
	fields := logrus.Fields{
		"request":  c.id,
		"partner":  c.sender.partner,
		"caller":   c.sender.caller,
		"server":   c.server.ID,
		"total_ms": time.Since(c.arrived).Milliseconds(),
	}
	if c.target != nil {
		fields["target"] = c.target.Name
	}
	if c.replayed {
		s.metrics.count("outcome.replayed")
		fields["outcome"] = "replayed"
	} else if p == nil {
		s.metrics.count("outcome.complete")
		s.metrics.total.record(time.Since(c.arrived))
		fields["outcome"] = "complete"
	} else {
		s.metrics.count("outcome." + string(p.Outcome))
		s.metrics.count("problem." + p.Code)
		fields["outcome"] = string(p.Outcome)
		fields["code"] = p.Code
		fields["status"] = p.Status
	}
	s.opts.Log.WithFields(fields).Info("request ended")
}
