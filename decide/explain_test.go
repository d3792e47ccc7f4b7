package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An explanation names what Submit then decides, while servers fill up and requests queue and
// are refused.
func TestExplanationIsWhatSubmitDecides(t *testing.T) {
	s := testScheduler(testTable(1, 2, 1, "am"))
	warmUp(s, "am")
	now := simStart.Add(time.Second)
	seen := map[Action]int{}
	for i := range 40 {
		r := newTestRequest(fmt.Sprint(i), "am", 5*time.Second)
		e := s.Explain(now, r)
		d := s.Submit(now, r)
		require.NotEmpty(t, d)
		require.Equal(t, d[0].Action, e.Action, "request %d", i)
		require.Equal(t, d[0].Server.ID, e.Server.ID)
		seen[e.Action]++
	}
	require.Len(t, seen, 3)
}

// An explanation takes no slot and no place in a queue, and counts as no arrival.
func TestExplanationChangesNothing(t *testing.T) {
	s := testScheduler(testTable(2, 2, 1, "am"))
	warmUp(s, "am")
	now := simStart.Add(time.Second)
	before := s.fleet.targets["am"].arrivalRate
	for range 10 {
		require.Equal(t, ActionDispatch, s.Explain(now, newTestRequest("x", "am", time.Minute)).Action)
	}
	require.Equal(t, before, s.fleet.targets["am"].arrivalRate)
	require.Zero(t, s.Queued())
	require.Zero(t, s.fleet.servers["s0"].own+s.fleet.servers["s1"].own)
	require.Empty(t, s.requests)
}

func TestExplanationNamesTheRuleThatExcludesAServer(t *testing.T) {
	table := testTable(2, 1, 1, "am")
	table.Servers[0].Leaving = true
	s := testScheduler(table)
	e := s.Explain(simStart, newTestRequest("x", "am", time.Minute))
	require.Equal(t, "s1", e.Server.ID)
	require.Len(t, e.Replicas, 2)
	require.Empty(t, e.Replicas[0].DroppedBy)
	require.Equal(t, "availability", e.Replicas[1].DroppedBy)
	require.Equal(t, ReasonUnknownTarget, s.Explain(simStart, newTestRequest("x", "unknown", time.Minute)).Reason)
}
