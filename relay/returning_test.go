package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/topology"
)

// A caller that was refused while its model is loaded still waits for it: were it not counted, a
// model with queued requests would be loaded first.
func TestCallersThatComeBackForTheirModelCountAsWaiting(t *testing.T) {
	d := newRankDispatcher(false)
	c := &call{target: "m", route: &topology.Route{Rank: 1}, deadline: time.Now().Add(9 * time.Second)}
	refusal := decide.Decision{Action: decide.ActionRefuse, Reason: decide.ReasonDeadline, RetryAfter: 2 * time.Second}
	d.noteReturning(c, refusal)
	require.Empty(t, d.demand(), "ranks don't compete")

	d.setTable(rankTable(true))
	d.noteReturning(c, refusal)
	refusal.Inputs.Candidates = 1 // its model has a replica
	d.noteReturning(c, refusal)
	demand := d.demand()["m"]
	require.Equal(t, 1, demand.Waiting)
	require.Equal(t, 1, demand.ByRank[1].Waiting)

	d.returning[0].until = time.Now().Add(-time.Millisecond)
	require.Empty(t, d.demand(), "it has come back, or never will")
}
