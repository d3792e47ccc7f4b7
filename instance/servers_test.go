package instance

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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
	applyAt(l, now, serversRead{snapshot: true, next: topology.Position{Offset: 1}, changes: changes})
	return l
}

func ignoreServers([]topology.Server) {}

// takeList has an instance take over another's list at the given time.
func takeList(l, from *serverList, at time.Time) {
	digest := l.digest()
	l.applySteps(at, digest, from.stepsSince(at, digest, nil), ignoreServers)
}

// applyAt applies a read that the store answered at the given time.
func applyAt(l *serverList, asOf time.Time, r serversRead) {
	r.asOf = asOf
	l.applyRead(r, ignoreServers)
}

func TestHolderListIsValidUntilItsTTL(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	require.False(t, l.holderListValid(now))
	later := now.Add(400 * time.Millisecond)
	applyAt(holder, later, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 5}, changes: []topology.ServerChange{{ID: "b"}}})
	sent := later.Add(100 * time.Millisecond)
	var list []topology.Server
	loads := l.applySteps(sent, l.digest(), holder.stepsSince(sent, l.digest(), map[string]residency.Load{"a": {InFlight: 3, Unread: 700}}), func(s []topology.Server) { list = s })
	require.Equal(t, map[string]residency.Load{"a": {InFlight: 3, Unread: 700}}, loads)
	require.Len(t, list, 1)
	require.Equal(t, topology.Position{Offset: 5}, l.position(), "a read of its own goes on from there")
	require.True(t, l.holderListValid(later.Add(holderListTTL-time.Millisecond)))
	require.False(t, l.holderListValid(later.Add(holderListTTL)), "the TTL begins at the store's answer to the holder, not at the holder's response")
	applyAt(l, sent, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 9}, changes: []topology.ServerChange{{ID: "b", Server: &topology.Server{ID: "b"}}}})
	require.Equal(t, topology.Position{Offset: 5}, l.position(), "a read that began before is too old")
	l.invalidateHolderList()
	require.False(t, l.holderListValid(sent))
}

func TestStepsRequireAListKnownToTheHolder(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a"), newTestServerList(now, "x")
	sent := now.Add(time.Second)
	require.Nil(t, holder.stepsSince(sent, l.digest(), nil))
	require.Nil(t, l.applySteps(sent, l.digest(), nil, ignoreServers))
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
	applyAt(holder, sent, removal)
	takeList(l, holder, sent.Add(time.Millisecond))

	// The holder is lost. The instance reads on from its position and finds nothing new.
	require.Equal(t, topology.Position{Offset: 2}, l.position())
	later := now.Add(10 * time.Second)
	applyAt(l, later, serversRead{from: l.position(), next: l.position()})
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

// An instance that reached the store all the while must not use a server whose entry was
// removed, though the lease holder, which didn't, keeps the server for a while.
func TestServerKeptByTheHolderAloneIsNotUsedByOthers(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	holder.onStoreReturn(now)
	sent := now.Add(100 * time.Millisecond)
	removal := serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 2}, changes: []topology.ServerChange{{ID: "b"}}}
	applyAt(holder, sent, removal)
	var told []topology.Server
	l.applySteps(sent, l.digest(), holder.stepsSince(sent, l.digest(), nil), func(s []topology.Server) { told = s })
	require.Equal(t, []string{"a", "b"}, serverIDs(holder))
	require.Equal(t, []string{"a"}, serverIDs(l))
	require.Len(t, told, 1)
}

// A server whose entry came back must not be removed later by an instance that learned
// this from another instance's list.
func TestServerBackInATakenOverListIsNotRemoved(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	removal := serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 2}, changes: []topology.ServerChange{{ID: "b"}}}
	for _, x := range []*serverList{holder, l} {
		x.onStoreReturn(now)
		applyAt(x, now.Add(100*time.Millisecond), removal)
	}
	back := serversRead{from: topology.Position{Offset: 2}, next: topology.Position{Offset: 3}, changes: []topology.ServerChange{{ID: "b", Server: &topology.Server{ID: "b", Born: now}}}}
	sent := now.Add(500 * time.Millisecond)
	applyAt(holder, sent, back)
	takeList(l, holder, sent.Add(time.Millisecond))
	require.Equal(t, topology.Position{Offset: 3}, l.position())
	applyAt(l, now.Add(10*time.Second), serversRead{from: l.position(), next: l.position()})
	require.Equal(t, []string{"a", "b"}, serverIDs(l))
}

// fakeServersLog is the store's sequence of changes of servers' entries.
type fakeServersLog []topology.ServerChange

// read returns what a list reads from its position on.
func (log fakeServersLog) read(from topology.Position) serversRead {
	end := topology.Position{Offset: int64(len(log))}
	if from == noPosition {
		return serversRead{snapshot: true, next: end, changes: log.newest()}
	}
	return serversRead{from: from, next: end, changes: log[from.Offset:]}
}

