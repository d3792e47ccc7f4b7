// Package stall ends attempts whose server is silent for too long.
package stall

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// Error says that a server was silent for longer than it may be.
type Error struct{ Limit time.Duration }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("no answer for %s", e.Limit) }

// Watchdog ends an attempt whose server is silent. It watches only while it is
// armed, so that a caller that reads slowly isn't taken for a silent server.
type Watchdog struct {
	cancel   context.CancelCauseFunc
	limit    atomic.Int64 // ns; read by the timer as well
	timer    *time.Timer
	ctx      context.Context
	disabled bool // the request may not be dispatched again: never ends it
}

// Watch returns a watchdog, armed with the limit, and the context that it ends.
func Watch(ctx context.Context, limit time.Duration, on bool) *Watchdog {
	w := &Watchdog{disabled: !on}
	w.limit.Store(int64(limit))
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if on {
		w.timer = time.AfterFunc(limit, w.expire)
	}
	return w
}

func (w *Watchdog) expire() { w.cancel(&Error{Limit: time.Duration(w.limit.Load())}) }

// Arm starts to watch. It is called while the watchdog is disarmed.
func (w *Watchdog) Arm() {
	if !w.disabled {
		w.timer.Reset(time.Duration(w.limit.Load()))
	}
}

// Disarm stops watching; the next time it is armed with the limit. It is called
// while the watchdog is armed, and says whether that came too late: then the
// attempt is ended, whatever has just come from the server.
func (w *Watchdog) Disarm(limit time.Duration) (late bool) {
	if w.disabled {
		return false
	}
	late = !w.timer.Stop()
	w.limit.Store(int64(limit))
	return late
}

// Stop frees the watchdog and ends its context.
func (w *Watchdog) Stop() {
	if !w.disabled {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// Context returns the context that the watchdog ends, with an *Error as its cause.
func (w *Watchdog) Context() context.Context { return w.ctx }
