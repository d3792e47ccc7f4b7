package caller

import (
	"errors"
	"net/http"
	"time"

	"greengageferry/caller/api"
	"greengageferry/decide"
)

// The problem codes of this package. The reasons of scheduler decisions and the
// codes of package api are also used as problem codes.
const (
	CodeNoKey               = "no_key"
	CodeWrongKey            = "wrong_key"
	CodeOtherPartner        = "other_partners"
	CodeUnknownModel        = "unknown_model"
	CodeUnknownService      = "unknown_service"
	CodeNoSuchPath          = "no_such_path"
	CodeMethodNotAllowed    = "method_not_allowed"
	CodeBodyTooLarge        = "body_too_large"
	CodeBodyTooSlow         = "body_too_slow"
	CodeBodyBroken          = "body_broken"
	CodeBadTimeout          = "bad_timeout"
	CodeBadPriority         = "bad_priority"
	CodeBadNonIdempotent    = "bad_non_idempotent"
	CodeBadIdempotencyKey   = "bad_idempotency_key"
	CodeBadPath             = "bad_path"
	CodeNotReady            = "not_ready"
	CodeTooManyRequests     = "too_many_requests"
	CodeDispatcherBusy      = "dispatcher_busy"
	CodeDispatcherRestarted = "dispatcher_restarted"
	CodeDeadlineExceeded    = "deadline_exceeded"
	CodeServerFailed        = "server_failed"
	CodeAnswerTooLarge      = "answer_too_large"
	CodeInternal            = "internal"
	CodeKeyReused           = "idempotency_key_reused"
	CodeClaimNotKept        = "claim_not_kept"
	CodeClaimUncertain      = "claim_uncertain"
	CodeFirstAnswerLost     = "first_answer_lost"
	CodeFirstOutcomeUnknown = "first_outcome_unknown"
	CodeFirstStillRunning   = "first_still_running"
)

// Retry-After times, for problems without one computed by the scheduler.
const (
	// shortRetryAfter is for brief conditions: a full queue, a restart.
	shortRetryAfter = time.Second
	// outageRetryAfter is for conditions that last as long as a platform outage.
	outageRetryAfter = 5 * time.Second
)

// invalid returns the problem of a request that cannot be accepted as it is.
func invalid(status int, code, message string) *api.Problem {
	return &api.Problem{Status: status, Type: api.TypeInvalid, Code: code, Message: message, Outcome: api.OutcomeNotRun}
}

// unavailable returns the problem of a valid request that did not run and may be
// retried after the given time.
func unavailable(code, message string, after time.Duration) *api.Problem {
	return &api.Problem{
		Status:     http.StatusServiceUnavailable,
		Type:       api.TypeOverloaded,
		Code:       code,
		Message:    message,
		Outcome:    api.OutcomeNotRun,
		RetryAfter: after,
		Retryable:  true,
	}
}

// refusals maps each reason of a refusal to the status, type and message that the
// caller receives.
var refusals = map[decide.Reason]struct {
	status  int
	kind    api.Type
	message string
}{
	decide.ReasonDeadline:      {http.StatusServiceUnavailable, api.TypeOverloaded, "it can't be done before its deadline"},
	decide.ReasonQueueFull:     {http.StatusTooManyRequests, api.TypeOverloaded, "too many requests wait"},
	decide.ReasonPartnerShare:  {http.StatusTooManyRequests, api.TypeOverloaded, "the partner is over its share while others wait"},
	decide.ReasonNoReplica:     {http.StatusServiceUnavailable, api.TypeOverloaded, "no ready replica can be reached now"},
	decide.ReasonUnknownTarget: {http.StatusNotFound, api.TypeNotFound, "nothing of that name is in force"},
	decide.ReasonRetryBudget:   {http.StatusServiceUnavailable, api.TypeOverloaded, "its attempt failed, and retries would make an overload worse"},
	decide.ReasonMayHaveRun:    {http.StatusBadGateway, api.TypeServer, "its attempt failed, and it may not be repeated"},
	decide.ReasonShuttingDown:  {http.StatusServiceUnavailable, api.TypeOverloaded, "the instance is shutting down"},
	reasonDispatcherRestarted:  {http.StatusServiceUnavailable, api.TypeOverloaded, "the instance's scheduler was started again"},
	decide.ReasonQuarantined:   {http.StatusUnprocessableEntity, api.TypeInvalid, "the request crashes backend servers"},
}

// refusalProblem returns the problem of a refused call. Its outcome reflects
// whether an attempt may have run.
func (c *call) refusalProblem(reason decide.Reason, after time.Duration) *api.Problem {
	r, ok := refusals[reason]
	if !ok {
		r = refusals[decide.ReasonNoReplica]
	}
	return c.problem(r.status, r.kind, string(reason), r.message, after)
}

// problem returns a problem whose outcome follows from the call's attempts.
func (c *call) problem(status int, kind api.Type, code, message string, after time.Duration) *api.Problem {
	p := &api.Problem{Status: status, Type: kind, Code: code, Message: message, RetryAfter: after}
	p.Outcome = api.OutcomeNotRun
	if c.mayHaveRun {
		p.Outcome = api.OutcomeUnknown
	}
	p.Retryable = p.Outcome == api.OutcomeNotRun || c.idempotent
	return p
}

func (c *call) deadlineProblem() *api.Problem {
	return c.problem(http.StatusGatewayTimeout, api.TypeTimeout, CodeDeadlineExceeded, "the request's deadline has passed", 0)
}

func (c *call) serverProblem(code, message string) *api.Problem {
	return c.problem(http.StatusBadGateway, api.TypeServer, code, message, shortRetryAfter)
}

// answerTooLargeProblem returns the problem of an answer too large to be buffered.
// A retry would not help.
func (c *call) answerTooLargeProblem() *api.Problem {
	return c.problem(http.StatusBadGateway, api.TypeServer, CodeAnswerTooLarge, "the answer is too large to be given other than as a stream", 0)
}

// asProblem returns the problem that err wraps, or that of an unreadable request.
func asProblem(err error) *api.Problem {
	var p *api.Problem
	if errors.As(err, &p) {
		return p
	}
	return api.Invalid(api.CodeBadJSON, "the request could not be read")
}
