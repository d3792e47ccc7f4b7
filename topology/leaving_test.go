package topology

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func listedServer(id string, born int64) Server {
	return Server{ID: id, Born: time.UnixMilli(born)}
}

// A leaving server must stay marked when its entry expires and reappears unchanged, or
// when it is added again.
func TestLeavingServerMarkedUntilRestart(t *testing.T) {
	var l LeavingServers
	now := time.UnixMilli(1_000_000)
	s := listedServer("s", 1)
	require.True(t, l.Add(now, ServerStart{"s", s.StartID()}))
	require.False(t, l.Add(now, ServerStart{"s", s.StartID()}))
	require.True(t, l.Mark(now, []Server{s})[0].Leaving)
	require.False(t, s.Leaving, "the list passed in must not be modified")
	require.Empty(t, l.Mark(now, nil))
	now = now.Add(leavingRetention)
	require.True(t, l.Mark(now, []Server{s})[0].Leaving)
	require.Len(t, l.Listed([]Server{s}), 1)
	require.Empty(t, l.Listed(nil))
	require.False(t, l.Mark(now, []Server{listedServer("s", 2)})[0].Leaving)
	require.False(t, l.Mark(now, []Server{s})[0].Leaving)
}

// A report or list entry of an earlier start must not remove the mark of a later one.
func TestLeavingServersKeepTheLatestStart(t *testing.T) {
	var l LeavingServers
	now := time.UnixMilli(1_000_000)
	earlier, later := listedServer("s", 9), listedServer("s", 100)
	require.True(t, l.Add(now, ServerStart{"s", later.StartID()}))
	require.False(t, l.Add(now, ServerStart{"s", earlier.StartID()}))
	require.False(t, l.Mark(now, []Server{earlier})[0].Leaving)
	require.True(t, l.Mark(now, []Server{later})[0].Leaving)
	require.False(t, l.Mark(now.Add(leavingRetention+time.Second), []Server{later})[0].Leaving)
}

// Only the start that was added may be marked, and none may be remembered beyond the
// retention period.
func TestLeavingServersAreForgotten(t *testing.T) {
	type addedServer struct {
		born     int64
		lastSeen time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		var l LeavingServers
		now := time.UnixMilli(1_000_000)
		model := map[string]addedServer{} // expected contents of l, by server id
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms")) * time.Millisecond)
			id, born := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server")), int64(rapid.IntRange(1, 2).Draw(t, "born"))
			s := listedServer(id, born)
			added, known := model[id]
			if rapid.Bool().Draw(t, "add") {
				require.Equal(t, !known || born > added.born, l.Add(now, ServerStart{id, s.StartID()}))
				if !known || born >= added.born {
					model[id] = addedServer{born, now}
				}
				continue
			}
			maps.DeleteFunc(model, func(_ string, added addedServer) bool { return now.Sub(added.lastSeen) > leavingRetention })
			added, known = model[id]
			require.Equal(t, known && born == added.born, l.Mark(now, []Server{s})[0].Leaving)
			switch {
			case known && born == added.born:
				model[id] = addedServer{born, now}
			case known && born > added.born:
				delete(model, id)
			}
			require.Len(t, l.byID, len(model))
			for id, server := range l.byID {
				require.LessOrEqual(t, now.Sub(server.lastSeen), leavingRetention, id)
			}
		}
	})
}
