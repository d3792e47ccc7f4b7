package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/topology"
)

// unreachable is a netconn.DialFunc of an instance that reaches no server.
func unreachable(_ context.Context, network, _ string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
}

// cutOff makes the harness's relay reach no server, but other instances at the given
// addresses.
func (b *harness) cutOff(peers ...string) {
	b.relay.backends.dial, b.relay.paths.dial = unreachable, unreachable
	b.relay.forwarder = newForwarder(func() []string { return append([]string(nil), peers...) })
	b.t.Cleanup(b.relay.forwarder.transport.CloseIdleConnections)
}

// forwardingPeer starts another instance that reaches the harness's servers.
func (b *harness) forwardingPeer() (*Relay, *ForwardServer, string) {
	r := New(b.relay.opts)
	v := b.relay.view.Load()
	r.SetView(v, topology.BuildTable("d", v, decide.RetryPolicy{}))
	forwards := r.NewForwardServer(http.NotFoundHandler())
	server := httptest.NewServer(forwards)
	b.t.Cleanup(func() {
		server.Close()
		r.backends.retainListed(nil)
	})
	return r, forwards, server.Listener.Addr().String()
}

func TestForwardedRequestAndResponseUnchanged(t *testing.T) {
	var got *http.Request
	var gotBody string
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, body string) {
		got, gotBody = r, body
		writeSeal(w, r)
		w.Header().Set("Custom-Response", "2")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, strings.Repeat("long ", 50_000))
	})
	_, _, addr := b.forwardingPeer()
	b.cutOff(addr)
	a := b.do(b.request("POST", "/once/a%2Fb//c?x=%20y&&z", "the body", "Custom", "1", headerForwardCheck, "1", "User-Agent", ""))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusAccepted, a.status)
	require.Equal(t, strings.Repeat("long ", 50_000), a.body)
	require.Equal(t, "2", a.header.Get("Custom-Response"))
	require.Equal(t, "/once/a%2Fb//c?x=%20y&&z", got.RequestURI)
	require.Equal(t, "the body", gotBody)
	require.Equal(t, "example.test", got.Host)
	require.Equal(t, "1", got.Header.Get("Custom"))
	require.Equal(t, "s0", got.Header.Get("Server-Id"))
	require.Empty(t, got.Header.Get("User-Agent"))
	require.EqualValues(t, 8, got.ContentLength)
	for name := range got.Header {
		require.False(t, strings.HasPrefix(name, "Forward"), "instances' own headers must not reach servers: %s", name)
	}
	for name := range a.header {
		require.False(t, strings.HasPrefix(name, "Forward"), "instances' own headers must not reach callers: %s", name)
	}
}

func TestForwardedNonIdempotentRequestRunsOnce(t *testing.T) {
	b := newHarness(t, func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) })
	_, _, addr := b.forwardingPeer()
	_, _, other := b.forwardingPeer()
	b.cutOff(addr, other)
	require.Equal(t, http.StatusBadGateway, b.do(b.request("POST", "/once/", "body")).status)
	require.EqualValues(t, 1, b.calls())
}

// An instance that reaches no server either must not send the attempt on to a third one, or
// back.
func TestForwardedAttemptIsNotForwardedAgain(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	_, _, reaching := b.forwardingPeer()
	between, _, addr := b.forwardingPeer()
	between.backends.dial = unreachable
	between.forwarder = newForwarder(func() []string { return []string{reaching} })
	b.cutOff(addr)
	a := b.do(b.request("POST", "/once/", "body", "Timeout", "2000"))
	require.Equal(t, http.StatusServiceUnavailable, a.status, "the request has not run")
	require.Zero(t, b.calls())
}

func TestPeerThatHangsDoesNotHoldIdempotentRequests(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	_, _, addr := b.forwardingPeer()
	var hangs atomic.Bool
	hung := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		hangs.Store(true)
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection shows only then
		<-r.Context().Done()
	}))
	defer hung.Close()
	first := true
	b.cutOff()
	b.relay.forwarder.peers = func() []string {
		if first {
			first = false
			return []string{hung.Listener.Addr().String()}
		}
		return []string{addr}
	}
	b.backends = append(b.backends, b.backends[0]) // a second server to retry at
	b.setView(2)
	a := b.do(b.request("POST", "/safe/", "body"))
	require.True(t, hangs.Load())
	require.Equal(t, http.StatusOK, a.status)
}

