package standin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengageferry/infra"
)

// maxTruthEntries limits each list of recorded entries. An engine counts the entries
// over the limit; a service drops them.
const maxTruthEntries = 1 << 18

// RunEnd says how an engine's run of a request ended.
type RunEnd string

// The ends of runs.
const (
	EndRunning  RunEnd = ""         // the run has not ended
	EndComplete RunEnd = "complete" // the Finish was generated
	EndCanceled RunEnd = "canceled" // the client canceled the attempt or closed its stream
	EndCrashed  RunEnd = "crashed"  // the process died
)

// Run describes one request that an engine accepted.
type Run struct {
	Attempt, Model, Adapter, Version string

	Prompt       uint64 // from the function PromptHash
	Seed         uint64
	PrefixTokens int // length of the request's prefix, in tokens
	Boot         int // number of the process that ran the request, from 1
	Accepted     time.Time
	Started      time.Time // when the request joined the batch; zero: never
	Ended        time.Time
	Tokens       int // number of generated tokens
	End          RunEnd
}

// PromptHash returns the hash that identifies a prompt in a Run.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Refusal describes a request that an engine refused before starting it.
type Refusal struct {
	Attempt string
	Reason  infra.Reason
	At      time.Time
}

// ReceivedOrder describes an order that reached an engine.
type ReceivedOrder struct {
	Order   infra.Order
	At      time.Time
	Refused infra.Reason // empty: the order was executed
}

// ViolationKind classifies a Violation.
type ViolationKind string

// The kinds of violations.
const (
	ViolationOvercommit      ViolationKind = "overcommit"       // a load that does not fit in memory
	ViolationRepeatedAttempt ViolationKind = "attempt_repeated" // an attempt id that another unfinished request has
	ViolationWrongPrefix     ViolationKind = "wrong_prefix"     // a prefix that differs from the expected answer
)

// Violation describes a call to an engine that the system must never make.
type Violation struct {
	Kind   ViolationKind
	Detail string
	At     time.Time
}

// EngineTruth is the record of what an engine did.
type EngineTruth struct {
	ID             string
	MemoryMiB      int64
	PeakMiB        int64 // peak memory use
	Runs           []Run
	Refusals       []Refusal
	Orders         []ReceivedOrder
	Violations     []Violation
	StopReasons    []string  // why the process ended; one entry each time
	LeavingSince   time.Time // when the engine began to leave; zero: it is not leaving
	Loads          int       // number of items that became ready
	Unloads        int       // number of unloads begun
	DroppedEntries int       // number of entries over the limit of the lists
}

// engineTruth collects the data of EngineTruth. The engine's mu guards it.
type engineTruth struct {
	limit          int
	runs           []*Run
	refusals       []Refusal
	orders         []ReceivedOrder
	violations     []Violation
	stopReasons    []string
	peakMiB        int64
	leavingSince   time.Time
	loads          int
	unloads        int
	droppedEntries int
}

// Truth returns the record of what the engine did.
func (e *Engine) Truth() EngineTruth {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := EngineTruth{
		ID:             e.options.ID,
		MemoryMiB:      e.options.MemoryMiB,
		PeakMiB:        e.truth.peakMiB,
		Refusals:       slices.Clone(e.truth.refusals),
		Orders:         slices.Clone(e.truth.orders),
		Violations:     slices.Clone(e.truth.violations),
		StopReasons:    slices.Clone(e.truth.stopReasons),
		LeavingSince:   e.truth.leavingSince,
		Loads:          e.truth.loads,
		Unloads:        e.truth.unloads,
		DroppedEntries: e.truth.droppedEntries,
	}
	for _, r := range e.truth.runs {
		t.Runs = append(t.Runs, *r)
	}
	return t
}

// record adds a run to the list. The run still changes until it ends.
func (t *engineTruth) record(r *Run) {
	t.runs = appendBounded(t, t.runs, r)
}

func (t *engineTruth) addRefusal(attempt string, reason infra.Reason) {
	t.refusals = appendBounded(t, t.refusals, Refusal{Attempt: attempt, Reason: reason, At: time.Now()})
}

func (t *engineTruth) addOrder(order infra.Order, err error) {
	received := ReceivedOrder{Order: order, At: time.Now()}
	if e, ok := err.(*infra.Error); ok {
		received.Refused = e.Reason
	}
	t.orders = appendBounded(t, t.orders, received)
}

func (t *engineTruth) addViolation(kind ViolationKind, detail string) {
	t.violations = appendBounded(t, t.violations, Violation{Kind: kind, Detail: detail, At: time.Now()})
}

func (t *engineTruth) addStop(reason string) { t.stopReasons = appendBounded(t, t.stopReasons, reason) }
func (t *engineTruth) updatePeak(mib int64)  { t.peakMiB = max(t.peakMiB, mib) }
func (t *engineTruth) countLoad()            { t.loads++ }
func (t *engineTruth) countUnload()          { t.unloads++ }

func (t *engineTruth) setLeaving(leaving bool) {
	t.leavingSince = time.Time{}
	if leaving {
		t.leavingSince = time.Now()
	}
}

// appendBounded returns the list with v appended. If the list is at its limit, it
// counts v as dropped instead.
func appendBounded[T any](t *engineTruth, list []T, v T) []T {
	if len(list) >= t.limit {
		t.droppedEntries++
		return list
	}
	return append(list, v)
}
