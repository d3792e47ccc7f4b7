package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/residency"
	"greengageferry/topology"
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

// hungSource is a store that never answers a read of the newest configuration.
type hungSource struct{ topology.Source }

// NewestConfig implements topology.Source.
func (hungSource) NewestConfig(ctx context.Context) (*topology.Config, topology.Position, error) {
	<-ctx.Done()
	return nil, topology.Position{}, context.Cause(ctx)
}

// A read of the newest configuration that was begun as the store went away may
// never be answered. Left to its own timeout it was over 2.9 s after the store's
// return, and its retry later still.
func TestAHungReadOfTheNewestIsBegunAgainOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := &Instance{opts: Options{Source: hungSource{}}}
		begun := time.Now()
		ended := make(chan error, 1)
		go func() {
			_, err := i.readConfig(t.Context(), topology.Position{}, true)
			ended <- err
		}()
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		i.restartConfigRead(0)
		require.ErrorIs(t, <-ended, context.Canceled)
		require.Equal(t, 100*time.Millisecond, time.Since(begun))
	})
}

// told is an instance among many that heard from a holder a moment ago.
func toldInstance(now time.Time) *Instance {
	i := &Instance{lease: residency.NewLease(nil, "a", time.Second, func() time.Duration { return 0 }, nil), servers: newServerList()}
	i.view.Config, i.view.Nodes = &topology.Config{Version: 7}, map[string]int{"d": 295}
	i.told = told{at: now, version: 7, confirmedAt: now}
	i.servers.fedUntil = now.Add(fedFor)
	return i
}

// Of many instances only those that stand for the lease read the store all the
// time; one that the store turns away hears what is new from another, and looks
// now and then whether it is back.
func TestAnInstanceThatIsToldDoesNotReadTheStore(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	i := toldInstance(now)
	require.True(t, i.configTold(now))
	require.False(t, i.configBehind())
	require.False(t, i.readsServers(now))
	i.told.version = 8
	require.True(t, i.configBehind())
	i.storeDown, i.storeTriedAt = true, now
	require.True(t, i.configTold(now))
	require.False(t, i.readsServers(now))
	later := now.Add(storeProbe)
	i.told.at, i.told.confirmedAt, i.servers.fedUntil = later, later, later.Add(fedFor)
	require.False(t, i.configTold(later), "it looks whether the store is back")
	require.True(t, i.readsServers(later))
	i.storeTriedAt = later
	i.told.storeDown = true
	require.False(t, i.configTold(later), "nobody tells what is new: each has to see for itself")
	require.True(t, i.readsServers(later))
}

func TestAnInstanceThatIsNotToldReadsTheStore(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	i := toldInstance(now)
	require.False(t, i.configTold(now.Add(configToldFor)))
	require.True(t, i.readsServers(now.Add(fedFor)))
	i.lease.ObserveHolder(true)
	require.False(t, i.configTold(now), "a candidate reads configurations for the others")
	i = toldInstance(now)
	i.view.Nodes = map[string]int{"d": manyInstances}
	require.False(t, i.configTold(now), "few instances each read for themselves")
}
