package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// If an account sends five times as much as the others, these get what they get without it.
func TestAccountThatSendsFiveTimesItsUsualLeavesTheOthersTheirShare(t *testing.T) {
	t.Parallel()
	usual := simulateContention(contentionSettings{instances: 75, load: 1, seed: 7})
	hot := simulateContention(contentionSettings{instances: 75, load: 1, hot: 5, seed: 7})
	t.Log("usual:", usual)
	t.Log("hot:  ", hot, "hot account", float64(hot.hotInTime)/float64(hot.hotArrived))
	require.GreaterOrEqual(t, hot.othersInTime(), 0.9*usual.othersInTime())
	require.Positive(t, hot.hotInTime)
}

// Without a lease holder an instance limits accounts by its own requests alone.
func TestAccountsSharesWithoutALeaseHolder(t *testing.T) {
	t.Parallel()
	usual := simulateContention(contentionSettings{instances: 75, load: 1, seed: 7, cutTo: contentionEnd})
	hot := simulateContention(contentionSettings{instances: 75, load: 1, hot: 5, seed: 7, cutTo: contentionEnd})
	t.Log("usual:", usual)
	t.Log("hot:  ", hot, "hot account", float64(hot.hotInTime)/float64(hot.hotArrived))
	require.GreaterOrEqual(t, hot.othersInTime(), 0.9*usual.othersInTime())
}

// sharesOf returns the allowed fractions of accounts a, b, c and so on. wantedAndInFlight holds, for
// each account, the requests that it wants at the pool's servers and those that it has there.
func sharesOf(weights map[string]float64, slots float64, wantedAndInFlight ...float64) map[string]float64 {
	a := accountShares{weights: weights}
	var demands []AccountDemand
	for i := 0; i < len(wantedAndInFlight); i += 2 {
		wanted, inFlight := wantedAndInFlight[i], wantedAndInFlight[i+1]
		demands = append(demands, AccountDemand{Account: string(rune('a' + i/2)), Pool: "p", Waiting: wanted - inFlight, InFlight: inFlight})
	}
	a.compute(demands, func(_ string, of []AccountDemand) float64 { return a.sharedCapacity(of, slots) })
	out := map[string]float64{}
	for k, allowed := range a.allowedFraction {
		out[k.account] = allowed
	}
	return out
}

func TestSharesAreByWeightAndLent(t *testing.T) {
	for name, tc := range map[string]struct {
		weights map[string]float64
		demands []float64 // wanted and in flight, by account
		want    map[string]float64
	}{
		"room for all":                   {nil, []float64{100, 100, 700, 700, 100, 100}, nil},
		"one takes what others need":     {nil, []float64{300, 250, 2000, 500, 300, 250}, map[string]float64{"b": 400.0 / 2000 * 400 / 500}},
		"what isn't used is lent":        {nil, []float64{100, 100, 2000, 800, 100, 100}, map[string]float64{"b": 800.0 / 2000}},
		"by weight":                      {map[string]float64{"a": 3, "b": 1}, []float64{3000, 700, 1000, 300}, nil},
		"over its share by weight":       {map[string]float64{"a": 1, "b": 3}, []float64{600, 500, 600, 500}, map[string]float64{"a": 400.0 / 600 * 400 / 500}},
		"all want more than there is":    {nil, []float64{600, 333, 600, 333, 600, 333}, nil},
		"requests vary":                  {nil, []float64{320, 320, 390, 390, 330, 290}, nil},
		"few replicas though free slots": {nil, []float64{100, 50, 1000, 200, 100, 50}, map[string]float64{"b": 100.0 / 1000 * 100 / 200}},
		"few requests that vary":         {nil, []float64{6, 1, 0.5, 0}, nil},
		"alone":                          {nil, []float64{5000, 1000}, nil},
	} {
		got := sharesOf(tc.weights, 1000, tc.demands...)
		require.Len(t, got, len(tc.want), "%s: %v", name, got)
		for account, want := range tc.want {
			require.InDelta(t, want, got[account], 0.02, "%s: %s", name, account)
		}
	}
}

