package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// attemptFailures are the ways in which an attempt can end without an answer.
var attemptFailures = []Failure{
	{Reason: infra.ReasonUnreachable, Effect: infra.EffectNone, Unsent: true}, // connection refused
	{Reason: infra.ReasonTimeout, Effect: infra.EffectNone, Unsent: true},     // connection timeout
	{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone},                // refused before it ran
	{Reason: infra.ReasonNotResident, Effect: infra.EffectNone},               // sent to the wrong server, not run
	{Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown},            // connection reset after sending
	{Reason: infra.ReasonTimeout, Effect: infra.EffectUnknown},                // no response
	{Reason: infra.ReasonFailed, Effect: infra.EffectUnknown},                 // failed while running
	{Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Crash: true},
}

// TestRetriesAreSafeForEveryFailureSequence runs every sequence of up to four failures for
// idempotent and other requests with one to three attempts, and checks that no retry
// exceeds the limits or repeats what may have run.
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
			break // refused, or waits for a server in backoff
		}
		require.False(t, mayHaveRun && !idempotent, "retried although it may have run: %s", name)
		require.Less(t, sent, most, "sent to more servers than allowed: %s", name)
		require.Less(t, crashes, maxCrashes, "retried although it crashed servers: %s", name)
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
