// Package supervise runs duties under a tree of supervisors. A duty is a long-running
// function in a goroutine of its own. Run supervises a group of duties: it restarts a duty
// that fails or panics, after an exponential backoff. If a duty keeps failing, Run ends the
// whole group and returns an error. Tree makes such a group a duty of another supervisor,
// which restarts the group in the same way.
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
	// DefaultMaxRestarts and DefaultWindow limit the restarts of a duty. More than five
	// failures within a minute are not a transient fault; it is better that the platform
	// replaces the process than that a degraded one keeps serving.
	DefaultMaxRestarts = 5
	DefaultWindow      = time.Minute
	// DefaultBackoff is the delay before the first restart. The delay doubles with each
	// further failure up to MaxBackoff, so that a duty that fails immediately does not
	// keep a core busy.
	DefaultBackoff = 50 * time.Millisecond
	MaxBackoff     = 5 * time.Second
)

// Duty is a named function that runs until its context ends. Run returns nil when its work
// is done, or an error when it failed and must be restarted.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Options configures one supervisor. A zero field means the default.
type Options struct {
	Log         logrus.FieldLogger
	MaxRestarts int           // failures of one duty within Window that are followed by a restart
	Window      time.Duration // how long a failure counts toward MaxRestarts
	Backoff     time.Duration // delay before the first restart
}

// PanicError reports that a duty panicked.
type PanicError struct {
	Duty  string
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value) }

// RestartLimitError reports that a duty failed more than MaxRestarts times within Window,
// so that its supervisor ended the whole group.
type RestartLimitError struct {
	Duty     string
	Failures int
	Err      error // the last failure
}

// Error implements error.
func (e *RestartLimitError) Error() string {
	return fmt.Sprintf("duty %s failed %d times: %v", e.Duty, e.Failures, e.Err)
}

// Unwrap returns the last failure.
func (e *RestartLimitError) Unwrap() error { return e.Err }

// Run supervises the duties and returns once all have ended. The result is nil if ctx ended
// or every duty finished, or a *RestartLimitError if a duty exceeded its restart limit.
func Run(ctx context.Context, opts Options, duties ...Duty) error {
	opts = opts.withDefaults()
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range duties {
		group.Go(func() error { return runWithRestarts(ctx, opts, duty) })
	}
	return group.Wait()
}

// Tree returns a duty that supervises a group of duties of its own.
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

// runWithRestarts runs one duty and restarts it after each failure, until it finishes, ctx
// ends or the restart limit is exceeded.
func runWithRestarts(ctx context.Context, opts Options, duty Duty) error {
	var failures []time.Time
	for {
		err := RunOnce(ctx, duty)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		failures = append(failuresSince(failures, now.Add(-opts.Window)), now)
		logFailure(opts.Log, duty.Name, len(failures), err)
		if len(failures) > opts.MaxRestarts {
			return &RestartLimitError{Duty: duty.Name, Failures: len(failures), Err: err}
		}
		if !Pause(ctx, Backoff(opts.Backoff, MaxBackoff, len(failures))) {
			return nil
		}
	}
}

// RunOnce runs a duty without restarts, and converts a panic into a *PanicError.
func RunOnce(ctx context.Context, duty Duty) (err error) {
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

// failuresSince returns the times after since. The times are ascending.
func failuresSince(times []time.Time, since time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(since) {
		times = times[1:]
	}
	return times
}

// Backoff returns the delay after a number of consecutive failures, at least 1: initial,
// doubled with each further failure, but at most limit.
func Backoff(initial, limit time.Duration, failures int) time.Duration {
	d := initial
	for range failures - 1 {
		d *= 2
		if d >= limit {
			return limit
		}
	}
	return d
}

// Pause waits for d or until ctx ends, and reports whether the full time has passed.
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
