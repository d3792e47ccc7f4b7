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

// freeze has the first attempt's server fall silent after some tokens.
func (r *rig) freeze(tokens int) {
	r.onFirst(func(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
		s := r.engine.stream(ctx, answerFrom(req, 0, tokens)[:tokens])
		s.block = true
		return s, nil
	})
}

func TestFrozenServerIsLeftAndItsStreamResumed(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens int
		after  time.Duration
	}{
		"before the first token": {0, 10 * time.Second}, // a third of 30 s
		"in the middle":          {3, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.freeze(tc.tokens)
				began := time.Now()
				w := r.post(pathCompletions, streamed)
				require.Equal(t, text(6), streamText(w.Body.String()))
				require.GreaterOrEqual(t, time.Since(began), tc.after)
				require.Less(t, time.Since(began), tc.after+time.Second)
				attempts := r.engine.attempts()
				require.Len(t, attempts, 2)
				require.Len(t, attempts[1].Prefix, tc.tokens)
				require.Equal(t, "1", r.counter("attempts_failed.timeout"))
				synctest.Wait()
				require.Equal(t, []string{attempts[0].Attempt}, r.engine.canceled)
				r.empty(t)
			})
		})
	}
}

func TestNonIdempotentWaitsForAFrozenServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.freeze(3)
		began := time.Now()
		w := r.post(pathCompletions, streamed, header{HeaderNonIdempotent: "true"})
		require.Equal(t, 30*time.Second, time.Since(began))
		require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
		require.Len(t, r.engine.attempts(), 1)
		r.empty(t)
	})
}

func TestSlowCallerIsNoSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		w, done := r.stuckPost(streamed, 2)
		time.Sleep(20 * time.Second) // the bubble's clock
		close(w.gate)
		<-done
		require.Equal(t, text(6), streamText(w.Body.String()))
		require.Len(t, r.engine.attempts(), 1)
		r.empty(t)
	})
}

func TestFrozenServiceIsAskedElsewhereOnce(t *testing.T) {
	for method, calls := range map[string]int{http.MethodGet: 2, http.MethodPost: 1} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.services.call = func(ctx context.Context, _ string, _ infra.ServiceRequest) (*infra.ServiceAnswer, error) {
					<-ctx.Done()
					return nil, &infra.Error{Op: "service.call", Reason: infra.ReasonCanceled}
				}
				w := r.send(t.Context(), method, "/services/order-desk/x", "")
				require.Equal(t, http.StatusGatewayTimeout, w.Code)
				require.Len(t, r.services.calls(), calls)
				r.empty(t)
			})
		})
	}
}

func TestServiceEventsAreNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		body, events := io.Pipe()
		r.services.call = func(context.Context, string, infra.ServiceRequest) (*infra.ServiceAnswer, error) {
			h := http.Header{"Content-Type": {contentEvents}}
			return &infra.ServiceAnswer{Status: http.StatusOK, Header: h, Body: body}, nil
		}
		w, done := r.stuckRequest(http.MethodGet, "/services/order-desk/x", "", 1<<30)
		for n := 1; n <= 3; n++ {
			_, err := io.WriteString(events, "data: x\n\n")
			require.NoError(t, err)
			synctest.Wait()
			require.Equal(t, strings.Repeat("data: x\n\n", n), w.Body.String(), "each comes at once")
		}
		require.NoError(t, events.Close())
		<-done
	})
}
