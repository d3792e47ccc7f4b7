package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/residency"
	"greengageferry/topology"
)

// newTestServerList returns a list with the given servers, as read from the store.
func newTestServerList(now time.Time, ids ...string) *serverList {
	l := newServerList(quietLog())
	var changes []topology.ServerChange
	for _, id := range ids {
		changes = append(changes, topology.ServerChange{ID: id, Server: &topology.Server{ID: id, Born: now}})
	}
	l.applyRead(now, serversRead{snapshot: true, next: topology.Position{Offset: 1}, changes: changes}, func([]topology.Server) {})
	return l
}

func ignoreServers([]topology.Server) {}

func TestHolderListIsValidUntilItsTTL(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	require.False(t, l.holderListValid(now))
	later := now.Add(400 * time.Millisecond)
	holder.applyRead(later, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 5}, changes: []topology.ServerChange{{ID: "b"}}}, ignoreServers)
	sent := later.Add(100 * time.Millisecond)
	var list []topology.Server
	loads := l.applySteps(sent, holder.stepsSince(sent, l.digest(), map[string]residency.Load{"a": {InFlight: 3, Unread: 700}}), func(s []topology.Server) { list = s })
	require.Equal(t, map[string]residency.Load{"a": {InFlight: 3, Unread: 700}}, loads)
	require.Len(t, list, 1)
	require.Equal(t, topology.Position{Offset: 5}, l.position(), "a read of its own goes on from there")
	require.True(t, l.holderListValid(later.Add(holderListTTL-time.Millisecond)))
	require.False(t, l.holderListValid(later.Add(holderListTTL)), "the TTL begins at the store's answer to the holder, not at the holder's response")
	l.applyRead(sent, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 9}, changes: []topology.ServerChange{{ID: "b", Server: &topology.Server{ID: "b"}}}}, ignoreServers)
	require.Equal(t, topology.Position{Offset: 5}, l.position(), "a read that began before is too old")
	l.invalidateHolderList()
	require.False(t, l.holderListValid(sent))
}

func TestStepsRequireAListKnownToTheHolder(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a"), newTestServerList(now, "x")
	sent := now.Add(time.Second)
	require.Nil(t, holder.stepsSince(sent, l.digest(), nil))
	require.Nil(t, l.applySteps(sent, nil, ignoreServers))
	require.False(t, l.holderListValid(sent))
	require.Nil(t, newServerList(quietLog()).stepsSince(sent, 0, nil), "a holder that has read nothing has no steps")
}

// An instance that takes over a list from one that keeps a server without an entry must
// not use that server forever.
func TestServerRemovedBeforeAListWasTakenOverIsNotUsedForever(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	holder.onStoreReturn(now)
	removal := serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 2}, changes: []topology.ServerChange{{ID: "b"}}}
	sent := now.Add(100 * time.Millisecond)
	holder.applyRead(sent, removal, ignoreServers)
	l.applySteps(sent.Add(time.Millisecond), holder.stepsSince(sent, l.digest(), nil), ignoreServers)

	// The holder is lost. The instance reads on from its position and finds nothing new.
	require.Equal(t, topology.Position{Offset: 2}, l.position())
	later := now.Add(10 * time.Second)
	l.applyRead(later, serversRead{from: l.position(), next: l.position()}, ignoreServers)
	require.Equal(t, []string{"a"}, serverIDs(l))
}

// serverIDs returns the ids of the servers that an instance with the list uses.
func serverIDs(l *serverList) []string {
	var out []string
	for _, s := range l.fleet.Servers() {
		out = append(out, s.ID)
	}
	return out
}
