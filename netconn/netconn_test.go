package netconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestClosedConnectionIsReset(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		_, err = io.ReadAll(conn)
		ended <- err
	}()
	conn, err := Dial(context.Background(), "tcp4", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-ended, unix.ECONNRESET)
}

func TestDialerSocketOptions(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	conn, err := Dialer().Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.EqualValues(t, unackedTimeout.Milliseconds(), timeout)
		idle, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		require.NoError(t, err)
		require.EqualValues(t, probeIdle.Seconds(), idle)
	}))
}

func TestBootTimeIncreases(t *testing.T) {
	before := BootTime()
	require.Positive(t, before)
	require.LessOrEqual(t, before, BootTime())
	require.Less(t, BootTime()-before, time.Hour)
}

// Guards against successive requests timing out one by one on idle connections that
// went silent together: the request after a timeout must use a new connection.
func TestRequestAfterTimeoutUsesNewConnection(t *testing.T) {
	const connections = 4
	var mu sync.Mutex
	seen, silent := map[string]bool{}, false
	allOpen := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		unanswered := silent && seen[r.RemoteAddr]
		seen[r.RemoteAddr] = true
		if len(seen) == connections && !silent {
			silent = true
			close(allOpen)
		}
		mu.Unlock()
		if unanswered {
			<-r.Context().Done()
			return
		}
		<-allOpen
	}))
	defer server.Close()
	transport := NewIdleClosingTransport(connections, time.Minute)
	defer transport.CloseIdleConnections()
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() { require.NoError(t, call(10*time.Second)) })
	}
	wg.Wait()
	require.Error(t, call(100*time.Millisecond), "request on a silent connection")
	require.NoError(t, call(10*time.Second))
}
