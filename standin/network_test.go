package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNetworkPartitionHoldsTraffic sends requests during a partition of each direction
// and of both.
func TestNetworkPartitionHoldsTraffic(t *testing.T) {
	network := NewNetwork()
	served := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served <- struct{}{}
		_, _ = io.WriteString(w, "answer")
	}))
	defer s.Close()
	network.SetDomain(s.Listener.Addr().String(), "pelotas")
	client := &http.Client{Transport: &http.Transport{DialContext: network.Dialer("porto-a", "entry-1")}}
	defer client.CloseIdleConnections()
	get := func() <-chan error {
		done := make(chan error, 1)
		go func() {
			res, err := client.Get(s.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			done <- err
		}()
		return done
	}
	require.NoError(t, <-get())
	<-served
	network.PartitionOneWay("pelotas", "porto-a")
	answered := get()
	<-served // the request arrives
	require.Empty(t, answered)
	network.PartitionOneWay("porto-a", "pelotas")
	second := get() // needs a new connection because the first is in use
	network.Heal("porto-a", "pelotas")
	require.NoError(t, <-answered)
	require.NoError(t, <-second)
	<-served

	network.Partition("porto-a", "pelotas")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	require.NoError(t, err)
	_, err = client.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, served)
}

// TestNetworkKill kills the dialing node or the dialed address.
func TestNetworkKill(t *testing.T) {
	for _, dead := range []string{"entry-1", "address"} {
		network := NewNetwork()
		held := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { held <- struct{}{}; <-held }))
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dialer("porto-a", "entry-1")}}
		done := make(chan error)
		go func() {
			_, err := client.Get(s.URL)
			done <- err
		}()
		<-held
		if dead == "address" {
			dead = s.Listener.Addr().String()
		}
		network.Kill(dead)
		require.Error(t, <-done)
		_, err := client.Get(s.URL)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		close(held)
		client.CloseIdleConnections()
		s.Close()
	}
}
