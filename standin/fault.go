package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"greengageferry/infra"
)

// Fault describes the fault of one call to a fake. The zero Fault is no fault.
type Fault struct {
	Delay          time.Duration // before anything else; the client waits
	Unavailable    bool          // the call fails with ReasonUnavailable and is not executed
	RequestLost    bool          // the connection breaks and the call is not executed
	AnswerLost     bool          // the call is executed, then the connection breaks
	RunAfterBreak  time.Duration // the connection breaks at once and the call is executed this much later
	Repeats        int           // the call is executed this many more times, RepeatInterval apart
	RepeatInterval time.Duration
}

// FaultHook returns the fault for the nth call of an operation since the hook was
// set, with n from 1. Operations are named as in infra.Error, such as "log.append".
type FaultHook func(op string, n int) Fault

// Always returns a hook that injects the fault into every call of the named
// operations, or of all operations if none is named.
func Always(f Fault, ops ...string) FaultHook {
	return func(op string, _ int) Fault {
		if len(ops) == 0 {
			return f
		}
		for _, o := range ops {
			if o == op {
				return f
			}
		}
		return Fault{}
	}
}

// First returns a hook that injects the fault into the first n calls of the
// operation.
func First(n int, f Fault, op string) FaultHook {
	return func(o string, i int) Fault {
		if o == op && i <= n {
			return f
		}
		return Fault{}
	}
}

// Faults holds a fake's fault hook. The zero value has no hook.
type Faults struct {
	mu     sync.Mutex
	hook   FaultHook
	counts map[string]int
}

// Set replaces the hook and restarts the count of calls at 1. A nil hook ends all
// faults.
func (f *Faults) Set(hook FaultHook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
	f.counts = map[string]int{}
}

// nextFault counts a call of the operation and returns its fault.
func (f *Faults) nextFault(op string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hook == nil {
		return Fault{}
	}
	f.counts[op]++
	return f.hook(op, f.counts[op])
}

// inject executes the action subject to the operation's next fault.
func (f *Faults) inject(ctx context.Context, op, addr string, action func() error) error {
	fault := f.nextFault(op)
	if err := sleep(ctx, fault.Delay); err != nil {
		return contextError(ctx, op, addr, infra.EffectNone)
	}
	switch {
	case fault.Unavailable:
		return &infra.Error{Op: op, Addr: addr, Reason: infra.ReasonUnavailable, Effect: infra.EffectNone}
	case fault.RequestLost:
		return connectionBrokenError(op, addr)
	case fault.RunAfterBreak > 0:
		time.AfterFunc(fault.RunAfterBreak, func() { _ = action() })
		return connectionBrokenError(op, addr)
	}
	err := action()
	for i := range fault.Repeats {
		time.AfterFunc(time.Duration(i+1)*fault.RepeatInterval, func() { _ = action() })
	}
	if fault.AnswerLost {
		return connectionBrokenError(op, addr)
	}
	return err
}

// ConnectionBrokenError is the cause of an infra.Error when a fake broke the
// connection.
type ConnectionBrokenError struct{}

// Error implements error.
func (*ConnectionBrokenError) Error() string { return "the fake broke the connection" }

func connectionBrokenError(op, addr string) *infra.Error {
	return &infra.Error{Op: op, Addr: addr, Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Err: &ConnectionBrokenError{}}
}

func refusalError(op, addr string, reason infra.Reason) *infra.Error {
	return &infra.Error{Op: op, Addr: addr, Reason: reason, Effect: infra.EffectNone}
}

func contextError(ctx context.Context, op, addr string, effect infra.Effect) *infra.Error {
	reason := infra.ReasonTimeout
	if ctx.Err() == context.Canceled {
		reason = infra.ReasonCanceled
	}
	return &infra.Error{Op: op, Addr: addr, Reason: reason, Effect: effect, Err: ctx.Err()}
}

// sleep waits for d, or returns the context's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// httpStatus returns the HTTP status code for a refusal's reason.
func httpStatus(reason infra.Reason) int {
	switch reason {
	case infra.ReasonBadRequest:
		return http.StatusBadRequest
	case infra.ReasonOutOfRange:
		return http.StatusGone
	case infra.ReasonNoSuchAttempt:
		return http.StatusNotFound
	case infra.ReasonNotResident, infra.ReasonStaleFence, infra.ReasonNoMemory:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
