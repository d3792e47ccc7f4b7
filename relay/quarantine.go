package relay

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/quarantine"
)

const (
	// isolatedFrom is the number of crashes from which a request shares no server with
	// other suspects. After one crash there are as many suspects as the server ran requests,
	// nearly all innocent, and keeping them apart would hold them up.
	isolatedFrom = 2
	// quarantineRetryAfter is the Retry-After of a quarantined request. It is longer than a
	// caller waits for any answer.
	quarantineRetryAfter = 30 * time.Second
	// crashSettleTime is how long a suspect whose server refuses the connection waits before
	// it is sent to another: the server may just have crashed under a copy of it, and news
	// of that is on its way.
	crashSettleTime = 50 * time.Millisecond
	// reportWait bounds how long the answer to a request waits until other instances know
	// of the crash: its caller may send it again at once, to any of them.
	reportWait = 100 * time.Millisecond
)

// Quarantine knows which requests crash the servers that run them, from what all instances
// saw.
type Quarantine interface {
	// Active reports whether any request is suspected. If not, nothing else needs a call.
	Active() bool
	// Verdict returns what is known against a request.
	Verdict(quarantine.Fingerprint) Verdict
	// ReportCrash records that a server crashed while it ran a request. repeat: the request
	// was suspected when that run began. The returned channel is closed once other instances
	// know.
	ReportCrash(f quarantine.Fingerprint, server string, repeat bool) <-chan struct{}
	// ReportCompleted records that a server completed a request.
	ReportCompleted(quarantine.Fingerprint)
	// ReportAnswer records that a server answered a request that was sent at the given time.
	ReportAnswer(server string, sent time.Time)
}

// Verdict is what is known against a request.
type Verdict struct {
	Crashes     int  // of servers that ran it
	Quarantined bool // it must not run again
}

// QuarantinedError ends the attempts of a request that became quarantined while they ran.
type QuarantinedError struct{}

// Error implements error.
func (*QuarantinedError) Error() string { return "the request crashes servers" }

// isQuarantined reports whether a call's context was ended by AbortQuarantined.
func isQuarantined(ctx context.Context) bool {
	var e *QuarantinedError
	return errors.As(context.Cause(ctx), &e)
}

// updateVerdict asks what is known against the request and reports whether it is more than
// before.
func (c *call) updateVerdict() bool {
	q := c.relay.opts.Quarantine
	if q == nil || !q.Active() {
		return false
	}
	before := c.verdict
	c.verdict = q.Verdict(c.fingerprint())
	return c.verdict.Crashes > before.Crashes || c.verdict.Quarantined && !before.Quarantined
}

// affinity returns the key by which the instances send a suspect to the same server, 0 if
// the request isn't one.
func (c *call) affinity() uint64 {
	if c.verdict.Crashes == 0 {
		return 0
	}
	f := c.fingerprint()
	return max(binary.BigEndian.Uint64(f[:8]), 1)
}

// suspicion adds to a failure what is known against the request.
func (c *call) suspicion(f decide.Failure) decide.Failure {
	f.Affinity = c.affinity()
	f.Suspect = c.verdict.Crashes >= isolatedFrom
	f.Quarantined = c.verdict.Quarantined
	return f
}

// checkBeforeAttempt asks, before an attempt begins, what became known since the decision.
// It returns the request's outcome if it must not run, and whether the attempt may begin;
// if not, a new decision follows.
func (c *call) checkBeforeAttempt() (outcome string, proceed bool) {
	if !c.updateVerdict() {
		return "", true
	}
	if c.verdict.Quarantined {
		c.relay.dispatcher.abandon(c)
		return c.endQuarantined(), false
	}
	c.reportFailure(c.suspicion(decide.Failure{Reason: infra.ReasonCanceled, Effect: infra.EffectNone, Unsent: true}))
	return "", false
}

// endQuarantined ends the call of a request that must not run again.
func (c *call) endQuarantined() string {
	reason := string(decide.ReasonQuarantined)
	switch {
	case c.stream.started:
		c.abort(reason)
		return outcomeBroken
	case c.mayHaveRun:
		return c.fail(http.StatusBadGateway, reason)
	}
	return c.refuse(reason, quarantineRetryAfter)
}

// handleBrokenConnection finds out whether the server of an attempt whose connection broke
// has crashed, and reports it. It returns the failure with what is known then.
func (c *call) handleBrokenConnection(d decide.Decision, f decide.Failure) decide.Failure {
	c.logBrokenConnection(d)
	q := c.relay.opts.Quarantine
	if q == nil || !c.serverCrashed(d.Server) {
		return f
	}
	c.relay.opts.Log.WithFields(logrus.Fields{
		"request": c.headers.ID, "server": d.Server.ID, "fingerprint": c.fingerprint().String(), "repeat": c.verdict.Crashes > 0,
	}).Warn("server crashed while it ran the request")
	c.reported = q.ReportCrash(c.fingerprint(), d.Server.ID, c.verdict.Crashes > 0)
	c.updateVerdict()
	return c.suspicion(f)
}

// settle waits before a suspect whose server refused the connection is sent to another.
func (c *call) settle(ctx context.Context, f decide.Failure) decide.Failure {
	if c.verdict.Crashes == 0 {
		return f
	}
	timer := time.NewTimer(crashSettleTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	c.updateVerdict()
	return c.suspicion(f)
}

// waitReported waits until other instances know of a crash that the call reported.
func (c *call) waitReported() {
	if c.reported == nil {
		return
	}
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-c.reported:
	case <-timer.C:
	case <-c.req.Context().Done():
	}
}

// reportCompletion tells the quarantine that a server completed the request.
func (c *call) reportCompletion() {
	if q := c.relay.opts.Quarantine; q != nil && q.Active() {
		q.ReportCompleted(c.fingerprint())
	}
}

// serverCrashed reports whether the server of an attempt whose connection broke has crashed.
// One that is leaving or was removed ends without a crash.
func (c *call) serverCrashed(s decide.Server) bool {
	if _, ok := c.relay.inServiceServer(s.ID); !ok {
		return false
	}
	if c.forwarded {
		return c.relay.forwarder.crashed(s)
	}
	return c.relay.crashes.crashed(s)
}

// inServiceServer returns a server if it is listed and not leaving.
func (r *Relay) inServiceServer(id string) (decide.Server, bool) {
	v := r.view.Load()
	if v == nil {
		return decide.Server{}, false
	}
	for i := range v.Servers {
		if s := &v.Servers[i]; s.ID == id {
			return decide.Server{ID: s.ID, Addr: s.Addr, FailureDomain: s.Domain}, !s.Leaving
		}
	}
	return decide.Server{}, false
}

// AbortQuarantined ends the calls in hand whose requests have become quarantined. Those that
// wait at a server for their run are thereby dropped there, before it crashes.
func (r *Relay) AbortQuarantined(quarantined func(quarantine.Fingerprint) bool) {
	for _, c := range r.dispatcher.unfinished() {
		if quarantined(c.fingerprint()) {
			c.cancel(&QuarantinedError{})
		}
	}
}
