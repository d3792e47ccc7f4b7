package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/residency"
)

var (
	testStart       = time.UnixMilli(1_000_000)
	threeCandidates = residency.Candidates{{Domain: "x", Addr: "x1"}, {Domain: "y", Addr: "y1"}, {Domain: "y", Addr: "y2"}}
)

// locatorWithCandidates returns a locator that knows a holder, and candidates from it.
func locatorWithCandidates(holder string) *holderLocator {
	l := &holderLocator{domain: "y"}
	l.setStoreHolder(testStart, holder)
	l.onHolderAnswer(testStart, holder, true, false)
	l.update(threeCandidates)
	return l
}

func TestInstancesWithMoreCoresCompeteForTheLeaseSooner(t *testing.T) {
	const settled = 2 * time.Second // two renewals and their round trips
	require.Less(t, competeDelay(0.8)+baseQueryDelay+settled, competeDelay(0.192), "with any jitter")
	require.Less(t, competeDelay(0.8), competeDelay(0.4))
	require.Less(t, queryDelay(0.8), queryDelay(0.4))
	require.Equal(t, maxQueryDelay, queryDelay(0.001))
	require.Equal(t, maxCompeteDelay, competeDelay(0.001))
	require.Equal(t, baseQueryDelay, queryDelay(0), "cores unknown")
	require.Equal(t, baseQueryDelay, competeDelay(0))
}

func TestStoreIsQueriedOncePerSecondUntilAHolderIsKnown(t *testing.T) {
	l := &holderLocator{queryFrom: testStart}
	require.False(t, l.shouldQueryStore(testStart.Add(-1), false, 9))
	require.True(t, l.shouldQueryStore(testStart, false, 9))
	require.False(t, l.shouldQueryStore(testStart.Add(minHolderQueryInterval-1), false, 9))
	require.True(t, l.shouldQueryStore(testStart.Add(minHolderQueryInterval), false, 9))
	l.setStoreHolder(testStart, "h")
	require.False(t, l.shouldQueryStore(testStart.Add(time.Minute), false, 9))
	require.Equal(t, "h", l.nextPeer(false))
}

// After the holder is lost, the candidates query the store, and the other instances ask
// the candidates, those of their own failure domain first.
func TestCandidatesAreAskedForTheHolderAfterItIsLost(t *testing.T) {
	l := locatorWithCandidates("h")
	require.True(t, l.onPeerFailure("h", false, false), "a candidate can be asked at once")
	now := testStart.Add(time.Second)
	require.False(t, l.shouldQueryStore(now, false, 295))
	require.Equal(t, []string{"y1", "y2", "x1", "y1"}, []string{l.nextPeer(false), l.nextPeer(false), l.nextPeer(false), l.nextPeer(false)})
	require.Empty(t, l.nextPeer(true), "a candidate asks no other")
	require.True(t, l.shouldQueryStore(now, true, 295))
	require.False(t, l.onPeerFailure("y1", false, false), "it wasn't the holder")
	l.onReferral(now, "")
	require.Empty(t, l.holder)
	l.onReferral(now, "h2")
	require.Equal(t, "h2", l.nextPeer(false))
}

// If all candidates are lost too, each instance queries the store itself, at an interval
// that grows with the number of instances.
func TestStoreIsQueriedWhenCandidatesAreSilent(t *testing.T) {
	l := locatorWithCandidates("h")
	l.onPeerFailure("h", false, false)
	require.False(t, l.shouldQueryStore(testStart.Add(candidateSilenceTimeout-1), false, 295))
	now := testStart.Add(candidateSilenceTimeout)
	require.True(t, l.shouldQueryStore(now, false, 295))
	require.False(t, l.shouldQueryStore(now.Add(295*holderQueryIntervalPerInstance-1), false, 295))
	require.True(t, l.shouldQueryStore(now.Add(295*holderQueryIntervalPerInstance), false, 295))
}

func TestHolderThatMayNotOrderIsDroppedAfterIdleTimeout(t *testing.T) {
	l := &holderLocator{}
	l.setStoreHolder(testStart, "h")
	l.onHolderAnswer(testStart.Add(holderIdleTimeout), "h", false, false)
	require.Equal(t, "h", l.holder, "it may just have won")
	l.onHolderAnswer(testStart.Add(2*holderIdleTimeout), "h", false, true)
	require.Equal(t, "h", l.holder, "while the store is away there is no other")
	l.onHolderAnswer(testStart.Add(2*holderIdleTimeout), "h", false, false)
	require.Empty(t, l.holder)
}

func TestBusyHolderIsRetriedWithoutCandidates(t *testing.T) {
	l := &holderLocator{}
	l.setStoreHolder(testStart, "h")
	require.False(t, l.onPeerFailure("h", false, false))
	require.True(t, l.onPeerFailure("h", false, false))
	l = locatorWithCandidates("h")
	require.False(t, l.onPeerFailure("h", false, true), "a candidate can only ask the store")
	require.True(t, l.onPeerFailure("h", true, true), "it refused because it isn't the holder")
}

// After all instances were killed, the store still names the previous holder for seconds.
func TestInstanceCompetesWhenTheStoreNamesAStaleHolder(t *testing.T) {
	l := &holderLocator{competeFrom: testStart}
	require.True(t, l.shouldCompete(testStart))
	l.setStoreHolder(testStart, "h")
	require.False(t, l.shouldCompete(testStart))
	require.True(t, l.namedByStore)
	require.True(t, l.onPeerFailure("h", true, false))
	require.True(t, l.shouldCompete(testStart))
	require.False(t, l.shouldCompete(testStart.Add(-1)), "instances with more cores compete first")
	l.setStoreHolder(testStart, "h")
	l.onHolderAnswer(testStart, "h", true, false)
	require.False(t, l.namedByStore, "it answered: if it is lost now, another candidate takes over")
}

// An instance must leave a holder that the store refuses for the one that won the lease
// since, and not go back to it.
func TestANewerTokenNamesTheHolder(t *testing.T) {
	l := locatorWithCandidates("x1")
	l.onToken(testStart, 10, "x1")
	require.Equal(t, "x1", l.holder)
	l.onToken(testStart, 12, "y1")
	require.Equal(t, "y1", l.holder)
	l.onToken(testStart, 10, "x1")
	require.Equal(t, "y1", l.holder, "an older token changes nothing")
	l.onToken(testStart, 13, "")
	require.Equal(t, "y1", l.holder, "a member without an address can't be asked")
}
