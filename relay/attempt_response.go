package relay

import (
	"net/http"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
)

// handleUnusable handles a response that must not be relayed to the caller: one that says that the
// request did not run, one of another sender, and one whose status promises that the request did not
// run though the server may have run it. done is false for all others. outcome is as of attempt.
func (c *call) handleUnusable(d decide.Decision, res *http.Response, headers ResponseHeaders) (outcome string, done bool) {
	if headers.NotRun {
		c.logFailedAttempt(d, "not_run", res.StatusCode)
		return c.handleNotRun(res.StatusCode, headers.RetryAfter), true
	}
	if !c.isAuthentic(res, headers) {
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
	if headers.RefusalLimit == 0 && !headers.NotRun && !c.isAuthentic(res, headers) {
		return
	}
	if c.relay.gateways.observe(d.Server.Pool, headers.RefusalLimit, time.Now(), "answer") {
		c.relay.dispatcher.signalSync() // the lease holder tells the other instances
	}
}

// isForOtherRequest reports whether a response names another request. It may be a late response to
// an earlier one, whose "not run" doesn't hold for this one.
func (c *call) isForOtherRequest(headers ResponseHeaders) bool {
	return headers.RequestID != "" && headers.RequestID != c.headers.ID
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

// isAuthentic reports whether the server itself sent the response, and to this request.
// A late response to an earlier request has another id.
func (c *call) isAuthentic(res *http.Response, headers ResponseHeaders) bool {
	if headers.Encoded || !headers.Sealed {
		return false
	}
	return headers.RequestID == c.headers.ID
}
