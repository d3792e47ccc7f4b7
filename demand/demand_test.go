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

func TestMeterFollowsASteadyRateAndForgets(t *testing.T) {
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
	require.Empty(t, m.Rates(now.Add(20*TimeConstant), "porto-a"))
	require.Empty(t, m.counts)
}

func TestRefusalIsSpreadOverTheDomains(t *testing.T) {
	m := NewMeter()
	m.Refused(start, "m", []string{"porto-a", "pelotas"})
	require.InEpsilon(t, 0.5/TimeConstant.Seconds(), m.Rates(start, "pelotas")["m"].Refused, 1e-9)
}

// evenly answers with the same rates for every instance but the silent ones.
type evenly struct{ silent map[string]bool }

type silence struct{}

func (silence) Error() string { return "no answer" }

func (e evenly) Demand(_ context.Context, i infra.Instance, _ string) (Report, error) {
	if e.silent[i.ID] {
		return Report{}, silence{}
	}
	return Report{
		Rates: map[string]Rates{"m": {Requests: 2}},
		Loads: map[string]infra.Load{"server-of-" + i.ID: {Running: 3}},
	}, nil
}

func entries(domain string, n int) []infra.Instance {
	var list []infra.Instance
	for i := range n {
		list = append(list, infra.Instance{ID: domain + strconv.Itoa(i), FailureDomain: domain})
	}
	return list
}

func TestSampleSpeaksForAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := append(entries("porto-a", 41), entries("pelotas", 41)...)
		asker := evenly{silent: map[string]bool{"porto-a0": true, "porto-a7": true}}
		c := NewCollector("porto-a", asker, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
		for range 5 {
			require.InEpsilon(t, 2*82, c.Collect(t.Context())["m"].Requests, 1e-9)
			time.Sleep(AskEvery)
		}
	})
}

// counting counts the questions.
type counting struct {
	evenly
	asked *atomic.Int64
}

func (c counting) Demand(ctx context.Context, i infra.Instance, domain string) (Report, error) {
	c.asked.Add(1)
	return c.evenly.Demand(ctx, i, domain)
}

func TestQuestionsDontGrowWithInstancesOrPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := append(entries("porto-a", 41), entries("pelotas", 329)...)
		asker := counting{asked: new(atomic.Int64)}
		c := NewCollector("porto-a", asker, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
		for range 60 {
			require.NotEmpty(t, c.Collect(t.Context()))
			time.Sleep(time.Second)
		}
		require.EqualValues(t, 4*(SampleOwn+SampleOthers), asker.asked.Load())
	})
}

func TestLoadsComeFromTheSamplesAndAge(t *testing.T) {
	all := entries("porto-a", 3)
	c := NewCollector("porto-a", evenly{}, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
	c.Collect(t.Context())
	require.Len(t, c.Loads(), 3)
	require.Equal(t, infra.Load{Running: 3}, c.Loads()["server-of-porto-a1"])

	l := NewLoads()
	l.Seen(start, "old", infra.Load{Running: 1})
	l.Seen(start.Add(loadLife), "new", infra.Load{Running: 2})
	l.Seen(start.Add(loadLife), "new", infra.Load{Running: 4})
	require.Equal(t, map[string]infra.Load{"new": {Running: 4}}, l.Recent(start.Add(loadLife+time.Second)))
	require.Len(t, l.seen, 1)
}

func TestOldSamplesDontCount(t *testing.T) {
	all := entries("porto-a", 3)
	c := NewCollector("porto-a", evenly{}, func() []infra.Instance { return all }, rand.New(rand.NewPCG(1, 1)))
	require.NotEmpty(t, c.Collect(t.Context()))
	require.Empty(t, c.estimate(time.Now().Add(2*SampleLife), all))
}
