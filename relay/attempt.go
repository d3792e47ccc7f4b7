package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/hop"
	"greengageferry/internal/stall"
	"greengageferry/topology"
)

const (
	// keptBytes is the largest answer that is held whole before its first byte
	// goes out, so that one that breaks off can be tried again or told as a
	// failure. Larger ones are sent on as they arrive.
	keptBytes = 64 << 10
	// silentPart is the part of a repeatable request's time after which a server
	// that has said nothing is given up on, while there is time for another.
	silentPart = 0.35
	// silentLeast bounds that from below: a server that is only busy answers.
	silentLeast = 1200 * time.Millisecond
	// streamSilence and gapsSilent bound how long a resumable stream may pause
	// before it goes on at another server: longer than any batch's step, shorter
	// than callers wait.
	streamSilence = 2 * time.Second
	gapsSilent    = 4
)

// attempt sends the request to the decided server and passes its answer on. It
// returns the class of the call's end, or empty where the scheduler decides again.
func (c *call) attempt(ctx context.Context, d decide.Decision) string {
	c.attempts++
	sent := time.Now()
	if !c.sent {
		c.sent = true
		c.relay.opts.Metrics.Waited(sent.Sub(c.arrived))
	}
	watch := stall.Watch(ctx, max(silentLeast, time.Duration(silentPart*float64(c.deadline.Sub(sent)))), c.mayMove(d))
	defer watch.Stop()
	ctx = watch.Context()
	transport := c.relay.backends.get(d.Server.ID, d.Server.Addr)
	res, err := infra.Send("relay", d.Server.Addr, transport.RoundTrip, c.forward(ctx, d.Server))
	if err != nil {
		return c.noAnswer(ctx, d, err)
	}
	defer res.Body.Close()
	c.relay.backends.answered(d.Server.ID, res.Header)
	said := c.relay.opts.Headers.Answer(res.StatusCode, res.Header)
	c.lastAnswer, c.lastAnswerBy = said, d.Server.ID
	c.relay.desk.answered(c, d.Server.ID, sent, res.StatusCode, said)
	// A 421 may come from another server that now has the address, so it counts only if it
	// names the intended one.
	if said.Leaving && c.relay.opts.OnLeaving != nil && (res.StatusCode != http.StatusMisdirectedRequest || said.ServerID == d.Server.ID) {
		c.relay.opts.OnLeaving(topology.ServerStart{ID: d.Server.ID, Start: d.Server.Start})
	}
	if said.NotRun {
		c.logAttempt(d, "not_run", res.StatusCode)
		return c.notRun(res.StatusCode, said.RetryAfter)
	}
	if !c.genuine(res, said) {
		c.logAttempt(d, "not_the_servers_answer", res.StatusCode)
		c.attemptFailed(decide.Failure{Reason: infra.ReasonProtocol})
		return ""
	}
	if c.route.Stream && res.StatusCode/100 == 2 {
		return c.passStream(ctx, d, res, sent, watch)
	}
	return c.passWhole(ctx, d, res, sent)
}

// mayMove says whether the request may go on at another server if this one falls
// silent. Where it may not, silence is no reason to end the attempt: the server
// may only be busy, and its answer is the only one that there can be.
func (c *call) mayMove(d decide.Decision) bool {
	return c.route.Repeat != topology.RunOnce && c.attempts < c.route.Attempts && d.Reason != decide.ReasonOnlyReplica
}

