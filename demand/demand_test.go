package demand

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMeterTracksSteadyRateAndDropsIdleTargets(t *testing.T) {
	m := NewMeter()
	now := start
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		m.Dispatched(now, "m", "porto-a")
		m.Generated(now, "m", "porto-a", 20)
		m.Dispatched(now, "m", "pelotas")
	}
	got := m.Rates(now, "porto-a")["m"]
	require.InEpsilon(t, 10, got.Requests, 0.02)
	require.InEpsilon(t, 200, got.Tokens, 0.02)
	require.Zero(t, got.Refused)
	require.Empty(t, m.Rates(now.Add(20*DecayTimeConstant), "porto-a"))
	require.Empty(t, m.counts)
}

func TestRefusalIsSplitAcrossDomains(t *testing.T) {
	m := NewMeter()
	m.Refused(start, "m", []string{"porto-a", "pelotas"})
	require.InEpsilon(t, 0.5/DecayTimeConstant.Seconds(), m.Rates(start, "pelotas")["m"].Refused, 1e-9)
}

// uniformQuerier returns the same rates for every instance, and an error for the
// silent ones.
type uniformQuerier struct{ silent map[string]bool }

type noAnswerError struct{}

func (noAnswerError) Error() string { return "no answer" }

func (e uniformQuerier) Demand(_ context.Context, i infra.Instance, _ string) (Report, error) {
	if e.silent[i.ID] {
		return Report{}, noAnswerError{}
	}
	return Report{
		Rates: map[string]Rates{"m": {Requests: 2}},
		Loads: map[string]infra.Load{"server-of-" + i.ID: {Running: 3}},
	}, nil
}

func entryInstances(domain string, n int) []infra.Instance {
	var list []infra.Instance
	for i := range n {
		list = append(list, infra.Instance{ID: domain + strconv.Itoa(i), FailureDomain: domain})
	}
	return list
}

func TestSampleIsScaledToAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := append(entryInstances("porto-a", 41), entryInstances("pelotas", 41)...)
		querier := uniformQuerier{silent: map[string]bool{"porto-a0": true, "porto-a7": true}}
		c := NewCollector("porto-a", querier, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
		for range 5 {
			require.InEpsilon(t, 2*82, c.Collect(t.Context())["m"].Requests, 1e-9)
			time.Sleep(SampleInterval)
		}
	})
}

// countingQuerier counts the queries.
type countingQuerier struct {
	uniformQuerier
	queries *atomic.Int64
}

func (c countingQuerier) Demand(ctx context.Context, i infra.Instance, domain string) (Report, error) {
	c.queries.Add(1)
	return c.uniformQuerier.Demand(ctx, i, domain)
}

func TestQueryCountIsIndependentOfInstancesAndCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := append(entryInstances("porto-a", 41), entryInstances("pelotas", 329)...)
		querier := countingQuerier{queries: new(atomic.Int64)}
		c := NewCollector("porto-a", querier, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
		for range 60 {
			require.NotEmpty(t, c.Collect(t.Context()))
			time.Sleep(time.Second)
		}
		require.EqualValues(t, 4*(OwnDomainSample+OtherDomainsSample), querier.queries.Load())
	})
}

func TestLoadsComeFromSamplesAndExpire(t *testing.T) {
	all := entryInstances("porto-a", 3)
	c := NewCollector("porto-a", uniformQuerier{}, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
	c.Collect(t.Context())
	require.Len(t, c.Loads(), 3)
	require.Equal(t, infra.Load{Running: 3}, c.Loads()["server-of-porto-a1"])

	l := NewLoads()
	l.Record(start, "old", infra.Load{Running: 1})
	l.Record(start.Add(loadTTL), "new", infra.Load{Running: 2})
	l.Record(start.Add(loadTTL), "new", infra.Load{Running: 4})
	require.Equal(t, map[string]infra.Load{"new": {Running: 4}}, l.Recent(start.Add(loadTTL+time.Second)))
	require.Len(t, l.reports, 1)
}

func TestExpiredSamplesAreIgnored(t *testing.T) {
	all := entryInstances("porto-a", 3)
	c := NewCollector("porto-a", uniformQuerier{}, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
	require.NotEmpty(t, c.Collect(t.Context()))
	require.Empty(t, c.estimate(time.Now().Add(2*SampleTTL), all))
}
