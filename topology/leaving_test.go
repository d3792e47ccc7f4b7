package topology

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func listedServer(id string, born int64) Server { return Server{ID: id, Born: time.UnixMilli(born)} }

// A leaving server must stay marked when its entry expires and reappears unchanged, or
// when it is added again.
func TestALeavingServerStaysSoUntilItStartsAgain(t *testing.T) {
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

// Only the start that was added may be marked, and none may be remembered beyond the
// retention period.
func TestLeavingServersAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l LeavingServers
		now := time.UnixMilli(1_000_000)
		addedStart := map[string]int64{} // the last one added, by id
		lastSeen := map[string]int64{}   // Unix time in ms, by id
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms")) * time.Millisecond)
			id, born := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server")), int64(rapid.IntRange(1, 2).Draw(t, "born"))
			s := listedServer(id, born)
			if rapid.Bool().Draw(t, "add") {
				l.Add(now, ServerStart{id, s.StartID()})
				addedStart[id], lastSeen[id] = born, now.UnixMilli()
				continue
			}
			marked := l.Mark(now, []Server{s})[0].Leaving
			recent := now.UnixMilli()-lastSeen[id] <= leavingRetention.Milliseconds()
			if addedStart[id] == born && recent {
				require.True(t, marked)
			}
			if marked {
				require.Equal(t, addedStart[id], born)
				lastSeen[id] = now.UnixMilli()
			} else {
				delete(addedStart, id)
			}
			for remembered, server := range l.byID {
				require.LessOrEqual(t, now.Sub(server.lastSeen), leavingRetention, remembered)
			}
		}
	})
}
