package topology

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawServer draws a random description of a server.
func drawServer(t *rapid.T, id string) *Server {
	s := &Server{ID: id, Service: "llm", Addr: "10.0.0.1:1", Slots: 8, Born: time.UnixMilli(int64(rapid.IntRange(1, 2).Draw(t, "born")))}
	s.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
	for m := range rapid.IntRange(0, 3).Draw(t, "models") {
		model := HeldModel{Name: fmt.Sprint("m", m), Version: int64(rapid.IntRange(1, 2).Draw(t, "version"))}
		for a := range 4 {
			if rapid.Bool().Draw(t, "adapter") {
				model.Adapters = append(model.Adapters, AdapterName(a+1))
			}
		}
		s.Models = append(s.Models, model)
	}
	if rapid.Bool().Draw(t, "disk") {
		s.OnDisk = []string{"m0"}
	}
	return s
}

// One fleet applies changes, with store outages and expired entries; another applies only
// the deltas since its own list. Both must have the same list, servers without an entry
// included.
func TestFollowerReachesSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := NewFleet(), NewFleet()
		now := time.UnixMilli(1_000_000)
		for _, f := range []*Fleet{leader, follower} { // both start from the same list
			f.ApplyChanges(now, []ServerChange{{ID: "s0", Server: &Server{ID: "s0"}}})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			c := ServerChange{ID: fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0: // the entry is removed
				leader.ApplyChanges(now, []ServerChange{c})
			case 1:
				leader.StoreRecovered(now)
			case 2:
				leader.RemoveExpired(now)
			default:
				c.Server = drawServer(t, c.ID)
				leader.ApplyChanges(now, []ServerChange{c})
			}
			if rapid.Bool().Draw(t, "told") {
				steps, ok := leader.DeltasSince(follower.Digest())
				require.True(t, ok)
				require.True(t, follower.ApplyDeltas(now, steps, leader.Digest()))
				require.Equal(t, leader.IDs(), follower.IDs())
				for _, id := range leader.IDs() {
					a, b := leader.servers[id], follower.servers[id]
					require.True(t, a.Equal(&b), "%+v, %+v", a, b)
				}
				requireUsesAllWithEntry(t, leader)
				requireUsesAllWithEntry(t, follower)
			}
		}
	})
}

// requireUsesAllWithEntry checks that a fleet uses the servers with an entry, and of the
// others only those that it keeps.
func requireUsesAllWithEntry(t *rapid.T, f *Fleet) {
	var want []string
	for _, id := range f.IDs() {
		if !f.servers[id].NoEntry || slices.Contains(f.Kept(), id) {
			want = append(want, id)
		}
	}
	var used []string
	for _, s := range f.Servers() {
		used = append(used, s.ID)
	}
	require.Equal(t, want, used)
}

func TestUnknownListNotFollowed(t *testing.T) {
	leader, other := NewFleet(), NewFleet()
	now := time.UnixMilli(1_000_000)
	other.ApplyChanges(now, []ServerChange{{ID: "x", Server: &Server{ID: "x"}}})
	leader.ApplyChanges(now, []ServerChange{{ID: "y", Server: &Server{ID: "y"}}})
	_, ok := leader.DeltasSince(other.Digest())
	require.False(t, ok)
	require.False(t, other.ApplyDeltas(now, []Delta{{ID: "y", Server: &Server{ID: "y"}}}, leader.Digest()), "the follower's list also has x")
	for n := range 3 * minKeptSteps {
		leader.ApplyChanges(now, []ServerChange{{ID: "y", Server: &Server{ID: "y", Slots: n + 1}}})
	}
	require.Less(t, len(leader.steps), 2*minKeptSteps, "the number of kept steps must be bounded")
}

func TestResidencyOverrideDiffs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h HeldHistory
		var known HeldList
		h.Add(nil)
		for range rapid.IntRange(1, 2*heldHistorySize).Draw(t, "lists") {
			var held []Held
			for n := range rapid.IntRange(0, 4).Draw(t, "held") {
				held = append(held, Held{Server: fmt.Sprint("s", n%2), Model: fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "model")), Dropped: rapid.Bool().Draw(t, "dropped")})
			}
			h.Add(NewHeldList(held))
			if rapid.IntRange(0, 3).Draw(t, "told") > 0 {
				continue
			}
			if lost, added, ok := h.Since(known.Digest()); ok {
				known = known.Change(lost, added)
			} else {
				known = h.Newest()
			}
			require.True(t, known.Equal(h.Newest()), "%v, %v", known, h.Newest())
		}
		require.LessOrEqual(t, len(h.lists), heldHistorySize)
	})
}

// Guards against using a server for too long that shuts down right after a store outage:
// its removed entry looks like one that expired in the outage, and must not extend the
// time for which such servers are kept.
func TestServerRemovedAfterOutageExpiresOnTime(t *testing.T) {
	f := NewFleet()
	now := time.UnixMilli(1_000_000)
	f.ApplyChanges(now, []ServerChange{{ID: "s", Server: &Server{ID: "s"}}})
	f.StoreRecovered(now)
	now = now.Add(1400 * time.Millisecond)
	require.False(t, f.ApplyChanges(now, []ServerChange{{ID: "s"}}), "the entry may only have expired")
	require.True(t, f.RemoveExpired(now.Add(700*time.Millisecond)))
	require.Empty(t, f.Servers())
}
