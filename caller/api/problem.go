package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells a caller whether its failed request may have run.
type Outcome string

// The outcomes of failed requests.
const (
	// OutcomeNotRun means that no byte of any attempt can have reached a backend
	// server, or that the server itself refused the request before starting it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Type is the general class of a problem, in the terms of OpenAI clients.
type Type string

// The types of problems.
const (
	TypeInvalid    Type = "invalid_request_error"
	TypeAuth       Type = "authentication_error"
	TypePermission Type = "permission_error"
	TypeNotFound   Type = "not_found_error"
	TypeOverloaded Type = "overloaded_error"
	TypeTimeout    Type = "timeout_error"
	TypeServer     Type = "server_error"
)

// Problem is the error that a caller receives. Its JSON form is
//
//	{"error":{"type","code","message","outcome","retry_after_ms","request_id"}}
type Problem struct {
	Status     int // HTTP status code
	Type       Type
	Code       string // machine-readable; see the Code constants
	Message    string // human-readable
	Outcome    Outcome
	RetryAfter time.Duration // 0 if a retry would not help or no time is known
	// Retryable says whether the same request can safely be sent again.
	Retryable bool
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Message)
}

// Invalid returns the problem of a request that cannot be accepted as it is.
func Invalid(code, format string, args ...any) *Problem {
	return &Problem{
		Status:  http.StatusBadRequest,
		Type:    TypeInvalid,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Outcome: OutcomeNotRun,
	}
}

type problemBody struct {
	Type         Type    `json:"type"`
	Code         string  `json:"code"`
	Message      string  `json:"message"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMS int64   `json:"retry_after_ms"`
	RequestID    string  `json:"request_id"`
}

type problemEnvelope struct {
	Error problemBody `json:"error"`
}

// JSON returns the problem's JSON form for the request with the given ID.
func (p *Problem) JSON(requestID string) []byte {
	body, err := json.Marshal(problemEnvelope{problemBody{
		Type:         p.Type,
		Code:         p.Code,
		Message:      p.Message,
		Outcome:      p.Outcome,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}})
	if err != nil {
		panic(err) // strings and integers can always be encoded
	}
	return body
}

// SetHeaders sets the headers that say whether and when to retry. OpenAI's client
// libraries read X-Should-Retry and Retry-After-Ms.
func (p *Problem) SetHeaders(h http.Header) {
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	}
	h.Set("X-Should-Retry", strconv.FormatBool(p.Retryable && p.RetryAfter > 0))
}
