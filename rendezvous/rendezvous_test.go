package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRanksAreAPermutationLedByTheLeader(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	for k := range 50 {
		key := fmt.Sprint(k)
		var ranks []int
		for _, m := range members {
			rank := Rank(key, members, m)
			ranks = append(ranks, rank)
			require.Equal(t, rank == 0, Leader(key, members) == m)
		}
		slices.Sort(ranks)
		require.Equal(t, []int{0, 1, 2, 3, 4}, ranks)
	}
	require.Empty(t, Leader("x", nil))
}

func TestRemovedMemberMovesOnlyItsKeys(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	led := map[string]int{}
	for k := range 1000 {
		key := fmt.Sprint(k)
		leader := Leader(key, members)
		led[leader]++
		if leader != "c" {
			require.Equal(t, leader, Leader(key, []string{"a", "b", "d", "e"}))
		}
	}
	for _, m := range members {
		require.InDelta(t, 200, led[m], 60, m)
	}
}

// BenchmarkLeader measures how long it takes to find the leader of one shard, by
// number of members.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{41, 185, 370} {
		members := make([]string, n)
		for i := range members {
			members[i] = fmt.Sprintf("entry-%04d/dock-hall-a", i)
		}
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				Leader("claims/3", members)
			}
		})
	}
}
