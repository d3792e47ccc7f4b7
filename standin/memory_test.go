package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

func order(t *testing.T, engines *LocalEngines, kind infra.OrderKind, item infra.Item, fence uint64) error {
	return engines.Order(t.Context(), "s", infra.Order{Kind: kind, Item: item, Fence: fence})
}

func item(name string, mib int64) infra.Item {
	return infra.Item{Model: name, Version: "v1", MiB: mib}
}

func states(t *testing.T, engines *LocalEngines) map[string]infra.ItemState {
	status, err := engines.Status(t.Context(), "s")
	require.NoError(t, err)
	states := map[string]infra.ItemState{}
	for _, i := range status.Items {
		states[i.Model] = i.State
	}
	return states
}

func TestEngineMemoryAccounting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewWeightStore(StoreOptions{MiBPerSecond: 10})
		e, engines := runEngine(t, EngineOptions{ID: "s", MemoryMiB: 100, Store: store, UnloadTime: time.Second})
		require.NoError(t, order(t, engines, infra.OrderLoad, item("a", 60), 1))
		require.Equal(t, map[string]infra.ItemState{"a": infra.ItemLoading}, states(t, engines))
		requireError(t, order(t, engines, infra.OrderLoad, item("b", 60), 1), infra.ReasonNoMemory, infra.EffectNone)
		time.Sleep(7 * time.Second)
		require.Equal(t, map[string]infra.ItemState{"a": infra.ItemReady}, states(t, engines))
		req := infra.GenerateRequest{Attempt: "a1", Model: "a", Version: "v1", Prompt: "x", MaxTokens: 500}
		running := generate(t, engines, req)
		require.NoError(t, order(t, engines, infra.OrderUnload, item("a", 60), 2))
		req.Attempt = "a2"
		_, err := engines.Generate(t.Context(), "s", req)
		requireError(t, err, infra.ReasonNotResident, infra.EffectNone)
		_, err = readAll(running)
		require.NoError(t, err, "a request in flight completes before its memory is freed")
		require.Equal(t, map[string]infra.ItemState{"a": infra.ItemUnloading}, states(t, engines))
		requireError(t, order(t, engines, infra.OrderLoad, item("b", 60), 2), infra.ReasonNoMemory, infra.EffectNone)
		time.Sleep(time.Second + 1)
		require.Empty(t, states(t, engines))
		require.NoError(t, order(t, engines, infra.OrderLoad, item("b", 60), 2))
		truth := e.Truth()
		require.EqualValues(t, 60, truth.PeakMiB)
		require.Len(t, truth.Violations, 2)
		require.Equal(t, ViolationOvercommit, truth.Violations[0].Kind)
		require.Len(t, truth.Orders, 5)
	})
}

func TestEngineFence(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e, engines := runEngine(t, EngineOptions{ID: "s", IgnoresFence: ignores})
			require.NoError(t, order(t, engines, infra.OrderFence, infra.Item{}, 5))
			err := order(t, engines, infra.OrderLoad, item("a", 1), 4)
			status, statusErr := engines.Status(t.Context(), "s")
			require.NoError(t, statusErr)
			if ignores {
				require.NoError(t, err)
				require.Zero(t, status.Fence)
				return
			}
			requireError(t, err, infra.ReasonStaleFence, infra.EffectNone)
			require.EqualValues(t, 5, status.Fence)
			require.Equal(t, infra.ReasonStaleFence, e.Truth().Orders[1].Refused)
			require.NoError(t, order(t, engines, infra.OrderLoad, item("a", 1), 5))
		})
	}
}

func TestEngineRestartsEmpty(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e, engines := runEngine(t, EngineOptions{ID: "s", KeepsFence: keeps, Store: NewWeightStore(StoreOptions{MiBPerSecond: 1})})
			require.NoError(t, order(t, engines, infra.OrderLoad, item("a", 100), 5))
			e.Restart(time.Second)
			time.Sleep(time.Second + 1)
			require.Empty(t, states(t, engines))
			status, err := engines.Status(t.Context(), "s")
			require.NoError(t, err)
			require.Equal(t, keeps, status.Fence == 5)
			time.Sleep(time.Hour)
			require.Empty(t, states(t, engines), "a load from before the restart does not continue")
		})
	}
}

func TestOrderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s"})
		one := func(f Fault) error {
			e.Faults.Set(First(1, f, "engine.order"))
			return order(t, engines, infra.OrderFence, infra.Item{}, uint64(len(e.Truth().Orders)+1))
		}
		requireError(t, one(Fault{RequestLost: true}), infra.ReasonUnreachable, infra.EffectUnknown)
		require.Empty(t, e.Truth().Orders)
		requireError(t, one(Fault{Unavailable: true}), infra.ReasonUnavailable, infra.EffectNone)
		require.Empty(t, e.Truth().Orders)
		requireError(t, one(Fault{AnswerLost: true}), infra.ReasonUnreachable, infra.EffectUnknown)
		require.Len(t, e.Truth().Orders, 1)
		requireError(t, one(Fault{RunAfterBreak: time.Minute}), infra.ReasonUnreachable, infra.EffectUnknown)
		require.Len(t, e.Truth().Orders, 1)
		time.Sleep(time.Minute + 1)
		require.Len(t, e.Truth().Orders, 2)
		require.NoError(t, one(Fault{Repeats: 2, RepeatInterval: time.Second}))
		require.Len(t, e.Truth().Orders, 3)
		time.Sleep(3 * time.Second)
		require.Len(t, e.Truth().Orders, 5)
		start := time.Now()
		require.NoError(t, one(Fault{Delay: time.Second}))
		require.Equal(t, time.Second, time.Since(start))
		e.Faults.Set(nil)
		require.NoError(t, order(t, engines, infra.OrderFence, infra.Item{}, 99))
	})
}

func TestStoreRateLimitAndSharedThroughput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[string]infra.StoreLimits{"instituto": {LoadsPerSecond: 1, ConcurrentLoads: 1}}
		store := NewWeightStore(StoreOptions{Limits: limits, MiBPerSecond: 10})
		start := time.Now()
		ends := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				if store.Fetch(t.Context(), "instituto", 40) == nil {
					ends <- time.Since(start)
				}
			}()
		}
		// The first fetch runs alone for 1 s (10 MiB). Then both run at half speed:
		// the first has 30 MiB left and takes 6 s. Then the second has 10 MiB left
		// and takes 1 s.
		require.InDelta(t, 7, (<-ends).Seconds(), 0.3)
		require.InDelta(t, 8, (<-ends).Seconds(), 0.3)
		require.Equal(t, StoreTruth{Fetches: map[string]int{"instituto": 2}, PeakConcurrent: map[string]int{"instituto": 2}}, store.Truth())

		store.SetSlowdown(10)
		start = time.Now()
		require.NoError(t, store.Fetch(t.Context(), "instituto", 10))
		require.InDelta(t, 10, time.Since(start).Seconds(), 1.1)
	})
}
