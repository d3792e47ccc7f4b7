package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// A server starts again under its id while an order, a query and a drain are under way. Nothing of
// before holds for the new start, whichever comes first, its entry or the answer to a call.
func TestNothingOfAnEarlierStartHoldsForTheNext(t *testing.T) {
	model := []topology.HeldModel{{Name: "m", Version: 1, Adapters: []string{"a1"}}}
	later := start.Add(time.Second)
	restarted := topology.Server{ID: "s", Born: later}
	known := func() *server {
		s := &server{}
		s.update(start, topology.Server{ID: "s", Born: start, Models: model})
		s.handleState(start, State{Sequence: 7, Models: model, Born: start})
		return s
	}
	requireEmpty := func(s *server) {
		require.Empty(t, s.models())
		require.Zero(t, s.adapterCount())
		require.False(t, s.isDropped("m"))
		require.False(t, s.available(later))
		require.Empty(t, s.heldChanges())
	}

	s := known() // draining, with accepted orders
	s.orderAccepted(start, Order{Server: "s", Model: "m", Adapter: "a2", Sequence: 7}, time.Minute)
	s.orderAccepted(start, Order{Server: "s", Model: "n", Sequence: 8}, time.Minute)
	s.draining = &drainingModel{model: "m"}
	s.dropped = append(s.dropped, droppedModel{model: "m", until: later.Add(time.Minute)})
	s.update(later, restarted)
	requireEmpty(s)
	require.True(t, s.needsStateQuery(later))

	s = known() // a query of the earlier start is answered after the entry of the new one
	s.callInFlight = true
	s.update(later, restarted)
	s.handleState(later, State{Sequence: 7, Models: model})
	requireEmpty(s)
	require.True(t, s.needsStateQuery(later))
	s.handleState(later, State{Sequence: 7, Models: model, Born: start})
	requireEmpty(s)

	p := NewPlanner(NewDemandTracker()) // an order that the earlier start accepted
	p.servers["s"] = known()
	s = p.servers["s"]
	o := Order{Server: "s", Model: "n", Sequence: 7}
	s.callInFlight, s.orderInFlight = true, &o
	s.update(later, restarted)
	p.HandleOrderResult(later, o, Accepted, false)
	require.Nil(t, s.executing)
	requireEmpty(s)
}
