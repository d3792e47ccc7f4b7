package instance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

func TestDemandsOfAccountsKeepTheirValuesOnTheWire(t *testing.T) {
	demands := []decide.AccountDemand{{Account: "a", Pool: "p", Waiting: -1.5, InFlight: 3}, {Account: "b", Pool: "q", Waiting: 2}}
	require.Equal(t, demands, accountDemandsFromWire(wireAccountDemands(demands)))
	require.Empty(t, accountDemandsFromWire(wireAccountDemands(nil)))
}
