package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// sharedServerTable returns a table with one server that several instances share.
func sharedServerTable(slots, instances int) *Table {
	return &Table{
		OwnDomain: "d", Servers: []Server{{ID: "s", Pool: "p", FailureDomain: "d", Slots: slots}},
		Targets: map[string]*Target{"m": {Name: "m", Pool: "p", Model: "m", Replicas: []Replica{{Server: 0}}}},
		Entries: map[string]int{"d": instances}, NoServerQueue: true,
	}
}

// sharedServerScheduler returns a scheduler with that table, whose requests hold a slot
// for the given time.
func sharedServerScheduler(slots, instances int, held time.Duration) *Scheduler {
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	s.SetTable(simStart, sharedServerTable(slots, instances))
	for range 10 {
		s.fleet.servers["s"].pool.holdSeconds.add(held.Seconds())
	}
	s.UpdateLoad(simStart.Add(-500*time.Millisecond), "s", infra.Load{}, 0)
	return s
}

// arriveMany lets n requests arrive and returns how many were dispatched.
func (s *Scheduler) arriveMany(now time.Time, n int) (dispatched int) {
	for i := range n {
		for _, d := range s.Submit(now, Request{ID: fmt.Sprint(now.UnixNano(), i), Target: "m", Arrived: now, Deadline: now.Add(10 * time.Second)}) {
			if d.Action == ActionDispatch {
				dispatched++
			}
		}
	}
	return dispatched
}

// A plain service's slots become free many times between two reports. When quotas assumed
// at most one time, they were so small that 16,700 of 20,400 requests were refused while
// half of the servers' slots were free.
func TestShortRequestsHaveNoQuota(t *testing.T) {
	s := sharedServerScheduler(6, 295, 60*time.Millisecond)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 3, Contending: 25}, 0)
	require.False(t, s.fleet.servers["s"].quota.limited)
	require.Equal(t, 1, s.arriveMany(simStart, 1))
	s.UpdateLoad(simStart, "s", infra.Load{Running: 3, Contending: 100}, 0)
	require.False(t, s.fleet.servers["s"].quota.limited, "a quota would only hold requests back until the next report")
}

// While an instance has too few requests to know how long they hold a slot, a plain
// service's servers must count as fast. When they counted as slow, the queue that built
// up at all instances never drained.
func TestPlainServiceCountsAsFastUntilMeasured(t *testing.T) {
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	table := sharedServerTable(6, 295)
	table.Targets["m"].Service, table.Targets["m"].Model = true, ""
	s.SetTable(simStart, table)
	s.UpdateLoad(simStart.Add(-500*time.Millisecond), "s", infra.Load{}, 0)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 7, Contending: 100}, 0)
	require.Equal(t, 1, s.arriveMany(simStart, 1))
	for range minHoldSamples {
		s.fleet.servers["s"].pool.holdSeconds.add(2)
	}
	s.UpdateLoad(simStart.Add(time.Second), "s", infra.Load{Running: 7, Contending: 100}, 0)
	require.True(t, s.fleet.servers["s"].quota.limited)
}

func TestQuotaExpiresWithoutReports(t *testing.T) {
	s := sharedServerScheduler(12, 295, time.Second)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 12, Contending: 300}, 0)
	q := &s.fleet.servers["s"].quota
	require.True(t, q.limited)
	q.remaining = 2
	require.Equal(t, 2, s.arriveMany(simStart, 5))
	later := simStart.Add(quotaTTL)
	s.fleet.servers["s"].report = infra.Load{}
	s.fleet.servers["s"].window = 9
	require.Positive(t, len(s.Tick(later)), "the quota must expire without reports")
}

func TestFewInstancesHaveNoQuota(t *testing.T) {
	s := sharedServerScheduler(12, 12, time.Second)
	s.UpdateLoad(simStart, "s", infra.Load{Running: 3, Contending: 300}, 0)
	require.False(t, s.fleet.servers["s"].quota.limited)
	require.Positive(t, s.arriveMany(simStart, 1))
}

// A plain service's servers process requests so fast that a load report says little about
// their current load.
func TestFastServersTakeRequestsWhenReportedFull(t *testing.T) {
	full := infra.Load{Running: 6, Contending: 25}
	request := Request{ID: "r", Target: "m", Arrived: simStart, Deadline: simStart.Add(4 * time.Second), Goal: 300 * time.Millisecond}
	fast := sharedServerScheduler(6, 295, 60*time.Millisecond)
	fast.UpdateLoad(simStart, "s", full, 0)
	require.Equal(t, ActionDispatch, fast.Submit(simStart, request)[0].Action)
	fast.UpdateLoad(simStart, "s", infra.Load{Running: 6 + 8, Contending: 25}, 0)
	request.ID = "r2"
	require.Equal(t, ActionQueue, fast.Submit(simStart, request)[0].Action, "the request would wait for more than a quarter of its goal")
	slow := sharedServerScheduler(6, 2, time.Second)
	slow.UpdateLoad(simStart, "s", full, 0)
	require.Equal(t, ActionQueue, slow.Submit(simStart, request)[0].Action)
}
