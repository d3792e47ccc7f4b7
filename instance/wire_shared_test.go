package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/residency"
)

// requireRoundTrip requires that values are the same after their conversion to messages and back.
func requireRoundTrip[T, M any](t *testing.T, values []T, toWire func(T) M, fromWire func(M) T) {
	t.Helper()
	require.Equal(t, values, convertAll(convertAll(values, toWire), fromWire))
	require.Empty(t, convertAll(convertAll(nil, toWire), fromWire))
}

func TestBacklogsKeepTheirValuesOnTheWire(t *testing.T) {
	requireRoundTrip(t, []decide.Backlog{
		{Target: "m", Waiting: [decide.Ranks]float64{1, 2}, Arrivals: [decide.Ranks]float64{0, 0.5}, Starts: [decide.Ranks]float64{0, 0, 0, 4}},
	}, wireBacklog, backlogFromWire)
	ranks := [decide.Ranks]residency.RankDemand{{}, {Requests: 1, Waiting: 2, InFlight: 3, Goal: 4 * time.Millisecond, Starts: 5}}
	require.Equal(t, ranks, ranksFromWire(wireRanks(ranks)))
}

func TestSpeedsKeepTheirValuesOnTheWire(t *testing.T) {
	requireRoundTrip(t, []decide.SpeedSample{{Server: "s", Start: "a", Pool: "p", Model: "m", Count: 3, LogSum: -12.5}}, wireSpeedSample, speedSampleFromWire)
	requireRoundTrip(t, []decide.ServerSpeed{{Server: "s", Start: "a", Speed: 0.75, Count: 40}}, wireSpeed, speedFromWire)
}

func TestDemandsOfAccountsKeepTheirValuesOnTheWire(t *testing.T) {
	requireRoundTrip(t, []decide.AccountDemand{
		{Account: "a", Pool: "p", Waiting: -1.5, InFlight: 3}, {Account: "b", Pool: "q", Waiting: 2},
	}, wireAccountDemand, accountDemandFromWire)
}

// Without waiting requests or ranks, no bytes are sent for backlogs. Otherwise their number grows with
// the targets that have waiting requests, not with the instances.
func TestBytesOfBacklogs(t *testing.T) {
	require.Empty(t, wireRanks([decide.Ranks]residency.RankDemand{}))
	require.Empty(t, convertAll(nil, wireBacklog))
	res := &exchange.SyncResponse{}
	for i := range 32 {
		res.Backlogs = append(res.Backlogs, wireBacklog(decide.Backlog{
			Target:  fmt.Sprintf("service/model%07d", i),
			Waiting: [decide.Ranks]float64{20, 10, 5}, Arrivals: [decide.Ranks]float64{40, 20, 10}, Starts: [decide.Ranks]float64{15, 5, 1},
		}))
	}
	require.Less(t, proto.Size(res), 2500)
	t.Log(proto.Size(res))
	t.Log(proto.Size(&exchange.Demand{ByRank: wireRanks([decide.Ranks]residency.RankDemand{{Requests: 20, Waiting: 5, InFlight: 3, Goal: 400 * time.Millisecond, Starts: 9}})}))
}
