package caller

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// Sequential requests reuse the connection to their server: a new connection for each
// would cost a round trip and a port.
func TestServerConnectionIsReused(t *testing.T) {
	var conns atomic.Int32
	engine := httptest.NewUnstartedServer(httpEngine(false))
	engine.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	engine.Start()
	t.Cleanup(engine.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: 10}
	t.Cleanup(transport.CloseIdleConnections)
	r := newHarness(t, func(o *Options) { o.Engine = infra.NewHTTPEngine(&http.Client{Transport: transport}) })
	table := testTable()
	for i := range table.Servers {
		table.Servers[i].Addr = engine.Listener.Addr().String()
	}
	r.SetTable(table)
	r.UpdateBoot("e0", "b")
	r.UpdateBoot("e1", "b")
	for range 20 {
		w := r.post(pathCompletions, streamedRequest)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
	}
	require.LessOrEqual(t, conns.Load(), int32(2))
}
