package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// An instance that starts anew after its time of day was set back has a lower start than
// before. It gets credit at once, and what its earlier start held counts as used.
func TestRestartAfterAStepOfTheClock(t *testing.T) {
	limit := topology.Allowance{PerSecond: 1000, Burst: 1000}
	accounts, err := topology.NewAccounts([]topology.Account{{Name: "a", Allowance: limit}})
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	l := NewAllocator(now, 1, 1)
	report := func(start, sequence int64) Grant {
		u := Usage{Account: "a", Asked: 100, Want: 100, Need: 100, Draw: true}
		g := l.Handle(now, topology.AllowanceBounds{}, accounts, Report{Instance: "i", Start: start, Sequence: sequence, Usage: []Usage{u}})
		require.Len(t, g.Accounts, 1)
		return g.Accounts[0]
	}
	now = now.Add(time.Second)
	require.EqualValues(t, 100, report(2, 5).Total)
	before := l.accounts["a"].level
	require.EqualValues(t, 100, report(1, 1).Total)
	require.EqualValues(t, before-100, l.accounts["a"].level)
}
