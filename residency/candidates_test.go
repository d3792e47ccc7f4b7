package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCandidatesAreFewInEachDomainThoseWithMostProcessorFirst(t *testing.T) {
	var members []Member
	for i := range 295 {
		m := Member{Name: fmt.Sprintf("i%03d", i), Domain: fmt.Sprint("d", i%6), Addr: fmt.Sprint("10.0.0.", i), Cores: 0.2}
		if i >= 277 && i != 290 { // all but one domain have three that are larger
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	got := chooseCandidates(members)
	require.Len(t, got, 6*candidatesEach)
	domains := map[string]int{}
	for _, m := range got {
		domains[m.Domain]++
		require.True(t, m.Cores > 0.5 || m.Domain == "d2", "%v", m)
	}
	for d, n := range domains {
		require.Equal(t, candidatesEach, n, d)
	}
	require.True(t, got.Has(got[0].Name))
	require.False(t, got.Has("nobody"))
	require.Equal(t, got.Digest(), chooseCandidates(members).Digest())
	require.NotEqual(t, got.Digest(), got[1:].Digest())
}

func TestFewInstancesAreAllCandidates(t *testing.T) {
	var members []Member
	for i := range allCandidates {
		members = append(members, Member{Name: fmt.Sprint("i", i), Domain: "x"})
	}
	require.Len(t, chooseCandidates(members), allCandidates)
	require.Len(t, chooseCandidates(append(members, Member{Name: "other", Domain: "y"})), candidatesEach+1)
	require.Empty(t, chooseCandidates(nil))
}

// A holder that has just won knows few instances: until it has heard of all,
// whoever stands goes on, so that the lease isn't passed on for it.
func TestCandidatesAreChosenOnceInstancesHaveSpoken(t *testing.T) {
	c := NewController(Options{})
	now := start
	say := func(name string, stands bool) bool {
		w := Word{Instance: name, Domain: "x", Addr: name, Stands: stands}
		c.demand.Said(now, w)
		_, chosen := c.chosen(now, w)
		return chosen
	}
	for round := range 8 { // until candidatesAfter
		for n := range 20 {
			require.Equal(t, n > 15, say(fmt.Sprintf("i%02d", n), n > 15), "round %d", round)
		}
		now = now.Add(candidatesAfter / 8)
	}
	for n := range 20 {
		require.Equal(t, n < candidatesEach, say(fmt.Sprintf("i%02d", n), n > 15))
	}
	now = now.Add(instanceGone + time.Second)
	require.True(t, say("i19", true), "a new lease begins anew")
}

// An instance takes part where the store names no holder, or where the holder
// chose it, and not for a word of a holder that chose others.
func TestWhoStandsForTheLease(t *testing.T) {
	now := time.Duration(0)
	g := newFakeGroup(func() time.Duration { return now })
	l := NewLease(g, "a", 3*time.Second, g.now, quietLog())
	require.False(t, l.Stands(), "nobody has said that the lease is free")
	l.Vacant()
	require.True(t, l.Stands())
	l.Heard(false)
	require.True(t, l.Stands(), "the list of candidates changes as a lease begins")
	now += withdrawAfter
	require.False(t, l.Stands())
	l.Heard(true)
	require.True(t, l.Stands())
	now += time.Hour
	require.True(t, l.Stands(), "a holder that falls silent leaves its candidates standing")
	l.Heard(false)
	now += withdrawAfter
	require.False(t, l.Stands())
	l.Vacant()
	l.renew(t.Context())
	require.True(t, l.Holds())
	l.Heard(false)
	now += withdrawAfter
	require.True(t, l.Stands(), "the holder renews whoever is chosen")
}

// Most instances never renew: with 295 that each did it was one tenth of all
// calls to the store.
func TestOnlyThoseThatStandRenew(t *testing.T) {
	now := time.Duration(0)
	g := newFakeGroup(func() time.Duration { return now })
	l := NewLease(g, "a", 3*time.Second, g.now, quietLog())
	l.withdraw(t.Context())
	require.Empty(t, g.joined)
	l.Heard(true)
	l.renew(t.Context())
	require.Contains(t, g.joined, "a")
	l.Heard(false)
	l.withdraw(t.Context())
	require.NotContains(t, g.joined, "a", "another gets what it may have been given at once")
}
