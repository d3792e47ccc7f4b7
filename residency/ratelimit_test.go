package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

// rateCases are fleet sizes and limits in requests per second.
var rateCases = []struct {
	instances int
	limit     float64
	seeds     uint64
}{{9, 1.3, 3}, {9, 12, 3}, {295, 1.3, 1}, {295, 12, 1}}

func forEachRateCase(t *testing.T, title string, check func(t *testing.T, w *rateSimulation, limit float64)) {
	for _, c := range rateCases {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%s, %d instances, %g a second, seed %d", title, c.instances, c.limit, seed), func(t *testing.T) {
				check(t, newRateSimulation(c.instances, 0, seed, c.limit), c.limit)
			})
		}
	}
}

func TestRateLimitKeptAndUsed(t *testing.T) {
	for _, demand := range []float64{0.6, 1.5, 5} {
		forEachRateCase(t, fmt.Sprintf("%g times as much asked", demand), func(t *testing.T, w *rateSimulation, limit float64) {
			w.run(demand * limit)
			sent, idealThroughput := w.arrivalsIn(settleTime, simDuration), w.idealThroughput(limit, settleTime, simDuration)
			t.Logf("at most %d of %d; sent %g, one gate %g", w.maxArrivals(settleTime), maxAllowed(limit), sent, idealThroughput)
			require.LessOrEqual(t, w.maxArrivals(settleTime), maxAllowed(limit))
			require.Greater(t, sent, 0.8*idealThroughput)
			require.LessOrEqual(t, sent, 1.1*limit*(simDuration-settleTime).Seconds())
		})
	}
}

// A failure domain that is cut off sends what its instances' own turns allow, and the
// others send what the lease holder grants.
func TestRateLimitDuringPartition(t *testing.T) {
	forEachRateCase(t, "cut", func(t *testing.T, w *rateSimulation, limit float64) {
		cut := func() bool { s := w.now.Sub(simStart); return s > 10*time.Second && s < 25*time.Second }
		w.reachable = func(i int) bool { return !cut() || i%simDomains != 0 }
		w.run(5 * limit)
		require.LessOrEqual(t, w.maxArrivals(settleTime), maxAllowed(limit))
		require.Greater(t, w.arrivalsIn(12*time.Second, 25*time.Second), 0.8*5/6*w.idealThroughput(limit, 12*time.Second, 25*time.Second))
	})
}

func TestRateLimitWithoutLeaseHolder(t *testing.T) {
	forEachRateCase(t, "no holder", func(t *testing.T, w *rateSimulation, limit float64) {
		w.schedule(10*time.Second, func() { w.holder = nil })
		w.schedule(25*time.Second, func() { w.holder = newRateAllocator() })
		w.run(5 * limit)
		t.Logf("without a holder sent %g, one gate %g", w.arrivalsIn(12*time.Second, 25*time.Second), w.idealThroughput(limit, 12*time.Second, 25*time.Second))
		require.LessOrEqual(t, w.maxArrivals(settleTime), maxAllowed(limit))
		require.GreaterOrEqual(t, w.arrivalsIn(27*time.Second, simDuration), 0.8*w.idealThroughput(limit, 27*time.Second, simDuration))
	})
}

// The lease moves several times, and each new holder starts without state.
func TestRateLimitAcrossLeaseChanges(t *testing.T) {
	forEachRateCase(t, "", func(t *testing.T, w *rateSimulation, limit float64) {
		for at := 5 * time.Second; at < 35*time.Second; at += 5 * time.Second {
			w.schedule(at, func() { w.holder = nil })
			w.schedule(at+2*time.Second, func() { w.holder = newRateAllocator() })
		}
		w.run(5 * limit)
		require.LessOrEqual(t, w.maxArrivals(settleTime), maxAllowed(limit))
	})
}

// Instances that never learned of each other know neither their number nor whose turn
// it is.
func TestRateLimitBeforeFirstLeaseHolder(t *testing.T) {
	forEachRateCase(t, "", func(t *testing.T, w *rateSimulation, limit float64) {
		w.holder = nil
		w.run(5 * limit)
		require.LessOrEqual(t, maxInWindow(w.arrivals, func(a serverArrival) bool { return a.limitKnown }), maxAllowed(limit))
	})
}

// A limit that differs a little in each answer is one limit.
func TestVaryingRateLimit(t *testing.T) {
	forEachRateCase(t, "", func(t *testing.T, w *rateSimulation, limit float64) {
		w.limit = func() decide.RateLimit {
			return decide.RateLimit{Named: true, PerSecond: limit * (0.8 + 0.2*w.rng.Float64())}
		}
		w.schedule(15*time.Second, func() { w.holder = nil })
		w.run(5 * limit)
		require.LessOrEqual(t, w.maxArrivals(settleTime), maxAllowed(limit))
	})
}

