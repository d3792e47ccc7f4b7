package standin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// requireError checks an error's type, reason and effect.
func requireError(t *testing.T, err error, reason infra.Reason, effect infra.Effect) {
	t.Helper()
	var e *infra.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, reason, e.Reason, "%v", err)
	require.Equal(t, effect, e.Effect, "%v", err)
}

func generate(t *testing.T, engines *LocalEngines, req infra.GenerateRequest) infra.Stream {
	t.Helper()
	s, err := engines.Generate(t.Context(), "s", req)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

func TestEngineContinuesAfterPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s"})
		load(t, engines, planner, 1)
		req := request("a1", "one diabetic meal")
		whole := AnswerTo(req)
		req.Prefix = []string{whole.Token(0), whole.Token(1), whole.Token(2)}
		s := generate(t, engines, req)
		first, err := s.Recv()
		require.NoError(t, err)
		require.Equal(t, 3, first.Index)
		rest, err := readAll(s)
		require.NoError(t, err)
		require.Equal(t, whole.Text(req.MaxTokens), strings.Join(req.Prefix, "")+first.Token+rest)

		req.Attempt, req.Prefix = "a2", []string{"x"}
		generate(t, engines, req)
		require.Equal(t, ViolationWrongPrefix, e.Truth().Violations[0].Kind)
	})
}

func TestEngineLimitsAnswerLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, engines := runEngine(t, EngineOptions{ID: "s"})
		load(t, engines, planner, 1)
		req := request("a1", "x")
		req.MaxTokens = 2
		s := generate(t, engines, req)
		for i := range 2 {
			event, err := s.Recv()
			require.NoError(t, err)
			require.Equal(t, i, event.Index)
		}
		last, err := s.Recv()
		require.NoError(t, err)
		require.Equal(t, infra.FinishLength, last.Finish)
		require.Equal(t, 2, last.Index)
		require.NotNil(t, last.Load)
		_, err = s.Recv()
		require.Equal(t, io.EOF, err)
	})
}

func TestEngineRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s", Slots: 1, MaxWaiting: 1})
		refused := func(reason infra.Reason, req infra.GenerateRequest) {
			t.Helper()
			_, err := engines.Generate(t.Context(), "s", req)
			requireError(t, err, reason, infra.EffectNone)
		}
		refused(infra.ReasonNotResident, request("a1", "x"))
		load(t, engines, planner, 1)
		other := request("a2", "x")
		other.Version = "v2"
		refused(infra.ReasonNotResident, other)
		refused(infra.ReasonBadRequest, infra.GenerateRequest{Attempt: "a3"})
		generate(t, engines, request("a4", "x"))
		synctest.Wait() // the request joins the batch
		generate(t, engines, request("a5", "x"))
		refused(infra.ReasonOverloaded, request("a6", "x"))
		e.SetLeaving(true)
		refused(infra.ReasonLeaving, request("a7", "x"))
		require.Len(t, e.Truth().Refusals, 5)
		require.Len(t, e.Truth().Runs, 2)
	})
}

func TestEngineAdapterRequiresModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, engines := runEngine(t, EngineOptions{ID: "s"})
		load(t, engines, infra.Item{Model: planner.Model, Adapter: "kosher", Version: "k1", MiB: 5}, 1)
		req := request("a1", "x")
		req.Adapter, req.Version = "kosher", "k1"
		_, err := engines.Generate(t.Context(), "s", req)
		requireError(t, err, infra.ReasonNotResident, infra.EffectNone)
		load(t, engines, planner, 1)
		_, err = readAll(generate(t, engines, req))
		require.NoError(t, err)
	})
}