// newest returns the newest entry of each server that has one.
func (log fakeServersLog) newest() []topology.ServerChange {
	byID := map[string]topology.ServerChange{}
	for _, c := range log {
		byID[c.ID] = c
	}
	maps.DeleteFunc(byID, func(_ string, c topology.ServerChange) bool { return c.Server == nil })
	out := slices.Collect(maps.Values(byID))
	slices.SortFunc(out, func(a, b topology.ServerChange) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Whoever an instance took its list from, and whichever of its reads failed, it must use
// exactly the servers with an entry once it reads the store again.
func TestListsTakenFromOtherInstancesAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		log := fakeServersLog{{ID: "a", Server: &topology.Server{ID: "a"}}, {ID: "b", Server: &topology.Server{ID: "b"}}}
		lists := make([]*serverList, rapid.IntRange(2, 4).Draw(t, "instances"))
		for n := range lists {
			lists[n] = newServerList(quietLog())
			applyAt(lists[n], now, log.read(noPosition))
		}
		list := func(label string) *serverList {
			return lists[rapid.IntRange(0, len(lists)-1).Draw(t, label)]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				c := topology.ServerChange{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")}
				if rapid.Bool().Draw(t, "has entry") {
					c.Server = &topology.Server{ID: c.ID, Leaving: rapid.Bool().Draw(t, "leaving")}
				}
				log = append(log, c)
			case 1, 2:
				list("store returns for").onStoreReturn(now)
			case 3:
				l := list("reads")
				applyAt(l, now, log.read(l.position()))
			default:
				from, l := list("from"), list("learns")
				takeList(l, from, now)
			}
		}
		for range 2 {
			now = now.Add(3 * time.Second)
			for _, l := range lists {
				applyAt(l, now, log.read(l.position()))
			}
		}
		var want []string
		for _, c := range log.newest() {
			want = append(want, c.ID)
		}
		for _, l := range lists {
			require.Equal(t, want, serverIDs(l))
		}
	})
}

// A read that was under way while another instance's newer list arrived must not take
// that list's servers back.
func TestOlderSnapshotDoesNotReplaceANewerList(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	snapshot := fakeServersLog{{ID: "a", Server: &topology.Server{ID: "a", Born: now}}, {ID: "b", Server: &topology.Server{ID: "b", Born: now}}}.read(noPosition)
	applyAt(holder, now, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 3}, changes: []topology.ServerChange{{ID: "b"}}})
	l.requireSnapshot()
	takeList(l, holder, now)
	applyAt(l, now.Add(time.Second), snapshot)
	require.Equal(t, []string{"a"}, serverIDs(l))
	require.Equal(t, topology.Position{Offset: 3}, l.position())
}

// Of two lists the one from later in the store is newer, whenever it was answered.
func TestListFromEarlierInTheStoreIsNotTaken(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a"), newTestServerList(now, "a")
	applyAt(l, now, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 2}})
	sent := now.Add(time.Second)
	applyAt(holder, sent, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 1}})
	takeList(l, holder, sent)
	require.Equal(t, topology.Position{Offset: 2}, l.position())
	require.False(t, l.holderListValid(sent))
}

// Steps from a list that isn't this instance's any more must not be applied to another.
func TestStepsFromAnotherListAreNotApplied(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	holder, l := newTestServerList(now, "a", "b"), newTestServerList(now, "a", "b")
	asked := l.digest()
	read := serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 3}, changes: []topology.ServerChange{{ID: "b"}, {ID: "c", Server: &topology.Server{ID: "c"}}}}
	applyAt(holder, now, read)
	answer := holder.stepsSince(now, asked, nil)
	applyAt(l, now, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 2}, changes: read.changes[:1]})
	require.Nil(t, l.applySteps(now, asked, answer, ignoreServers))
	require.Equal(t, []string{"a"}, serverIDs(l))
	require.Equal(t, topology.Position{Offset: 2}, l.position(), "its own list is as good as before")
}

// A list that no steps lead to must be taken over whole, servers without an entry included.
func TestListWithoutCommonStepsIsTakenWhole(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	other, l := newTestServerList(now, "a", "b", "c"), newTestServerList(now, "x", "b")
	other.onStoreReturn(now)
	applyAt(other, now, serversRead{from: topology.Position{Offset: 1}, next: topology.Position{Offset: 7}, changes: []topology.ServerChange{{ID: "c"}}})
	digest, at := l.digestAndPosition()
	answer := other.stepsOrAll(now, digest, at)
	require.True(t, answer.GetFull())
	l.applySteps(now, digest, answer, ignoreServers)
	require.Equal(t, other.digest(), l.digest())
	require.Equal(t, []string{"a", "b"}, serverIDs(l), "it has reached the store all the while")
	require.Equal(t, topology.Position{Offset: 7}, l.position())
	require.Nil(t, l.stepsOrAll(now, other.digest(), topology.Position{Offset: 8}), "the other list is newer")
}
