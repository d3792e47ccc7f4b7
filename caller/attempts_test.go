package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/record"
)

const streamed = `{"model":"tray","prompt":"p","max_tokens":6,"stream":true}`

func broke() *infra.Error {
	return &infra.Error{Op: "generate", Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown}
}

func refused(r infra.Reason) *infra.Error {
	return &infra.Error{Op: "generate", Reason: r, Effect: infra.EffectNone}
}

// streamText returns the text of a streamed completion's events.
func streamText(body string) string {
	var b strings.Builder
	for _, piece := range strings.Split(body, `"text":"`)[1:] {
		b.WriteString(piece[:strings.IndexByte(piece, '"')])
	}
	return b.String()
}

// onFirst has the engine answer the first attempt by f, and each later one whole.
func (r *rig) onFirst(f func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error)) {
	r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
		if len(r.engine.attempts()) == 1 {
			return f(ctx, req)
		}
		return r.engine.stream(ctx, wholeAnswer(req)), nil
	}
}

func (r *rig) counter(name string) string {
	v := r.metrics.vars.Get(name)
	if v == nil {
		return "0"
	}
	return v.String()
}

// empty checks that nothing of any request is held.
func (r *rig) empty(t *testing.T) {
	t.Helper()
	r.Drain()
	<-r.Idle()
	r.stop()
	require.Empty(t, r.queue)
	require.Zero(t, r.knownRequests.Load(), "requests that the dispatcher still knows")
	for id, f := range r.serverTracker.states {
		require.Zero(t, f.inFlight, "in flight at %s", id)
	}
}

func TestCutStreamResumesUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.onFirst(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
			s := r.engine.stream(ctx, answerFrom(req, 0, 3)[:3])
			s.end = broke()
			return s, nil
		})
		w := r.post("/v1/completions", streamed)
		require.Equal(t, text(6), streamText(w.Body.String()))
		require.True(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
		attempts := r.engine.attempts()
		require.Len(t, attempts, 2)
		require.Equal(t, []string{"t0 ", "t1 ", "t2 "}, attempts[1].Prefix)
		require.NotEqual(t, attempts[0].Attempt, attempts[1].Attempt)
		require.Equal(t, attempts[0].Seed, attempts[1].Seed)
		synctest.Wait()
		require.Contains(t, r.engine.canceled, attempts[0].Attempt)
		r.empty(t)
	})
}

func TestForeignAndRepeatedEventsAreDropped(t *testing.T) {
	r := newRig(t)
	r.onFirst(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		own := answerFrom(req, 0, 6)
		foreign := infra.Event{Attempt: "another", Index: 1, Token: "SECRET"}
		foreignEnd := infra.Event{Attempt: "another", Index: 1, Finish: infra.FinishStop}
		events := []infra.Event{own[0], foreign, foreignEnd, own[0], own[1], own[2], own[1]}
		return r.engine.stream(ctx, append(events, own[3:]...)), nil
	})
	w := r.post("/v1/completions", streamed)
	require.Equal(t, text(6), streamText(w.Body.String()))
	require.NotContains(t, w.Body.String(), "SECRET")
	require.Len(t, r.engine.attempts(), 1)
	require.Equal(t, "2", r.counter("events_dropped.wrong_attempt"))
	require.Equal(t, "2", r.counter("events_dropped.out_of_place"))
}

func TestGapBreaksTheStreamAndIsResumed(t *testing.T) {
	r := newRig(t)
	r.onFirst(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		own := answerFrom(req, 0, 6)
		return r.engine.stream(ctx, []infra.Event{own[0], own[1], own[3], own[2], own[4], own[5], own[6]}), nil
	})
	w := r.post("/v1/completions", streamed)
	require.Equal(t, text(6), streamText(w.Body.String()))
	require.Equal(t, []string{"t0 ", "t1 "}, r.engine.attempts()[1].Prefix)
}

// A stream whose last token was lost has an end marker, and still isn't whole.
func TestEndMarkerAfterALostTokenIsAGap(t *testing.T) {
	r := newRig(t)
	r.onFirst(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		own := answerFrom(req, 0, 6)
		return r.engine.stream(ctx, append(own[:5:5], own[6])), nil
	})
	w := r.post("/v1/completions", streamed)
	require.Equal(t, text(6), streamText(w.Body.String()))
	require.Len(t, r.engine.attempts(), 2)
}

func TestStreamThatCannotBeFinishedEndsWithAnError(t *testing.T) {
	r := newRig(t)
	r.onFirst(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		s := r.engine.stream(ctx, answerFrom(req, 0, 3)[:3])
		s.end = broke()
		return s, nil
	})
	w := r.post("/v1/completions", streamed, header{HeaderNonIdempotent: "true"})
	body := w.Body.String()
	require.Equal(t, text(3), streamText(body))
	require.NotContains(t, body, "[DONE]")
	require.NotContains(t, body, `"finish_reason":"`)
	require.Contains(t, body, `data: {"error":`)
	require.Contains(t, body, `"outcome":"unknown"`)
	require.Len(t, r.engine.attempts(), 1)
	r.empty(t)
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		err      *infra.Error
		attempts int
		status   int
	}{
		"a refusal may be dispatched again": {refused(infra.ReasonOverloaded), 2, http.StatusOK},
		"a lost answer may not":             {broke(), 1, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.onFirst(func(context.Context, infra.GenerateRequest) (infra.Stream, error) { return nil, tc.err })
			w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, header{HeaderNonIdempotent: "true"})
			require.Equal(t, tc.status, w.Code, w.Body)
			require.Len(t, r.engine.attempts(), tc.attempts)
			if tc.status != http.StatusOK {
				require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
				require.Contains(t, w.Body.String(), `"code":"may_have_run"`)
				require.Equal(t, "false", w.Header().Get("X-Should-Retry"))
				require.NotEqual(t, NoServer, w.Header().Get(HeaderServer))
			}
			r.empty(t)
		})
	}
}

func TestDeadlineEndsARequestAndCancelsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
			s := r.engine.stream(ctx, answerFrom(req, 0, 1)[:1])
			s.block = true
			return s, nil
		}
		began := time.Now()
		w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, header{HeaderTimeout: "1500"})
		require.Equal(t, 1500*time.Millisecond, time.Since(began))
		require.Equal(t, http.StatusGatewayTimeout, w.Code)
		require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
		synctest.Wait()
		require.Equal(t, 1, r.engine.closed)
		require.Equal(t, []string{r.engine.attempts()[0].Attempt}, r.engine.canceled)
		r.empty(t)
	})
}

func TestCallerThatLeavesCancelsItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
			s := r.engine.stream(ctx, answerFrom(req, 0, 1)[:1])
			s.block = true
			return s, nil
		}
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- r.send(ctx, http.MethodPost, "/v1/completions", streamed) }()
		synctest.Wait()
		leave()
		w := <-done
		require.NotContains(t, w.Body.String(), "[DONE]")
		synctest.Wait()
		require.Equal(t, 1, r.engine.closed)
		require.Len(t, r.engine.canceled, 1)
		require.Len(t, r.engine.attempts(), 1)
		r.empty(t)
	})
}

func TestDeathOfAServerIsReportedAndTheRequestStopsAtTwo(t *testing.T) {
	r := newRig(t)
	boots := []string{"boot-1", "boot-2", "boot-3", "boot-4"}
	r.engine.generate = func(context.Context, string, infra.GenerateRequest) (infra.Stream, error) {
		return nil, broke()
	}
	r.engine.status = func(addr string) (infra.ServerStatus, error) {
		return infra.ServerStatus{Boot: boots[len(r.engine.attempts())]}, nil
	}
	r.UpdateBoot("e0", "boot-0")
	r.UpdateBoot("e1", "boot-0")
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`)
	require.Equal(t, http.StatusUnprocessableEntity, w.Code, w.Body)
	require.Contains(t, w.Body.String(), `"code":"quarantined"`)
	require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
	require.Len(t, r.engine.attempts(), 2)
	r.empty(t)
	require.Len(t, r.quarantine.reported(), 2)
	require.Equal(t, "boot-0", r.quarantine.reported()[0].Boot)
	require.EqualValues(t, 1, r.quarantine.reported()[0].Together)
}

func TestBrokenConnectionToALivingServerIsNoCrash(t *testing.T) {
	r := newRig(t)
	r.onFirst(func(context.Context, infra.GenerateRequest) (infra.Stream, error) { return nil, broke() })
	r.UpdateBoot("e0", "boot-1")
	r.UpdateBoot("e1", "boot-1")
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`)
	require.Equal(t, http.StatusOK, w.Code)
	r.empty(t)
	require.Empty(t, r.quarantine.reported())
}

func TestQuarantinedRequestIsNotRun(t *testing.T) {
	r := newRig(t)
	r.quarantine.refused[digest([]byte("kitchen"), []byte("tray"), []byte("p"))] = true
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p","max_tokens":5}`)
	require.Equal(t, http.StatusUnprocessableEntity, w.Code)
	require.Contains(t, w.Body.String(), `"outcome":"not_run"`)
	require.Empty(t, r.engine.attempts())
	require.Equal(t, NoServer, w.Header().Get(HeaderServer))
}

func TestPanicIsAnsweredInATypedForm(t *testing.T) {
	r := newRig(t)
	r.engine.generate = func(context.Context, string, infra.GenerateRequest) (infra.Stream, error) {
		panic("engine adapter")
	}
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`)
	require.Equal(t, http.StatusInternalServerError, w.Code)
	require.Contains(t, w.Body.String(), `"code":"internal"`)
	require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
	r.empty(t)
}

func TestClaimedAnswerIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		key := header{HeaderIdempotencyKey: "order-17"}
		first := r.post("/v1/completions", streamed, key)
		again := r.post("/v1/completions", strings.ReplaceAll(streamed, ",", " , "), key)
		require.Equal(t, first.Body.String(), again.Body.String())
		require.Equal(t, "true", again.Header().Get(HeaderReplayed))
		require.Empty(t, first.Header().Get(HeaderReplayed))
		require.Equal(t, first.Header().Get(HeaderRequest), again.Header().Get(HeaderRequest))
		require.Len(t, r.engine.attempts(), 1)
		other := r.post("/v1/completions", `{"model":"tray","prompt":"another"}`, key)
		require.Equal(t, http.StatusUnprocessableEntity, other.Code)
		require.Contains(t, other.Body.String(), `"code":"idempotency_key_reused"`)
		synctest.Wait()
		require.Len(t, r.claimer.told(), 1)
		require.Equal(t, record.ClaimResult_COMPLETE, r.claimer.told()[0].Outcome)
		r.empty(t)
	})
}
