package instance

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// latencyBounds are the upper bounds of the latency histograms' buckets, in
// seconds: dense around the goals of some hundred milliseconds.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 15}

// metrics counts what happens, for the operators. It implements relay.Metrics.
type metrics struct {
	mu        sync.Mutex
	counts    map[metricKey]int64
	took      histogram
	firstByte histogram

	storeFailures atomic.Int64
}

// metricKey is one counter: a metric with its labels' text.
type metricKey struct{ name, labels string }

type histogram struct {
	buckets []int64 // one more than the bounds
	sum     float64
}

func newMetrics() *metrics {
	h := func() histogram { return histogram{buckets: make([]int64, len(latencyBounds)+1)} }
	return &metrics{counts: map[metricKey]int64{}, took: h(), firstByte: h()}
}

func (h *histogram) add(d time.Duration) {
	s := d.Seconds()
	at, _ := slices.BinarySearch(latencyBounds, s)
	h.buckets[at]++
	h.sum += s
}

// Ended implements relay.Metrics.
func (m *metrics) Ended(outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[metricKey{"requests_total", `{outcome="` + outcome + `"}`}]++
	m.took.add(took)
}

// FirstByte implements relay.Metrics.
func (m *metrics) FirstByte(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstByte.add(took)
}

// Decided implements relay.Metrics.
func (m *metrics) Decided(action, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[metricKey{"decisions_total", `{action="` + action + `",reason="` + reason + `"}`}]++
}

// count adds to a counter without labels.
func (m *metrics) count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[metricKey{name, ""}]++
}

// prefix begins the names of all metrics.
const prefix = "greengageferry_"

// serve writes the metrics in the Prometheus text format.
func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	keys := make([]metricKey, 0, len(m.counts))
	for k := range m.counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b metricKey) int { return compareKeys(a, b) })
	for _, k := range keys {
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, k.name, k.labels, m.counts[k])
	}
	fmt.Fprintf(w, "%sstore_failures_total %d\n", prefix, m.storeFailures.Load())
	m.took.write(w, "request_seconds")
	m.firstByte.write(w, "first_byte_seconds")
}

func compareKeys(a, b metricKey) int {
	if a.name != b.name {
		if a.name < b.name {
			return -1
		}
		return 1
	}
	if a.labels < b.labels {
		return -1
	}
	return 1
}

func (h *histogram) write(w http.ResponseWriter, name string) {
	var sum int64
	for n, bound := range latencyBounds {
		sum += h.buckets[n]
		fmt.Fprintf(w, "%s%s_bucket{le=\"%g\"} %d\n", prefix, name, bound, sum)
	}
	sum += h.buckets[len(latencyBounds)]
	fmt.Fprintf(w, "%s%s_bucket{le=\"+Inf\"} %d\n", prefix, name, sum)
	fmt.Fprintf(w, "%s%s_sum %g\n%s%s_count %d\n", prefix, name, h.sum, prefix, name, sum)
}
