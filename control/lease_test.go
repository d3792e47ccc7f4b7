package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/replay"
)

var leaseOptions = LeaseOptions{Holder: "me", Duration: 9 * time.Second, MaxClockDrift: 0.01, Stagger: time.Second, RetryDelay: time.Second / 2}

// at returns the time the given number of seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func leaseAt(holder string, id, renewed infra.Offset) replay.Lease {
	return replay.Lease{ID: id, Holder: holder, DurationMS: 9000, Renewed: renewed}
}

// holdingKeeper returns a keeper whose claim, sent at 0 s, was read back at offset 1.
func holdingKeeper(t *testing.T) *LeaseKeeper {
	keeper := NewLeaseKeeper(leaseOptions)
	keeper.Observe(at(0), 0, replay.Lease{})
	_, ok := keeper.Next(at(0), true, 0)
	require.True(t, ok)
	keeper.AppendDone(at(1), 1)
	require.False(t, keeper.Holds(at(1), 0), "not read back yet")
	keeper.Observe(at(1), 1, leaseAt("me", 1, 1))
	return keeper
}

func TestLeaseStartsBeforeClaimIsSent(t *testing.T) {
	k := holdingKeeper(t)
	require.True(t, k.Holds(at(8.9), 0))
	require.False(t, k.Holds(at(8.92), 0), "1% less than 9 s after 0")
	require.False(t, k.Holds(at(7), 2*time.Second), "less than the margin is left")
}

func TestRenewalExtendsLeaseOnlyOnceReadBack(t *testing.T) {
	for _, order := range []string{"answer first", "read back first"} {
		t.Run(order, func(t *testing.T) {
			k := holdingKeeper(t)
			_, ok := k.Next(at(2.9), true, 0)
			require.False(t, ok, "less than a third has passed")
			_, ok = k.Next(at(3), true, 0)
			require.True(t, ok)
			if order == "answer first" {
				k.AppendDone(at(4), 7)
				require.False(t, k.Holds(at(9), 0))
				k.Observe(at(4), 7, leaseAt("me", 1, 7))
			} else {
				k.Observe(at(4), 7, leaseAt("me", 1, 7))
				k.AppendDone(at(4), 7)
			}
			require.True(t, k.Holds(at(11.9), 0))
			require.False(t, k.Holds(at(11.92), 0))
			_, ok = k.Next(at(5.9), true, 0)
			require.False(t, ok, "the next renewal is due after another third")
		})
	}
}

func TestRenewalWithLostAnswerCountsFromEarliestSend(t *testing.T) {
	k := holdingKeeper(t)
	_, _ = k.Next(at(3), true, 0)
	k.AppendDone(at(5), 0) // result lost: the renewal may be on the log or not
	_, ok := k.Next(at(6), true, 0)
	require.True(t, ok)
	k.Observe(at(6), 5, leaseAt("me", 1, 5)) // one of the two renewals was read back
	require.True(t, k.Holds(at(11.9), 0))
	require.False(t, k.Holds(at(11.92), 0), "the renewal read back may be the first")
	k.AppendDone(at(7), 6)
	k.Observe(at(7), 6, leaseAt("me", 1, 6))
	require.True(t, k.Holds(at(14.9), 0), "the second renewal's offset is known")
}

func TestClaimantWaitsFullLeaseAfterLastRenewal(t *testing.T) {
	k := NewLeaseKeeper(leaseOptions)
	k.Observe(at(0), 1, leaseAt("other", 1, 1))
	k.Observe(at(5), 2, leaseAt("other", 1, 2))
	_, ok := k.Next(at(14), true, 0)
	require.False(t, ok)
	_, ok = k.Next(at(14.1), true, 1)
	require.False(t, ok, "rank 1 waits for rank 0")
	next, ok := k.Next(at(14.1), true, 0)
	require.True(t, ok)
	claim := next.Record.GetLeaseClaim()
	require.EqualValues(t, 1, claim.GetPrevious())
	require.EqualValues(t, 2, claim.GetLastSeen())
	k.AppendDone(at(14.2), 9)
	k.Observe(at(14.2), 9, leaseAt("third", 8, 8)) // another claim took effect; this one was void
	require.False(t, k.Holds(at(14.2), 0))
}

func TestOnlyLiveInstancesClaim(t *testing.T) {
	k := NewLeaseKeeper(leaseOptions)
	k.Observe(at(0), 0, replay.Lease{})
	_, ok := k.Next(at(100), false, 0)
	require.False(t, ok)
	k = holdingKeeper(t)
	_, ok = k.Next(at(1), false, 0)
	require.False(t, ok, "RetryDelay hasn't passed")
	next, ok := k.Next(at(2), false, 0)
	require.True(t, ok)
	require.EqualValues(t, 1, next.Record.GetLeaseRelease().GetLease())
}

func TestLeaseOfEarlierProcessIsReleased(t *testing.T) {
	k := NewLeaseKeeper(leaseOptions)
	k.Observe(at(0), 4, leaseAt("me", 4, 4)) // claimed by an earlier process
	require.False(t, k.Holds(at(0), 0))
	next, ok := k.Next(at(0), true, 0)
	require.True(t, ok)
	require.EqualValues(t, 4, next.Record.GetLeaseRelease().GetLease())
}

func TestReleasedLeaseIsClaimedImmediately(t *testing.T) {
	k := NewLeaseKeeper(leaseOptions)
	lease := leaseAt("other", 4, 6)
	lease.Released = true
	k.Observe(at(0), 6, lease)
	next, ok := k.Next(at(0), true, 0)
	require.True(t, ok)
	require.EqualValues(t, 6, next.Record.GetLeaseClaim().GetLastSeen())
}

func TestExpiredLeaseIsRenewedIfUnclaimed(t *testing.T) {
	k := holdingKeeper(t)
	for i := range 40 { // the log is down
		_, ok := k.Next(at(20+float64(i)), true, 0)
		require.True(t, ok)
		k.AppendDone(at(20.5+float64(i)), 0)
	}
	require.False(t, k.Holds(at(60), 0))
	_, ok := k.Next(at(61), true, 0)
	require.True(t, ok)
	k.AppendDone(at(61), 2)
	k.Observe(at(61), 2, leaseAt("me", 1, 2))
	require.True(t, k.Holds(at(69), 0))
}
