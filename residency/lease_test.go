package residency

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// renewAndSettle takes the steps of both duties of a lease.
func renewAndSettle(ctx context.Context, l *Lease) {
	l.renew(ctx)
	l.settle(ctx)
}

// notUnreachable is a storeUnreachable function for an instance that can't rule out
// that others reach the store.
func notUnreachable() bool { return false }

func TestLeaseTakeoverWaitAndExpiry(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	l := NewLease(newFakeGroup(clock), "a", 3*time.Second, clock, quietLog())
	renewAndSettle(t.Context(), l)
	require.True(t, l.Holds())
	require.Zero(t, l.Epoch(notUnreachable))
	for now < takeoverWait {
		now += renewInterval
		renewAndSettle(t.Context(), l)
	}
	require.Positive(t, l.Epoch(notUnreachable))
	unreachable := func() bool { return true }
	now += leaseValidity
	require.Zero(t, l.Epoch(unreachable), "it hasn't renewed since it was recorded")
	now = takeoverWait + renewInterval
	l.renew(t.Context())
	now += leaseValidity
	require.Zero(t, l.Epoch(notUnreachable), "also after the machine was suspended")
	require.Positive(t, l.Epoch(unreachable), "no other instance reaches the store")
	now += maxExtension - leaseValidity
	require.Zero(t, l.Epoch(unreachable), "an instance that it doesn't know may have won")
}

func TestOnRecoveryCalledOnce(t *testing.T) {
	clock := func() time.Duration { return 0 }
	g := newFakeGroup(clock)
	l := NewLease(g, "a", 3*time.Second, clock, quietLog())
	calls := 0
	l.OnRecovery(func() { calls++ })
	l.renew(t.Context())
	require.Zero(t, calls, "the store was never unreachable")
	g.down = true
	l.renew(t.Context())
	l.renew(t.Context())
	require.Zero(t, calls)
	g.down = false
	l.renew(t.Context())
	l.renew(t.Context())
	require.Equal(t, 1, calls)
}

func TestLeaseRewonAfterGap(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	g := newFakeGroup(clock)
	l := NewLease(g, "a", 3*time.Second, clock, quietLog())
	for range 5 {
		renewAndSettle(t.Context(), l)
		now += renewInterval
	}
	first := l.Epoch(notUnreachable)
	require.Positive(t, first)
	now += time.Minute
	g.generation += 4 // other members held the lease
	renewAndSettle(t.Context(), l)
	require.Zero(t, l.Epoch(notUnreachable), "the takeover wait applies again")
	for range 4 {
		now += renewInterval
		renewAndSettle(t.Context(), l)
	}
	require.Greater(t, l.Epoch(notUnreachable), first)
}

// The group's generation increases as members come and go. When the token followed it,
// an order delayed by the network arrived after one with a higher token from the same
// holder.
func TestTokenStableWhileHeld(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	g := newFakeGroup(clock)
	l := NewLease(g, "a", 3*time.Second, clock, quietLog())
	epochs := map[int64]bool{}
	for range 20 {
		renewAndSettle(t.Context(), l)
		now += renewInterval
		g.generation++
		if e := l.Epoch(notUnreachable); e != 0 {
			epochs[e] = true
		}
	}
	require.Len(t, epochs, 1)
}

// lastOrder is the newest order of any holder.
type lastOrder struct {
	holder string
	epoch  int64
	at     time.Duration
}

// check compares an order with the last one: epochs increase from one holder to the
// next, and two holders never send orders within the time that an order may be in
// flight.
func (o *lastOrder) check(t *rapid.T, holder string, epoch int64, now time.Duration) {
	if holder != o.holder {
		require.Greater(t, epoch, o.epoch)
		require.GreaterOrEqual(t, now-o.at, orderTimeout/2, "the earlier holder's order may be in flight")
	}
	require.GreaterOrEqual(t, epoch, o.epoch)
	*o = lastOrder{holder, epoch, now}
}

// Members join, are cut off, suspended and rebalanced in any order; the store goes
// down, and its membership TTLs may expire meanwhile. No two members may send orders
// within the time that an order may be in flight, and epochs only increase from one
// holder to the next.
func TestNoTwoHoldersOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		clock := func() time.Duration { return now }
		g := newFakeGroup(clock)
		const ttl = 3 * time.Second
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		cut := map[string]bool{}
		for _, n := range names {
			leases[n] = NewLease(g, n, ttl, clock, quietLog())
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var last lastOrder
		for range 400 {
			now += time.Duration(rng.IntN(300)) * time.Millisecond
			switch rng.IntN(20) {
			case 0:
				n := names[rng.IntN(3)]
				cut[n] = !cut[n]
			case 1:
				g.down = !g.down
				if !g.down && rng.IntN(2) == 0 { // the TTLs expired meanwhile
					clear(g.joined)
					g.owner = ""
				}
			case 2:
				if g.owner != "" {
					g.rebalance()
				}
			}
			for _, n := range names {
				if !cut[n] {
					renewAndSettle(context.Background(), leases[n])
				}
			}
			for _, n := range names {
				epoch := leases[n].Epoch(notUnreachable)
				if epoch == 0 {
					continue
				}
				last.check(t, n, epoch, now)
			}
		}
	})
}

