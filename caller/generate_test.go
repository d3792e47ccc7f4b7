package caller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompletionWithoutStreaming(t *testing.T) {
	r := newHarness(t)
	w := r.post("/v1/completions", `{"model":"tray","prompt":"p","max_tokens":3}`)
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	require.Contains(t, w.Body.String(), `"text":"t0 t1 t2 "`)
	require.Contains(t, w.Body.String(), `"finish_reason":"length"`)
	require.Contains(t, w.Body.String(), `"completion_tokens":3`)
	require.NotEmpty(t, w.Header().Get(HeaderRequest))
	require.Contains(t, []string{"e0", "e1"}, w.Header().Get(HeaderServer))
	require.Contains(t, []string{"dock-hall-a", "dock-hall-b"}, w.Header().Get(HeaderDomain))
}

func TestStreamEndsWithDone(t *testing.T) {
	r := newHarness(t)
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		w := r.post(path, `{"model":"kosher","prompt":"p","messages":[{"role":"user","content":"p"}],"max_tokens":2,"stream":true}`)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
		require.Equal(t, contentEvents, w.Header().Get("Content-Type"))
		events := strings.Split(strings.TrimSpace(w.Body.String()), "\n\n")
		require.Len(t, events, 4, w.Body)
		require.Contains(t, events[0], "t0 ")
		require.Contains(t, events[1], "t1 ")
		require.Contains(t, events[2], `"finish_reason":"length"`)
		require.Equal(t, "data: [DONE]", events[3])
	}
	require.Equal(t, "kosher", r.engine.attempts()[0].Adapter)
	require.Equal(t, "tray", r.engine.attempts()[0].Model)
}