func TestEngineFreesSlotOnCancel(t *testing.T) {
	for name, cancel := range map[string]func(s infra.Stream, engines *LocalEngines, stop context.CancelFunc){
		"close": func(s infra.Stream, _ *LocalEngines, _ context.CancelFunc) { s.Close() },
		"cancel": func(_ infra.Stream, engines *LocalEngines, _ context.CancelFunc) {
			_ = engines.Cancel(context.Background(), "s", "a1")
		},
		"context": func(_ infra.Stream, _ *LocalEngines, stop context.CancelFunc) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, engines := runEngine(t, EngineOptions{ID: "s", Slots: 1})
				load(t, engines, planner, 1)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s, err := engines.Generate(ctx, "s", request("a1", "x"))
				require.NoError(t, err)
				defer s.Close()
				_, err = s.Recv()
				require.NoError(t, err)
				cancel(s, engines, stop)
				_, err = readAll(generate(t, engines, request("a2", "y")))
				require.NoError(t, err)
				require.Equal(t, EndCanceled, e.Truth().Runs[0].End)
				_, err = readAll(s)
				require.Error(t, err)
			})
		})
	}
}

// TestSlowReaderPausesOnlyItsRequest leaves a stream unread. The unread stream must
// not buffer without limit or delay another stream.
func TestSlowReaderPausesOnlyItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s"})
		load(t, engines, planner, 1)
		slow := generate(t, engines, request("a1", "slow"))
		_, err := readAll(generate(t, engines, request("a2", "fast")))
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.Less(t, e.Truth().Runs[0].Tokens, streamBuffer)
		text, err := readAll(slow)
		require.NoError(t, err)
		require.Equal(t, AnswerTo(request("", "slow")).Text(1000), text)
	})
}

func TestEnginePriorityOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s", Slots: 1})
		load(t, engines, planner, 1)
		var streams []infra.Stream
		for i, priority := range []int{0, 0, 5, 0, 5} {
			req := request(fmt.Sprint("a", i), "x")
			req.Priority = priority
			streams = append(streams, generate(t, engines, req))
			synctest.Wait() // the first joins the batch alone
		}
		for _, i := range []int{0, 2, 4, 1, 3} {
			_, err := readAll(streams[i])
			require.NoError(t, err)
		}
		var started []time.Time
		runs := e.Truth().Runs
		for _, i := range []int{0, 2, 4, 1, 3} {
			started = append(started, runs[i].Started)
		}
		for i := range started[1:] {
			require.True(t, started[i].Before(started[i+1]))
		}
	})
}

func TestStepTimeGrowsWithBatch(t *testing.T) {
	elapsed := func(requests int, slow float64) time.Duration {
		var elapsed time.Duration
		synctest.Test(t, func(t *testing.T) {
			e, engines := runEngine(t, EngineOptions{ID: "s"})
			load(t, engines, planner, 1)
			e.SetSlowdown(slow)
			start := time.Now()
			var streams []infra.Stream
			for i := range requests {
				req := request(fmt.Sprint("a", i), "x")
				req.MaxTokens = streamBuffer / 2 // no request waits for its reader
				streams = append(streams, generate(t, engines, req))
			}
			for _, s := range streams {
				_, err := readAll(s)
				require.NoError(t, err)
			}
			elapsed = time.Since(start)
		})
		return elapsed
	}
	one, eight, slow := elapsed(1, 1), elapsed(8, 1), elapsed(1, 4)
	require.Greater(t, eight, one)
	require.Less(t, eight, 2*one)
	require.Equal(t, 4*one, slow)
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, engines := runEngine(t, EngineOptions{ID: "s", CachePrefixes: 1, CacheLag: time.Second})
		load(t, engines, planner, 1)
		first := func(attempt, prompt string) time.Duration {
			start := time.Now()
			s := generate(t, engines, request(attempt, prompt))
			_, err := s.Recv()
			require.NoError(t, err)
			elapsed := time.Since(start)
			_, err = readAll(s)
			require.NoError(t, err)
			return elapsed
		}
		prompt := strings.Repeat("p", infra.PrefixBytes)
		cold := first("a1", prompt+"1")
		require.Less(t, first("a2", prompt+"2"), cold)
		first("a3", "another")
		require.Equal(t, cold, first("a4", prompt+"4"))
		events, err := engines.CacheEvents(t.Context(), "s", 0)
		require.NoError(t, err)
		require.NotEmpty(t, events)
		time.Sleep(time.Second)
		events, err = engines.CacheEvents(t.Context(), "s", 1)
		require.NoError(t, err)
		require.Len(t, events, 4)
		require.Equal(t, infra.CacheEvent{Sequence: 3, Model: planner.Model, Prefix: infra.PrefixHash(prompt), Dropped: true}, events[1])
	})
}

func TestPoisonCrashesEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s", RestartTime: time.Minute})
		load(t, engines, planner, 9)
		before, err := engines.Status(t.Context(), "s")
		require.NoError(t, err)
		neighbor := generate(t, engines, request("a1", "x"))
		_, err = neighbor.Recv()
		require.NoError(t, err)
		poison := generate(t, engines, request("a2", "now "+DefaultPoison))
		_, err = poison.Recv()
		requireError(t, err, infra.ReasonUnreachable, infra.EffectUnknown)
		_, err = readAll(neighbor)
		requireError(t, err, infra.ReasonUnreachable, infra.EffectUnknown)
		_, err = engines.Status(t.Context(), "s")
		requireError(t, err, infra.ReasonUnreachable, infra.EffectNone)
		time.Sleep(time.Minute + 1)
		after, err := engines.Status(t.Context(), "s")
		require.NoError(t, err)
		require.NotEqual(t, before.Boot, after.Boot)
		require.Empty(t, after.Items)
		require.Zero(t, after.Fence)
		require.Equal(t, EndCrashed, e.Truth().Runs[1].End)
		require.Equal(t, []string{"crashed"}, e.Truth().StopReasons)
		load(t, engines, planner, 9)
		_, err = readAll(generate(t, engines, request("a3", "x")))
		require.NoError(t, err)
	})
}

// TestEventFaults drops, delays, reorders and repeats events, inserts one of another
// attempt, and cuts the stream.
func TestEventFaults(t *testing.T) {
	stray := infra.Event{Attempt: "another", Index: 1, Token: "stray "}
	var held infra.Event
	for name, c := range map[string]struct {
		hook  EventFaultHook
		index []int // indexes of the first events received; -1: the event of another attempt
	}{
		"drop":   {func(e infra.Event) EventFault { return faultAt(e, 1, EventFault{}) }, []int{0, 2, 3}},
		"repeat": {func(e infra.Event) EventFault { return faultAt(e, 1, EventFault{Send: []infra.Event{e, e}}) }, []int{0, 1, 1, 2}},
		"stray":  {func(e infra.Event) EventFault { return faultAt(e, 1, EventFault{Send: []infra.Event{stray, e}}) }, []int{0, -1, 1, 2}},
		"delay": {func(e infra.Event) EventFault {
			return faultAt(e, 1, EventFault{Send: []infra.Event{e}, Delay: time.Minute})
		}, []int{0, 1, 2}},
		"reorder": {func(e infra.Event) EventFault {
			if e.Index == 1 {
				held = e
				return EventFault{}
			}
			return faultAt(e, 2, EventFault{Send: []infra.Event{e, held}})
		}, []int{0, 2, 1, 3}},
		"cut": {func(e infra.Event) EventFault { return faultAt(e, 1, EventFault{Cut: true}) }, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, engines := runEngine(t, EngineOptions{ID: "s"})
				load(t, engines, planner, 1)
				e.SetEventFaults(c.hook)
				s := generate(t, engines, request("a1", "x"))
				for _, index := range c.index {
					event, err := s.Recv()
					require.NoError(t, err)
					if index < 0 {
						require.Equal(t, stray, event)
						continue
					}
					require.Equal(t, index, event.Index)
				}
				if name == "cut" {
					_, err := s.Recv()
					requireError(t, err, infra.ReasonUnreachable, infra.EffectUnknown)
				}
			})
		})
	}
}

// faultAt returns the fault f for the event with the index, and no fault for others.
func faultAt(e infra.Event, index int, f EventFault) EventFault {
	if e.Index == index {
		return f
	}
	return Unchanged(e)
}
