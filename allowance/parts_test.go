package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// An instance that was the only one whose reports came was told that four fifths of an allowance
// are its own, while others used theirs.
func TestPartsOfInstancesAreTheWholeAtMost(t *testing.T) {
	const instances = 9
	accounts, err := topology.NewAccounts([]topology.Account{{Name: "a", Allowance: topology.Allowance{PerSecond: 1000, Burst: 1000, Unit: topology.UnitTokens}}})
	require.NoError(t, err)
	now := time.Unix(1_800_000_000, 0)
	l := NewAllocator(now, 1, instances)
	parts, asked, sequence := map[string]float64{}, map[string]float64{}, int64(0)
	report := func(name string) {
		sequence++
		asked[name] += 500
		g := l.Handle(now, simBounds, accounts, Report{Instance: name, Start: 1, Sequence: sequence, Usage: []Usage{{Account: "a", Asked: asked[name], Want: 500, Need: 500}}})
		parts[name] = g.Accounts[0].Part
	}
	requireWhole := func(what string) {
		t.Helper()
		sum := 0.0
		for _, part := range parts {
			sum += part
		}
		require.LessOrEqual(t, sum, 1+simBounds.Overage, what)
	}
	names := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"}
	for range 2 {
		now = now.Add(200 * time.Millisecond)
		report(names[0])
	}
	require.LessOrEqual(t, parts[names[0]], (1+simBounds.Overage)/instances, "the others have theirs of the holder before")
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		for _, name := range names {
			report(name)
		}
	}
	requireWhole("all report")
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		report(names[0])
	}
	requireWhole("the others are silent and use what they were told")
}
