package soak

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

// Guards against a caller that sends a keyed request again, under the same id, because its kept
// connection broke: the request then runs twice, and no instance can know.
func TestCallersSendEachRequestOnce(t *testing.T) {
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	transport := newCallerTransport()
	defer transport.CloseIdleConnections()
	for n := range 2 {
		r := Result{Ask: standin.Ask{ID: "r1", Method: http.MethodDelete, Path: standin.PlainPath, Key: "r1", Timeout: callerTimeout}}
		r.request(transport, server.Listener.Addr().String(), time.Second)
		require.Equal(t, n == 0, r.Err == nil)
	}
	require.EqualValues(t, 2, arrivals.Load(), "one for each request")
}
