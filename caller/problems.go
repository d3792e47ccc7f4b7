package caller

import (
	"errors"
	"net/http"
	"time"

	"greengageferry/caller/api"
	"greengageferry/decide"
)

// The codes of problems that this package finds. The reasons of decisions are
// codes too, and so are the api package's.
const (
	CodeNoKey          = "no_key"
	CodeWrongKey       = "wrong_key"
	CodeNotYours       = "other_partners"
	CodeUnknownModel   = "unknown_model"
	CodeUnknownService = "unknown_service"
	CodeNoSuchPath     = "no_such_path"
	CodeMethod         = "method_not_allowed"
	CodeBodyTooLarge   = "body_too_large"
	CodeBodySlow       = "body_too_slow"
	CodeBodyBroken     = "body_broken"
	CodeBadTimeout     = "bad_timeout"
	CodeBadPriority    = "bad_priority"
	CodeBadMark        = "bad_non_idempotent"
	CodeBadIdemKey     = "bad_idempotency_key"
	CodeBadPath        = "bad_path"
	CodeNotReady       = "not_ready"
	CodeTooMany        = "too_many_requests"
	CodeRingFull       = "dispatcher_busy"
	CodeRestarted      = "dispatcher_restarted"
	CodeDeadlinePassed = "deadline_exceeded"
	CodeServerFailed   = "server_failed"
	CodeAnswerTooLarge = "answer_too_large"
	CodeInternal       = "internal"
	CodeKeyReused      = "idempotency_key_reused"
	CodeClaimNotKept   = "claim_not_kept"
	CodeClaimUncertain = "claim_uncertain"
	CodeFirstLost      = "first_answer_lost"
	CodeFirstUnknown   = "first_outcome_unknown"
	CodeFirstStillRuns = "first_still_running"
)

// The times to come back after, where no decision gives a better one.
const (
	// soon is for what passes within a moment: a full ring, a restart.
	soon = time.Second
	// afterOutage is for what lasts as long as an outage of the platform.
	afterOutage = 5 * time.Second
)

func invalid(status int, code, message string) *api.Problem {
	return &api.Problem{Status: status, Type: api.TypeInvalid, Code: code, Message: message, Outcome: api.OutcomeNotRun}
}

func notRunYet(code, message string, after time.Duration) *api.Problem {
	return &api.Problem{
		Status:     http.StatusServiceUnavailable,
		Type:       api.TypeOverloaded,
		Code:       code,
		Message:    message,
		Outcome:    api.OutcomeNotRun,
		RetryAfter: after,
		Again:      true,
	}
}

// refusals says how each reason of a refusal is told.
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
	reasonRestarted:            {http.StatusServiceUnavailable, api.TypeOverloaded, "the instance's scheduler was started again"},
	decide.ReasonQuarantined:   {http.StatusUnprocessableEntity, api.TypeInvalid, "the request crashes backend servers"},
}

// refusal tells a decision to refuse. The outcome is true to what happened.
func (c *call) refusal(reason decide.Reason, after time.Duration) *api.Problem {
	r, ok := refusals[reason]
	if !ok {
		r = refusals[decide.ReasonNoReplica]
	}
	return c.problem(r.status, r.kind, string(reason), r.message, after)
}

// problem returns a problem whose outcome is what the call's attempts allow.
func (c *call) problem(status int, kind api.Type, code, message string, after time.Duration) *api.Problem {
	p := &api.Problem{Status: status, Type: kind, Code: code, Message: message, RetryAfter: after}
	p.Outcome = api.OutcomeNotRun
	if c.mayHaveRun {
		p.Outcome = api.OutcomeUnknown
	}
	p.Again = p.Outcome == api.OutcomeNotRun || c.idempotent
	return p
}

func (c *call) deadlineProblem() *api.Problem {
	return c.problem(http.StatusGatewayTimeout, api.TypeTimeout, CodeDeadlinePassed, "the request's deadline has passed", 0)
}

func (c *call) serverProblem(code, message string) *api.Problem {
	return c.problem(http.StatusBadGateway, api.TypeServer, code, message, soon)
}

// tooLarge tells of an answer that can't be held whole. Asking again won't help.
func (c *call) tooLarge() *api.Problem {
	return c.problem(http.StatusBadGateway, api.TypeServer, CodeAnswerTooLarge, "the answer is too large to be given other than as a stream", 0)
}

// asProblem returns the problem that err is.
func asProblem(err error) *api.Problem {
	var p *api.Problem
	if errors.As(err, &p) {
		return p
	}
	return api.Invalid(api.CodeBadJSON, "the request could not be read")
}