// accountRequest returns a request of an account.
func accountRequest(n int, account string) Request {
	r := newTestRequest(fmt.Sprint(account, n), "am", time.Hour)
	r.Account = account
	return r
}

func TestSharesOfAnAccountAreTakenBackAndGivenUp(t *testing.T) {
	table := testTable(1, 100, 1, "am")
	table.Targets["am"].Pool = "p"
	table.AccountWeights = map[string]float64{"hot": 1, "other": 1}
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	s.SetTable(simStart, table)
	s.UpdateLoad(simStart, "s0", infra.Load{Running: 90}, 0)
	refused := func(now time.Time, account string) int {
		n := 0
		for i := range 50 {
			d := s.Submit(now, accountRequest(i, account))
			if d[0].Reason == ReasonAccountShare {
				require.Equal(t, ActionRefuse, d[0].Action)
				require.GreaterOrEqual(t, d[0].RetryAfter, time.Second)
				n++
			}
			s.Cancel(now, d[0].Request)
		}
		return n
	}
	require.Zero(t, refused(simStart, "hot"))
	report := func(now time.Time, hot, other float64) {
		s.UpdateAccounts(now, []AccountDemand{{Account: "hot", Pool: "p", Waiting: hot}, {Account: "other", Pool: "p", Waiting: other}})
	}
	now := simStart.Add(time.Second)
	report(now, 500, 50)
	require.Len(t, s.AccountsOverShare(), 1)
	require.Equal(t, "hot", s.AccountsOverShare()[0].Account)
	require.InDelta(t, 45, refused(now, "hot"), 4)
	require.Zero(t, refused(now, "other"))
	now = now.Add(500 * time.Millisecond)
	report(now, 500, 0)
	require.InDelta(t, 40, refused(now, "hot"), 6, "it gets all of the pool")
	now = now.Add(500 * time.Millisecond)
	report(now, 40, 50)
	require.Zero(t, refused(now, "hot"))
	now = now.Add(500 * time.Millisecond)
	report(now, 500, 50)
	now = now.Add(accountsTTL + time.Second)
	require.Zero(t, refused(now, "hot"), "the report is too old, and nothing waits at this instance")
	table.AccountWeights = nil
	s.SetTable(now, table)
	require.Nil(t, s.AccountDemands())
}

// Before an instance knows how long requests hold their slots in a pool, it reports only its requests
// in flight: an assumed time could be far too long.
func TestDemandOfAPoolOfWhichLittleIsKnown(t *testing.T) {
	table := testTable(1, 100, 1, "am")
	table.Targets["am"].Pool, table.AccountWeights = "p", map[string]float64{"a": 1}
	s := testScheduler(table)
	now := simStart
	for i := range 4 {
		s.Submit(now, accountRequest(i, "a"))
		demands := s.AccountDemands()
		require.Len(t, demands, 1)
		if i < 3 {
			require.Equal(t, AccountDemand{Account: "a", Pool: "p", InFlight: 1}, demands[0])
		} else {
			require.InDelta(t, 4/accountDecay.Seconds()*0.02, demands[0].wanted(), 0.05)
		}
		now = now.Add(20 * time.Millisecond)
		completeRequest(s, now, fmt.Sprint("a", i), "s0")
	}
}

// The demand of an account decays after its last request, also at an instance that gets no further ones.
func TestDemandOfAnAccountThatStopsIsForgotten(t *testing.T) {
	table := testTable(1, 100, 1, "am")
	table.Targets["am"].Pool, table.AccountWeights = "p", map[string]float64{"a": 1}
	s := testScheduler(table)
	for i := range 100 {
		s.Submit(simStart, accountRequest(i, "a"))
		completeRequest(s, simStart.Add(time.Second), fmt.Sprint("a", i), "s0")
	}
	require.Greater(t, s.AccountDemands()[0].wanted(), 50.0)
	s.UpdateAccounts(simStart.Add(5*time.Second), nil)
	require.Less(t, s.AccountDemands()[0].wanted(), 0.1)
}

