package instance

import (
	"context"
	"math"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/internal/schedlag"
	"greengageferry/supervise"
)

const (
	// schedDelayInterval is how often it is measured how long goroutines wait for a processor.
	schedDelayInterval = time.Second
	// loggedSchedDelay is the 99th percentile of those waits from which they are logged.
	loggedSchedDelay = 100 * time.Millisecond
)

// schedDelay knows how long the goroutines of this process waited for a processor lately. All that the
// instance does, and each timeout that it measures, is late by as much. It is safe for concurrent use.
type schedDelay struct {
	log logrus.FieldLogger
	p99 atomic.Uint64 // seconds, as math.Float64bits
}

// seconds returns the 99th percentile of the waits in the newest interval.
func (d *schedDelay) seconds() float64 { return math.Float64frombits(d.p99.Load()) }

// run is the duty that measures.
func (d *schedDelay) run(ctx context.Context) error {
	meter := schedlag.Start()
	for supervise.Pause(ctx, schedDelayInterval) {
		p99, longest := meter.Quantile(0.99), meter.Quantile(1)
		meter = schedlag.Start()
		d.p99.Store(math.Float64bits(p99.Seconds()))
		if p99 >= loggedSchedDelay {
			d.log.WithFields(logrus.Fields{
				"p99_ms": p99.Milliseconds(), "longest_ms": longest.Milliseconds(), "goroutines": runtime.NumGoroutine(),
			}).Warn("goroutines wait for a processor")
		}
	}
	return nil
}
