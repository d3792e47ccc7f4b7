// Package supervise runs duties as a tree. A duty is one goroutine that owns
// its state. A duty that fails or panics is started again after a growing
// delay; one that keeps failing takes its whole level down, and the level above
// decides in the same way about that.
package supervise

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// DefaultMaxRestarts and DefaultWindow bound how often one duty may be
	// started again: more than five failures within a minute are no passing
	// trouble, and a process that the platform replaces serves better than one
	// that limps.
	DefaultMaxRestarts = 5
	DefaultWindow      = time.Minute
	// DefaultBackoff is the delay before the first restart. It doubles up to
	// MaxBackoff, so that a duty that fails at once can't use up a core.
	DefaultBackoff = 50 * time.Millisecond
	MaxBackoff     = 5 * time.Second
)

// Duty is something to run until its context ends. Run returns nil when its
// work is over, an error when it failed.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Options are the limits of one level of the tree. The zero value of each
// takes its default.
type Options struct {
	Log         logrus.FieldLogger
	MaxRestarts int           // failures of one duty within Window before the level gives up
	Window      time.Duration // how far back failures count
	Backoff     time.Duration // delay before the first restart
}

// PanicError is a duty's panic.
type PanicError struct {
	Duty  string
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value) }

// GaveUpError says that a duty failed too often and took its level down.
type GaveUpError struct {
	Duty     string
	Failures int
	Err      error // the last failure
}

// Error implements error.
func (e *GaveUpError) Error() string {
	return fmt.Sprintf("duty %s failed %d times: %v", e.Duty, e.Failures, e.Err)
}

// Unwrap returns the last failure.
func (e *GaveUpError) Unwrap() error { return e.Err }

// Run runs the duties until ctx ends or one of them fails for good, and returns
// once all have ended: nil after the first, a *GaveUpError after the second.
func Run(ctx context.Context, opts Options, duties ...Duty) error {
	opts = opts.withDefaults()
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range duties {
		group.Go(func() error { return keepRunning(ctx, opts, duty) })
	}
	return group.Wait()
}

// Tree makes a level of its own into a duty of the level above.
func Tree(name string, opts Options, duties ...Duty) Duty {
	return Duty{Name: name, Run: func(ctx context.Context) error { return Run(ctx, opts, duties...) }}
}

func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.MaxRestarts == 0 {
		o.MaxRestarts = DefaultMaxRestarts
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Backoff == 0 {
		o.Backoff = DefaultBackoff
	}
	return o
}

// keepRunning runs one duty and starts it again after each failure.
func keepRunning(ctx context.Context, opts Options, duty Duty) error {
	var failures []time.Time
	for {
		err := Once(ctx, duty)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		failures = append(recent(failures, now.Add(-opts.Window)), now)
		logFailure(opts.Log, duty.Name, len(failures), err)
		if len(failures) > opts.MaxRestarts {
			return &GaveUpError{Duty: duty.Name, Failures: len(failures), Err: err}
		}
		if !Pause(ctx, Backoff(opts.Backoff, MaxBackoff, len(failures))) {
			return nil
		}
	}
}

// Once runs a duty until it ends, and turns a panic into a *PanicError.
func Once(ctx context.Context, duty Duty) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Duty: duty.Name, Value: v, Stack: debug.Stack()}
		}
	}()
	return duty.Run(ctx)
}

func logFailure(log logrus.FieldLogger, duty string, failures int, err error) {
	entry := log.WithFields(logrus.Fields{"duty": duty, "failures": failures, "error": err})
	var p *PanicError
	if errors.As(err, &p) {
		entry = entry.WithField("stack", string(p.Stack))
	}
	entry.Error("duty failed")
}

// recent returns the times after since.
func recent(times []time.Time, since time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(since) {
		times = times[1:]
	}
	return times
}

// Backoff returns the pause after failures in a row, from 1: first, doubled with
// each further one, and most at the longest.
func Backoff(first, most time.Duration, failures int) time.Duration {
	d := first
	for range failures - 1 {
		d *= 2
		if d >= most {
			return most
		}
	}
	return d
}

// Pause waits for d, and says whether ctx still lasts.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
