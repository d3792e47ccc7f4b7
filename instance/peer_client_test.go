package instance

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// Guards against each unanswered call to one instance costing new connections to all others.
func TestUnansweredCallKeepsTheConnectionsToOtherInstances(t *testing.T) {
	var opened atomic.Int64
	other := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	other.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	other.Start()
	defer other.Close()
	done := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer silent.Close()
	defer close(done)
	i := New(Options{Node: &topology.Node{Domain: "d"}, Log: quietLog()})
	for name, client := range map[string]*http.Client{"crashes": i.suspects.client, "state": newLearner(i).client, "origins": i.origins.client, "credit": i.allowances.client} {
		opened.Store(0)
		for range 5 {
			call(t, client, other.URL, time.Second)
			call(t, client, silent.URL, 5*time.Millisecond)
		}
		require.EqualValues(t, 1, opened.Load(), name)
	}
}

// call sends a request and ignores how it ends.
func call(t *testing.T, client *http.Client, url string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	require.NoError(t, err)
	if res, err := client.Do(req); err == nil {
		_ = res.Body.Close()
	}
}
