package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/residency"
)

var (
	began = time.UnixMilli(1_000_000)
	three = residency.Candidates{{Domain: "x", Addr: "x1"}, {Domain: "y", Addr: "y1"}, {Domain: "y", Addr: "y2"}}
)

// knowing returns a directory that a holder has told of candidates.
func knowing(holder string) *directory {
	d := &directory{domain: "y"}
	d.found(began, holder)
	d.answered(began, holder, true, false)
	d.learn(three)
	return d
}

func TestInstancesWithMoreProcessorMayStandForTheLeaseSooner(t *testing.T) {
	const settled = 2 * time.Second // two renewals, and the way there and back
	require.Less(t, standAfter(0.8)+askFirst+settled, standAfter(0.192), "however they draw")
	require.Less(t, standAfter(0.8), standAfter(0.4))
	require.Less(t, askAfter(0.8), askAfter(0.4))
	require.Equal(t, askMost, askAfter(0.001))
	require.Equal(t, standMost, standAfter(0.001))
	require.Equal(t, askFirst, askAfter(0), "not said")
	require.Equal(t, askFirst, standAfter(0))
}

func TestTheStoreIsAskedOnceASecondUntilAHolderIsKnown(t *testing.T) {
	d := &directory{begun: began}
	require.False(t, d.asksStore(began.Add(-1), false, 9))
	require.True(t, d.asksStore(began, false, 9))
	require.False(t, d.asksStore(began.Add(ownerEvery-1), false, 9))
	require.True(t, d.asksStore(began.Add(ownerEvery), false, 9))
	d.found(began, "h")
	require.False(t, d.asksStore(began.Add(time.Minute), false, 9))
	require.Equal(t, "h", d.peer(false))
}

// A holder that is lost is looked for by the candidates, and the others ask those
// of their own failure domain first.
func TestALostHolderIsAskedForAtCandidates(t *testing.T) {
	d := knowing("h")
	require.True(t, d.failed("h", false, false), "a candidate can be asked at once")
	now := began.Add(time.Second)
	require.False(t, d.asksStore(now, false, 295))
	require.Equal(t, []string{"y1", "y2", "x1", "y1"}, []string{d.peer(false), d.peer(false), d.peer(false), d.peer(false)})
	require.Empty(t, d.peer(true), "a candidate asks no other")
	require.True(t, d.asksStore(now, true, 295))
	require.False(t, d.failed("y1", false, false), "it wasn't the holder")
	d.referred(now, "")
	require.Empty(t, d.holder)
	d.referred(now, "h2")
	require.Equal(t, "h2", d.peer(false))
}

// Where all candidates are lost too, the store is asked after all, by each
// instance as seldom as there are many.
func TestSilentCandidatesDoNotHideTheStore(t *testing.T) {
	d := knowing("h")
	d.failed("h", false, false)
	require.False(t, d.asksStore(began.Add(candidatesSilent-1), false, 295))
	now := began.Add(candidatesSilent)
	require.True(t, d.asksStore(now, false, 295))
	require.False(t, d.asksStore(now.Add(295*ownerEveryMany-1), false, 295))
	require.True(t, d.asksStore(now.Add(295*ownerEveryMany), false, 295))
}

func TestAHolderThatMayNotOrderIsGivenUpAfterTheTimeThatANewOneWaits(t *testing.T) {
	d := &directory{}
	d.found(began, "h")
	d.answered(began.Add(idleHolder), "h", false, false)
	require.Equal(t, "h", d.holder, "it may just have won")
	d.answered(began.Add(2*idleHolder), "h", false, true)
	require.Equal(t, "h", d.holder, "while the store is away there is no other")
	d.answered(began.Add(2*idleHolder), "h", false, false)
	require.Empty(t, d.holder)
}

func TestWithoutCandidatesABusyHolderIsAskedAgain(t *testing.T) {
	d := &directory{}
	d.found(began, "h")
	require.False(t, d.failed("h", false, false))
	require.True(t, d.failed("h", false, false))
	d = knowing("h")
	require.False(t, d.failed("h", false, true), "a candidate can only ask the store")
	require.True(t, d.failed("h", true, true), "it said itself that it isn't")
}

// Where all were killed the store goes on naming the holder of before.
func TestAHolderThatTheStoreNamesAndThatIsNoneLeavesTheLeaseVacant(t *testing.T) {
	d := &directory{stands: began}
	require.True(t, d.vacant(began))
	d.found(began, "h")
	require.False(t, d.vacant(began))
	require.True(t, d.named)
	require.True(t, d.failed("h", true, false))
	require.True(t, d.vacant(began))
	require.False(t, d.vacant(began.Add(-1)), "those with more processor stand first")
	d.found(began, "h")
	d.answered(began, "h", true, false)
	require.False(t, d.named, "it answered: if it is lost now, another candidate takes over")
}
