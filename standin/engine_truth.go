package standin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengageferry/infra"
)

// maxTruth bounds each list of an engine's truth; what is over it is counted.
const maxTruth = 1 << 18

// RunEnd says how a run of a request ended at an engine.
type RunEnd string

// The ends of runs.
const (
	EndRunning  RunEnd = ""         // it has not ended
	EndComplete RunEnd = "complete" // its Finish went out
	EndCanceled RunEnd = "canceled" // its caller canceled it or closed its stream
	EndCrashed  RunEnd = "crashed"  // the process died
)

// Run is one request that an engine accepted.
type Run struct {
	Attempt, Model, Adapter, Version string

	Prompt   uint64 // PromptHash of the prompt
	Seed     uint64
	From     int // length of the prefix
	Boot     int // the process that ran it, from 1
	Accepted time.Time
	Started  time.Time // when it joined the batch; zero: it never did
	Ended    time.Time
	Tokens   int // generated
	End      RunEnd
}

// PromptHash identifies a prompt in a Run.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Refusal is a request that an engine refused before starting it.
type Refusal struct {
	Attempt string
	Reason  infra.Reason
	At      time.Time
}

// OrderTaken is an order that reached an engine.
type OrderTaken struct {
	Order   infra.Order
	At      time.Time
	Refused infra.Reason // empty: it was carried out
}

// ViolationKind classes what an engine must never be asked.
type ViolationKind string

// The kinds of violations.
const (
	ViolationOvercommit ViolationKind = "overcommit"       // a load that doesn't fit
	ViolationAttempt    ViolationKind = "attempt_repeated" // an attempt's id for a second request
	ViolationPrefix     ViolationKind = "wrong_prefix"     // a prefix that is not of this answer
)

// Violation is something that an engine must never be asked, and was.
type Violation struct {
	Kind   ViolationKind
	Detail string
	At     time.Time
}

// EngineTruth is what an engine did.
type EngineTruth struct {
	ID         string
	MemoryMiB  int64
	PeakMiB    int64 // most memory that was ever taken
	Runs       []Run
	Refusals   []Refusal
	Orders     []OrderTaken
	Violations []Violation
	Stops      []string  // why the process ended, each time
	LeavingAt  time.Time // since when it is leaving; zero: it isn't
	Loads      int       // that became ready
	Unloads    int
	Dropped    int // entries over the bound of these lists
}

// engineTruth is the record behind EngineTruth. The engine's mu guards it.
type engineTruth struct {
	limit      int
	runs       []*Run
	refusals   []Refusal
	orders     []OrderTaken
	violations []Violation
	stops      []string
	peakMiB    int64
	leavingAt  time.Time
	loads      int
	unloads    int
	dropped    int
}

// Truth returns what the engine did.
func (e *Engine) Truth() EngineTruth {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := EngineTruth{
		ID:         e.options.ID,
		MemoryMiB:  e.options.MemoryMiB,
		PeakMiB:    e.truth.peakMiB,
		Refusals:   slices.Clone(e.truth.refusals),
		Orders:     slices.Clone(e.truth.orders),
		Violations: slices.Clone(e.truth.violations),
		Stops:      slices.Clone(e.truth.stops),
		LeavingAt:  e.truth.leavingAt,
		Loads:      e.truth.loads,
		Unloads:    e.truth.unloads,
		Dropped:    e.truth.dropped,
	}
	for _, r := range e.truth.runs {
		t.Runs = append(t.Runs, *r)
	}
	return t
}

func (t *engineTruth) run(r *Run) {
	t.runs = bounded(t, t.runs, r)
}

func (t *engineTruth) refused(attempt string, reason infra.Reason) {
	t.refusals = bounded(t, t.refusals, Refusal{Attempt: attempt, Reason: reason, At: time.Now()})
}

func (t *engineTruth) ordered(order infra.Order, err error) {
	taken := OrderTaken{Order: order, At: time.Now()}
	if e, ok := err.(*infra.Error); ok {
		taken.Refused = e.Reason
	}
	t.orders = bounded(t, t.orders, taken)
}

func (t *engineTruth) violated(kind ViolationKind, detail string) {
	t.violations = bounded(t, t.violations, Violation{Kind: kind, Detail: detail, At: time.Now()})
}

func (t *engineTruth) stopped(why string) { t.stops = bounded(t, t.stops, why) }
func (t *engineTruth) peak(mib int64)     { t.peakMiB = max(t.peakMiB, mib) }
func (t *engineTruth) loaded()            { t.loads++ }
func (t *engineTruth) unloaded()          { t.unloads++ }

func (t *engineTruth) left(leaving bool) {
	t.leavingAt = time.Time{}
	if leaving {
		t.leavingAt = time.Now()
	}
}

// bounded appends to a list, or counts what is over its bound.
func bounded[T any](t *engineTruth, list []T, v T) []T {
	if len(list) >= t.limit {
		t.dropped++
		return list
	}
	return append(list, v)
}
