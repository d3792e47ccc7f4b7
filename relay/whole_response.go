package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/hop"
)

// maxBufferedBytes is the largest response body that is read completely before its first byte is
// sent, so that a truncated response can be retried or answered with an error. Larger ones are sent
// as they arrive.
const maxBufferedBytes = 64 << 10

// relayResponse relays a response that is not a stream. Responses of up to
// maxBufferedBytes are read completely first.
func (c *call) relayResponse(ctx context.Context, d decide.Decision, res *http.Response, sent time.Time) string {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBytes+1))
	if err != nil {
		return c.handleAttemptError(ctx, d, err)
	}
	if len(body) > maxBufferedBytes {
		return c.relayUnbuffered(ctx, d, res, body, sent)
	}
	if err := c.bodyEnd(d, res); err != nil {
		return c.handleAttemptError(ctx, d, err)
	}
	c.reportCompletion()
	c.hold(int64(len(body)))
	buffered := &bufferedResponse{status: res.StatusCode, header: res.Header, body: body}
	if res.StatusCode >= 500 {
		return c.handleServerFailure(d, buffered)
	}
	c.complete(c.outcome(sent, res.StatusCode))
	c.writeBuffered(buffered)
	c.logEnd(reasonAnswered, res.StatusCode)
	return outcomeDone
}

// handleServerFailure handles a server's error response: the server ran the request. If
// the request is not retried, or all retries fail, this response is relayed.
func (c *call) handleServerFailure(d decide.Decision, buffered *bufferedResponse) string {
	c.logFailedAttempt(d, "server_failure", buffered.status)
	c.lastFailure = buffered
	c.reportFailure(decide.Failure{Reason: infra.ReasonFailed, RetryAfter: c.lastResponse.RetryAfter})
	return ""
}

// outcome returns the scheduler's outcome of a response that is not a stream.
func (c *call) outcome(sent time.Time, status int) decide.Outcome {
	return decide.Outcome{Complete: status/100 == 2, FirstToken: time.Since(sent), Total: time.Since(sent), Tokens: 1}
}

// relayUnbuffered relays a response that exceeds maxBufferedBytes. The caller receives
// head, the part already read, and then the rest as it arrives.
func (c *call) relayUnbuffered(ctx context.Context, d decide.Decision, res *http.Response, head []byte, sent time.Time) string {
	c.writeHead(res.StatusCode, res.Header)
	_, err := c.w.Write(head)
	if err == nil {
		_, err = io.Copy(c.w, res.Body)
	}
	if err == nil {
		err = c.bodyEnd(d, res)
	}
	if err != nil {
		c.relay.dispatcher.abandon(c)
		c.mayHaveRun = true
		c.logFailedAttempt(d, err.Error(), res.StatusCode)
		c.reportBrokenResponse(ctx, d)
		c.abort("broken_off")
	}
	c.reportCompletion()
	c.complete(c.outcome(sent, res.StatusCode))
	c.logEnd(reasonAnswered, res.StatusCode)
	return outcomeDone
}

// reportBrokenResponse finds out and reports, before the caller's connection is closed, whether
// the server crashed whose response broke off.
func (c *call) reportBrokenResponse(ctx context.Context, d decide.Decision) {
	if ctx.Err() != nil {
		return // the caller or the deadline ended the response
	}
	c.handleBrokenConnection(ctx, d, decide.Failure{})
	c.waitReported()
}

// writeBuffered sends a server's complete response.
func (c *call) writeBuffered(buffered *bufferedResponse) {
	c.firstByte = time.Now()
	c.relay.opts.Metrics.ObserveFirstByte(time.Since(c.arrived))
	if len(buffered.body) > 0 { // its length is known, however the server framed it
		buffered.header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	c.writeHead(buffered.status, buffered.header)
	_, _ = c.w.Write(buffered.body) // fails only if the caller disconnected
}

// writeHead sends a server's status and headers, without the hop-by-hop headers.
func (c *call) writeHead(status int, from http.Header) {
	h := c.w.Header()
	closing := h.Get("Connection")
	for name, values := range from {
		h[name] = values
	}
	hop.RemoveHeaders(h)
	delete(h, "Expect")
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	c.w.WriteHeader(status)
}
