package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/hop"
	"greengageferry/internal/respbody"
	"greengageferry/internal/stall"
	"greengageferry/netconn"
	"greengageferry/topology"
)

const (
	// silenceTimeoutFraction is the fraction of the time until the deadline after which
	// a retryable request is retried if its server has sent nothing, so that time is left
	// for another server.
	silenceTimeoutFraction = 0.35
	// minSilenceTimeout is the lower bound of that timeout: a server that is only busy
	// responds within it.
	minSilenceTimeout = 1200 * time.Millisecond
	// A resumable stream is resumed at another server after a pause of
	// minStreamGapTimeout or streamGapFactor times the route's longest gap, whichever is
	// longer. This exceeds any batch's step and is less than callers wait.
	minStreamGapTimeout = 2 * time.Second
	streamGapFactor     = 4
)

// attempt sends the request to the server of the decision and relays the response. It
// returns the request's outcome, or "" if a new decision of the scheduler follows.
func (c *call) attempt(ctx context.Context, d decide.Decision) string {
	c.attempts++
	sent := time.Now()
	c.sentAt = sent
	if !c.sent {
		c.sent = true
		c.relay.opts.Metrics.ObserveQueueTime(sent.Sub(c.arrived))
	}
	watch := stall.Watch(ctx, max(minSilenceTimeout, time.Duration(silenceTimeoutFraction*float64(c.deadline.Sub(sent)))), c.canRetryElsewhere(d))
	defer watch.Stop()
	ctx = watch.Context()
	c.answer = nil
	c.setAnswer(func(a *answerState) { *a = answerState{trial: a.trial} })
	c.expected = c.expectWeights(d)
	res, err := c.send(ctx, d.Server)
	if err != nil {
		return c.handleAttemptError(ctx, d, err)
	}
	defer res.Body.Close()
	c.answer = respbody.Watch(res)
	defer c.countBody()
	headers := c.relay.headersOf(res, c.headers.ID)
	if headers.RequestID != c.headers.ID {
		return c.handleOtherAnswer(d, res, headers)
	}
	if !c.forwarded {
		c.relay.backends.handleResponse(d.Server.ID, res.Header)
	}
	c.observeHeaders(d, res, sent, headers)
	if outcome, done := c.handleUnusable(d, res, headers); done {
		return outcome
	}
	if c.hasOtherWeights(res, headers) {
		return c.handleOtherWeights(d, res)
	}
	if c.stream.started && (res.StatusCode != c.stream.status || mediaTypeOf(res) != c.stream.mediaType) {
		return c.handleNotResumed(d, res, headers)
	}
	stream := c.route.Stream && res.StatusCode/100 == 2
	if stream {
		c.answer.ExpectEvents()
	}
	c.endCheck = c.beginEndCheck(d.Server)
	defer c.endCheck.close()
	if stream {
		return c.relayStream(ctx, d, res, sent, watch)
	}
	return c.relayResponse(ctx, d, res, sent)
}

// observeHeaders passes on what the headers of a response say of the attempt and of the server.
func (c *call) observeHeaders(d decide.Decision, res *http.Response, sent time.Time, headers ResponseHeaders) {
	c.lastResponse, c.lastResponseServer = headers, d.Server.ID
	c.relay.dispatcher.handleResponse(c, d.Server.ID, sent, res.StatusCode, headers)
	c.observeRefusalLimit(d, res, headers)
	// A 421 may come from another server that now has the address, so it says something of
	// the intended server only if it names that.
	if res.StatusCode != http.StatusMisdirectedRequest || headers.ServerID == d.Server.ID {
		c.handleServerAnswer(d, sent, headers)
	}
}

// handleServerAnswer passes on what an answer says of the server that gave it.
func (c *call) handleServerAnswer(d decide.Decision, sent time.Time, headers ResponseHeaders) {
	if headers.Leaving && c.relay.opts.OnLeaving != nil {
		c.relay.opts.OnLeaving(topology.ServerStart{ID: d.Server.ID, Start: d.Server.Start})
	}
	if q := c.relay.opts.Quarantine; q != nil && q.Active() && !c.forwarded {
		q.ReportAnswer(d.Server.ID, c.sending.Opened, sent)
	}
}

