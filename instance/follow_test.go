package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestManyInstancesReadEntriesLessOften(t *testing.T) {
	require.Equal(t, serversSpacing, spacing(0))
	require.Equal(t, serversSpacing, spacing(manyInstances))
	require.Equal(t, 2*serversSpacing, spacing(2*manyInstances))
	require.Less(t, spacing(1000)+serversWait, 2*time.Second+serversWait/2, "a leaving server is known in time")
	calls := func(n int) float64 { return float64(n) / spacing(n).Seconds() }
	require.Less(t, calls(72), 0.35*72/serversSpacing.Seconds())
}

// A slow read of configurations must not be ended each time that another
// instance is seen to have a newer one.
func TestAReadThatIsOnlySlowIsNotEnded(t *testing.T) {
	i := &Instance{}
	ended := 0
	done := i.interrupt(func() { ended++ })
	i.restartConfigRead(behindAge)
	require.Zero(t, ended)
	i.configReadAt = time.Now().Add(-behindAge)
	i.restartConfigRead(behindAge)
	require.Equal(t, 1, ended)
	done()
	i.restartConfigRead(0)
	require.Equal(t, 1, ended, "no read is under way")
}
