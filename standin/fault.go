package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"greengageferry/infra"
)

// Fault is what befalls one call to a stand-in. The zero Fault is none.
type Fault struct {
	Delay      time.Duration // before the call is carried out; its caller waits
	Refused    bool          // the stand-in says that it is out, and does nothing
	Lost       bool          // never carried out, and the connection breaks
	AnswerLost bool          // carried out, then the connection breaks
	Late       time.Duration // the connection breaks at once, and the call is carried out this much later
	Copies     int           // carried out this many times more, CopyAfter apart
	CopyAfter  time.Duration
}

// FaultHook says what befalls the nth call (from 1) of an operation since the
// hook was set. Operations are named as in infra.Error, such as "log.append".
type FaultHook func(op string, n int) Fault

// Always returns a hook that gives each call of the named operations the fault;
// with no names, each call of any.
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

// First returns a hook that gives the first n calls of the operation the fault.
func First(n int, f Fault, op string) FaultHook {
	return func(o string, i int) Fault {
		if o == op && i <= n {
			return f
		}
		return Fault{}
	}
}

// Faults holds a stand-in's fault hook. The zero value has none.
type Faults struct {
	mu     sync.Mutex
	hook   FaultHook
	counts map[string]int
}

// Set replaces the hook; nil ends all faults. Calls are counted from 1 again.
func (f *Faults) Set(hook FaultHook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
	f.counts = map[string]int{}
}

func (f *Faults) next(op string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hook == nil {
		return Fault{}
	}
	f.counts[op]++
	return f.hook(op, f.counts[op])
}

// do carries out an action under the operation's next fault.
func (f *Faults) do(ctx context.Context, op, addr string, action func() error) error {
	fault := f.next(op)
	if err := sleep(ctx, fault.Delay); err != nil {
		return contextError(ctx, op, addr, infra.EffectNone)
	}
	switch {
	case fault.Refused:
		return &infra.Error{Op: op, Addr: addr, Reason: infra.ReasonUnavailable, Effect: infra.EffectNone}
	case fault.Lost:
		return lost(op, addr)
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { _ = action() })
		return lost(op, addr)
	}
	err := action()
	for i := range fault.Copies {
		time.AfterFunc(time.Duration(i+1)*fault.CopyAfter, func() { _ = action() })
	}
	if fault.AnswerLost {
		return lost(op, addr)
	}
	return err
}

// LostError is the cause of an Error where a stand-in broke the connection.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string { return "the stand-in broke the connection" }

func lost(op, addr string) *infra.Error {
	return &infra.Error{Op: op, Addr: addr, Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Err: &LostError{}}
}

func refusal(op, addr string, reason infra.Reason) *infra.Error {
	return &infra.Error{Op: op, Addr: addr, Reason: reason, Effect: infra.EffectNone}
}

func contextError(ctx context.Context, op, addr string, effect infra.Effect) *infra.Error {
	reason := infra.ReasonTimeout
	if ctx.Err() == context.Canceled {
		reason = infra.ReasonCanceled
	}
	return &infra.Error{Op: op, Addr: addr, Reason: reason, Effect: effect, Err: ctx.Err()}
}

// sleep waits, or returns the context's error if that ends first.
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

// statusOf returns the HTTP status for a refusal's reason.
func statusOf(reason infra.Reason) int {
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
