package entry

import (
	"context"
	"expvar"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// cacheEngine implements only CacheEvents: one new event per call, and an error for the
// address "dead".
type cacheEngine struct {
	infra.Engine
	asked atomic.Int64
}

func (e *cacheEngine) CacheEvents(_ context.Context, addr string, after uint64) ([]infra.CacheEvent, error) {
	e.asked.Add(1)
	if addr == "dead" {
		return nil, &infra.Error{Op: "engine.cache_events", Reason: infra.ReasonUnreachable}
	}
	return []infra.CacheEvent{{Sequence: after + 1}}, nil
}

func TestCachePollRateIsIndependentOfServerCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &cacheEngine{}
		got := map[string]uint64{}
		h := &cachePoller{
			engine:      engine,
			usedServers: make(chan server, usedServerBuffer),
			applyEvents: func(id string, events []infra.CacheEvent) { got[id] = events[0].Sequence },
			metrics:     new(expvar.Map),
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.run(ctx) }()
		h.markUsed("dead", "dead")
		for n := range 100 {
			h.markUsed(fmt.Sprint("server-", n), fmt.Sprint("addr-", n))
			synctest.Wait()
		}
		time.Sleep(2*maxPolledServers*cachePollInterval + time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 2*maxPolledServers, engine.asked.Load())
		require.Len(t, got, maxPolledServers)
		require.EqualValues(t, 2, got["server-99"], "polling continues after the last event")
		cancel()
		require.NoError(t, <-ended)
	})
}

func TestFailedServerIsPolledAgainOnlyWhenUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &cacheEngine{}
		h := &cachePoller{engine: engine, usedServers: make(chan server, usedServerBuffer), metrics: new(expvar.Map)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.run(ctx) }()
		for range 2 {
			h.markUsed("dead", "dead")
			time.Sleep(10 * cachePollInterval)
		}
		require.EqualValues(t, 2, engine.asked.Load())
		cancel()
		require.NoError(t, <-ended)
	})
}
