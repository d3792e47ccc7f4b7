package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/caller/api"
	"greengageferry/config"
)

// FuzzRequestOptions checks that header values are either refused as not run or within
// their bounds, and that a non-idempotent flag is never lost.
func FuzzRequestOptions(f *testing.F) {
	f.Add("1000", "3", "true", "key")
	f.Add("-1", "1e3", "yes", "")
	f.Add(" 1", "+1", " TRUE ", strings.Repeat("k", 300))
	s := &Server{opts: Options{Limits: Limits{}.withDefaults()}}
	f.Fuzz(func(t *testing.T, timeout, priority, flag, key string) {
		h := http.Header{HeaderTimeout: {timeout}, HeaderPriority: {priority}, HeaderNonIdempotent: {flag}, HeaderIdempotencyKey: {key}}
		w, p := s.parseRequestOptions(h)
		if p != nil {
			require.Equal(t, api.OutcomeNotRun, p.Outcome)
			require.Equal(t, http.StatusBadRequest, p.Status)
			return
		}
		require.True(t, w.timeout >= 0 && w.timeout <= DefaultMaxTimeout)
		require.True(t, timeout == "" || w.timeout > 0)
		require.True(t, w.priority >= MinPriority && w.priority <= MaxPriority)
		require.Equal(t, key, w.key)
		require.Equal(t, w.nonIdempotent, strings.EqualFold(strings.TrimSpace(flag), "true"))
	})
}

// FuzzServicePath checks that no encoding of a path bypasses the rule that makes calls
// below a configured path non-idempotent.
func FuzzServicePath(f *testing.F) {
	f.Add("/services/desk/orders/1")
	f.Add("/services/desk//orders")
	f.Add("/services/desk/%6frders")
	f.Add("/services/desk/x/..%2forders")
	f.Add("/services/desk/./orders")
	cfg := config.Service{NonIdempotent: []string{"PUT /orders"}}
	f.Fuzz(func(t *testing.T, path string) {
		r := httptest.NewRequest(http.MethodPut, "/", nil)
		u, err := r.URL.Parse("/" + strings.TrimLeft(path, "/"))
		if err != nil || !strings.HasPrefix(u.Path, pathServices) {
			return
		}
		r.URL = u
		name, below, p := servicePath(r)
		if p != nil {
			require.Equal(t, api.OutcomeNotRun, p.Outcome)
			return
		}
		require.NotContains(t, name, "/")
		require.True(t, strings.HasPrefix(below, "/"))
		sent := serviceRequest(r, name, nil).Path
		require.True(t, strings.HasPrefix(sent, "/"))
		if strings.HasPrefix(strings.TrimLeft(sent, "/"), "orders") {
			require.False(t, isIdempotent(http.MethodPut, below, cfg), "%q is sent as %q", path, sent)
		}
	})
}
