package infra

import "fmt"

// Effect says whether the action that a failed call asked for can have happened.
type Effect int

const (
	// EffectUnknown: the call may have taken effect; its answer was lost.
	EffectUnknown Effect = iota
	// EffectNone: the call surely took no effect: no byte of it left, or the
	// other side itself said that it refused it before starting.
	EffectNone
)

// String returns the name used in logs.
func (e Effect) String() string {
	if e == EffectNone {
		return "none"
	}
	return "unknown"
}

// Reason classes the failure of a call to the platform.
type Reason string

// The reasons of a failed call.
const (
	ReasonUnreachable   Reason = "unreachable"     // no connection, or it broke
	ReasonTimeout       Reason = "timeout"         // the context's deadline passed
	ReasonCanceled      Reason = "canceled"        // the context was canceled
	ReasonUnavailable   Reason = "unavailable"     // the service says that it is out
	ReasonOverloaded    Reason = "overloaded"      // the service refuses for lack of room
	ReasonLeaving       Reason = "leaving"         // the backend server takes no new work
	ReasonNotResident   Reason = "not_resident"    // the model isn't loaded there
	ReasonStaleFence    Reason = "stale_fence"     // the order bore an old fencing number
	ReasonNoMemory      Reason = "no_memory"       // the load doesn't fit
	ReasonOutOfRange    Reason = "out_of_range"    // the offset has aged out of the log
	ReasonBadRequest    Reason = "bad_request"     // the other side can't accept the request
	ReasonProtocol      Reason = "protocol"        // the answer can't be understood
	ReasonFailed        Reason = "failed"          // the backend server ran the request and failed
	ReasonNoSuchAttempt Reason = "no_such_attempt" // nothing to resume or cancel
)

// Error is the failure of a call to the platform.
type Error struct {
	Op     string // the call, such as "log.append"
	Addr   string // the other side's address, host:port
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
