package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// newVersionsSimulation returns a simulation whose first two servers have the software version
// v1, the others v2.
func newVersionsSimulation(t *testing.T, servers, models, adapters int) *simulation {
	w := newSimulation(t, servers, models, adapters)
	for n, x := range w.servers {
		x.version = "v1"
		if n >= 2 {
			x.version = "v2"
		}
	}
	return w
}

// setDemandAt sets the concurrent requests for a target at a software version alone.
func (w *simulation) setDemandAt(target, version string, inFlight, waiting int) {
	w.demand[topology.VersionTarget(target, version)] = TargetDemand{InFlight: inFlight, Waiting: waiting}
}

func (w *simulation) holdsAt(version, model, adapter string) bool {
	for _, x := range w.servers {
		if adapters, ok := x.models[model]; x.version == version && ok && (adapter == "" || adapters[adapter]) {
			return true
		}
	}
	return false
}

// A stream goes on only at the version that began it, though a server of another one holds its
// model.
func TestModelIsLoadedAtTheVersionThatStreamsWaitFor(t *testing.T) {
	w := newVersionsSimulation(t, 4, 12, 0)
	for i, model := range []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11"} {
		w.placeModel(model, i/3) // all servers are full; m11 is at v2 alone
	}
	w.setDemand("m11", 1, 0)
	w.run(3 * time.Second)
	require.False(t, w.holdsAt("v1", "m11", ""))
	w.setDemandAt("llm/m11", "v1", 0, 1)
	w.run(5 * time.Second)
	require.True(t, w.holdsAt("v1", "m11", ""))
}

func TestAdapterIsLoadedAtTheVersionThatStreamsWaitFor(t *testing.T) {
	w := newVersionsSimulation(t, 4, 2, 1)
	w.placeModel("m0", 0, 1, 2, 3)
	w.placeModel("m1", 0)
	w.servers[3].models["m0"]["a1"] = true
	w.run(3 * time.Second)
	require.False(t, w.holdsAt("v1", "m0", "a1"))
	w.setDemandAt("llm/m0/a1", "v1", 0, 1)
	w.run(3 * time.Second)
	require.True(t, w.holdsAt("v1", "m0", "a1"))
}

func TestLastReplicaAtAVersionStaysWhileStreamsGoOnThere(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		w := newVersionsSimulation(t, 3, 9, 0) // two servers of v1, one of v2
		for i, model := range []string{"m0", "m1", "m2", "m3", "m4", "m5"} {
			w.placeModel(model, i/3)
		}
		w.placeModel("m0", 2)
		w.placeModel("m6", 2)
		w.placeModel("m7", 2)
		w.demand = map[string]TargetDemand{}
		for _, model := range []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"} {
			w.setDemand(model, 2, 0)
		}
		if resumed {
			w.setDemandAt("llm/m0", "v1", 1, 0)
		}
		w.run(2 * time.Second)
		w.setDemand("m8", 0, 3) // has no replica, and m0 has two
		w.run(6 * time.Second)
		require.True(t, w.holdsAt("v1", "m8", "") || w.holdsAt("v2", "m8", ""))
		if resumed {
			require.True(t, w.holdsAt("v1", "m0", ""))
		}
	}
}
