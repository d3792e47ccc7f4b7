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
	"greengageferry/internal/digest"
	"greengageferry/record"
)

const streamedRequest = `{"model":"tray","prompt":"p","max_tokens":6,"stream":true}`

// connectionError is the error of a connection that broke: the effect is unknown.
func connectionError() *infra.Error {
	return &infra.Error{Op: "generate", Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown}
}

// refusalError is the error of a server that refused a request before starting it.
func refusalError(r infra.Reason) *infra.Error {
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

// onFirstAttempt makes the engine answer the first attempt with f, and each later one
// completely.
func (r *harness) onFirstAttempt(f func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error)) {
	r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
		if len(r.engine.attempts()) == 1 {
			return f(ctx, req)
		}
		return r.engine.stream(ctx, completeAnswer(req)), nil
	}
}

// counter returns the value of a metric, or 0 if it was never counted.
func (r *harness) counter(name string) string {
	v := r.metrics.vars.Get(name)
	if v == nil {
		return "0"
	}
	return v.String()
}

// requireDrained drains the server, stops it, and checks that no request left any
// state behind.
func (r *harness) requireDrained(t *testing.T) {
	t.Helper()
	r.Drain()
	<-r.Idle()
	r.stop()
	require.Empty(t, r.queue)
	require.Zero(t, r.knownRequests.Load(), "requests that the dispatcher still tracks")
	for id, f := range r.serverTracker.states {
		require.Zero(t, f.inFlight, "in flight at %s", id)
	}
}

func TestInterruptedStreamIsResumedTransparently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.onFirstAttempt(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
			s := r.engine.stream(ctx, answerEvents(req, 0, 3)[:3])
			s.end = connectionError()
			return s, nil
		})
		w := r.post("/v1/completions", streamedRequest)
		require.Equal(t, tokenText(6), streamText(w.Body.String()))
		require.True(t, strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
		attempts := r.engine.attempts()
		require.Len(t, attempts, 2)
		require.Equal(t, []string{"t0 ", "t1 ", "t2 "}, attempts[1].Prefix)
		require.NotEqual(t, attempts[0].Attempt, attempts[1].Attempt)
		require.Equal(t, attempts[0].Seed, attempts[1].Seed)
		synctest.Wait()
		require.Contains(t, r.engine.canceled, attempts[0].Attempt)
		r.requireDrained(t)
	})
}

func TestForeignAndRepeatedEventsAreDropped(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		own := answerEvents(req, 0, 6)
		foreign := infra.Event{Attempt: "another", Index: 1, Token: "SECRET"}
		foreignEnd := infra.Event{Attempt: "another", Index: 1, Finish: infra.FinishStop}
		events := []infra.Event{own[0], foreign, foreignEnd, own[0], own[1], own[2], own[1]}
		return r.engine.stream(ctx, append(events, own[3:]...)), nil
	})
	w := r.post("/v1/completions", streamedRequest)
	require.Equal(t, tokenText(6), streamText(w.Body.String()))
	require.NotContains(t, w.Body.String(), "SECRET")
	require.Len(t, r.engine.attempts(), 1)
	require.Equal(t, "2", r.counter("events_dropped.wrong_attempt"))
	require.Equal(t, "2", r.counter("events_dropped.out_of_place"))
}

func TestStreamWithTokenGapIsResumed(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		own := answerEvents(req, 0, 6)
		return r.engine.stream(ctx, []infra.Event{own[0], own[1], own[3], own[2], own[4], own[5], own[6]}), nil
	})
	w := r.post("/v1/completions", streamedRequest)
	require.Equal(t, tokenText(6), streamText(w.Body.String()))
	require.Equal(t, []string{"t0 ", "t1 "}, r.engine.attempts()[1].Prefix)
}

// An end marker does not make a stream complete if the last token was lost: the marker's
// index shows the gap.
func TestEndMarkerAfterLostTokenCountsAsGap(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		own := answerEvents(req, 0, 6)
		return r.engine.stream(ctx, append(own[:5:5], own[6])), nil
	})
	w := r.post("/v1/completions", streamedRequest)
	require.Equal(t, tokenText(6), streamText(w.Body.String()))
	require.Len(t, r.engine.attempts(), 2)
}

func TestUnresumableStreamEndsWithErrorEvent(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		s := r.engine.stream(ctx, answerEvents(req, 0, 3)[:3])
		s.end = connectionError()
		return s, nil
	})
	w := r.post("/v1/completions", streamedRequest, header{HeaderNonIdempotent: "true"})
	body := w.Body.String()
	require.Equal(t, tokenText(3), streamText(body))
	require.NotContains(t, body, "[DONE]")
	require.NotContains(t, body, `"finish_reason":"`)
	require.Contains(t, body, `data: {"error":`)
	require.Contains(t, body, `"outcome":"unknown"`)
	require.Len(t, r.engine.attempts(), 1)
	r.requireDrained(t)
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		err      *infra.Error
		attempts int
		status   int
	}{
		"a refusal may be dispatched again": {refusalError(infra.ReasonOverloaded), 2, http.StatusOK},
		"a lost answer may not":             {connectionError(), 1, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.onFirstAttempt(func(context.Context, infra.GenerateRequest) (infra.Stream, error) { return nil, tc.err })
			w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, header{HeaderNonIdempotent: "true"})
			require.Equal(t, tc.status, w.Code, w.Body)
			require.Len(t, r.engine.attempts(), tc.attempts)
			if tc.status != http.StatusOK {
				require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
				require.Contains(t, w.Body.String(), `"code":"may_have_run"`)
				require.Equal(t, "false", w.Header().Get("X-Should-Retry"))
				require.NotEqual(t, NoServer, w.Header().Get(HeaderServer))
			}
			r.requireDrained(t)
		})
	}
}

func TestDeadlineCancelsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
			s := r.engine.stream(ctx, answerEvents(req, 0, 1)[:1])
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
		r.requireDrained(t)
	})
}

func TestDisconnectCancelsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
			s := r.engine.stream(ctx, answerEvents(req, 0, 1)[:1])
			s.block = true
			return s, nil
		}
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- r.send(ctx, http.MethodPost, "/v1/completions", streamedRequest) }()
		synctest.Wait()
		leave()
		w := <-done
		require.NotContains(t, w.Body.String(), "[DONE]")
		synctest.Wait()
		require.Equal(t, 1, r.engine.closed)
		require.Len(t, r.engine.canceled, 1)
		require.Len(t, r.engine.attempts(), 1)
		r.requireDrained(t)
	})
}

func TestCrashesAreReportedAndLimitedToTwoPerRequest(t *testing.T) {
	r := newHarness(t)
	boots := []string{"boot-1", "boot-2", "boot-3", "boot-4"}
	r.engine.generate = func(context.Context, string, infra.GenerateRequest) (infra.Stream, error) {
		return nil, connectionError()
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
	r.requireDrained(t)
	require.Len(t, r.quarantine.reportedCrashes(), 2)
	require.Equal(t, "boot-0", r.quarantine.reportedCrashes()[0].Boot)
	require.EqualValues(t, 1, r.quarantine.reportedCrashes()[0].Together)
}

func TestBrokenConnectionToRunningServerIsNoCrash(t *testing.T) {
	r := newHarness(t)
	r.onFirstAttempt(func(context.Context, infra.GenerateRequest) (infra.Stream, error) { return nil, connectionError() })
	r.UpdateBoot("e0", "boot-1")
	r.UpdateBoot("e1", "boot-1")
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`)
	require.Equal(t, http.StatusOK, w.Code)
	r.requireDrained(t)
	require.Empty(t, r.quarantine.reportedCrashes())
}

// A server that restarts slowly after a crash must not hide that the request crashed it.
func TestCrashIsReportedThoughItsServerAnswersLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		began := time.Now()
		r.onFirstAttempt(func(context.Context, infra.GenerateRequest) (infra.Stream, error) { return nil, connectionError() })
		r.engine.status = func(string) (infra.ServerStatus, error) {
			if time.Since(began) < 4*time.Second {
				return infra.ServerStatus{}, &infra.Error{Op: "status", Reason: infra.ReasonTimeout, Effect: infra.EffectUnknown}
			}
			return infra.ServerStatus{Boot: "boot-2"}, nil
		}
		r.UpdateBoot("e0", "boot-1")
		r.UpdateBoot("e1", "boot-1")
		w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`)
		require.Equal(t, http.StatusOK, w.Code, "the request waits for no answer")
		r.requireDrained(t)
		require.Len(t, r.quarantine.reportedCrashes(), 1)
		require.Equal(t, "boot-1", r.quarantine.reportedCrashes()[0].Boot)
		require.Less(t, time.Since(began), 6*time.Second)
	})
}

func TestQuarantinedRequestIsNotRun(t *testing.T) {
	r := newHarness(t)
	r.quarantine.quarantined[digest.Sum([]byte("kitchen"), []byte("tray"), []byte("p"))] = true
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p","max_tokens":5}`)
	require.Equal(t, http.StatusUnprocessableEntity, w.Code)
	require.Contains(t, w.Body.String(), `"outcome":"not_run"`)
	require.Empty(t, r.engine.attempts())
	require.Equal(t, NoServer, w.Header().Get(HeaderServer))
}

func TestPanicIsAnsweredWithTypedProblem(t *testing.T) {
	r := newHarness(t)
	r.engine.generate = func(context.Context, string, infra.GenerateRequest) (infra.Stream, error) {
		panic("engine adapter")
	}
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`)
	require.Equal(t, http.StatusInternalServerError, w.Code)
	require.Contains(t, w.Body.String(), `"code":"internal"`)
	require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
	r.requireDrained(t)
}

func TestClaimedAnswerIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		key := header{HeaderIdempotencyKey: "order-17"}
		first := r.post("/v1/completions", streamedRequest, key)
		again := r.post("/v1/completions", strings.ReplaceAll(streamedRequest, ",", " , "), key)
		require.Equal(t, first.Body.String(), again.Body.String())
		require.Equal(t, "true", again.Header().Get(HeaderReplayed))
		require.Empty(t, first.Header().Get(HeaderReplayed))
		require.Equal(t, first.Header().Get(HeaderRequest), again.Header().Get(HeaderRequest))
		require.Len(t, r.engine.attempts(), 1)
		other := r.post("/v1/completions", `{"model":"tray","prompt":"another"}`, key)
		require.Equal(t, http.StatusUnprocessableEntity, other.Code)
		require.Contains(t, other.Body.String(), `"code":"idempotency_key_reused"`)
		synctest.Wait()
		require.Len(t, r.claimer.reportedResults(), 1)
		require.Equal(t, record.ClaimResult_COMPLETE, r.claimer.reportedResults()[0].Outcome)
		r.requireDrained(t)
	})
}
