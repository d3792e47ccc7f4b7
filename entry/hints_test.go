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

// cacheEngine answers for cache events only.
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

func TestCacheEventsCostTheSameHoweverManyServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &cacheEngine{}
		got := map[string]uint64{}
		h := &hints{
			engine:  engine,
			ring:    make(chan server, hintsRing),
			cached:  func(id string, events []infra.CacheEvent) { got[id] = events[0].Sequence },
			metrics: new(expvar.Map),
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.run(ctx) }()
		h.used("dead", "dead")
		for n := range 100 {
			h.used(fmt.Sprint("server-", n), fmt.Sprint("addr-", n))
			synctest.Wait()
		}
		time.Sleep(2*hintsServers*hintsEvery + time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 2*hintsServers, engine.asked.Load())
		require.Len(t, got, hintsServers)
		require.EqualValues(t, 2, got["server-99"], "events go on where they ended")
		cancel()
		require.NoError(t, <-ended)
	})
}

func TestServerThatDoesNotAnswerIsAskedAgainOnlyWhenUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &cacheEngine{}
		h := &hints{engine: engine, ring: make(chan server, hintsRing), metrics: new(expvar.Map)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- h.run(ctx) }()
		for range 2 {
			h.used("dead", "dead")
			time.Sleep(10 * hintsEvery)
		}
		require.EqualValues(t, 2, engine.asked.Load())
		cancel()
		require.NoError(t, <-ended)
	})
}