// canRetryElsewhere reports whether the request may be retried at another server if
// this one falls silent. If not, the attempt is not ended for silence: the server may
// only be busy, and no other server can respond.
func (c *call) canRetryElsewhere(d decide.Decision) bool {
	return c.route.Retry != topology.AtMostOnce && c.attempts < c.route.Attempts && d.Reason != decide.ReasonOnlyReplica
}

// forwardedRequest returns the request to send to the server.
func (c *call) forwardedRequest(ctx context.Context, s decide.Server) *http.Request {
	h := c.req.Header.Clone()
	hop.RemoveHeaders(h)
	delete(h, "Expect") // meant for this instance, which has read the body
	c.timeLeft = time.Until(c.deadline)
	a := AttemptHeaders{
		Server:    s.ID,
		Remaining: c.timeLeft,
		Urgency:   min(topUrgency+c.rank(), lowestUrgency),
		Account:   c.accountName(),
		Weights:   c.expected,
	}
	if c.stream.started {
		a.LastEventID = c.stream.lastID
	}
	c.relay.opts.Headers.SetAttempt(h, a)
	if len(h["User-Agent"]) == 0 {
		h["User-Agent"] = []string{""} // the caller sent none: keeps net/http from adding its own
	}
	target, _ := targetURL(s.Addr, c.req.RequestURI) // serve has checked that it can be sent
	req := &http.Request{
		Method: c.req.Method,
		URL:    target,
		Host:   c.req.Host,
		Header: h,
	}
	if len(c.body) > 0 {
		req.ContentLength = int64(len(c.body))
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.body)), nil }
	}
	return req.WithContext(ctx)
}

// handleAttemptError handles an attempt that failed before the response was complete.
// It returns the request's outcome, or "" if a decision follows.
func (c *call) handleAttemptError(ctx context.Context, d decide.Decision, err error) string {
	f := decide.Failure{Reason: infra.ReasonUnreachable}
	var e *infra.Error
	if errors.As(err, &e) {
		f.Reason, f.Effect = e.Reason, e.Effect
	}
	f.Unsent = f.Effect == infra.EffectNone
	if c.callerLeft() || context.Cause(ctx) == context.DeadlineExceeded || isQuarantined(ctx) || endedByShutdown(ctx) {
		return c.abandonAttempt(ctx, d, f)
	}
	var silent *stall.Error
	if errors.As(context.Cause(ctx), &silent) {
		f.Reason, err = infra.ReasonTimeout, silent
	}
	var event *respbody.EventTooLargeError
	var malformed *netconn.MalformedResponseError
	if errors.As(err, &event) || errors.As(err, &malformed) || isDisordered(err) {
		f.Reason = infra.ReasonProtocol
	}
	if isDisorderedAt(err, atResumption) { // the caller may have asked for an event that there isn't
		f.Reason = infra.ReasonFailed
	}
	if endedAlone(err) { // nothing speaks against the server
		f.Reason = infra.ReasonCanceled
	}
	c.logFailedAttempt(d, err.Error(), 0)
	if !c.forwarded && !f.Unsent && (f.Reason == infra.ReasonTimeout || isTimeout(err)) {
		c.relay.paths.probeSoon(map[string]string{d.Server.ID: d.Server.Addr})
	}
	switch {
	case connectionBroke(f):
		f = c.handleBrokenConnection(ctx, d, f)
	case f.Unsent:
		c.attempts--
		f = c.awaitOtherReports(ctx, f)
	}
	c.reportFailure(f)
	return ""
}

// connectionBroke reports whether the connection to the server broke while the server may
// have been running the request.
func connectionBroke(f decide.Failure) bool {
	return f.Reason == infra.ReasonUnreachable && f.Effect == infra.EffectUnknown
}

