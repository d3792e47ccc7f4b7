package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/topology"
)

// newRetryInstance returns one of 295 instances in six failure domains, whose platform
// allows 630 retries in ten seconds beyond a fifth of all requests.
func newRetryInstance() *Instance {
	i := &Instance{}
	i.node.Store(&topology.Node{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 630})
	return i
}

const retryInstances = 295

// totalRetries returns how many retries all instances together may send within a window
// of ten seconds if no request succeeds, with the policy of each.
func totalRetries(policy func(position int) decide.RetryPolicy) float64 {
	total := 0.0
	for n := range retryInstances {
		p := policy(n)
		total += p.Reserve + 10*p.RefillPerSecond
	}
	return total
}

// After all instances are killed and restarted, none knows the number of instances until
// one of them holds the lease, which takes seconds. When each assumed eighteen instances,
// together they would have sent 8,260 retries in ten seconds, of 630 allowed.
func TestRetriesAreBoundedBeforeInstancesAreCounted(t *testing.T) {
	v := topology.View{InstancesByDomain: map[string]int{}}
	for _, domain := range []string{"a", "b", "c", "d", "e", "f"} {
		v.InstancesByDomain[domain] = assumedInstancesPerDomain
	}
	p := newRetryInstance().retryPolicy(&v)
	require.LessOrEqual(t, totalRetries(func(int) decide.RetryPolicy { return p }), 630.0)
	require.GreaterOrEqual(t, p.Reserve, 1.0, "a server that dies costs a request nothing")
}

func TestRetriesAreBoundedOnceInstancesAreCounted(t *testing.T) {
	require.LessOrEqual(t, totalRetries(func(position int) decide.RetryPolicy {
		v := topology.View{InstancesByDomain: map[string]int{"a": 100, "b": 195}, InstancesKnown: true, Position: position}
		p := newRetryInstance().retryPolicy(&v)
		require.GreaterOrEqual(t, p.Reserve, 1.0)
		return p
	}), 630.0)
}
