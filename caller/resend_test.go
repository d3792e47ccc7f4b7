package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/infra"
)

// submission is one request among several with the same idempotency key.
type submission struct {
	instance int
	offset   time.Duration // when it is sent
	leaves   bool          // the caller disconnects after 500 ms
}

const instanceCount = 3

func drawSubmissions(rt *rapid.T) []submission {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) submission {
		return submission{
			instance: rapid.IntRange(0, instanceCount-1).Draw(rt, "instance"),
			offset:   time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond,
			leaves:   rapid.Bool().Draw(rt, "leaves"),
		}
	}), 2, 6).Draw(rt, "sendings")
}

// TestIdempotencyKeyRunsOnce sends one request several times with the same key, at
// random times, through random instances, with random disconnects and faults. It guards
// against a second run of the key and against different answers to it.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	replayed := 0
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		submissions := drawSubmissions(rt)
		synctest.Test(t, func(t *testing.T) { replayed += runSubmissions(t, sc, submissions) })
	})
	require.NotZero(t, replayed, "no submission got a replayed answer")
}

// runSubmissions sends the request as given, checks the answers, and returns the number
// of replayed ones.
func runSubmissions(t *testing.T, sc scenario, submissions []submission) (replayed int) {
	harnesses := newHarnesses(t)
	u := &faultyEngine{engine: harnesses[0].engine, faultKinds: sc.faultKinds, laterFault: sc.laterFault, offset: sc.offset, noise: sc.noise}
	harnesses[0].engine.generate = func(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error) {
		time.Sleep(time.Second) // fake clock; lets duplicates arrive while the first request runs
		return u.generate(ctx, addr, req)
	}
	answers := make([]*httptest.ResponseRecorder, len(submissions))
	var wg sync.WaitGroup
	for i, s := range submissions {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			time.Sleep(s.offset)
			if s.leaves {
				time.AfterFunc(500*time.Millisecond, cancel)
			}
			answers[i] = harnesses[s.instance].send(ctx, http.MethodPost, pathCompletions, streamedRequest, header{HeaderIdempotencyKey: "k"})
		})
	}
	wg.Wait()
	require.LessOrEqual(t, u.started, 1, "the key ran more than once")
	whole := ""
	for i, w := range answers {
		if w.Header().Get(HeaderReplayed) != "" {
			replayed++
		}
		if submissions[i].leaves || w.Code != http.StatusOK {
			continue
		}
		require.True(t, whole == "" || whole == w.Body.String(), "two answers to one key")
		whole = w.Body.String()
		checkAnswer(t, whole, u.started)
	}
	for _, r := range harnesses {
		r.requireDrained(t)
	}
	return replayed
}

// newHarnesses returns instances that share the engine and the claims, and can fetch
// each other's answers.
func newHarnesses(t *testing.T) []*harness {
	harnesses := make([]*harness, instanceCount)
	names := map[string]*harness{}
	answers := &fakeAnswers{fetch: func(_ context.Context, instance, attempt string) (Answer, bool, bool, error) {
		a, finished, found := names[instance].AnswerFor(attempt)
		return a, finished, found, nil
	}}
	for i := range harnesses {
		harnesses[i] = newHarness(t, func(o *Options) {
			o.Instance = string(rune('a' + i))
			o.Answers = answers
			if i > 0 {
				o.Claimer, o.Engine = harnesses[0].claimer, harnesses[0].engine
			}
		})
		names[harnesses[i].opts.Instance] = harnesses[i]
	}
	return harnesses
}
