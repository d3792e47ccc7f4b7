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

func planned(id string, ready ...infra.Item) decide.PlanServer {
	return decide.PlanServer{ID: id, MemoryMiB: 10, Reachable: true, Assigned: ready, Ready: ready}
}

func TestGuardOverMoves(t *testing.T) {
	adapter := infra.Item{Model: "a", Adapter: "x", Version: "1", MiB: 1}
	small := planned("small", item("old"))
	small.MemoryMiB = 2 // its declared memory shrank
	gone := planned("gone", item("b"))
	gone.Reachable = false
	in := decide.PlanInput{Config: testConfig(), Servers: []decide.PlanServer{
		planned("s", item("a"), item("b")), planned("t", item("c")), planned("u", item("c")), gone, small,
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
		"adapter without its model":  {decide.Move{Server: "t", Add: []infra.Item{adapter}}, nil, moveOrphan},
		"drop where memory shrank":   {decide.Move{Server: "small", Drop: []infra.Item{item("old")}}, nil, ""},
		"nothing":                    {decide.Move{Server: "t", Add: []infra.Item{item("c")}}, nil, moveNothing},
		"in an earlier domain":       {decide.Move{Server: "s", Drop: []infra.Item{item("a")}}, map[string]*replay.ControlView{"alpha": serving("a")}, ""},
		"in a later domain":          {decide.Move{Server: "s", Drop: []infra.Item{item("a")}}, map[string]*replay.ControlView{"zulu": serving("a")}, moveLastReplica},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, newWorkingCopy(in, c.others, testDomain).apply(c.move))
		})
	}
	both := newWorkingCopy(in, nil, testDomain)
	require.Empty(t, both.apply(decide.Move{Server: "t", Drop: []infra.Item{item("c")}}))
	require.Equal(t, moveLastReplica, both.apply(decide.Move{Server: "u", Drop: []infra.Item{item("c")}}), "the first move counts")
}

func TestPacerKeepsADomainWithinItsPartOfTheStore(t *testing.T) {
	p := newPacer()
	p.set(at(0), map[string]infra.StoreLimits{"p": {LoadsPerSecond: 3, ConcurrentLoads: 3}}, map[string]int{"p": 4})
	taken := 0
	for i := range 10000 { // ten seconds
		if p.take(at(float64(i)/1000), "p", 0) {
			taken++
		}
	}
	require.Equal(t, 8, taken, "0.75 a second, the first at once")
	require.False(t, p.take(at(20), "p", 1), "at least one at a time, and here no more")
	require.Equal(t, infra.StoreLimits{LoadsPerSecond: 3, ConcurrentLoads: 3}, p.stores()["p"], "undivided: the planner takes the part itself")
	p.set(at(20), map[string]infra.StoreLimits{"p": {LoadsPerSecond: 1, ConcurrentLoads: 7}}, map[string]int{"p": 3})
	require.Equal(t, 2, p.room("p"))
	require.Equal(t, fallbackLimits.ConcurrentLoads, p.room("unknown"))
	require.True(t, p.take(at(20).Add(time.Hour), "p", 1))
}

func TestLeavingServerIsLoadedWithNothing(t *testing.T) {
	s := newServer("s")
	s.status, s.assignment = &infra.ServerStatus{}, 1
	want := &replay.Server{ID: "s", MemoryMiB: 10, Assignment: 1, Assigned: []infra.Item{item("a")}}
	l := Limits{}.withDefaults()
	require.Len(t, reconcile(at(0), l, s, want, true), 1)
	s.leavingListed = true
	require.Empty(t, reconcile(at(0), l, s, want, true))
}

func TestFirstReplicasAreLoadedFirst(t *testing.T) {
	load := func(name string) due {
		return due{w: wanted{order: infra.Order{Kind: infra.OrderLoad, Item: item(name)}}}
	}
	orders := []due{load("served"), load("a"), load("a"), load("b"), {w: wanted{order: infra.Order{Kind: infra.OrderUnload}}}}
	rankOrders(orders, map[string]bool{"served": true})
	var got []string
	for _, d := range orders {
		got = append(got, d.w.order.Item.Model)
	}
	require.Equal(t, []string{"", "a", "b", "served", "a"}, got)
}
