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
	"greengageferry/topology"
)

const (
	// isolatedFrom is the number of crashes from which a request shares no server with
	// other suspects. After one crash there are as many suspects as the server ran requests,
	// nearly all innocent, and keeping them apart would hold them up.
	isolatedFrom = 2
	// quarantineRetryAfter is the Retry-After of a quarantined request. It is longer than a
	// caller waits for any answer.
	quarantineRetryAfter = 30 * time.Second
	// suspectRetryAfter is the Retry-After of a suspect while a copy of it runs.
	suspectRetryAfter = time.Second
	// reasonSuspect ends such a request.
	reasonSuspect = "suspect"
	// otherReportsWait is how long a suspect whose server crashed or refuses the connection
	// waits before it is sent to another: a copy of it may just have crashed that server or
	// another one, and news of that is on its way.
	otherReportsWait = 50 * time.Millisecond
	// reportWait bounds how long the answer to a request waits until other instances know
	// of the crash: its caller may send it again at once, to any of them.
	reportWait = 100 * time.Millisecond
)

// Quarantine knows which requests crash the servers that run them, from what all instances
// saw.
type Quarantine interface {
	// Active reports whether any request is suspected. If not, nothing else needs a call.
	Active() bool
	// Verdict returns what is known against a request, and against the shared parts of its prompt.
	Verdict(f quarantine.Fingerprint, parts []quarantine.Fingerprint) Verdict
	// ReportCrash records that a server crashed while it ran a request. The returned channel is
	// closed once other instances know.
	ReportCrash(CrashReport) <-chan struct{}
	// PermitRun reports whether a request with isolatedFrom crashes may run now, or one with a
	// condemned part: of all those at all instances one may at a time.
	PermitRun(context.Context, quarantine.Fingerprint) bool
	// ReportCompleted records that a server completed a request, or survived parts of a prompt.
	ReportCompleted(...quarantine.Fingerprint)
	// ReportAnswer records that a server answered a request that was sent at the given time,
	// over a connection that was opened at the given time.
	ReportAnswer(server string, opened, sent time.Time)
}

// CrashReport is the crash of a server, with what it speaks against.
type CrashReport struct {
	quarantine.Crash
	Request quarantine.Fingerprint
	Parts   []quarantine.Fingerprint // of the request's prompt
	Trials  []quarantine.Fingerprint // those of them of which the run was a trial
}

// Verdict is what is known against a request.
type Verdict struct {
	Crashes     int      // of servers that ran it
	Servers     []string // that crashed
	Quarantined bool     // it must not run again
	// Trials are the condemned parts of the prompt, if all of them may be tried again: the request may
	// run if PermitRun allows it for each. Empty: there are none.
	Trials []quarantine.Fingerprint
}

// isTrial reports whether the request may only run as a trial of parts of its prompt.
func (v Verdict) isTrial() bool { return len(v.Trials) > 0 }

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
	c.verdict = q.Verdict(c.fingerprint(), c.partFingerprints())
	return c.verdict.Crashes > before.Crashes || c.verdict.isTrial() && !before.isTrial() || c.verdict.Quarantined && !before.Quarantined
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
	f.Affinity, f.CrashedServers = c.affinity(), c.verdict.Servers
	f.Suspect = c.verdict.Crashes >= isolatedFrom || c.verdict.isTrial()
	f.Quarantined = c.verdict.Quarantined
	return f
}

// checkBeforeAttempt asks, before an attempt begins, what became known since the decision.
// It returns the request's outcome if it must not run, and whether the attempt may begin;
// if not, a new decision follows.
func (c *call) checkBeforeAttempt(ctx context.Context) (outcome string, proceed bool) {
	changed := c.updateVerdict()
	if c.verdict.Quarantined {
		c.relay.dispatcher.abandon(c)
		return c.endQuarantined(), false
	}
	if changed {
		c.reportFailure(c.suspicion(decide.Failure{Reason: infra.ReasonCanceled, Effect: infra.EffectNone, Unsent: true}))
		return "", false
	}
	if c.verdict.Crashes >= isolatedFrom && !c.relay.opts.Quarantine.PermitRun(ctx, c.fingerprint()) {
		c.relay.dispatcher.abandon(c)
		return c.endRefused(reasonSuspect, suspectRetryAfter), false
	}
	if c.verdict.isTrial() && !c.currentAnswer().trial && !c.permitTrial(ctx) {
		c.relay.dispatcher.abandon(c)
		return c.endQuarantined(), false
	}
	return "", true
}

