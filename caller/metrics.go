package caller

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range, in µs, and the significant digits of the latency histograms. Each
// histogram takes 100 KB.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 2
)

// histogram is an HDR histogram of latencies that is safe for concurrent use.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (h *histogram) record(d time.Duration) {
	us := min(max(d.Microseconds(), histogramMin), histogramMax)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(us) // the value is within the range
}

// Percentiles holds the percentiles of a latency, in µs.
type Percentiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

func (h *histogram) percentiles() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Percentiles{
		Count: h.h.TotalCount(),
		P50:   h.h.ValueAtQuantile(50),
		P90:   h.h.ValueAtQuantile(90),
		P99:   h.h.ValueAtQuantile(99),
		P999:  h.h.ValueAtQuantile(99.9),
		Max:   h.h.Max(),
	}
}

// metrics holds the counters and latencies of a Server.
type metrics struct {
	vars       *expvar.Map
	firstToken *histogram // from arrival to the first token
	tokenGap   *histogram // between two tokens
	total      *histogram // from arrival to the end of a complete answer
}

func newMetrics(vars *expvar.Map) *metrics {
	if vars == nil {
		vars = new(expvar.Map).Init()
	}
	m := &metrics{vars: vars, firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram()}
	vars.Set("first_token", expvar.Func(m.firstToken.percentiles))
	vars.Set("between_tokens", expvar.Func(m.tokenGap.percentiles))
	vars.Set("total", expvar.Func(m.total.percentiles))
	return m
}

func (m *metrics) count(name string) { m.vars.Add(name, 1) }
