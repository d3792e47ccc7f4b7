package relay

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/residency"
	"greengageferry/topology"
)

// rankTable returns a table with one server, for which ranks compete or not.
func rankTable(byRank bool) *decide.Table {
	return &decide.Table{
		OwnDomain: "d", RoomByRank: byRank, Entries: map[string]int{"d": 1},
		Servers: []decide.Server{{ID: "s", Pool: "p", FailureDomain: "d", Slots: 4}},
		Targets: map[string]*decide.Target{"m": {Name: "m", Pool: "p", Model: "m", MaxTokens: 100, Replicas: []decide.Replica{{Server: 0}}}},
	}
}

// newRankDispatcher returns a dispatcher with the rankTable.
func newRankDispatcher(byRank bool) *dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := newDispatcher(rand.New(rand.NewPCG(1, 1)), log, testMetrics{})
	d.setTable(rankTable(byRank))
	return d
}

// submitRanked submits a call of rank 1.
func submitRanked(d *dispatcher, id string) *call {
	now := time.Now()
	c := &call{id: id, target: "m", arrived: now, deadline: now.Add(time.Minute), route: &topology.Route{Rank: 1}, decisions: make(chan decide.Decision, decisionBuffer)}
	d.submit(c, decide.Request{ID: id, Target: "m", Rank: 1, Arrived: now, Deadline: c.deadline, Idempotent: true, Goal: time.Second})
	return c
}

// A request that a server refused is sent again: it started once.
func TestDemandCountsStartsByRankOnce(t *testing.T) {
	d := newRankDispatcher(true)
	submitRanked(d, "a")
	again := submitRanked(d, "b")
	d.attemptFailed(again, decide.Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone})
	demand := d.demand()["m"]
	require.Equal(t, 2, demand.Requests)
	require.Equal(t, 2, demand.ByRank[1].Requests)
	require.Equal(t, 2, demand.ByRank[1].Starts)
	require.Equal(t, time.Second, demand.ByRank[1].Goal)
	require.Equal(t, demand.InFlight, demand.ByRank[1].InFlight)
	require.Equal(t, demand.Waiting, demand.ByRank[1].Waiting)
	require.Zero(t, d.demand()["m"].ByRank[1].Starts, "since the last report")
}

// Where ranks don't compete, demand isn't reported by rank.
func TestDemandIsNotReportedByRankWithoutRanks(t *testing.T) {
	d := newRankDispatcher(false)
	submitRanked(d, "a")
	demand := d.demand()["m"]
	require.Equal(t, 1, demand.Requests)
	require.Equal(t, [decide.Ranks]residency.RankDemand{}, demand.ByRank)
}
