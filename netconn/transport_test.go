package netconn

import (
	"context"
	"fmt"
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
	"golang.org/x/sys/unix"
)

// breakingServer counts requests, and breaks the connection of each once breaks is set.
type breakingServer struct {
	*httptest.Server
	breaks   atomic.Bool
	requests atomic.Int64
}

func newBreakingServer(t *testing.T) *breakingServer {
	s := &breakingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		if s.breaks.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(s.Close)
	return s
}

// open opens n idle connections.
func (s *breakingServer) open(t *testing.T, transport http.RoundTripper, n int) {
	var responses []*http.Response
	for range n {
		res, err := transport.RoundTrip(httptest.NewRequest(http.MethodGet, s.URL, nil))
		require.NoError(t, err)
		responses = append(responses, res)
	}
	for _, res := range responses {
		_, err := io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
	}
}

// Guards against a request leaving twice, whatever it holds, and against its other kept
// connections being used up.
func TestRequestIsWrittenToOneConnection(t *testing.T) {
	const connections = 5
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE", "ANY"} {
		for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key", "Other"} {
			for _, body := range []string{"", "body"} {
				t.Run(fmt.Sprintf("%s %s %q", method, key, body), func(t *testing.T) {
					s := newBreakingServer(t)
					transport := NewTransport(connections, time.Minute)
					defer transport.CloseIdleConnections()
					s.open(t, transport, connections)
					before := s.requests.Load()
					s.breaks.Store(true)
					req, err := http.NewRequest(method, s.URL, strings.NewReader(body))
					require.NoError(t, err)
					req.Header.Set(key, "k")
					_, err = transport.RoundTrip(req)
					require.Error(t, err)
					require.EqualValues(t, 1, s.requests.Load()-before)
				})
			}
		}
	}
}

// unwritableConn is a connection to which nothing can be written once broken is set. Reads
// don't notice.
type unwritableConn struct {
	net.Conn
	broken *atomic.Bool
}

// Write implements net.Conn.
func (c unwritableConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", unix.EPIPE)}
	}
	return c.Conn.Write(p)
}

// A request of which nothing was written may go over another connection.
func TestUnwrittenRequestGoesOverAnotherConnection(t *testing.T) {
	const connections = 4
	s := newBreakingServer(t)
	var broken, opened atomic.Bool
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := Dial(ctx, network, addr)
		if err != nil || opened.Load() {
			return conn, err
		}
		return unwritableConn{conn, &broken}, nil
	}
	transport := NewTransportWith(dial, connections, time.Minute)
	defer transport.CloseIdleConnections()
	s.open(t, transport, connections)
	opened.Store(true)
	broken.Store(true)
	for n := range connections {
		req, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("body"))
		require.NoError(t, err)
		var sending Sending
		res, err := transport.RoundTrip(req.WithContext(sending.Record(context.Background())))
		require.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, "body", string(body))
		require.False(t, sending.Opened.IsZero())
		if n == 0 {
			require.Greater(t, sending.Connections, 1)
		}
	}
	require.EqualValues(t, 2*connections, s.requests.Load())
}

// Guards against a response whose body is read late being cut off by the end of its RoundTrip.
func TestResponseBodyOutlastsRoundTrip(t *testing.T) {
	s := newBreakingServer(t)
	transport := NewTransport(1, time.Minute)
	defer transport.CloseIdleConnections()
	text := strings.Repeat("x", 1<<20)
	req, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader(text))
	require.NoError(t, err)
	res, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer res.Body.Close()
	time.Sleep(20 * time.Millisecond)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, text, string(body))
}

func BenchmarkRoundTrip(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	plain := &http.Transport{DialContext: (&net.Dialer{}).DialContext}
	for name, transport := range map[string]http.RoundTripper{"sent once": NewTransport(4, time.Minute), "net/http": plain} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequest(http.MethodGet, s.URL, nil)
				require.NoError(b, err)
				res, err := transport.RoundTrip(req)
				require.NoError(b, err)
				require.NoError(b, res.Body.Close())
			}
		})
	}
}
