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

// TestNetworkHoldsWhatPassesACut sends a request over a cut way each way round.
func TestNetworkHoldsWhatPassesACut(t *testing.T) {
	network := NewNetwork()
	served := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served <- struct{}{}
		_, _ = io.WriteString(w, "answer")
	}))
	defer s.Close()
	network.Place(s.Listener.Addr().String(), "pelotas")
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
	network.CutWay("pelotas", "porto-a")
	answered := get()
	<-served // the request gets there
	require.Empty(t, answered)
	network.CutWay("porto-a", "pelotas")
	second := get() // needs a connection of its own: the first is waiting
	network.Heal("porto-a", "pelotas")
	require.NoError(t, <-answered)
	require.NoError(t, <-second)
	<-served

	network.Cut("porto-a", "pelotas")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	require.NoError(t, err)
	_, err = client.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, served)
}

// TestNetworkKillsANode kills who dialed, and whom was dialed.
func TestNetworkKillsANode(t *testing.T) {
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