// forward returns the request as the server gets it.
func (c *call) forward(ctx context.Context, s decide.Server) *http.Request {
	h := c.req.Header.Clone()
	hop.Drop(h)
	delete(h, "Expect") // this connection's: the body has been read
	a := Attempt{
		Server:  s.ID,
		Left:    time.Until(c.deadline),
		Urgency: min(firstUrgency+c.route.Rank, lowestUrgency),
	}
	if c.stream.begun {
		a.LastEvent = c.stream.last
	}
	c.relay.opts.Headers.Forward(h, a)
	if len(h["User-Agent"]) == 0 {
		h["User-Agent"] = []string{""} // the caller sent none: neither does net/http
	}
	req := &http.Request{
		Method: c.req.Method,
		URL:    &url.URL{Scheme: "http", Host: s.Addr, Opaque: c.req.RequestURI},
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

// genuine says whether an answer is the server's own, to this request. An
// answer that came late to an earlier request bears another id.
func (c *call) genuine(res *http.Response, said Answer) bool {
	if said.Encoded || !said.Sealed {
		return false
	}
	return said.RequestID == c.said.ID
}

// noAnswer deals with an attempt that got no answer.
func (c *call) noAnswer(ctx context.Context, d decide.Decision, err error) string {
	f := decide.Failure{Reason: infra.ReasonUnreachable}
	var e *infra.Error
	if errors.As(err, &e) {
		f.Reason, f.Effect = e.Reason, e.Effect
	}
	f.Unsent = f.Effect == infra.EffectNone
	if c.req.Context().Err() != nil || context.Cause(ctx) == context.DeadlineExceeded {
		return c.endedBeforeAnswer(ctx, d, f)
	}
	var silent *stall.Error
	if errors.As(context.Cause(ctx), &silent) {
		f.Reason, err = infra.ReasonTimeout, silent
	}
	c.logAttempt(d, err.Error(), 0)
	if f.Unsent {
		c.attempts--
	}
	c.attemptFailed(f)
	return ""
}

// endedBeforeAnswer ends a call whose caller left, or whose time was up, while
// its attempt had no answer.
func (c *call) endedBeforeAnswer(ctx context.Context, d decide.Decision, f decide.Failure) string {
	c.ran = c.ran || !f.Unsent
	c.relay.desk.left(c)
	why := "deadline before its answer"
	if c.req.Context().Err() != nil {
		why = "caller left before its answer"
	}
	c.logAttempt(d, why, 0)
	return c.timeUp(ctx)
}

// notRun deals with a server that refused the request before starting.
func (c *call) notRun(status int, retryAfter time.Duration) string {
	f := decide.Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone, RetryAfter: retryAfter}
	switch status {
	case http.StatusMisdirectedRequest:
		f.Reason = infra.ReasonNotResident
	case http.StatusBadRequest:
		f.Reason = infra.ReasonBadRequest
	}
	c.attemptFailed(f)
	return ""
}

// passWhole passes an answer on that is held until it is whole, or is too large
// for that.
func (c *call) passWhole(ctx context.Context, d decide.Decision, res *http.Response, sent time.Time) string {
	body, err := io.ReadAll(io.LimitReader(res.Body, keptBytes+1))
	if err != nil {
		return c.noAnswer(ctx, d, err)
	}
	if len(body) > keptBytes {
		return c.passLarge(ctx, d, res, body, sent)
	}
	k := &kept{status: res.StatusCode, header: res.Header, body: body}
	if res.StatusCode >= 500 {
		return c.serverFailed(d, k)
	}
	c.relay.desk.ended(c, c.completed(sent, res.StatusCode))
	c.writeKept(k)
	c.log(reasonAnswered, res.StatusCode)
	return outcomeDone
}

// serverFailed deals with a server's own failure: it ran the request. What may
// run again is tried elsewhere, and what may not is told as the server told it.
func (c *call) serverFailed(d decide.Decision, k *kept) string {
	c.logAttempt(d, "server_failure", k.status)
	if k.status != http.StatusServiceUnavailable { // that would promise that it didn't run
		c.failed = k
	}
	c.attemptFailed(decide.Failure{Reason: infra.ReasonFailed, RetryAfter: c.lastAnswer.RetryAfter})
	return ""
}

func (c *call) completed(sent time.Time, status int) decide.Outcome {
	return decide.Outcome{Complete: status/100 == 2, FirstToken: time.Since(sent), Total: time.Since(sent), Tokens: 1}
}

// passLarge passes on an answer that is too large to be held.
func (c *call) passLarge(ctx context.Context, d decide.Decision, res *http.Response, head []byte, sent time.Time) string {
	c.writeHead(res.StatusCode, res.Header)
	_, err := c.w.Write(head)
	if err == nil {
		_, err = io.Copy(c.w, res.Body)
	}
	if err != nil {
		c.relay.desk.left(c)
		c.ran = true
		c.logAttempt(d, err.Error(), res.StatusCode)
		c.abort("broken_off")
	}
	c.relay.desk.ended(c, c.completed(sent, res.StatusCode))
	c.log(reasonAnswered, res.StatusCode)
	return outcomeDone
}

// writeKept writes a server's whole answer.
func (c *call) writeKept(k *kept) {
	c.firstByte = time.Now()
	c.relay.opts.Metrics.FirstByte(time.Since(c.arrived))
	c.writeHead(k.status, k.header)
	_, _ = c.w.Write(k.body) // the caller has gone if it fails
}

// writeHead writes a server's status and headers, without those that concern
// one connection.
func (c *call) writeHead(status int, from http.Header) {
	h := c.w.Header()
	closing := h.Get("Connection")
	for name, values := range from {
		h[name] = values
	}
	hop.Drop(h)
	delete(h, "Expect")
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	c.w.WriteHeader(status)
}

// logAttempt writes the line for an attempt that went wrong.
func (c *call) logAttempt(d decide.Decision, reason string, status int) {
	f := logrus.Fields{
		"request": c.said.ID,
		"attempt": c.attempts,
		"server":  d.Server.ID,
		"addr":    d.Server.Addr,
		"domain":  d.Server.FailureDomain,
		"status":  status,
		"error":   reason,
		"ms":      time.Since(c.arrived).Milliseconds(),
	}
	// Without a status, lastAnswer may belong to an earlier attempt.
	if status != 0 && c.lastAnswer.RetryAfter > 0 {
		f["retry_after_ms"] = c.lastAnswer.RetryAfter.Milliseconds()
	}
	if status != 0 && c.lastAnswer.Leaving {
		f["server_leaving"] = true
	}
	c.relay.opts.Log.WithFields(f).Warn("attempt failed")
}
