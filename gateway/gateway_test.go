package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/gateway"
)

func members(n int) []gateway.Member {
	var out []gateway.Member
	for i := range n {
		out = append(out, gateway.Member{Domain: fmt.Sprint("d", i%2), Addr: fmt.Sprintf("10.0.%d.%d:1", i/100, i%100)})
	}
	return out
}

func TestSharesOfAServerAddUpToItsSlots(t *testing.T) {
	for _, n := range []int{1, 2, 3, 18, 200} {
		list := gateway.ChooseMembers(members(n))
		require.LessOrEqual(t, len(list), 32)
		for slots := 1; slots < 70; slots++ {
			for limit := 1; limit < 12; limit++ {
				s := gateway.Server{ID: "s", Domain: "d0", Slots: slots, RefusalLimit: limit}
				route := list.RouteTo(s)
				sum := 0
				for rank, share := range route.Shares {
					require.Positive(t, share)
					require.Equal(t, share, route.ShareOf(route.Ranking[rank]))
					sum += share
				}
				require.Equal(t, slots, sum)
				require.ElementsMatch(t, route.Ranking, route.Order(slots+limit))
				require.LessOrEqual(t, gateway.SmallestShare(s)*len(route.Shares), slots+len(route.Shares))
			}
		}
	}
}

func TestAnInstanceThatLeavesChangesOneGatewayOfAServerAtMost(t *testing.T) {
	all := members(30)
	before := gateway.ChooseMembers(all)
	for left := range all {
		after := gateway.ChooseMembers(append(append([]gateway.Member(nil), all[:left]...), all[left+1:]...))
		for n := range 50 {
			s := gateway.Server{ID: fmt.Sprint("s", n), Domain: "d1", Slots: 24, RefusalLimit: 5}
			a, b := before.RouteTo(s), after.RouteTo(s)
			kept := 0
			for _, addr := range a.Ranking[:len(a.Shares)] {
				for _, other := range b.Ranking[:len(b.Shares)] {
					if addr == other {
						kept++
					}
				}
			}
			require.GreaterOrEqual(t, kept, len(a.Shares)-1)
		}
	}
}

func TestServersOfADomainWithoutInstancesHaveGatewaysElsewhere(t *testing.T) {
	route := gateway.ChooseMembers(members(4)).RouteTo(gateway.Server{ID: "s", Domain: "other", Slots: 6, RefusalLimit: 5})
	require.Len(t, route.Ranking, 4)
	require.Len(t, route.Shares, 2)
	none := gateway.Members(nil).RouteTo(gateway.Server{ID: "s", Slots: 6, RefusalLimit: 5})
	require.Empty(t, none.Order(3))
	require.Zero(t, none.ShareOf("10.0.0.1:1"))
}

func TestLimiterAdmitsItsShareAndLetsOthersWait(t *testing.T) {
	var l gateway.Limiter
	now := time.UnixMilli(0)
	require.Equal(t, gateway.Admitted, request(&l, now, "s", 2, 1, true))
	require.Equal(t, gateway.Admitted, request(&l, now, "s", 2, 2, true))
	require.Equal(t, gateway.Full, request(&l, now, "s", 2, 3, false))
	require.Equal(t, gateway.Waiting, request(&l, now, "s", 2, 4, true))
	require.Equal(t, gateway.Waiting, request(&l, now, "s", 2, 5, true))
	require.Equal(t, gateway.Full, request(&l, now, "s", 2, 6, true))
	require.Equal(t, []uint64{4}, l.Release(now, "s", gateway.Completed))
	require.True(t, l.Withdraw(now, "s", 5))
	require.False(t, l.Withdraw(now, "s", 4), "it was admitted")
	require.Empty(t, l.Release(now, "s", gateway.Completed))
	require.Equal(t, gateway.Full, request(&l, now, "none", 0, 7, true), "without a share nothing waits")
}