// logBrokenConnection logs which request was in flight when the connection to its server
// broke. A request that crashes its servers has one such line for each, all with the same
// fingerprint.
func (c *call) logBrokenConnection(d decide.Decision) {
	c.relay.opts.Log.WithFields(logrus.Fields{
		"request":      c.headers.ID,
		"server":       d.Server.ID,
		"server_start": d.Server.Start,
		"conn_age_ms":  c.sending.Age().Milliseconds(),
		"fingerprint":  c.fingerprint().String(),
		"parts":        c.partNames(),
		"begun_ms":     sinceMs(c.currentAnswer().beganAt),
	}).Warn("connection broke while the server ran the request")
}

// partNames names the shared parts of the call's prompt for the log.
func (c *call) partNames() string {
	names := make([]string, 0, len(c.headers.SharedParts))
	for _, f := range c.partFingerprints() {
		names = append(names, f.String())
	}
	return strings.Join(names, ",")
}

// sinceMs returns the time since at in milliseconds, -1 if at is zero.
func sinceMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// abandonAttempt ends a call whose caller disconnected, whose deadline passed or whose
// request became quarantined before the attempt's response was complete.
func (c *call) abandonAttempt(ctx context.Context, d decide.Decision, f decide.Failure) string {
	c.mayHaveRun = c.mayHaveRun || !f.Unsent
	c.relay.dispatcher.abandon(c)
	reason := "deadline passed before the response was complete"
	switch {
	case c.callerLeft():
		reason = "caller disconnected before the response was complete"
	case isQuarantined(ctx):
		reason = "request became quarantined before the response was complete"
	case endedByShutdown(ctx):
		reason = "the instance ended before the response was complete"
	}
	c.logFailedAttempt(d, reason, 0)
	return c.endOnContextDone(ctx)
}

// handleNotRun handles a server's refusal to run the request.
func (c *call) handleNotRun(status int, retryAfter time.Duration) string {
	f := decide.Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone, RetryAfter: retryAfter}
	switch status {
	case http.StatusMisdirectedRequest:
		f.Reason, f.OtherVersion = infra.ReasonNotResident, c.expected != 0
	case http.StatusBadRequest:
		f.Reason = infra.ReasonBadRequest
	}
	c.reportFailure(f)
	return ""
}

// countBody counts the body of the newest attempt's response by its framing and its end.
func (c *call) countBody() {
	c.relay.opts.Metrics.CountBody(c.answer.Framing(), c.answer.End())
}

// addBodyFields adds to a log line how the newest attempt's response was framed and ended.
func (c *call) addBodyFields(f logrus.Fields) {
	if c.answer != nil {
		f["framing"], f["body_end"] = c.answer.Framing(), c.answer.End()
	}
}

// logFailedAttempt writes the log line for a failed attempt. A status of 0 means that
// there was no response.
func (c *call) logFailedAttempt(d decide.Decision, reason string, status int) {
	f := logrus.Fields{
		"request": c.headers.ID,
		"attempt": c.attempts,
		"server":  d.Server.ID,
		"addr":    d.Server.Addr,
		"domain":  d.Server.FailureDomain,
		"status":  status,
		"error":   reason,
		"ms":      time.Since(c.arrived).Milliseconds(),
		"left_ms": c.timeLeft.Milliseconds(),
	}
	if n := c.sending.Connections; n > 0 {
		f["sendings"], f["kept_conn"], f["conn_age_ms"] = n, c.sending.Reused, c.sending.Age().Milliseconds()
	}
	if c.forwarded {
		f["forwarded"] = true
	}
	c.addBodyFields(f)
	// Without a status, lastResponse may belong to an earlier attempt.
	if status != 0 && c.lastResponse.RefusalLimit > 0 {
		f["survives_per_s"], f["own_in_flight"] = c.lastResponse.RefusalLimit, c.relay.dispatcher.inFlightAt(d.Server.ID)
	}
	if status != 0 && c.lastResponse.RetryAfter > 0 {
		f["retry_after_ms"] = c.lastResponse.RetryAfter.Milliseconds()
	}
	if status != 0 && c.lastResponse.Leaving {
		f["server_leaving"] = true
	}
	c.relay.opts.Log.WithFields(f).Warn("attempt failed")
}
