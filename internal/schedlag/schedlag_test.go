package schedlag

import (
	"math"
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGoroutinesThatWaitForTheProcessorAreMeasured(t *testing.T) {
	const busy = 20 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := Start()
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for start := time.Now(); time.Since(start) < busy; {
				runtime.KeepAlive(start)
			}
		})
	}
	group.Wait()
	require.GreaterOrEqual(t, m.Quantile(1), busy, "the last one waited for the others")
	require.LessOrEqual(t, m.Quantile(0.5), m.Quantile(1))
	require.Contains(t, m.String(), "p99")
}

func TestBoundIsThatOfTheBucket(t *testing.T) {
	h := &metrics.Float64Histogram{Counts: []uint64{1, 0, 2, 1}, Buckets: []float64{0, 1, 2, 3, math.Inf(1)}}
	require.InDelta(t, 1, bound(h, 0), 0)
	require.InDelta(t, 1, bound(h, 1), 0)
	require.InDelta(t, 3, bound(h, 2), 0)
	require.InDelta(t, 3, bound(h, 4), 0, "the last bucket has no upper bound")
}
