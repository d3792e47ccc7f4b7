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

// maxCrashes is how many servers may die under one request in hand before it
// is given up: the log's quarantine learns of a death only after an append, and
// until then the request must not go from server to server.
const maxCrashes = 2

// job is what a call asks of a backend server.
type job interface {
	// attempt carries out one dispatch, up to the end of the answer. On success
	// the whole answer went out.
	attempt(ctx context.Context, d decide.Decision) (decide.Outcome, *attemptError)
	// fail ends the answer with a problem, in the form that what has already
	// gone out allows.
	fail(p *api.Problem)
}

// attemptError is why a dispatch brought no whole answer.
type attemptError struct {
	failure decide.Failure
	final   *api.Problem // set: no further attempt makes sense
	gone    bool         // the caller is gone
	err     error        // the cause, for the log
}

// Error implements error.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// run takes the call from its arrival to its end. It returns nil once the whole
// answer went out, and else the problem to tell. A panic is a problem as well.
func (s *Server) run(ctx context.Context, c *call, j job) (p *api.Problem) {
	defer s.leave(c)
	defer func() {
		if v := recover(); v != nil {
			s.opts.Log.WithFields(logrus.Fields{"request": c.id, "panic": v, "stack": string(debug.Stack())}).Error("request panicked")
			p = c.problem(http.StatusInternalServerError, api.TypeServer, CodeInternal, "an internal fault", soon)
		}
	}()
	if !s.offer(arrived{c, s.opts.Quarantine.Suspect(c.fingerprint)}) {
		c.ended.Store(true)
		return notRunYet(CodeRingFull, "too many requests arrive at once", soon)
	}
	for {
		d, p := c.await(ctx)
		if p != nil {
			return p
		}
		if d.Action == decide.ActionRefuse {
			return c.refusal(d.Reason, d.RetryAfter)
		}
		o, err := s.attempt(ctx, c, j, d)
		if err == nil {
			s.end(c, d.Server.ID, o)
			return nil
		}
		if p := c.giveUp(ctx, err); p != nil {
			s.end(c, d.Server.ID, o)
			return p
		}
		if s.opts.Quarantine.Quarantined(c.fingerprint) {
			s.end(c, d.Server.ID, o)
			return c.refusal(decide.ReasonQuarantined, 0)
		}
		s.tell(failed{c, d.Server.ID, err.failure})
	}
}

// await waits for the scheduler's next decision about the call.
func (c *call) await(ctx context.Context) (decide.Decision, *api.Problem) {
	select {
	case d := <-c.decisions:
		return d, nil
	case <-ctx.Done():
		return decide.Decision{}, c.endProblem(ctx)
	}
}

// attempt dispatches the call once and keeps the books on it.
func (s *Server) attempt(ctx context.Context, c *call, j job, d decide.Decision) (decide.Outcome, *attemptError) {
	c.server = d.Server
	before := c.mayHaveRun
	c.mayHaveRun = true // until the server says otherwise
	boot := s.flights.begin(d.Server.ID)
	if !c.target.Service {
		s.learnBoot(d.Server)
	}
	defer s.flights.end(d.Server.ID)
	o, err := j.attempt(ctx, d)
	if err == nil {
		return o, nil
	}
	if err.failure.Effect == infra.EffectNone {
		c.mayHaveRun = before
	}
	s.metrics.count("attempts_failed." + string(err.failure.Reason))
	if s.diedUnder(ctx, c, boot, err) {
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
		"error":   withoutURL(err.err),
	}).Warn("attempt failed")
	return o, err
}

// giveUp returns the problem to end with if no further attempt may follow.
func (c *call) giveUp(ctx context.Context, e *attemptError) *api.Problem {
	switch {
	case e.gone:
		return c.goneProblem()
	case ctx.Err() != nil:
		return c.endProblem(ctx)
	case e.final != nil:
		return e.final
	case c.mayHaveRun && !c.idempotent:
		return c.refusal(decide.ReasonMayHaveRun, 0)
	case c.crashes >= maxCrashes:
		return c.refusal(decide.ReasonQuarantined, 0)
	}
	return nil
}

// endProblem tells why the call's context ended.
func (c *call) endProblem(ctx context.Context) *api.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.deadlineProblem()
	}
	return c.goneProblem()
}

// statusGone is told to nobody: the caller is gone. It is for logs.
const statusGone = 499

func (c *call) goneProblem() *api.Problem {
	return c.problem(statusGone, api.TypeInvalid, string(decide.ReasonCallerLeft), "the caller has gone", 0)
}

// end tells the scheduler once that the call is over.
func (s *Server) end(c *call, server string, o decide.Outcome) {
	if !c.ended.Swap(true) {
		s.tell(ended{c, server, o})
	}
}

// leave tells the scheduler that nobody waits for the call any more, unless it
// was told already that the call is over.
func (s *Server) leave(c *call) {
	if !c.ended.Swap(true) {
		s.tell(left{c})
	}
}

// withoutURL returns what went wrong without the address that was asked for: a
// service's path or query may hold what a log must not.
func withoutURL(err error) error {
	var e *url.Error
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}

// failureOf returns what a platform error says. One that says nothing may have
// taken effect.
func failureOf(err error) decide.Failure {
	var e *infra.Error
	if errors.As(err, &e) {
		return decide.Failure{Reason: e.Reason, Effect: e.Effect}
	}
	return decide.Failure{Reason: infra.ReasonProtocol, Effect: infra.EffectUnknown}
}

// conclude counts and logs how a request ended.
func (s *Server) conclude(c *call, p *api.Problem) {
	fields := logrus.Fields{
		"request":  c.id,
		"partner":  c.who.partner,
		"caller":   c.who.caller,
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
