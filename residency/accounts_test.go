package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

func TestAccountsOfAllInstancesAreAddedUp(t *testing.T) {
	d := NewDemandTracker()
	require.Empty(t, d.Accounts(start))
	for n := range 3 {
		d.HandleReport(start, InstanceReport{Instance: fmt.Sprint("n", n), Accounts: []decide.AccountDemand{
			{Account: "a", Pool: "p", Waiting: 2, InFlight: 1}, {Account: fmt.Sprint("b", n), Pool: "q", Waiting: -1, InFlight: 3},
		}})
	}
	now := start.Add(summaryInterval)
	require.Equal(t, []decide.AccountDemand{
		{Account: "a", Pool: "p", Waiting: 6, InFlight: 3},
		{Account: "b0", Pool: "q", Waiting: -1, InFlight: 3}, {Account: "b1", Pool: "q", Waiting: -1, InFlight: 3}, {Account: "b2", Pool: "q", Waiting: -1, InFlight: 3},
	}, d.Accounts(now))

	d.HandleReport(now, InstanceReport{Instance: "n0"}) // no accounts any more
	require.Len(t, d.Accounts(now), 4, "computed once in an interval")
	now = now.Add(summaryInterval)
	require.Equal(t, 4.0, d.Accounts(now)[0].Waiting)

	now = start.Add(instanceTimeout + time.Millisecond) // the others are gone
	require.Empty(t, d.Accounts(now))
}
