package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/config"
	"greengageferry/infra"
)

func TestServiceCallIsForwarded(t *testing.T) {
	r := newHarness(t)
	w := r.send(t.Context(), http.MethodPut, "/services/order-desk/trays/a%2Fb?x=1", "body",
		header{"X-Own": "1", "Connection": "X-Hop", "X-Hop": "1", HeaderPriority: "3"})
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "PUT /trays/a%2Fb?x=1", w.Body.String())
	require.Equal(t, "text/plain", w.Header().Get("Content-Type"))
	require.Contains(t, []string{"s0", "s1"}, w.Header().Get(HeaderServer))
	got := r.services.calls()[0]
	require.Equal(t, "body", string(got.Body))
	require.NotEmpty(t, got.Attempt)
	require.Equal(t, http.Header{"X-Own": {"1"}}, got.Header, "neither the key nor hop-by-hop headers are forwarded")
	r.requireDrained(t)
}

func TestNonIdempotentServiceCallsRunOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		method, path string
		headers      header
		calls        int
	}{
		"GET is retried":          {http.MethodGet, "/orders", nil, 2},
		"DELETE is retried":       {http.MethodDelete, "/orders/1", nil, 2},
		"POST is not":             {http.MethodPost, "/orders", nil, 1},
		"PATCH is not":            {http.MethodPatch, "/orders/1", nil, 1},
		"configured PUT is not":   {http.MethodPut, "/orders/1", nil, 1},
		"encoded PUT is not":      {http.MethodPut, "/%6Frders/1", nil, 1},
		"doubled slashes are not": {http.MethodPut, "//orders//1", nil, 1},
		"another PUT is retried":  {http.MethodPut, "/trays/1", nil, 2},
		"flagged GET is not":      {http.MethodGet, "/orders", header{HeaderNonIdempotent: "True"}, 1},
		"unknown method is not":   {"BREW", "/orders", nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.services.call = func(context.Context, string, infra.ServiceRequest) (*infra.ServiceAnswer, error) {
				if len(r.services.calls()) == 1 {
					return nil, connectionError()
				}
				return serviceAnswer(http.StatusOK, "second"), nil
			}
			w := r.send(t.Context(), tc.method, "/services/order-desk"+tc.path, "", tc.headers)
			require.Len(t, r.services.calls(), tc.calls)
			if tc.calls == 1 {
				require.Contains(t, w.Body.String(), `"outcome":"unknown"`)
			}
		})
	}
}

func TestDotSegmentsAreRefused(t *testing.T) {
	r := newHarness(t)
	for _, path := range []string{"/x/../orders", "/x/%2e%2e/orders", "/./orders"} {
		w := r.send(t.Context(), http.MethodPut, "/services/order-desk"+path, "")
		require.Equal(t, http.StatusBadRequest, w.Code)
		require.Contains(t, w.Body.String(), CodeBadPath)
	}
	require.Empty(t, r.services.calls())
}

// brokenReader yields n bytes and then the error of a broken connection.
type brokenReader struct{ n int }

func (b *brokenReader) Read(p []byte) (int, error) {
	if b.n == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.n)
	b.n -= n
	for i := range p[:n] {
		p[i] = 'x'
	}
	return n, nil
}

func TestBrokenShortServiceAnswerIsRetried(t *testing.T) {
	r := newHarness(t)
	r.services.call = func(context.Context, string, infra.ServiceRequest) (*infra.ServiceAnswer, error) {
		if len(r.services.calls()) == 1 {
			return &infra.ServiceAnswer{Status: http.StatusOK, Body: io.NopCloser(&brokenReader{100})}, nil
		}
		return serviceAnswer(http.StatusOK, "second"), nil
	}
	w := r.send(t.Context(), http.MethodGet, "/services/order-desk/orders", "")
	require.Equal(t, "second", w.Body.String())
}

func TestBrokenLongServiceAnswerAbortsConnection(t *testing.T) {
	r := newHarness(t)
	r.services.call = func(context.Context, string, infra.ServiceRequest) (*infra.ServiceAnswer, error) {
		return &infra.ServiceAnswer{Status: http.StatusOK, Body: io.NopCloser(&brokenReader{serviceBufferBytes + 1})}, nil
	}
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		r.send(t.Context(), http.MethodGet, "/services/order-desk/orders", "")
	})
	require.Len(t, r.services.calls(), 1)
	r.requireDrained(t)
}

func TestKeyedServiceCallIsReplayed(t *testing.T) {
	r := newHarness(t)
	key := header{HeaderIdempotencyKey: "k"}
	first := r.post("/services/order-desk/orders", "two trays", key)
	again := r.post("/services/order-desk/orders", "two trays", key)
	require.Equal(t, first.Body.String(), again.Body.String())
	require.Equal(t, "text/plain", again.Header().Get("Content-Type"))
	require.Equal(t, "true", again.Header().Get(HeaderReplayed))
	require.Len(t, r.services.calls(), 1)
	other := r.post("/services/order-desk/orders", "three trays", key)
	require.Equal(t, http.StatusUnprocessableEntity, other.Code)
}

func TestNonIdempotentRulesMayContainExtraSpaces(t *testing.T) {
	cfg := config.Service{NonIdempotent: []string{"GET  /tickets/next"}}
	require.False(t, isIdempotent(http.MethodGet, "/tickets/next", cfg))
	require.True(t, isIdempotent(http.MethodGet, "/tickets", cfg))
	require.False(t, isIdempotent(strings.ToUpper("post"), "/", cfg))
}
