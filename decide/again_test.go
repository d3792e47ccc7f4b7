package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// failureKinds are the ways in which an attempt may end without an answer.
var attemptFailures = []Failure{
	{Reason: infra.ReasonUnreachable, Effect: infra.EffectNone, Unsent: true}, // no connection
	{Reason: infra.ReasonTimeout, Effect: infra.EffectNone, Unsent: true},     // the way is cut
	{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone},                // refused, not run
	{Reason: infra.ReasonNotResident, Effect: infra.EffectNone},               // misdirected, not run
	{Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown},            // reset after it was sent
	{Reason: infra.ReasonTimeout, Effect: infra.EffectUnknown},                // silent
	{Reason: infra.ReasonFailed, Effect: infra.EffectUnknown},                 // it ran, and failed
	{Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Crash: true},
}

// TestEveryHistoryOfFailuresKeepsWhatMayBeRepeated plays every sequence of up to
// four failures for each kind of request, and checks each decision against what
// the request's kind allows.
func TestRetriesAreSafeForEveryFailureSequence(t *testing.T) {
	const deepest = 4
	for _, idempotent := range []bool{false, true} {
		for most := 1; most <= 3; most++ {
			history := make([]int, 0, deepest)
			var play func()
			play = func() {
				checkFailureSequence(t, idempotent, most, history)
				if len(history) == deepest {
					return
				}
				for k := range attemptFailures {
					history = append(history, k)
					play()
					history = history[:len(history)-1]
				}
			}
			play()
		}
	}
}

func checkFailureSequence(t *testing.T, idempotent bool, most int, history []int) {
	table := testTable(8, 10, 1, "am")
	table.Retry = RetryPolicy{Ratio: 0.1, Reserve: 100}
	s := testScheduler(table)
	r := newTestRequest("r", "am", time.Hour)
	r.Idempotent, r.MaxAttempts = idempotent, most
	d := s.Submit(simStart, r)
	name := fmt.Sprint("idempotent ", idempotent, ", at most ", most, ", history ", history)
	sent, mayHaveRun, crashes := 0, false, 0
	for _, k := range history {
		require.Len(t, d, 1, name)
		if d[0].Action != ActionDispatch {
			break // final, or waits for a server that was left alone
		}
		require.False(t, mayHaveRun && !idempotent, "sent again though it may have run: %s", name)
		require.Less(t, sent, most, "sent to more servers than allowed: %s", name)
		require.Less(t, crashes, maxCrashes, "sent again though it crashes servers: %s", name)
		f := attemptFailures[k]
		if !f.Unsent {
			sent++
		}
		if f.Crash {
			crashes++
		}
		mayHaveRun = mayHaveRun || f.Effect != infra.EffectNone
		d = s.AttemptFailed(simStart, "r", d[0].Server.ID, f)
	}
	if len(d) == 1 && d[0].Action == ActionRefuse {
		require.Equal(t, !idempotent && mayHaveRun, d[0].Reason == ReasonMayHaveRun, name)
		require.Nil(t, s.requests["r"], name)
	}
}
