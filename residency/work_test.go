package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// Three requests at once are little of a batch of 32, but their long prompts keep
// more than two servers reading: by the batch alone the model stayed on one.
func TestReplicasFollowTheWorkThatIsAskedFor(t *testing.T) {
	w := newWorld(t, 6, 6, 0)
	w.place("m0", 0, 1, 2, 3, 4, 5)
	w.place("m1", 0)
	w.ask("m0", 1, 0)
	w.ask("m1", 3, 0)
	w.run(5 * time.Second)
	require.Equal(t, 1, w.replicas("m1"), "where the work isn't known")
	w.work[topology.TargetName("llm", "m1", "")] = 0.7
	w.run(6 * time.Second)
	require.GreaterOrEqual(t, w.replicas("m1"), 4)
}

// An instance's own words reach the holder's sum late; what it is told of the
// others must not depend on them.
func TestOthersLoadsLeaveOutTheInstancesOwn(t *testing.T) {
	d := NewDemand()
	say := func(instance string, l Load) {
		d.Said(start, Word{Instance: instance, Loads: map[string]Load{"s": l}})
	}
	say("a", Load{InFlight: 3, Unread: 900})
	say("b", Load{InFlight: 2, Unread: 500})
	loads := d.Loads(nil)
	say("a", Load{InFlight: 7, Unread: 4000})
	require.Equal(t, map[string]Load{"s": {InFlight: 2, Unread: 500}}, loads.Others("a"))
	require.Equal(t, map[string]Load{"s": {InFlight: 3, Unread: 900}}, loads.Others("b"))
	require.Equal(t, map[string]Load{"s": {InFlight: 5, Unread: 1400}}, loads.Others("new"))
}
