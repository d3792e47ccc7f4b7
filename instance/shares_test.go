package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/topology"
)

// shareholder is an instance of a deployment of 295 in six failure domains, whose
// platform allows 630 repeats in ten seconds beyond a fifth of all requests.
func shareholder() *Instance {
	i := &Instance{}
	i.node.Store(&topology.Node{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 630})
	return i
}

const shareholders = 295

// repeats returns what all instances may repeat within a window where nothing
// succeeds, each by a policy.
func repeats(p decide.RetryPolicy) float64 { return shareholders * (p.Reserve + 10*p.RefillPerSecond) }

// All were killed and start again: until one holds the lease, seconds later, none has
// been told how many they are. Each took itself for one of eighteen, and together they
// would have repeated 8,260 requests in ten seconds, of 630 allowed.
func TestRepeatsAreBoundedBeforeInstancesAreCounted(t *testing.T) {
	v := topology.View{Nodes: map[string]int{}}
	for _, domain := range []string{"a", "b", "c", "d", "e", "f"} {
		v.Nodes[domain] = assumedInstances
	}
	p := shareholder().retryPolicy(&v)
	require.LessOrEqual(t, repeats(p), 630.0)
	require.GreaterOrEqual(t, p.Reserve, 1.0, "a server that dies costs a request nothing")
}

func TestRepeatsAreBoundedOnceInstancesAreCounted(t *testing.T) {
	v := topology.View{Nodes: map[string]int{"a": 100, "b": 195}, Counted: true}
	require.LessOrEqual(t, repeats(shareholder().retryPolicy(&v)), 630.0)
}