// A restored store assigns partitions and generations a second time. Members are cut
// off from it, suspended and rebalanced, and exchange the tokens they know. Guards
// against an order while an earlier holder's may still be in flight, and against
// fencing tokens that are reused by another holder or decrease.
func TestNoTwoHoldersOrderAfterStoreRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		clock := func() time.Duration { return now }
		g := newFakeGroup(clock)
		g.era = 1
		snapshots := []groupSnapshot{g.snapshot()}
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		cut, suspendedUntil := map[string]bool{}, map[string]time.Duration{}
		for _, n := range names {
			leases[n] = NewLease(g, n, 3*time.Second, clock, quietLog())
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var last lastOrder
		exchangedAt, resumesAt := time.Duration(0), time.Duration(0)
		for range 400 {
			now += time.Duration(rng.IntN(300)) * time.Millisecond
			switch rng.IntN(24) {
			case 0:
				n := names[rng.IntN(3)]
				cut[n] = !cut[n]
			case 1:
				g.down = !g.down
			case 2:
				if g.owner != "" {
					g.rebalance()
				}
			case 3, 4:
				g.restore(snapshots[max(0, len(snapshots)-1-rng.IntN(20))])
			case 5:
				if n := names[rng.IntN(3)]; now >= resumesAt+time.Second { // one at a time, with tokens exchanged in between
					resumesAt = now + time.Duration(rng.IntN(4000))*time.Millisecond
					suspendedUntil[n] = resumesAt
				}
			}
			snapshots = append(snapshots, g.snapshot())
			for _, n := range names {
				if !cut[n] && now >= suspendedUntil[n] {
					renewAndSettle(context.Background(), leases[n])
				}
			}
			exchange := now-exchangedAt >= 500*time.Millisecond
			if exchange {
				exchangedAt = now
			}
			for _, n := range names {
				for _, other := range names {
					if exchange && n != other && now >= suspendedUntil[n] && now >= suspendedUntil[other] {
						leases[n].ObserveToken(leases[other].Token())
					}
				}
			}
			for _, n := range names {
				epoch := leases[n].Epoch(notUnreachable)
				if epoch == 0 || now < suspendedUntil[n] {
					continue
				}
				last.check(t, n, epoch, now)
			}
		}
	})
}

// A holder that can't reach the store must not go on as the holder once it hears that
// another member has won the lease.
func TestHolderThatHearsOfANewerTokenHasLostTheLease(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	g := newFakeGroup(clock)
	l := NewLease(g, "a", 3*time.Second, clock, quietLog())
	renewAndSettle(t.Context(), l)
	for now < takeoverWait {
		now += renewInterval
		renewAndSettle(t.Context(), l)
	}
	own := l.Token()
	l.ObserveToken(Token{Number: own.Number - 1, Holder: "b"})
	require.True(t, l.Holds(), "an older token changes nothing")
	g.down = true
	l.ObserveToken(Token{Number: own.Number + 4, Holder: "b"})
	require.False(t, l.Holds())
	require.Zero(t, l.Epoch(func() bool { return true }))
	require.Equal(t, Token{Number: own.Number + 4, Holder: "b"}, l.Token())
	g.down = false
	renewAndSettle(t.Context(), l)
	require.True(t, l.Holds(), "the store still names it")
	require.Greater(t, l.Token().Number, own.Number+4)
	require.Zero(t, l.Epoch(notUnreachable), "it waits as any new holder does")
}

// A holder that reaches no servers can't order anything; another instance has to.
func TestBarredHolderGivesUpTheLease(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	g := &fakeGroup{now: clock, joined: map[string]time.Duration{}, generations: map[string]int64{}, holders: map[string]int64{}}
	a, b := NewLease(g, "a", leaseTTLForTest, clock, quietLog()), NewLease(g, "b", leaseTTLForTest, clock, quietLog())
	ctx := t.Context()
	a.ObserveVacancy()
	a.renew(ctx)
	require.True(t, a.Holds())
	b.ObserveHolder(true)
	b.renew(ctx)
	a.SetBarred(true)
	require.False(t, a.Holds(), "at once")
	require.False(t, a.Competes())
	a.renew(ctx) // one that was under way
	require.False(t, a.Holds())
	a.leaveGroup(ctx)
	b.renew(ctx)
	require.True(t, b.Holds())
	a.SetBarred(false)
	require.True(t, a.Competes())
	a.renew(ctx)
	require.False(t, a.Holds(), "b holds the lease")
}

const leaseTTLForTest = 3 * time.Second
