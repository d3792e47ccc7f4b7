package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// hangFirstAttempt makes the server of the first attempt hang after some tokens.
func (r *harness) hangFirstAttempt(tokens int) {
	r.onFirstAttempt(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		s := r.engine.stream(ctx, answerEvents(req, 0, tokens)[:tokens])
		s.block = true
		return s, nil
	})
}

func TestStreamOfHungServerIsResumedElsewhere(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens int
		after  time.Duration
	}{
		"before the first token": {0, 10 * time.Second}, // a third of 30 s
		"in the middle":          {3, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t)
				r.hangFirstAttempt(tc.tokens)
				began := time.Now()
				w := r.post(pathCompletions, streamedRequest)
				require.Equal(t, tokenText(6), streamText(w.Body.String()))
				require.GreaterOrEqual(t, time.Since(began), tc.after)
				require.Less(t, time.Since(began), tc.after+time.Second)
				attempts := r.engine.attempts()
				require.Len(t, attempts, 2)
				require.Len(t, attempts[1].Prefix, tc.tokens)
				require.Equal(t, "1", r.counter("attempts_failed.timeout"))
				synctest.Wait()
				require.Equal(t, []string{attempts[0].Attempt}, r.engine.canceled)
				r.requireDrained(t)
			})
		})
	}
}

func TestNonIdempotentRequestWaitsForHungServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.hangFirstAttempt(3)
		began := time.Now()
		w := r.post(pathCompletions, streamedRequest, header{HeaderNonIdempotent: "true"})
		require.Equal(t, 30*time.Second, time.Since(began))
		require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
		require.Len(t, r.engine.attempts(), 1)
		r.requireDrained(t)
	})
}

func TestSlowCallerIsNotTreatedAsStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		w, done := r.postBlocked(streamedRequest, 2)
		time.Sleep(20 * time.Second) // fake clock
		close(w.resume)
		<-done
		require.Equal(t, tokenText(6), streamText(w.Body.String()))
		require.Len(t, r.engine.attempts(), 1)
		r.requireDrained(t)
	})
}

func TestCallToHungServiceIsRetriedOnce(t *testing.T) {
	for method, calls := range map[string]int{http.MethodGet: 2, http.MethodPost: 1} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t)
				r.services.call = func(ctx context.Context, _ string, _ infra.ServiceRequest) (*infra.ServiceAnswer, error) {
					<-ctx.Done()
					return nil, &infra.Error{Op: "service.call", Reason: infra.ReasonCanceled}
				}
				w := r.send(t.Context(), method, "/services/order-desk/x", "")
				require.Equal(t, http.StatusGatewayTimeout, w.Code)
				require.Len(t, r.services.calls(), calls)
				r.requireDrained(t)
			})
		})
	}
}

func TestServiceEventsAreNotBuffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		body, events := io.Pipe()
		r.services.call = func(context.Context, string, infra.ServiceRequest) (*infra.ServiceAnswer, error) {
			h := http.Header{"Content-Type": {contentEvents}}
			return &infra.ServiceAnswer{Status: http.StatusOK, Header: h, Body: body}, nil
		}
		w, done := r.sendBlocked(http.MethodGet, "/services/order-desk/x", "", 1<<30)
		for n := 1; n <= 3; n++ {
			_, err := io.WriteString(events, "data: x\n\n")
			require.NoError(t, err)
			synctest.Wait()
			require.Equal(t, strings.Repeat("data: x\n\n", n), w.Body.String(), "each event is relayed at once")
		}
		require.NoError(t, events.Close())
		<-done
	})
}