// A few requests that wait briefly at an instance don't mean that the pool is full.
func TestFewWaitingRequestsAreNoContention(t *testing.T) {
	table := testTable(1, 4, 1, "am")
	table.Targets["am"].Pool, table.NoServerQueue = "p", true
	table.AccountWeights = map[string]float64{"a": 1, "b": 1}
	s := testScheduler(table)
	for i := range 8 {
		account := "a"
		if i == 0 {
			account = "b"
		}
		require.NotEqual(t, ReasonAccountShare, s.Submit(simStart.Add(time.Duration(i)*ownSharesInterval), accountRequest(i, account))[0].Reason)
	}
	require.Empty(t, s.AccountsOverShare())
}

// A pool can count as full while servers of other models are idle. These take requests of any account.
func TestRequestsOverTheShareGoToIdleServers(t *testing.T) {
	table := testTable(2, 100, 1, "am", "bm")
	table.Targets["am"].Replicas, table.Targets["bm"].Replicas = []Replica{{Server: 0}}, []Replica{{Server: 1}}
	table.Targets["am"].Pool, table.Targets["bm"].Pool = "p", "p"
	table.AccountWeights = map[string]float64{"hot": 1, "other": 1}
	s := testScheduler(table)
	s.UpdateLoad(simStart, "s0", infra.Load{Running: 100}, 0)
	s.UpdateLoad(simStart, "s1", infra.Load{Running: 10}, 0)
	s.UpdateAccounts(simStart, []AccountDemand{{Account: "hot", Pool: "p", Waiting: 100_000}, {Account: "other", Pool: "p", Waiting: 90}})
	busy, idle := accountRequest(1, "hot"), accountRequest(2, "hot")
	idle.Target = "bm"
	require.Equal(t, ReasonAccountShare, s.Submit(simStart, busy)[0].Reason)
	require.Equal(t, ActionDispatch, s.Submit(simStart, idle)[0].Action)
}

// A server that crashed has no requests and none of its models: it isn't idle.
func TestServerThatLostItsModelsIsNotIdle(t *testing.T) {
	s := testScheduler(testTable(1, 100, 1, "am"))
	s.UpdateLoad(simStart, "s0", infra.Load{Running: 10}, 0)
	target, server := s.fleet.targets["am"], s.fleet.servers["s0"]
	require.True(t, s.hasIdleReplica(simStart, target))
	server.emptyUntil = simStart.Add(time.Second)
	require.False(t, s.hasIdleReplica(simStart, target))
	server.emptyUntil = time.Time{}
	target.replicas[0].unreadyUntil = simStart.Add(time.Second)
	require.False(t, s.hasIdleReplica(simStart, target))
}

func TestQueuedRequestsOverTheShareAreRefusedOnceThatIsKnown(t *testing.T) {
	table := testTable(1, 4, 1, "am") // a server with four slots
	table.Targets["am"].Pool, table.NoServerQueue = "p", true
	table.AccountWeights = map[string]float64{"hot": 1, "other": 1}
	s := testScheduler(table)
	for i := range 44 {
		s.Submit(simStart, accountRequest(i, "hot"))
	}
	for i := range 4 {
		s.Submit(simStart, accountRequest(i, "other"))
	}
	s.UpdateAccounts(simStart, []AccountDemand{{Account: "hot", Pool: "p", Waiting: 40, InFlight: 4}, {Account: "other", Pool: "p", Waiting: 2}})
	refused := 0
	for _, d := range s.Tick(simStart) {
		require.Equal(t, ReasonAccountShare, d.Reason)
		require.Contains(t, d.Request, "hot")
		refused++
	}
	require.Greater(t, refused, 30)
	require.Empty(t, s.Tick(simStart), "each is judged once")
}
