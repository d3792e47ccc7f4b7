package traffic

import (
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestClientAndServerCountsMatch(t *testing.T) {
	served, called := new(expvar.Map), new(expvar.Map)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "0123456789")
	})
	server := httptest.NewServer(Handler(answer, NewCounters(served)))
	defer server.Close()
	client := &http.Client{Transport: &Transport{Counters: NewCounters(called)}}
	for range 3 {
		resp, err := client.Post(server.URL+"/twirp/peer.Peer/State", "text/plain", strings.NewReader("abc"))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	server.Close() // waits until the handlers have counted
	for name, want := range map[string]string{"State.sent_bytes": "9", "State.sent_messages": "3", "State.received_bytes": "30", "State.received_messages": "3"} {
		require.Equal(t, want, called.Get(name).String(), name)
	}
	for name, want := range map[string]string{"State.sent_bytes": "30", "State.sent_messages": "3", "State.received_bytes": "9", "State.received_messages": "3"} {
		require.Equal(t, want, served.Get(name).String(), name)
	}
}
