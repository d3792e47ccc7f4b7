package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

// rankedDemand is an instance's demand for a target of one rank.
func rankedDemand(rank, requests, waiting, starts int) TargetDemand {
	demand := TargetDemand{Requests: requests, Waiting: waiting}
	demand.ByRank[rank] = RankDemand{Requests: requests, Waiting: waiting, Starts: starts}
	return demand
}

func reportDemand(d *DemandTracker, now time.Time, instance string, demand map[string]TargetDemand) {
	d.HandleReport(now, InstanceReport{Instance: instance, TargetDemand: demand})
}

// Ten instances report twice a second: waiting requests are the sum of the newest reports, arrivals
// and starts are per second.
func TestBacklogsAddUpOverInstances(t *testing.T) {
	d, now := NewDemandTracker(), time.Unix(1000, 0)
	for range 20 {
		for i := range 10 {
			reportDemand(d, now, fmt.Sprint(i), map[string]TargetDemand{"busy": rankedDemand(1, 3, 4, 2), "calm": rankedDemand(0, 5, 0, 5)})
		}
		now = now.Add(500 * time.Millisecond)
	}
	b := d.Backlogs(now)
	require.Len(t, b, 1, "nothing waits for the other target")
	require.Equal(t, "busy", b[0].Target)
	require.Equal(t, [decide.Ranks]float64{0, 40}, b[0].Waiting)
	require.InDelta(t, 60, b[0].Arrivals[1], 8)
	require.InDelta(t, 40, b[0].Starts[1], 6)
}

// A new lease holder, with reports of one second only, doesn't underestimate the rates.
func TestBacklogRatesOfANewLeaseHolder(t *testing.T) {
	d, now := NewDemandTracker(), time.Unix(1000, 0)
	for range 2 {
		for i := range 10 {
			reportDemand(d, now, fmt.Sprint(i), map[string]TargetDemand{"busy": rankedDemand(0, 3, 4, 2)})
		}
		now = now.Add(500 * time.Millisecond)
	}
	require.InDelta(t, 60, d.Backlogs(now)[0].Arrivals[0], 10)
}

// The waiting requests of an instance that is gone don't count, and a target is dropped
// backlogRetention after the last request waited for it.
func TestBacklogsForgetInstancesAndTargets(t *testing.T) {
	d, now := NewDemandTracker(), time.Unix(1000, 0)
	demand := map[string]TargetDemand{"busy": rankedDemand(0, 1, 5, 1)}
	reportDemand(d, now, "gone", demand)
	reportDemand(d, now, "stays", demand)
	require.Equal(t, 10.0, d.Backlogs(now)[0].Waiting[0])
	now = now.Add(instanceTimeout + time.Millisecond)
	reportDemand(d, now, "stays", demand)
	require.Equal(t, 5.0, d.Backlogs(now)[0].Waiting[0])
	now = now.Add(time.Second)
	reportDemand(d, now, "stays", map[string]TargetDemand{})
	require.Zero(t, d.Backlogs(now)[0].Waiting[0])
	require.Empty(t, d.Backlogs(now.Add(backlogRetention)))
}

// Instances that don't report ranks have no backlogs.
func TestNoBacklogsWithoutRanks(t *testing.T) {
	d, now := NewDemandTracker(), time.Unix(1000, 0)
	reportDemand(d, now, "a", map[string]TargetDemand{"busy": {Requests: 9, Waiting: 9}})
	require.Empty(t, d.Backlogs(now))
}

// If requests wait for many targets, the answer to each instance stays small.
func TestBacklogsAreBounded(t *testing.T) {
	d, now := NewDemandTracker(), time.Unix(1000, 0)
	demand := map[string]TargetDemand{}
	for i := range 3 * maxBacklogs {
		demand[fmt.Sprint(i)] = rankedDemand(0, 1, i, 0)
	}
	reportDemand(d, now, "a", demand)
	b := d.Backlogs(now)
	require.Len(t, b, maxBacklogs)
	require.Equal(t, float64(3*maxBacklogs-1), b[0].Waiting[0])
}