// The server may be at work for a while on what its caller has given up.
func TestAbandonedAttemptKeepsItsSlotForAWhile(t *testing.T) {
	var l gateway.Limiter
	now := time.UnixMilli(0)
	require.Equal(t, gateway.Admitted, request(&l, now, "s", 1, 1, true))
	require.Empty(t, l.Release(now, "s", gateway.Abandoned))
	require.Equal(t, gateway.Full, request(&l, now.Add(400*time.Millisecond), "s", 1, 2, false))
	require.Equal(t, gateway.Admitted, request(&l, now.Add(600*time.Millisecond), "s", 1, 3, false))
}

// Each gateway may be refused once in a pause, which grows while that goes on.
func TestGatewayThatWasRefusedSendsNoMoreThanTheServerHadRoomFor(t *testing.T) {
	var l gateway.Limiter
	now := time.UnixMilli(0)
	for id := range 3 {
		require.Equal(t, gateway.Admitted, request(&l, now, "s", 3, uint64(id), false))
	}
	require.Empty(t, l.Release(now, "s", gateway.Refused))
	require.Equal(t, gateway.Full, request(&l, now.Add(900*time.Millisecond), "s", 3, 4, false), "two are there")
	require.Empty(t, l.Release(now, "s", gateway.Refused))
	require.Equal(t, gateway.Full, request(&l, now.Add(1900*time.Millisecond), "s", 3, 5, false), "the pause is longer now")
	require.Equal(t, gateway.Admitted, request(&l, now.Add(2100*time.Millisecond), "s", 3, 6, false))
}

func TestRefusalLimitLastsUntilNoAnswerShowsIt(t *testing.T) {
	var l gateway.Limits
	now := time.UnixMilli(1_000_000)
	requireLimit := func(perSecond int, known bool, at time.Time) {
		t.Helper()
		gotPerSecond, gotKnown := l.Of(at, "desk")
		require.Equal(t, perSecond, gotPerSecond)
		require.Equal(t, known, gotKnown)
	}
	requireLimit(0, false, now)
	require.False(t, l.Observe(now, "desk", 0, now.Add(time.Millisecond)))
	requireLimit(0, true, now)
	require.True(t, l.Observe(now, "desk", 5, now), "one answer that shows it counts more than one without it")
	require.False(t, l.Observe(now, "desk", 0, now.Add(time.Second)), "an answer without it ends nothing")
	require.False(t, l.Observe(now, "desk", 7, now.Add(-time.Second)), "an older answer")
	requireLimit(5, true, now)
	require.Equal(t, []gateway.Limit{{Service: "desk", PerSecond: 5, Age: 14 * time.Second}}, l.List(now.Add(14*time.Second)))
	requireLimit(0, false, now.Add(15*time.Second))
	require.False(t, l.Observe(now.Add(15*time.Second), "desk", 5, now), "too old when it is passed on")
	require.Empty(t, l.List(now.Add(15*time.Second)))
	require.False(t, l.Observe(now.Add(15*time.Second), "desk", 0, now.Add(15*time.Second)))
	requireLimit(0, true, now.Add(16*time.Second))
	requireLimit(0, false, now.Add(15*time.Second+10*time.Minute))
}

// request asks for an attempt to be sent while no other waits for a pause to end.
func request(l *gateway.Limiter, now time.Time, start string, share int, id uint64, mayWait bool) gateway.Verdict {
	verdict, _ := l.Request(now, start, share, id, mayWait)
	return verdict
}

// Attempts that wait kept a gateway from sending anything, long after its pause.
func TestGatewaySendsAgainAfterAPauseWhileAttemptsWait(t *testing.T) {
	for how, pause := range map[gateway.Ending]time.Duration{gateway.Refused: time.Second, gateway.Abandoned: 500 * time.Millisecond} {
		var l gateway.Limiter
		now := time.UnixMilli(0)
		require.Equal(t, gateway.Admitted, request(&l, now, "s", 1, 1, true))
		require.Empty(t, l.Release(now, "s", how))
		require.Equal(t, gateway.Waiting, request(&l, now.Add(pause-time.Millisecond), "s", 1, 2, true))
		verdict, admitted := l.Request(now.Add(pause), "s", 1, 3, true)
		require.Equal(t, gateway.Waiting, verdict, "the other was first")
		require.Equal(t, []uint64{2}, admitted)
	}
}
