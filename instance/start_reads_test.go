package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"greengageferry/topology"
)

// When all instances start at the same time, none holds the lease for some seconds, and each
// reads the servers' entries for itself. 69 instances that each took themselves for one of
// twelve read as often as twelve may: 172 times a second together.
func TestInstancesThatAreNotCountedReadRarely(t *testing.T) {
	const instances, seconds = 69, 5
	for _, tc := range []struct {
		name string
		view topology.View
		most float64 // reads of all together
	}{
		{"not counted", topology.View{InstancesByDomain: map[string]int{"a": assumedInstancesPerDomain, "b": assumedInstancesPerDomain}}, instances * (seconds/1.2 + 1)},
		{"counted, many", topology.View{InstancesByDomain: map[string]int{"a": 30, "b": 39}, InstancesKnown: true}, instances * (seconds/1.2 + 1)},
		{"counted, few", topology.View{InstancesByDomain: map[string]int{"a": 4, "b": 5}, InstancesKnown: true}, instances * (seconds/0.4 + 1)},
	} {
		i := &Instance{view: tc.view}
		limiter := rate.NewLimiter(rate.Every(serversReadIntervalFor(i.readerCount())), 1)
		reads, now := 0, time.Unix(0, 0)
		for range seconds * 100 {
			if limiter.AllowN(now, 1) {
				reads += instances
			}
			now = now.Add(10 * time.Millisecond)
		}
		require.LessOrEqual(t, float64(reads), tc.most, tc.name)
	}
}
