package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/claims"
	"greengageferry/infra"
	"greengageferry/internal/digest"
	"greengageferry/record"
)

// blockUntil makes the engine block until gate is closed and then answer completely.
func (r *harness) blockUntil(gate <-chan struct{}) {
	r.engine.generate = func(ctx context.Context, _ string, req infra.GenerateRequest) (infra.Stream, error) {
		select {
		case <-gate:
			return r.engine.stream(ctx, completeAnswer(req)), nil
		case <-ctx.Done():
			return nil, &infra.Error{Op: "generate", Reason: infra.ReasonCanceled}
		}
	}
}

func TestRetryThroughAnotherInstanceWaitsForFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newHarness(t)
		second := newHarness(t, func(o *Options) {
			o.Instance = "entry-2"
			o.Claimer = first.claimer
			o.Answers = &fakeAnswers{fetch: func(_ context.Context, instance, attempt string) (Answer, bool, bool, error) {
				require.Equal(t, "entry-1", instance)
				a, finished, found := first.AnswerFor(attempt)
				return a, finished, found, nil
			}}
		})
		gate := make(chan struct{})
		first.blockUntil(gate)
		ctx, leave := context.WithCancel(t.Context())
		key := header{HeaderIdempotencyKey: "k"}
		body := `{"model":"tray","prompt":"p","max_tokens":4}`
		lost := make(chan *httptest.ResponseRecorder, 1)
		go func() { lost <- first.send(ctx, http.MethodPost, "/v1/completions", body, key) }()
		synctest.Wait()
		leave() // the first request's caller disconnects; the claimed request keeps running
		resent := make(chan *httptest.ResponseRecorder, 1)
		go func() { resent <- second.post("/v1/completions", body, key) }()
		time.Sleep(3 * time.Second) // fake clock; the answer is queried several times meanwhile
		require.Empty(t, resent)
		close(gate)
		w := <-resent
		<-lost
		require.Equal(t, http.StatusOK, w.Code)
		require.Contains(t, w.Body.String(), tokenText(4))
		require.Equal(t, "true", w.Header().Get(HeaderReplayed))
		require.Len(t, first.engine.attempts(), 1)
		require.Empty(t, second.engine.attempts())
		first.requireDrained(t)
		second.requireDrained(t)
	})
}

func TestRetryOfLostFirstRequestHasUnknownOutcome(t *testing.T) {
	r := newHarness(t)
	key := digest.Sum([]byte("kitchen"), []byte("desk"), []byte("k"))
	body := `{"model":"tray","prompt":"p"}`
	canonical, _ := canonicalJSON([]byte(body))
	fingerprint := digest.Sum([]byte("kitchen"), []byte("/v1/completions"), canonical)
	_, err := r.claimer.Claim(t.Context(), &record.Claim{Key: key[:], Fingerprint: fingerprint[:], Instance: "gone", Attempt: "a"})
	require.NoError(t, err)
	r.answers.fetch = func(context.Context, string, string) (Answer, bool, bool, error) { return Answer{}, false, false, nil }
	w := r.post("/v1/completions", body, header{HeaderIdempotencyKey: "k"})
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Contains(t, w.Body.String(), `"code":"first_answer_lost"`)
	require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
	require.Empty(t, r.engine.attempts())
}

func TestRequestWithoutRecordedClaimIsNotRun(t *testing.T) {
	for verdict, code := range map[claims.Verdict]string{
		claims.NotKept:   CodeClaimNotKept,
		claims.Uncertain: CodeClaimUncertain,
	} {
		t.Run(code, func(t *testing.T) {
			r := newHarness(t)
			r.claimer.verdict = verdict
			w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, header{HeaderIdempotencyKey: "k"})
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Contains(t, w.Body.String(), `"code":"`+code+`"`)
			require.Contains(t, w.Body.String(), `"outcome":"not_run"`)
			require.Equal(t, "5", w.Header().Get("Retry-After"))
			require.Empty(t, r.engine.attempts())
			r.requireDrained(t)
			if verdict == claims.Uncertain {
				require.Equal(t, record.ClaimResult_NOT_RUN, r.claimer.reportedResults()[0].Outcome)
			}
		})
	}
}

func TestClaimedRequestThatDidNotRunReleasesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.SetTable(tableWithoutReplicas())
		synctest.Wait()
		key := header{HeaderIdempotencyKey: "k"}
		w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, key, header{HeaderTimeout: "100"})
		require.Contains(t, w.Body.String(), `"outcome":"not_run"`)
		synctest.Wait()
		require.Equal(t, record.ClaimResult_NOT_RUN, r.claimer.reportedResults()[0].Outcome)
		r.SetTable(testTable())
		synctest.Wait()
		w = r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, key)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
	})
}

func TestInterruptedClaimedRequestIsUnknownAndStaysClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.onFirstAttempt(func(context.Context, infra.GenerateRequest) (infra.Stream, error) { return nil, connectionError() })
		key := header{HeaderIdempotencyKey: "k"}
		w := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, key)
		require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
		again := r.post("/v1/completions", `{"model":"tray","prompt":"p"}`, key)
		require.Equal(t, w.Body.String(), again.Body.String())
		require.Len(t, r.engine.attempts(), 1)
		synctest.Wait()
		require.Equal(t, record.ClaimResult_UNKNOWN, r.claimer.reportedResults()[0].Outcome)
	})
}

// panickingClaimer records the claim and then panics.
type panickingClaimer struct{ *fakeClaimer }

func (b panickingClaimer) Claim(ctx context.Context, c *record.Claim) (claims.Standing, error) {
	_, _ = b.fakeClaimer.Claim(ctx, c)
	panic("claimer")
}

func TestRetryAfterPanicFindsAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.opts.Claimer = panickingClaimer{r.claimer}
		w := r.post(pathCompletions, `{"model":"tray","prompt":"p"}`, header{HeaderIdempotencyKey: "k"})
		requireNotRun(t, w, http.StatusInternalServerError, CodeInternal)
		r.opts.Claimer = r.claimer
		began := time.Now()
		w = r.post(pathCompletions, `{"model":"tray","prompt":"p"}`, header{HeaderIdempotencyKey: "k"})
		require.Contains(t, w.Body.String(), `"code":"first_answer_lost"`)
		require.Zero(t, time.Since(began), "the lost answer is reported at once")
		r.requireDrained(t)
	})
}

func TestAnswerCacheIsBoundedByBytesAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newAnswerCache(3*(cacheEntryOverhead+100), 1000)
		body := []byte(strings.Repeat("x", 100))
		for i := range 5 {
			c.begin(strconv.Itoa(i))
			c.finish(strconv.Itoa(i), Answer{Body: body}, true)
		}
		_, _, found, _ := c.get("1")
		require.False(t, found, "the oldest answers are evicted first")
		_, finished, found, _ := c.get("2")
		require.True(t, finished && found)
		c.begin("large")
		c.finish("large", Answer{Body: make([]byte, 1001)}, true)
		_, finished, found, _ = c.get("large")
		require.True(t, finished)
		require.False(t, found)
		c.begin("running")
		time.Sleep(claims.Window)
		_, _, found, _ = c.get("4")
		require.False(t, found, "no answer is stored longer than the window")
		_, finished, found, _ = c.get("running")
		require.True(t, found && !finished)
		require.Len(t, c.entries, 1)
		require.Zero(t, c.bytes)
	})
}
