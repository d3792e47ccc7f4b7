package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/netconn"
)

// The outcomes that requests are counted by.
const (
	outcomeDone       = "done"        // the server's whole response was sent
	outcomeRefused    = "refused"     // not run
	outcomeUnknown    = "unknown"     // may have run; an error was sent
	outcomeBroken     = "broken"      // the response was aborted after its start
	outcomeCallerLeft = "caller_left" // the caller disconnected
	outcomeRejected   = "rejected"    // the request is invalid or has no route
)

// endOnContextDone ends a call whose deadline has passed or whose caller disconnected.
func (c *call) endOnContextDone(ctx context.Context) string {
	if c.callerLeft() {
		return c.endCallerLeft()
	}
	if isQuarantined(ctx) {
		return c.endQuarantined()
	}
	if endedByShutdown(ctx) {
		return c.endRefused(string(decide.ReasonShuttingDown), decide.ShutdownRetryAfter)
	}
	if c.stream.started {
		c.abort("deadline")
	}
	if !c.mayHaveRun {
		return c.refuse("deadline", time.Second)
	}
	return c.fail(http.StatusGatewayTimeout, "deadline")
}

// callerLeft reports whether the caller has closed its connection. If so, its request must not be
// sent to a server.
func (c *call) callerLeft() bool { return netconn.CallerGone(c.req.Context()) }

// endCallerLeft ends a call whose caller disconnected.
func (c *call) endCallerLeft() string {
	c.logEnd(reasonCallerLeft, 0)
	return outcomeCallerLeft
}

// endOnRefusal ends a call that the scheduler refused, possibly after failed attempts.
func (c *call) endOnRefusal(d decide.Decision) string {
	c.waitReported()
	switch {
	case d.Reason == decide.ReasonQuarantined:
		return c.endQuarantined()
	case c.stream.started:
		c.abort(string(d.Reason))
		return outcomeBroken
	case c.lastFailure != nil:
		c.writeBuffered(c.lastFailure)
		c.logEnd("server_failure", c.lastFailure.status)
		return outcomeDone
	case c.mayHaveRun:
		return c.fail(http.StatusBadGateway, string(d.Reason))
	case d.Reason == decide.ReasonUnknownTarget:
		return c.refuse(string(d.Reason), time.Second)
	}
	return c.refuse(string(d.Reason), d.RetryAfter)
}

// refuse responds that the request did not run and will not run.
func (c *call) refuse(reason string, after time.Duration) string {
	c.relay.opts.Headers.SetRetryAfter(c.w.Header(), after)
	c.writeStatus(http.StatusServiceUnavailable, reason)
	return outcomeRefused
}

// fail responds that it is unknown whether the request ran.
func (c *call) fail(status int, reason string) string {
	c.writeStatus(status, reason)
	return outcomeUnknown
}

// reject responds that the request is invalid or has no route.
func (c *call) reject(status int, reason string) string {
	if status != http.StatusNotFound && status != http.StatusUnauthorized {
		c.w.Header().Set("Connection", "close") // the following bytes may not be a request
	}
	c.writeStatus(status, reason)
	return outcomeRejected
}

// writeStatus writes a response with the status, and the reason as its body.
func (c *call) writeStatus(status int, reason string) {
	h := c.w.Header()
	c.relay.opts.Headers.SetRequestID(h, c.headers.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text) // fails only if the caller disconnected
	c.logEnd(reason, status)
}

// abort closes the connection, so that the caller cannot take the response for complete.
func (c *call) abort(reason string) {
	c.logEnd(reason, 0)
	c.relay.opts.Metrics.ObserveRequest(outcomeBroken, time.Since(c.arrived))
	panic(http.ErrAbortHandler)
}

// The end reasons that are not failures.
const (
	reasonAnswered   = "answered" // the server's whole response was sent
	reasonCallerLeft = "caller_left"
)

// reasonCallerSlow is the end reason of a response that its caller did not read in time.
const reasonCallerSlow = "caller_reads_slowly"

// writeFailure returns the end reason of a response that could not be written to its caller.
func writeFailure(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return reasonCallerSlow
	}
	return reasonCallerLeft
}

// isNormalEnd reports whether the end reason is not a failure. The log lines of such
// requests have the info level, so that they are dropped first if logs are reduced.
func isNormalEnd(reason string) bool { return reason == reasonAnswered || reason == reasonCallerLeft }

// logEnd writes the log line for the request's end, one for each request.
func (c *call) logEnd(reason string, status int) {
	f := logrus.Fields{
		"request":  c.headers.ID,
		"reason":   reason,
		"status":   status,
		"attempts": c.attempts,
		"sendings": c.sendings,
		"may_run":  c.mayHaveRun,
		"ms":       time.Since(c.arrived).Milliseconds(),
		"config":   c.configVersion,
	}
	if c.route != nil {
		f["route"] = c.route.Name
		f["target"] = c.target
	}
	if c.forwarded {
		f["forwarded"] = true
	}
	c.addBodyFields(f)
	if c.account != nil {
		f["account"] = c.account.Name
	}
	if c.lastResponse.Leaving {
		f["server"], f["server_leaving"] = c.lastResponseServer, true
	}
	if c.headers.Resumes != "" {
		f["resumes"] = c.headers.Resumes
	}
	if c.stream.started {
		c.relay.numbering.observe(c.service.Name, c.stream.order)
		c.addStreamFields(f)
		c.relay.opts.Metrics.ObserveStreamGap(c.stream.maxGap)
	}
	if !c.firstByte.IsZero() {
		f["first_byte_ms"] = c.firstByte.Sub(c.arrived).Milliseconds()
	}
	level := logrus.WarnLevel
	if isNormalEnd(reason) {
		level = logrus.InfoLevel
	}
	c.relay.opts.Log.WithFields(f).Log(level, "request ended")
}

// addStreamFields adds what the caller received of a stream to the log fields.
func (c *call) addStreamFields(f logrus.Fields) {
	f["version"] = c.stream.version
	f["events"] = c.stream.events
	f["last_event"] = c.stream.lastID
	f["weights"] = c.stream.weights
	f["max_gap_ms"] = c.stream.maxGap.Milliseconds()
}
