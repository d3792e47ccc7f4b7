package netconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestAConnectionThatIsGivenUpOnIsReset(t *testing.T) {
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
	conn, err := dialReset(context.Background(), "tcp4", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-ended, unix.ECONNRESET)
}

func TestTransportNoticesSilenceByItself(t *testing.T) {
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

func TestBootTimeRuns(t *testing.T) {
	before := BootTime()
	require.Positive(t, before)
	require.LessOrEqual(t, before, BootTime())
	require.Less(t, BootTime()-before, time.Hour)
}