func TestFullTrafficAfterLimitEnds(t *testing.T) {
	forEachRateCase(t, "", func(t *testing.T, w *rateSimulation, limit float64) {
		original := w.limit
		w.limit = func() decide.RateLimit {
			if w.now.Sub(simStart) > 20*time.Second {
				return decide.RateLimit{}
			}
			return original()
		}
		w.run(3 * limit)
		requested := 0.0
		for _, at := range w.requested {
			if at.Sub(simStart) >= 25*time.Second {
				requested++
			}
		}
		require.Greater(t, w.arrivalsIn(25*time.Second, simDuration), 0.95*requested)
	})
}

// While other servers have capacity for all requests, a rate-limited server must still
// get some. Otherwise no instance learns that the limit has ended, and the server stays
// idle.
func TestServerUsedAgainAfterLimitEnds(t *testing.T) {
	for _, c := range rateCases {
		t.Run(fmt.Sprintf("%d instances, %g a second", c.instances, c.limit), func(t *testing.T) {
			w := newRateSimulation(c.instances, 2, 1, c.limit)
			original := w.limit
			w.limit = func() decide.RateLimit {
				if w.now.Sub(simStart) > 20*time.Second {
					return decide.RateLimit{}
				}
				return original()
			}
			w.run(5 * c.limit)
			require.LessOrEqual(t, maxInWindow(w.arrivals, func(a serverArrival) bool {
				at := a.at.Sub(simStart)
				return at >= settleTime && at < 20*time.Second
			}), maxAllowed(c.limit))
			t.Logf("sent %g while it names a limit, %g after", w.arrivalsIn(settleTime, 20*time.Second)/17, w.arrivalsIn(30*time.Second, simDuration)/10)
			require.Positive(t, w.arrivalsIn(settleTime, 20*time.Second))
			require.Greater(t, w.arrivalsIn(30*time.Second, simDuration), 0.15*5*c.limit*10)
		})
	}
}

// Reports wait for a lock and may be processed out of order.
func TestOutOfOrderReportsGrantNoMore(t *testing.T) {
	r := newRateAllocator()
	limit := decide.RateLimit{Named: true, PerSecond: 2}
	reported := []decide.RateReport{{Server: "s", Limit: limit, ObservedHere: true, Waiting: 1}}
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	r.reported(at(0), "a", reported)
	require.Equal(t, 1, r.reported(at(600), "a", reported)[0].Granted)
	require.Zero(t, r.reported(at(300), "b", reported)[0].Granted, "the report was processed late")
	require.Zero(t, r.reported(at(610), "c", reported)[0].Granted)
}

// A restarted server no longer knows the limit that it had stated.
func TestLimitEndsWithServerRestart(t *testing.T) {
	r := newRateAllocator()
	limit := decide.RateLimit{Named: true, PerSecond: 2}
	r.reported(simStart, "a", []decide.RateReport{{Server: "s", Start: "1", Limit: limit, ObservedHere: true}})
	shares := r.reported(simStart.Add(time.Second), "b", []decide.RateReport{{Server: "s", Start: "2", ObservedHere: true}})
	require.Equal(t, "2", shares[0].Start)
	require.False(t, shares[0].Limit.Named)
}

// The instances that received the limit from the server have ended, and the lease has
// moved. The other instances, which only the lease holder told, keep the limit: without
// a share of it no instance would ever send the server a request and learn that the
// limit has ended.
func TestRelayedLimitIsGranted(t *testing.T) {
	r := newRateAllocator()
	reported := []decide.RateReport{{Server: "s", Limit: decide.RateLimit{Named: true, PerSecond: 2}, Age: time.Minute, Waiting: 1}}
	granted := 0
	for n := range 10 {
		for _, share := range r.reported(simStart.Add(time.Duration(n)*reportInterval), "a", reported) {
			granted += share.Granted
		}
	}
	require.Positive(t, granted)
}

// What instances were told is relayed among them and must not look newer than a
// server's own answer.
func TestObservedLimitOverridesRelayed(t *testing.T) {
	r := newRateAllocator()
	limit := decide.RateLimit{Named: true, PerSecond: 2}
	r.reported(simStart, "a", []decide.RateReport{{Server: "s", Limit: limit, ObservedHere: true}})
	later := simStart.Add(time.Second)
	r.reported(later, "a", []decide.RateReport{{Server: "s", ObservedHere: true}})
	shares := r.reported(later.Add(time.Millisecond), "b", []decide.RateReport{{Server: "s", Limit: limit}})
	require.False(t, shares[0].Limit.Named)
}