// endQuarantined ends the call of a request that must not run again.
func (c *call) endQuarantined() string {
	return c.endRefused(string(decide.ReasonQuarantined), quarantineRetryAfter)
}

// endRefused ends the call of a request that must not run now.
func (c *call) endRefused(reason string, retryAfter time.Duration) string {
	switch {
	case c.stream.started:
		c.abort(reason)
		return outcomeBroken
	case c.mayHaveRun:
		return c.fail(http.StatusBadGateway, reason)
	}
	return c.refuse(reason, retryAfter)
}

// handleBrokenConnection finds out whether the server of an attempt whose connection broke
// has crashed, and reports it. It returns the failure with what is known then.
func (c *call) handleBrokenConnection(ctx context.Context, d decide.Decision, f decide.Failure) decide.Failure {
	c.logBrokenConnection(d)
	q := c.relay.opts.Quarantine
	if q == nil {
		return f
	}
	brokeAt := time.Now()
	verdict := c.serverCrashed(d.Server, brokeAt)
	crash := quarantine.Crash{
		Server: d.Server.ID, At: brokeAt, Opened: c.serverSeenFrom(), Repeat: c.verdict.Crashes > 0, Confirmed: verdict == surelyCrashed,
	}
	c.relay.opts.Log.WithFields(logrus.Fields{
		"request": c.headers.ID, "server": d.Server.ID, "server_start": d.Server.Start, "fingerprint": c.fingerprint().String(),
		"repeat": crash.Repeat, "verdict": crashVerdictNames[verdict],
	}).Warn("server checked after its connection broke")
	if !verdict.crashed() {
		return f
	}
	c.reported = q.ReportCrash(CrashReport{Crash: crash, Request: c.fingerprint(), Parts: c.blamedParts(brokeAt), Trials: c.trialsOf()})
	c.updateVerdict()
	if c.route.Retry == topology.AtMostOnce || c.attempts >= c.route.Attempts {
		return c.suspicion(f) // it isn't sent again
	}
	return c.awaitOtherReports(ctx, f)
}

// serverSeenFrom returns since when the process is known to have run that the newest attempt
// was sent to. Of an attempt that another instance forwarded that is when it was sent.
func (c *call) serverSeenFrom() time.Time {
	if c.forwarded || c.sending.Opened.IsZero() {
		return c.sentAt
	}
	return c.sending.Opened
}

// awaitOtherReports waits before a suspect whose server crashed or refused the connection is
// sent to another. It returns the failure with what is known then.
func (c *call) awaitOtherReports(ctx context.Context, f decide.Failure) decide.Failure {
	if c.verdict.Crashes == 0 {
		return f
	}
	timer := time.NewTimer(otherReportsWait)
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
		q.ReportCompleted(append([]quarantine.Fingerprint{c.fingerprint()}, c.partFingerprints()...)...)
	}
}

// serverCrashed reports whether the server of an attempt whose connection broke has crashed.
// One that is leaving or was removed ends without a crash.
func (c *call) serverCrashed(s decide.Server, brokeAt time.Time) crashVerdict {
	if _, ok := c.relay.inServiceServer(s.ID); !ok {
		return endedInOrder
	}
	if c.forwarded {
		return c.relay.forwarder.judge(s, brokeAt)
	}
	return c.relay.crashes.judge(s, brokeAt)
}

// inServiceServer returns a server if it is listed and not leaving.
func (r *Relay) inServiceServer(id string) (decide.Server, bool) {
	v := r.view.Load()
	if v == nil {
		return decide.Server{}, false
	}
	for i := range v.Servers {
		if s := &v.Servers[i]; s.ID == id {
			return s.TableEntry(), !s.Leaving
		}
	}
	return decide.Server{}, false
}

// AbortQuarantined ends the calls in hand whose requests have become quarantined. Those that
// wait at a server for their run are thereby dropped there, before it crashes.
func (r *Relay) AbortQuarantined(quarantined func(quarantine.Fingerprint) bool) {
	for _, c := range r.dispatcher.unfinished() {
		if c.endsWith(quarantined) {
			c.cancel(&QuarantinedError{})
		}
	}
}
