package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/residency"
	"greengageferry/topology"
)

// listOf returns a list that was read in the store, with the servers.
func listOf(now time.Time, ids ...string) *serverList {
	l := newServerList()
	var changes []topology.ServerChange
	for _, id := range ids {
		changes = append(changes, topology.ServerChange{ID: id, Server: &topology.Server{ID: id, Born: now}})
	}
	l.take(now, read{all: true, next: topology.Position{Offset: 1}, changes: changes}, func([]topology.Server) {})
	return l
}

func ignore([]topology.Server) {}

func TestAListIsFedOnlyWhileTheHoldersIsFresh(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := listOf(now, "a", "b"), listOf(now, "a", "b")
	require.False(t, l.fed(now))
	later := now.Add(400 * time.Millisecond)
	holder.take(later, read{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 5}, changes: []topology.ServerChange{{ID: "b"}}}, ignore)
	sent := later.Add(100 * time.Millisecond)
	var list []topology.Server
	loads := l.follow(sent, holder.steps(sent, l.digest(), map[string]residency.Load{"a": {InFlight: 3, Unread: 700}}), func(s []topology.Server) { list = s })
	require.Equal(t, map[string]residency.Load{"a": {InFlight: 3, Unread: 700}}, loads)
	require.Len(t, list, 1)
	require.Equal(t, topology.Position{Offset: 5}, l.position(), "a read of its own goes on from there")
	require.True(t, l.fed(later.Add(fedFor-time.Millisecond)))
	require.False(t, l.fed(later.Add(fedFor)), "from the store's answer to the holder on, not from the holder's")
	l.take(sent, read{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 9}, changes: []topology.ServerChange{{ID: "b", Server: &topology.Server{ID: "b"}}}}, ignore)
	require.Equal(t, topology.Position{Offset: 5}, l.position(), "a read that began before is too old")
	l.unfed()
	require.False(t, l.fed(sent))
}

func TestAListThatTheHolderDoesNotKnowIsNotFed(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := listOf(now, "a"), listOf(now, "x")
	sent := now.Add(time.Second)
	require.Nil(t, holder.steps(sent, l.digest(), nil))
	require.Nil(t, l.follow(sent, nil, ignore))
	require.False(t, l.fed(sent))
	require.Nil(t, newServerList().steps(sent, 0, nil), "a holder that has read nothing tells nothing")
}
