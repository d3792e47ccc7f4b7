package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/replay"
)

func item(name string) infra.Item { return infra.Item{Model: name, Version: "1", MiB: 4} }

func testPlanServer(id string, ready ...infra.Item) decide.PlanServer {
	return decide.PlanServer{ID: id, MemoryMiB: 10, Reachable: true, Assigned: ready, Ready: ready}
}

func TestMoveRules(t *testing.T) {
	adapter := infra.Item{Model: "a", Adapter: "x", Version: "1", MiB: 1}
	shrunk := testPlanServer("small", item("old"))
	shrunk.MemoryMiB = 2 // its declared memory shrank
	gone := testPlanServer("gone", item("b"))
	gone.Reachable = false
	in := decide.PlanInput{Config: testConfig(), Servers: []decide.PlanServer{
		testPlanServer("s", item("a"), item("b")), testPlanServer("t", item("c")), testPlanServer("u", item("c")), gone, shrunk,
	}}
	serving := func(name string) *replay.ControlView {
		return &replay.ControlView{Servers: map[string]*replay.Server{"far": {Ready: []infra.Item{item(name)}}}}
	}
	cases := map[string]struct {
		move   decide.Move
		others map[string]*replay.ControlView
		want   string
	}{
		"unknown server":             {decide.Move{Server: "v"}, nil, moveUnknownServer},
		"load onto a silent server":  {decide.Move{Server: "gone", Add: []infra.Item{item("a")}}, nil, moveUnreachable},
		"over memory":                {decide.Move{Server: "s", Add: []infra.Item{item("c")}}, nil, moveMemory},
		"dropped memory isn't free":  {decide.Move{Server: "s", Drop: []infra.Item{item("b")}, Add: []infra.Item{item("c")}}, nil, moveMemory},
		"last replica":               {decide.Move{Server: "s", Drop: []infra.Item{item("a")}}, nil, moveLastReplica},
		"a silent one doesn't count": {decide.Move{Server: "s", Drop: []infra.Item{item("b")}}, nil, moveLastReplica},
		"one of two":                 {decide.Move{Server: "t", Drop: []infra.Item{item("c")}}, nil, ""},
		"adapter without its model":  {decide.Move{Server: "t", Add: []infra.Item{adapter}}, nil, moveOrphanAdapter},
		"drop where memory shrank":   {decide.Move{Server: "small", Drop: []infra.Item{item("old")}}, nil, ""},
		"nothing":                    {decide.Move{Server: "t", Add: []infra.Item{item("c")}}, nil, moveNoChange},
		"in an earlier domain":       {decide.Move{Server: "s", Drop: []infra.Item{item("a")}}, map[string]*replay.ControlView{"alpha": serving("a")}, ""},
		"in a later domain":          {decide.Move{Server: "s", Drop: []infra.Item{item("a")}}, map[string]*replay.ControlView{"zulu": serving("a")}, moveLastReplica},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, newWorkingCopy(in, c.others, testDomain).apply(c.move))
		})
	}
	work := newWorkingCopy(in, nil, testDomain)
	require.Empty(t, work.apply(decide.Move{Server: "t", Drop: []infra.Item{item("c")}}))
	require.Equal(t, moveLastReplica, work.apply(decide.Move{Server: "u", Drop: []infra.Item{item("c")}}), "the first move took the other replica")
}

func TestLoadLimiterKeepsDomainWithinItsShareOfStore(t *testing.T) {
	p := newLoadLimiter()
	p.update(at(0), map[string]infra.StoreLimits{"p": {LoadsPerSecond: 3, ConcurrentLoads: 3}}, map[string]int{"p": 4})
	taken := 0
	for i := range 10000 { // ten seconds
		if p.allow(at(float64(i)/1000), "p", 0) {
			taken++
		}
	}
	require.Equal(t, 8, taken, "0.75 per second, the first at once")
	require.False(t, p.allow(at(20), "p", 1), "the share of concurrent loads is 1")
	require.Equal(t, infra.StoreLimits{LoadsPerSecond: 3, ConcurrentLoads: 3}, p.storeLimits()["p"], "undivided: the planner divides it")
	p.update(at(20), map[string]infra.StoreLimits{"p": {LoadsPerSecond: 1, ConcurrentLoads: 7}}, map[string]int{"p": 3})
	require.Equal(t, 2, p.maxConcurrent("p"))
	require.Equal(t, fallbackLimits.ConcurrentLoads, p.maxConcurrent("unknown"))
	require.True(t, p.allow(at(20).Add(time.Hour), "p", 1))
}

func TestNothingIsLoadedOntoLeavingServer(t *testing.T) {
	s := newServer("s")
	s.status, s.assignment = &infra.ServerStatus{}, 1
	want := &replay.Server{ID: "s", MemoryMiB: 10, Assignment: 1, Assigned: []infra.Item{item("a")}}
	l := Limits{}.withDefaults()
	require.Len(t, reconcile(at(0), l, s, want, true), 1)
	s.listedAsLeaving = true
	require.Empty(t, reconcile(at(0), l, s, want, true))
}

func TestFirstReplicasAreLoadedFirst(t *testing.T) {
	load := func(name string) dueOrder {
		return dueOrder{needed: neededOrder{order: infra.Order{Kind: infra.OrderLoad, Item: item(name)}}}
	}
	orders := []dueOrder{load("served"), load("a"), load("a"), load("b"), {needed: neededOrder{order: infra.Order{Kind: infra.OrderUnload}}}}
	rankOrders(orders, map[string]bool{"served": true})
	var got []string
	for _, d := range orders {
		got = append(got, d.needed.order.Item.Model)
	}
	require.Equal(t, []string{"", "a", "b", "served", "a"}, got)
}
