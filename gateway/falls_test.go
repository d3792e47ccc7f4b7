package gateway_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fastService = 60 * time.Millisecond   // of a plain service
	slowService = 1330 * time.Millisecond // of a stream of an engine
)

// fleets are the fleets and loads under which servers must not fall.
var fleets = []simOptions{
	{instances: 9, servers: 4, slots: 6, waiting: 1, load: 1.5, service: fastService},
	{instances: 9, servers: 18, slots: 24, waiting: 2, load: 1.5, service: slowService},
	{instances: 18, servers: 4, slots: 6, waiting: 1, load: 1.5, service: fastService},
	{instances: 72, servers: 4, slots: 6, waiting: 1, load: 0.9, service: fastService},
	{instances: 72, servers: 4, slots: 6, waiting: 1, load: 1.5, service: fastService},
	{instances: 72, servers: 60, slots: 24, waiting: 2, load: 0.9, service: slowService},
	{instances: 72, servers: 60, slots: 24, waiting: 2, load: 1.5, service: slowService},
	{instances: 295, servers: 60, slots: 24, waiting: 2, load: 1.5, service: slowService},
}

// largeFleets take minutes with the race detector. They are simulated with -large.
var largeFleets = []simOptions{
	{instances: 295, servers: 245, slots: 24, waiting: 2, load: 0.9, service: slowService},
	{instances: 295, servers: 245, slots: 24, waiting: 2, load: 1.5, service: slowService},
	{instances: 985, servers: 245, slots: 24, waiting: 2, load: 0.9, service: slowService},
	{instances: 985, servers: 245, slots: 24, waiting: 2, load: 1.5, service: slowService},
}

var large = flag.Bool("large", false, "simulate large fleets too")

// Servers that fail if they have to refuse more than a few requests per second fell again and
// again under many instances, each of which sent a server no more than an equal share of its
// slots, but at least one request.
func TestServersThatFailByRefusalsDoNotFallUnderManyInstances(t *testing.T) {
	all := fleets
	if *large {
		all = slices.Concat(fleets, largeFleets)
	}
	for _, o := range all {
		o.knownBy = 1
		t.Run(o.String(), func(t *testing.T) { checkFalls(t, o) })
	}
}

// Nine instances under half as much load again as the servers bear: no server refuses more than it
// survives, in any second after the first.
func TestServersThatFailByRefusalsAreNotMadeToRefuse(t *testing.T) {
	o := simOptions{instances: 9, servers: 4, slots: 6, waiting: 1, load: 1.5, service: fastService, settled: time.Second}
	reference := o
	reference.direct = true
	unaware := newFleetSim(reference)
	unaware.run()
	require.NotEmpty(t, unaware.falls, "the load must be enough to make servers fail")
	o.knownBy = 1
	f := newFleetSim(o)
	f.run()
	require.Empty(t, f.falls)
}

// All instances start at once and know nothing of the servers. Each server failed in the first
// fifth of a second, or its gateways sent it nothing long after it had refused them once.
func TestServersDoNotFallBeforeInstancesKnowThem(t *testing.T) {
	for seed := range uint64(8) {
		o := simOptions{instances: 72, servers: 4, slots: 6, waiting: 1, load: 1.5, service: fastService, seed: seed}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkFalls(t, o) })
	}
}

// Instances that have just started don't know yet what servers say of refusals, and lists of
// members differ between instances while one of them leaves or comes back.
func TestServersDoNotFallWhileInstancesKnowDifferentThings(t *testing.T) {
	for _, o := range []simOptions{
		{instances: 72, servers: 4, slots: 6, waiting: 1, load: 0.9, service: fastService},
		{instances: 72, servers: 4, slots: 6, waiting: 1, load: 1.5, service: fastService},
		{instances: 72, servers: 60, slots: 24, waiting: 2, load: 1.5, service: slowService},
		{instances: 72, servers: 4, slots: 6, waiting: 0, load: 1.5, service: fastService, knownBy: 1, leaveEvery: 2 * time.Second},
		{instances: 72, servers: 60, slots: 24, waiting: 0, load: 1.5, service: slowService, knownBy: 1, leaveEvery: 2 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s,knownBy=%g,leaveEvery=%s", o, o.knownBy, o.leaveEvery), func(t *testing.T) { checkFalls(t, o) })
	}
}

// checkFalls simulates the fleet, and the same with servers that never fail and get requests from
// all instances directly.
func checkFalls(t *testing.T, o simOptions) {
	reference := o
	reference.sturdy, reference.direct = true, true
	expected := newFleetSim(reference)
	expected.run()
	f := newFleetSim(o)
	f.run()
	t.Logf("%s: falls %d, the first %+v, allowed %d; served %d, %d if servers never fall; arrived %d",
		o, len(f.falls), f.falls[:min(8, len(f.falls))], 2+o.servers/10, f.served, expected.served, f.arrived)
	require.LessOrEqual(t, len(f.falls), 2+o.servers/10)
	require.GreaterOrEqual(t, float64(f.served), 0.9*float64(expected.served))
}
