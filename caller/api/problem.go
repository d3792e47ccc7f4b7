package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what a caller may conclude from an error about its request.
type Outcome string

// The outcomes of requests that got no answer.
const (
	// OutcomeNotRun: no byte of any attempt can have reached a backend server,
	// or the server itself said that it refused the request before starting.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: anything else.
	OutcomeUnknown Outcome = "unknown"
)

// Type is the coarse class of a problem, as OpenAI clients know them.
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

// Problem is the typed error that a caller receives. Its JSON form is
//
//	{"error":{"type","code","message","outcome","retry_after_ms","request_id"}}
type Problem struct {
	Status     int // HTTP status
	Type       Type
	Code       string // one of the codes listed for operators
	Message    string // for people
	Outcome    Outcome
	RetryAfter time.Duration // when to come back; 0: asking again won't help, or no time is known
	// Again says whether the same request may be sent again without risk.
	Again bool
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Message)
}

// Invalid returns the problem of a request that can't be accepted as it is.
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

// JSON returns the problem's JSON form for the request with the given id.
func (p *Problem) JSON(request string) []byte {
	body, err := json.Marshal(problemEnvelope{problemBody{
		Type:         p.Type,
		Code:         p.Code,
		Message:      p.Message,
		Outcome:      p.Outcome,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		RequestID:    request,
	}})
	if err != nil {
		panic(err) // strings and an integer always have a JSON form
	}
	return body
}

// SetHeaders sets the headers that say whether and when to ask again.
// X-Should-Retry and Retry-After-Ms are read by OpenAI's client libraries.
func (p *Problem) SetHeaders(h http.Header) {
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	}
	h.Set("X-Should-Retry", strconv.FormatBool(p.Again && p.RetryAfter > 0))
}
