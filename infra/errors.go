package infra

import "fmt"

// Effect tells whether the action that a failed call asked for may have happened.
type Effect int

const (
	// EffectUnknown means that the call may have taken effect.
	EffectUnknown Effect = iota
	// EffectNone means that the call took no effect: nothing of the request was sent, or
	// the server reported that it refused the request before starting it.
	EffectNone
)

// String returns "none" or "unknown", as in logs and in ErrorBody.
func (e Effect) String() string {
	if e == EffectNone {
		return "none"
	}
	return "unknown"
}

// Reason classifies the failure of a call to the platform.
type Reason string

// The reasons why a call failed.
const (
	ReasonUnreachable   Reason = "unreachable"     // no connection, or the connection broke
	ReasonTimeout       Reason = "timeout"         // the context's deadline passed
	ReasonCanceled      Reason = "canceled"        // the context was canceled
	ReasonUnavailable   Reason = "unavailable"     // the service reports an outage, or gave no reason
	ReasonOverloaded    Reason = "overloaded"      // the service refuses because of overload
	ReasonLeaving       Reason = "leaving"         // the backend server is draining and accepts no new work
	ReasonNotResident   Reason = "not_resident"    // the model or adapter is not loaded on the server
	ReasonStaleFence    Reason = "stale_fence"     // the order had an old fencing token
	ReasonNoMemory      Reason = "no_memory"       // the item to load does not fit into the memory
	ReasonOutOfRange    Reason = "out_of_range"    // the log no longer retains the offset
	ReasonBadRequest    Reason = "bad_request"     // the request is invalid
	ReasonProtocol      Reason = "protocol"        // the response is malformed or too large
	ReasonFailed        Reason = "failed"          // the backend server failed while running the request
	ReasonNoSuchAttempt Reason = "no_such_attempt" // no attempt to resume or cancel
)

// Error reports that a call to the platform failed.
type Error struct {
	Op     string // the call, such as "log.append"
	Addr   string // address of the called service, host:port
	Reason Reason
	Effect Effect
	Err    error // the cause, or nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s %s: %s (effect %s)", e.Op, e.Addr, e.Reason, e.Effect)
	}
	return fmt.Sprintf("%s %s: %s (effect %s): %v", e.Op, e.Addr, e.Reason, e.Effect, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
