package relay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/netconn"
	"greengageferry/topology"
)

// Connections to an earlier start of a server, under the same id and address, are not used for the
// next one.
func TestNewStartUnderTheSameIDGetsNewConnections(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	s := topology.Server{ID: "s0", Addr: b.backends[0].Listener.Addr().String(), Born: time.UnixMilli(1000)}
	pools := backends{dial: netconn.Dial}
	request := func() netconn.Sending {
		var sending netconn.Sending
		req, err := http.NewRequestWithContext(sending.Record(t.Context()), http.MethodGet, "http://"+s.Addr+"/", nil)
		require.NoError(t, err)
		res, err := pools.get(s.ID, s.Addr).RoundTrip(req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		return sending
	}
	pools.get(s.ID, s.Addr)
	pools.retainListed([]topology.Server{s})
	require.False(t, request().Reused)
	pools.retainListed([]topology.Server{s})
	require.Eventually(t, func() bool { return request().Reused }, 5*time.Second, time.Millisecond)
	s.Born = time.UnixMilli(2000)
	pools.retainListed([]topology.Server{s})
	require.False(t, request().Reused)
	pools.retainListed(nil)
}
