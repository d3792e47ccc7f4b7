package relay

import (
	"net/http"
	"strings"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
)

// headersOf decodes the headers of what arrived as the response to a request. Bytes that don't name
// the request belong to another one or to none: nothing that they say counts.
func (r *Relay) headersOf(res *http.Response, requestID string) ResponseHeaders {
	headers := r.opts.Headers.ResponseHeaders(res.StatusCode, res.Header)
	if headers.RequestID != requestID {
		return ResponseHeaders{RequestID: headers.RequestID}
	}
	return headers
}

// handleUnusable handles a response that must not be relayed to the caller: one that says that the
// request did not run, one without the server's seal, and one whose status promises that the request did not
// run though the server may have run it. done is false for all others. outcome is as of attempt.
func (c *call) handleUnusable(d decide.Decision, res *http.Response, headers ResponseHeaders) (outcome string, done bool) {
	if headers.NotRun {
		c.logFailedAttempt(d, "not_run", res.StatusCode)
		if res.StatusCode == http.StatusMisdirectedRequest && c.expected != 0 {
			c.noteRefusedWeights(d, c.expected)
		}
		return c.handleNotRun(res.StatusCode, headers.RetryAfter), true
	}
	if !isAuthentic(headers) {
		c.logFailedAttempt(d, "not_the_servers_answer", res.StatusCode)
		c.reportFailure(decide.Failure{Reason: infra.ReasonProtocol})
		return "", true
	}
	if promisesNotRun(res.StatusCode) { // the caller mustn't get it, since the server may have run the request
		c.reportCompletion()
		c.logFailedAttempt(d, "server_failure", res.StatusCode)
		c.reportFailure(decide.Failure{Reason: infra.ReasonFailed, RetryAfter: headers.RetryAfter})
		return "", true
	}
	return "", false
}

// observeRefusalLimit records what an answer says of the refusals that its server survives. One that
// may be another server's says nothing.
func (c *call) observeRefusalLimit(d decide.Decision, res *http.Response, headers ResponseHeaders) {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if headers.RefusalLimit == 0 && !headers.NotRun && !isAuthentic(headers) {
		return
	}
	if c.relay.gateways.observe(d.Server.Pool, headers.RefusalLimit, time.Now(), "answer") {
		c.relay.dispatcher.signalSync() // the lease holder tells the other instances
	}
}

// handleOtherAnswer handles bytes that arrived in place of the answer and don't name the request: a
// late answer to an earlier request, or bytes that belong to none. They say nothing of this request,
// which may be running, and the server's own answer may follow them on the connection. The result is
// as of attempt.
func (c *call) handleOtherAnswer(d decide.Decision, res *http.Response, headers ResponseHeaders) string {
	if !c.forwarded { // the instance that forwards closes its own
		c.sending.CloseConnection()
	}
	reason := "answer_to_another_request"
	if headers.RequestID == "" {
		reason = "answer_to_no_request"
	}
	c.logFailedAttempt(d, reason, res.StatusCode)
	c.reportFailure(decide.Failure{Reason: infra.ReasonProtocol})
	return ""
}

// mediaTypeOf returns the media type of a response's body, "" if none is given.
func mediaTypeOf(res *http.Response) string {
	mediaType, _, _ := strings.Cut(res.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// handleNotResumed handles a server's own answer that isn't the continuation of the stream that the
// caller has got a part of: it has another status or media type, or no event though the stream broke
// off inside one. The result is as of attempt.
func (c *call) handleNotResumed(d decide.Decision, res *http.Response, headers ResponseHeaders) string {
	c.reportCompletion()
	c.logFailedAttempt(d, "stream_not_resumed", res.StatusCode)
	c.reportFailure(decide.Failure{Reason: infra.ReasonFailed, RetryAfter: headers.RetryAfter})
	return ""
}

// promisesNotRun reports whether a response with the status promises callers that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// isAuthentic reports whether the server itself sent the response as it is.
func isAuthentic(headers ResponseHeaders) bool { return headers.Sealed && !headers.Encoded }
