package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

// The explanation of a request names the server that then gets it, and sends nothing itself.
func TestExplainRouteSendsNothing(t *testing.T) {
	b := newHarness(t, respondWith("one"))
	a := b.relay.ExplainRoute(RouteQuestion{Host: "example.test", Path: "/safe/x?y=1"})
	require.Equal(t, decide.ActionDispatch, a.Action)
	require.Equal(t, "s0", a.Server.ID)
	require.Equal(t, "safe", a.Route)
	require.Zero(t, b.calls())
	require.Equal(t, http.StatusOK, b.do(b.request("GET", "/safe/x", "")).status)
}

func TestExplainRouteWithoutARoute(t *testing.T) {
	b := newHarness(t, respondWith("one"))
	a := b.relay.ExplainRoute(RouteQuestion{Host: "example.test", Path: "/nowhere/"})
	require.Equal(t, decide.ActionRefuse, a.Action)
	require.Equal(t, reasonNoRoute, a.Reason)
}
