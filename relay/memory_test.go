package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestsBeyondTheMemoryAreRefusedAsNotRun(t *testing.T) {
	started, release := make(chan struct{}, 3), make(chan struct{})
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		started <- struct{}{}
		<-release
		respondWith("x")(w, r, "")
	})
	b.relay.SetMemoryLimit(3 * requestOverhead)
	done := make(chan int, 3)
	for range 3 {
		go func() { done <- b.do(b.request("GET", "/safe/", "")).status }()
		<-started
	}
	res := b.do(b.request("POST", "/once/", "the body"))
	require.Equal(t, http.StatusServiceUnavailable, res.status)
	require.Equal(t, "0.50", res.header.Get("Retry-After"))
	require.Equal(t, int64(3), b.calls())
	close(release)
	for range 3 {
		require.Equal(t, http.StatusOK, <-done)
	}
	require.Eventually(t, func() bool { return b.relay.HeldBytes() == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "")).status)
}

func TestBodiesOfRequestsCountAsTheyArrive(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.relay.SetMemoryLimit(requestOverhead + 500)
	for _, chunked := range []bool{false, true} {
		req := b.request("POST", "/once/", strings.Repeat("x", 900))
		if chunked {
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 900))), -1
		}
		res := b.do(req)
		require.Equal(t, http.StatusServiceUnavailable, res.status)
		require.Equal(t, reasonMemoryFull+"\n", res.body)
	}
	require.Zero(t, b.calls())
	require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", strings.Repeat("x", 400))).status)
	require.Eventually(t, func() bool { return b.relay.HeldBytes() == 0 }, 5*time.Second, time.Millisecond)
}

// A caller that reads nothing would keep its response and the instance's goroutines forever.
func TestResponseThatItsCallerDoesNotReadIsEnded(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			testUnreadResponse(t, path)
		})
	}
}

// testUnreadResponse sends a request for a response that the sockets can't buffer, and reads
// nothing.
func testUnreadResponse(t *testing.T, path string) {
	part := bytes.Repeat([]byte("data: x\n\n"), 1<<17)
	ended := make(chan struct{}, 2)
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		defer func() { ended <- struct{}{} }()
		writeSeal(w, r)
		for range 40 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	conn, err := net.Dial("tcp4", b.front.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: example.test\r\nId: r1\r\nTimeout: 200\r\n\r\n", path)
	require.NoError(t, err)
	<-ended // the server isn't kept beyond the request's deadline
	require.Eventually(t, func() bool { return b.relay.ActiveRequests() == 0 && b.relay.HeldBytes() == 0 }, 2*slowCallerGrace, 10*time.Millisecond)
}

// An event is buffered until it is complete, but only up to maxEventBytes.
func TestEventWithoutAnEndIsNotHeldForever(t *testing.T) {
	sent := make(chan int, 2)
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		part, n := bytes.Repeat([]byte("x"), 1<<20), 0
		for ; n < 40; n++ {
			if _, err := w.Write(part); err != nil {
				break
			}
		}
		sent <- n
	})
	res := b.do(b.request("GET", "/resume/", ""))
	require.Equal(t, http.StatusBadGateway, res.status)
	require.Less(t, <-sent, 40)
	res = b.do(b.request("GET", "/stream/", ""))
	require.Error(t, res.err, "the caller is told that the stream is broken off")
	require.Less(t, <-sent, 40)
}
