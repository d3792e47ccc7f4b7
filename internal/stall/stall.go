// Package stall cancels attempts whose server sends nothing for too long.
package stall

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// Error reports that a server sent nothing for the time Limit.
type Error struct{ Limit time.Duration }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("no answer for %s", e.Limit) }

// Watchdog cancels an attempt's context if its server is silent. Its timer runs only while
// it is armed, so that a caller that reads slowly is not taken for a silent server.
type Watchdog struct {
	cancel   context.CancelCauseFunc
	limit    atomic.Int64 // nanoseconds; also read by the timer's goroutine
	timer    *time.Timer
	ctx      context.Context
	disabled bool // the request may not be retried, so the context is never canceled for silence
}

// Watch returns a watchdog that is armed with the limit, and whose context derives from
// ctx. If enabled is false, it never cancels the context for silence.
func Watch(ctx context.Context, limit time.Duration, enabled bool) *Watchdog {
	w := &Watchdog{disabled: !enabled}
	w.limit.Store(int64(limit))
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if enabled {
		w.timer = time.AfterFunc(limit, w.expire)
	}
	return w
}

// expire cancels the context.
func (w *Watchdog) expire() { w.cancel(&Error{Limit: time.Duration(w.limit.Load())}) }

// Arm starts the timer. The watchdog must be disarmed.
func (w *Watchdog) Arm() {
	if !w.disabled {
		w.timer.Reset(time.Duration(w.limit.Load()))
	}
}

// Disarm stops the timer and sets the limit for the next Arm. The watchdog must be armed.
// Disarm reports whether the timer had already expired: the attempt is then canceled, even
// if data has just arrived from the server.
func (w *Watchdog) Disarm(limit time.Duration) (late bool) {
	if w.disabled {
		return false
	}
	late = !w.timer.Stop()
	w.limit.Store(int64(limit))
	return late
}

// Stop releases the watchdog's resources and cancels its context.
func (w *Watchdog) Stop() {
	if !w.disabled {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// Context returns the context that the watchdog cancels, with an *Error as the cause if
// the server was silent.
func (w *Watchdog) Context() context.Context { return w.ctx }
