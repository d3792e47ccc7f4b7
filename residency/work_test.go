package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// Guards against scaling by the number of requests alone: three concurrent requests are
// little of a batch of 32, but their long prompts keep more than two servers busy. By
// the batch alone the model stayed on one.
func TestReplicasFollowWork(t *testing.T) {
	w := newSimulation(t, 6, 6, 0)
	w.placeModel("m0", 0, 1, 2, 3, 4, 5)
	w.placeModel("m1", 0)
	w.setDemand("m0", 1, 0)
	w.setDemand("m1", 3, 0)
	w.run(5 * time.Second)
	require.Equal(t, 1, w.replicas("m1"), "while the work is unknown")
	w.work[topology.TargetName("llm", "m1", "")] = 0.7
	w.run(6 * time.Second)
	require.GreaterOrEqual(t, w.replicas("m1"), 4)
}

// An instance's own load reaches the holder's total late. What the instance is told
// about the others must not depend on it.
func TestOthersExcludesOwnLoad(t *testing.T) {
	d := NewDemandTracker()
	report := func(instance string, l Load) {
		d.HandleReport(start, InstanceReport{Instance: instance, Loads: map[string]Load{"s": l}})
	}
	report("a", Load{InFlight: 3, Unread: 900})
	report("b", Load{InFlight: 2, Unread: 500})
	loads := d.Loads(nil)
	report("a", Load{InFlight: 7, Unread: 4000})
	require.Equal(t, map[string]Load{"s": {InFlight: 2, Unread: 500}}, loads.Others("a"))
	require.Equal(t, map[string]Load{"s": {InFlight: 3, Unread: 900}}, loads.Others("b"))
	require.Equal(t, map[string]Load{"s": {InFlight: 5, Unread: 1400}}, loads.Others("new"))
}