func TestForwardedStreamArrivesAsItIsSentAndEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		writeEvent(w, 1)
		<-r.Context().Done()
		close(ended)
	})
	_, forwards, addr := b.forwardingPeer()
	b.cutOff(addr)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	res, err := b.client.Do(b.request("POST", "/stream/", "body").WithContext(ctx))
	require.NoError(t, err)
	defer res.Body.Close()
	event := make([]byte, 2)
	_, err = io.ReadFull(res.Body, event)
	require.NoError(t, err)
	cancel()
	<-ended // fails by the test's timeout
	require.Eventually(t, func() bool { return forwards.Active() == 0 }, 5*time.Second, time.Millisecond)
}

func TestForwardingIsRefusedAsNotSent(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	peer, _, addr := b.forwardingPeer()
	forward := func(server string) error {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/safe/", nil)
		require.NoError(t, err)
		req.Header.Set(headerForwardTo, server)
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer http.DefaultClient.CloseIdleConnections()
		defer res.Body.Close()
		return forwardError(addr, res)
	}
	require.NoError(t, forward("s0"))
	require.True(t, neverSent(forward("unknown")), "only listed servers are reached")
	peer.paths.block("s0", "")
	require.True(t, neverSent(forward("s0")))
	peer.paths.retainListed(nil)
	require.NoError(t, forward("s0"))
	peer.Drain(Shutdown{})
	require.True(t, neverSent(forward("s0")))
	require.EqualValues(t, 2, b.calls())
}

// An instance of an earlier version answers as it does to any unknown call.
func TestPeerThatCannotForwardCountsAsNotSent(t *testing.T) {
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	b := newHarness(t, respondWith("x"))
	_, _, addr := b.forwardingPeer()
	b.cutOff(old.Listener.Addr().String(), addr)
	for range 10 {
		require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body")).status)
	}
}

func TestServerThatNobodyReachesIsNotAskedForAgainAtOnce(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	peer, _, addr := b.forwardingPeer()
	peer.backends.dial = unreachable
	asked := 0
	b.cutOff()
	b.relay.forwarder.peers = func() []string { asked++; return []string{addr} }
	for range 5 {
		a := b.do(b.request("POST", "/once/", "body", "Timeout", "300"))
		require.Equal(t, http.StatusServiceUnavailable, a.status)
	}
	require.Equal(t, 1, asked)
}

// Guards against all forwarding ending for a second because the other instances were slow to
// accept a connection, which says nothing of the server.
func TestPeersThatAreNotReachedSayNothingOfAServer(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	_, _, addr := b.forwardingPeer()
	closed := httptest.NewServer(http.NotFoundHandler())
	gone := closed.Listener.Addr().String()
	closed.Close()
	peers := []string{gone}
	b.cutOff()
	b.relay.forwarder.peers = func() []string { return append([]string(nil), peers...) }
	require.NotEqual(t, http.StatusOK, b.do(b.request("POST", "/safe/", "body", "Timeout", "100")).status)
	peers = []string{gone, addr}
	time.Sleep(goneTTL / 2) // the scheduler's backoff for the server has ended
	require.Equal(t, http.StatusOK, b.do(b.request("POST", "/safe/", "body", "Timeout", "100")).status)
}

func TestProbesFindWhichServersAreReached(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	addr := b.backends[0].Listener.Addr().String()
	p := b.relay.paths
	reached := p.dial
	p.dial = unreachable
	p.probeSoon(map[string]string{"s0": addr, "unlisted": addr})
	p.retainListed([]topology.Server{{ID: "s0"}})
	var blocked []string
	p.probeAll(t.Context(), func(id string) { blocked = append(blocked, id) })
	p.probeAll(t.Context(), func(id string) { blocked = append(blocked, id) })
	require.Equal(t, []string{"s0"}, blocked, "reported once")
	require.False(t, p.direct("s0"))
	require.True(t, p.direct("unlisted"))
	p.dial = reached
	p.probeAll(t.Context(), func(string) {})
	require.True(t, p.direct("s0"))
	require.Zero(t, p.blockedServers())
}

func TestForwardedErrorsKeepTheirEffect(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		w := httptest.NewRecorder()
		w.Header().Set(headerForwarded, "1")
		writeForwardError(w, infra.ReasonUnreachable, unsent)
		require.Equal(t, unsent, neverSent(forwardError("peer", w.Result())))
	}
}

// An instance without others sends directly, whatever its probes say.
func TestInstanceWithoutPeersSendsDirectly(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.relay.paths.block("s0", b.backends[0].Listener.Addr().String())
	require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body")).status)
}
