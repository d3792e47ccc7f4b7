package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestLargerFleetCostsMoreBytesUntilReady checks that the instance gets to know
// the whole fleet, and that its traffic until then is counted: the bytes grow
// with the fleet.
func TestLargerFleetCostsMoreBytesUntilReady(t *testing.T) {
	small, err := Run(t.Context(), Options{Servers: 18, Duration: 50 * time.Millisecond})
	require.NoError(t, err)
	large, err := Run(t.Context(), Options{Servers: 180, Duration: 50 * time.Millisecond})
	require.NoError(t, err)
	require.Positive(t, small.ReadyBytes)
	require.Greater(t, large.ReadyBytes, small.ReadyBytes)
	require.Positive(t, large.Ready)
}
