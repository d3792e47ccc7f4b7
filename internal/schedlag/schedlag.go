// Package schedlag measures how long the goroutines of this process wait for a processor.
//
// Tests whose callers, stand-ins and instances share a machine log it: where it is long,
// requests are late whatever the instances do.
package schedlag

import (
	"fmt"
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// latencies is the runtime's histogram of the time in seconds that goroutines were runnable
// before they ran.
const latencies = "/sched/latencies:seconds"

// Meter measures from its start on. It is safe for concurrent use.
type Meter struct {
	counts []uint64 // of the histogram's buckets at the start
}

// Start returns a Meter that measures from now on.
func Start() *Meter { return &Meter{counts: slices.Clone(read().Counts)} }

// Quantile returns a time that a fraction q of the waits since the start, from 0 to 1, did not
// exceed, 0 if there were none. It is the upper bound of a histogram's bucket.
func (m *Meter) Quantile(q float64) time.Duration {
	h := read()
	total := uint64(0)
	for i := range h.Counts {
		h.Counts[i] -= m.counts[i]
		total += h.Counts[i]
	}
	if total == 0 {
		return 0
	}
	return time.Duration(bound(h, uint64(math.Ceil(q*float64(total)))) * float64(time.Second))
}

// bound returns the upper bound, in seconds, of the bucket with the nth wait, from 1. Of the
// last one, which has none, it is the lower bound.
func bound(h *metrics.Float64Histogram, n uint64) float64 {
	seen := uint64(0)
	for i, count := range h.Counts {
		seen += count
		if seen >= max(n, 1) && !math.IsInf(h.Buckets[i+1], 1) {
			return h.Buckets[i+1]
		}
	}
	return h.Buckets[len(h.Buckets)-2]
}

// String implements fmt.Stringer.
func (m *Meter) String() string {
	round := func(q float64) time.Duration { return m.Quantile(q).Round(time.Microsecond) }
	return fmt.Sprintf("goroutines waited for a processor: p50 %s, p99 %s, longest %s", round(0.5), round(0.99), round(1))
}

// read returns the histogram since the start of the process.
func read() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: latencies}}
	metrics.Read(sample)
	return sample[0].Value.Float64Histogram()
}
