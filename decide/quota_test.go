package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// manyTable is one server before more instances than it has slots.
func manyTable(slots, instances int) *Table {
	return &Table{
		OwnDomain: "d", Servers: []Server{{ID: "s", Pool: "p", FailureDomain: "d", Slots: slots}},
		Targets: map[string]*Target{"m": {Name: "m", Pool: "p", Model: "m", Replicas: []Replica{{Server: 0}}}},
		Entries: map[string]int{"d": instances}, NoServerQueue: true,
	}
}

// many is a scheduler before that server, whose requests hold a slot that long.
func many(slots, instances int, held time.Duration) *Scheduler {
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	s.SetTable(simStart, manyTable(slots, instances))
	for range 10 {
		s.fleet.servers["s"].pool.held.add(held.Seconds())
	}
	s.UpdateLoad(simStart.Add(-500*time.Millisecond), "s", infra.Load{}, 0)
	return s
}

func (s *Scheduler) send(now time.Time, n int) (dispatched int) {
	for i := range n {
		for _, d := range s.Submit(now, Request{ID: fmt.Sprint(now.UnixNano(), i), Target: "m", Arrived: now, Deadline: now.Add(10 * time.Second)}) {
			if d.Action == ActionDispatch {
				dispatched++
			}
		}
	}
	return dispatched
}

// A plain service's slots free many times between two reports. Taken to free once
// at most, the quotas were so small that 16,700 of 20,400 requests were refused
// before servers of which half the slots were free.
func TestShortRequestsHaveNoQuota(t *testing.T) {
	s := many(6, 295, 60*time.Millisecond)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 3, Contending: 25}, 0)
	require.False(t, s.fleet.servers["s"].quota.limited)
	require.Equal(t, 1, s.send(simStart, 1))
	s.UpdateLoad(simStart, "s", infra.Load{Running: 3, Contending: 100}, 0)
	require.False(t, s.fleet.servers["s"].quota.limited, "what was held back would only wait for the next report")
}

// Before an instance has had enough requests to know how long they hold a slot, a
// plain service's servers must not be taken for slow: the queue that this made at
// all instances never went away.
func TestAPlainServiceIsTakenToBeFastUntilItIsKnown(t *testing.T) {
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	table := manyTable(6, 295)
	table.Targets["m"].Service, table.Targets["m"].Model = true, ""
	s.SetTable(simStart, table)
	s.UpdateLoad(simStart.Add(-500*time.Millisecond), "s", infra.Load{}, 0)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 7, Contending: 100}, 0)
	require.Equal(t, 1, s.send(simStart, 1))
	for range minHoldSamples {
		s.fleet.servers["s"].pool.held.add(2)
	}
	s.UpdateLoad(simStart.Add(time.Second), "s", infra.Load{Running: 7, Contending: 100}, 0)
	require.True(t, s.fleet.servers["s"].quota.limited)
}

func TestAQuotaHoldsUntilReportsStayAway(t *testing.T) {
	s := many(12, 295, time.Second)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 12, Contending: 300}, 0)
	d := &s.fleet.servers["s"].quota
	require.True(t, d.limited)
	d.left = 2
	require.Equal(t, 2, s.send(simStart, 5))
	later := simStart.Add(quotaFor)
	s.fleet.servers["s"].report = infra.Load{}
	s.fleet.servers["s"].window = 9
	require.Positive(t, len(s.Tick(later)), "nobody reports any more")
}

func TestFewInstancesHaveNoQuota(t *testing.T) {
	s := many(12, 12, time.Second)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 3, Contending: 300}, 0)
	require.False(t, s.fleet.servers["s"].quota.limited)
	require.Positive(t, s.send(simStart, 1))
}

// Reports of a plain service's servers say little of what they have by now.
func TestServersWhoseSlotsFreeFastTakeRequestsThoughTheyWereReportedFull(t *testing.T) {
	full := infra.Load{Running: 6, Contending: 25}
	request := Request{ID: "r", Target: "m", Arrived: simStart, Deadline: simStart.Add(4 * time.Second), Goal: 300 * time.Millisecond}
	fast := many(6, 295, 60*time.Millisecond)
	fast.UpdateLoad(simStart, "s", full, 0)
	require.Equal(t, ActionDispatch, fast.Submit(simStart, request)[0].Action)
	fast.UpdateLoad(simStart, "s", infra.Load{Running: 6 + 8, Contending: 25}, 0)
	request.ID = "r2"
	require.Equal(t, ActionQueue, fast.Submit(simStart, request)[0].Action, "it would wait for over a quarter of its goal")
	slow := many(6, 2, time.Second)
	slow.UpdateLoad(simStart, "s", full, 0)
	require.Equal(t, ActionQueue, slow.Submit(simStart, request)[0].Action)
}
