package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: microseconds to ten minutes, three digits.
const (
	histogramMin    = 1
	histogramMax    = 600_000_000
	histogramDigits = 3
)

// Progress is how far a load is.
type Progress struct {
	Elapsed  time.Duration
	Ended    int // requests
	Outcomes map[Outcome]int
}

// Percentiles are of one latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is what the callers of a load got.
type Report struct {
	Seconds         float64         `json:"seconds"`
	Requests        int             `json:"requests"`
	PerSecond       float64         `json:"requests_per_second"`
	Attainment      float64         `json:"attainment"` // share that was complete within its deadline
	Outcomes        map[Outcome]int `json:"outcomes"`
	Errors          map[string]int  `json:"errors"`           // by the error's code
	FirstToken      Percentiles     `json:"first_token"`      // of streams, from when the request was due
	BetweenTokens   Percentiles     `json:"between_tokens"`   // of streams
	Total           Percentiles     `json:"total"`            // of complete answers, from when the request was due
	Refusal         Percentiles     `json:"refusal"`          // until a caller was told not_run
	DeadlineSeconds float64         `json:"deadline_seconds"` // of each request
	Seed            uint64          `json:"seed"`

	met                            int
	first, between, total, refusal *hdrhistogram.Histogram
	started                        time.Time
}

func newReport(o Options) *Report {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histogramMin, histogramMax, histogramDigits) }
	return &Report{
		Outcomes:        map[Outcome]int{},
		Errors:          map[string]int{},
		DeadlineSeconds: o.Timeout.Seconds(),
		Seed:            o.Seed,
		first:           h(),
		between:         h(),
		total:           h(),
		refusal:         h(),
		started:         time.Now(),
	}
}

// collect takes in samples until there are no more.
func (r *Report) collect(samples <-chan Answer, progress func(Progress)) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case s, ok := <-samples:
			if !ok {
				r.finish()
				return
			}
			r.add(s)
		case <-ticker.C:
			if progress != nil {
				progress(Progress{Elapsed: time.Since(r.started), Ended: r.Requests, Outcomes: r.Outcomes})
			}
		}
	}
}

func (r *Report) add(a Answer) {
	r.Requests++
	r.Outcomes[a.Outcome]++
	if a.Code != "" {
		r.Errors[a.Code]++
	}
	if a.Outcome == OutcomeComplete && a.Total.Seconds() <= r.DeadlineSeconds {
		r.met++
	}
	if a.FirstToken > 0 {
		record(r.first, a.FirstToken)
	}
	for _, gap := range a.Gaps {
		record(r.between, gap)
	}
	switch a.Outcome {
	case OutcomeComplete:
		record(r.total, a.Total)
	case OutcomeNotRun:
		record(r.refusal, a.Total)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Within the bounds RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func (r *Report) finish() {
	r.Seconds = time.Since(r.started).Seconds()
	r.PerSecond = float64(r.Requests) / r.Seconds
	if r.Requests > 0 {
		r.Attainment = float64(r.met) / float64(r.Requests)
	}
	r.FirstToken = percentiles(r.first)
	r.BetweenTokens = percentiles(r.between)
	r.Total = percentiles(r.total)
	r.Refusal = percentiles(r.refusal)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// Write prints the report for people.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "requests    %d in %.1f s, %.1f a second\n", r.Requests, r.Seconds, r.PerSecond)
	fmt.Fprintf(w, "attainment  %.4f within %g s\n", r.Attainment, r.DeadlineSeconds)
	for _, o := range []Outcome{OutcomeComplete, OutcomeNotRun, OutcomeUnknown, OutcomeOther} {
		fmt.Fprintf(w, "%-11s %d\n", o, r.Outcomes[o])
	}
	var codes []string
	for code := range r.Errors {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		fmt.Fprintf(w, "  %-20s %d\n", code, r.Errors[code])
	}
	fmt.Fprintf(w, "%-15s %9s %10s %10s %10s %10s %10s\n", "milliseconds", "count", "p50", "p90", "p99", "p99.9", "max")
	r.FirstToken.write(w, "first token")
	r.BetweenTokens.write(w, "between tokens")
	r.Total.write(w, "complete")
	r.Refusal.write(w, "not run")
}

func (p Percentiles) write(w io.Writer, name string) {
	fmt.Fprintf(w, "%-15s %9d %10.2f %10.2f %10.2f %10.2f %10.2f\n", name, p.Count, p.P50, p.P90, p.P99, p.P999, p.Max)
}
