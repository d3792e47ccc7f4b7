package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/netconn"
)

// lateConn is a connection of a busy instance, which reads a request only after the caller has left
// and the end of the connection only at the end of the test.
type lateConn struct {
	*net.TCPConn
	left  <-chan struct{} // closed once the caller has left
	ended <-chan struct{} // closed at the end of the test
}

func (c *lateConn) Read(p []byte) (int, error) {
	<-c.left
	n, err := c.TCPConn.Read(p)
	if err != nil {
		<-c.ended
	}
	return n, err
}

// lateListener accepts connections as lateConn.
type lateListener struct {
	net.Listener
	left, ended <-chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{c.(*net.TCPConn), l.left, l.ended}, nil
}

// An instance short of processor time reads a request after its caller has given it up and closed
// the connection. It must not send the request to a server.
func TestRequestReadAfterItsCallerLeftIsNotSent(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, body := range []string{"", "the body"} {
			b := newHarness(t, respondWith("x"))
			left, ended := make(chan struct{}), make(chan struct{})
			served := make(chan struct{})
			front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b.relay.ServeHTTP(w, r)
				close(served)
			}))
			front.Listener = lateListener{front.Listener, left, ended}
			front.Config.ConnContext = netconn.ConnContext
			front.Start()
			sendAndLeave(t, front.Listener.Addr().String(), path, body)
			close(left)
			<-served
			require.Zero(t, b.calls(), "%s with body %q", path, body)
			close(ended)
			front.Close()
		}
	}
}

// sendAndLeave sends a request and closes the connection.
func sendAndLeave(t *testing.T, addr, path, body string) {
	conn, err := net.Dial("tcp4", addr)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: example.test\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}

// The caller leaves while a connection to the server is opened.
func TestRequestWhoseCallerLeavesDuringTheDialIsNotSent(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	conn, err := net.Dial("tcp4", b.front.Listener.Addr().String())
	require.NoError(t, err)
	var dials atomic.Int64
	b.relay.backends.retainListed(nil)
	b.relay.backends.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		_ = conn.Close()
		return net.Dial(network, addr) // without ctx, which net/http may have canceled by now
	}
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: example.test\r\nId: r1\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return dials.Load() == 1 && b.relay.ActiveRequests() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, b.calls())
	require.Empty(t, b.relay.Loads())
}

// The caller leaves while its request waits for a slot.
func TestQueuedRequestWhoseCallerLeftIsNotSent(t *testing.T) {
	release := make(chan struct{})
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		<-release
		respondWith("x")(w, r, "")
	})
	for range 16 { // more than the server's slots and its queue
		go func() {
			if res, err := b.client.Do(b.request("GET", "/safe/", "")); err == nil {
				_ = res.Body.Close()
			}
		}()
	}
	require.Eventually(t, func() bool { return b.relay.ActiveRequests() == 16 }, 5*time.Second, time.Millisecond)
	sendAndLeave(t, b.front.Listener.Addr().String(), "/once/", "the body")
	close(release)
	require.Eventually(t, func() bool { return b.relay.ActiveRequests() == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, int64(16), b.calls())
}

// The instance that asks another one to forward an attempt closes its connection before the other
// has sent the attempt on.
func TestForwardedAttemptIsNotSentOnceItsInstanceHasLeft(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	r, forwards, _ := b.forwardingPeer()
	peer := httptest.NewUnstartedServer(forwards)
	left, ended := make(chan struct{}), make(chan struct{})
	peer.Listener = lateListener{peer.Listener, left, ended}
	peer.Config.ConnContext = netconn.ConnContext
	peer.Start()
	defer peer.Close()
	defer close(ended)
	conn, err := net.Dial("tcp4", peer.Listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: example.test\r\nId: r1\r\n%s: s0\r\n\r\n", headerForwardTo)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	close(left)
	require.Eventually(t, func() bool { return len(r.backends.addrs()) == 1 && forwards.Active() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, b.calls())
}
