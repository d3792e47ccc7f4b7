package relay

import (
	"context"
	"sync"
	"time"
)

// silentError says that a server said nothing for too long.
type silentError struct{ After time.Duration }

// Error implements error.
func (e *silentError) Error() string { return "the server was silent for " + e.After.String() }

// watchdog cancels an attempt whose server is silent for too long. It has one
// timer, which is moved and not made again with each event.
type watchdog struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc
	timer  *time.Timer
	after  time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc) *watchdog { return &watchdog{cancel: cancel} }

// set begins or restarts the time that the server has.
func (w *watchdog) set(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.after = after
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.bite)
		return
	}
	w.timer.Reset(after)
}

func (w *watchdog) bite() {
	w.mu.Lock()
	after := w.after
	w.mu.Unlock()
	w.cancel(&silentError{After: after})
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
