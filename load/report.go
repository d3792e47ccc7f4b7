package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: 1 µs to 10 min, three significant
// digits.
const (
	histogramMin    = 1
	histogramMax    = 600_000_000
	histogramDigits = 3
)

// Progress is the state of a running load.
type Progress struct {
	Elapsed  time.Duration
	Ended    int // requests that have ended, with any outcome
	Outcomes map[Outcome]int
}

// Percentiles summarizes one latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Report holds the results of a load.
type Report struct {
	Seconds         float64         `json:"seconds"`
	Requests        int             `json:"requests"`
	PerSecond       float64         `json:"requests_per_second"`
	Attainment      float64         `json:"attainment"` // share of requests that were complete within the deadline
	Outcomes        map[Outcome]int `json:"outcomes"`
	Errors          map[string]int  `json:"errors"`           // count by error code
	FirstToken      Percentiles     `json:"first_token"`      // of streams, from the scheduled time
	BetweenTokens   Percentiles     `json:"between_tokens"`   // of streams, between consecutive tokens
	Total           Percentiles     `json:"total"`            // of complete answers, from the scheduled time
	Refusal         Percentiles     `json:"refusal"`          // of answers with outcome not_run, from the scheduled time
	DeadlineSeconds float64         `json:"deadline_seconds"` // deadline of each request
	Seed            uint64          `json:"seed"`

	metDeadline                                               int
	firstTokenHist, betweenTokensHist, totalHist, refusalHist *hdrhistogram.Histogram
	started                                                   time.Time
}

func newReport(o Options) *Report {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(histogramMin, histogramMax, histogramDigits) }
	return &Report{
		Outcomes:          map[Outcome]int{},
		Errors:            map[string]int{},
		DeadlineSeconds:   o.Timeout.Seconds(),
		Seed:              o.Seed,
		firstTokenHist:    newHistogram(),
		betweenTokensHist: newHistogram(),
		totalHist:         newHistogram(),
		refusalHist:       newHistogram(),
		started:           time.Now(),
	}
}

// collect adds answers to the report until the channel is closed, and calls
// progress about once per second if it isn't nil.
func (r *Report) collect(answers <-chan Answer, progress func(Progress)) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case a, ok := <-answers:
			if !ok {
				r.finish()
				return
			}
			r.add(a)
		case <-ticker.C:
			if progress != nil {
				progress(Progress{Elapsed: time.Since(r.started), Ended: r.Requests, Outcomes: r.Outcomes})
			}
		}
	}
}

// add counts an answer.
func (r *Report) add(a Answer) {
	r.Requests++
	r.Outcomes[a.Outcome]++
	if a.Code != "" {
		r.Errors[a.Code]++
	}
	if a.Outcome == OutcomeComplete && a.Total.Seconds() <= r.DeadlineSeconds {
		r.metDeadline++
	}
	if a.FirstToken > 0 {
		record(r.firstTokenHist, a.FirstToken)
	}
	for _, gap := range a.Gaps {
		record(r.betweenTokensHist, gap)
	}
	switch a.Outcome {
	case OutcomeComplete:
		record(r.totalHist, a.Total)
	case OutcomeNotRun:
		record(r.refusalHist, a.Total)
	}
}

// record adds a latency to a histogram, limited to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue can't fail for a value within the range.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// finish computes the rates and percentiles when the load has ended.
func (r *Report) finish() {
	r.Seconds = time.Since(r.started).Seconds()
	r.PerSecond = float64(r.Requests) / r.Seconds
	if r.Requests > 0 {
		r.Attainment = float64(r.metDeadline) / float64(r.Requests)
	}
	r.FirstToken = percentiles(r.firstTokenHist)
	r.BetweenTokens = percentiles(r.betweenTokensHist)
	r.Total = percentiles(r.totalHist)
	r.Refusal = percentiles(r.refusalHist)
}

// percentiles returns the percentiles of a histogram of microseconds; zero if
// the histogram is empty.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// Write prints the report as text.
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
