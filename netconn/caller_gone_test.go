package netconn

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (accepted net.Conn, caller *net.TCPConn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	accepted, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = accepted.Close()
		_ = dialed.Close()
	})
	return accepted, dialed.(*net.TCPConn)
}

func TestCallerIsGoneOnceItsCloseHasArrived(t *testing.T) {
	for name, tc := range map[string]struct {
		leave func(caller *net.TCPConn) error
		gone  bool
	}{
		"waits":              {func(*net.TCPConn) error { return nil }, false},
		"sends the next one": {func(c *net.TCPConn) error { _, err := c.Write([]byte("GET ")); return err }, false},
		"closed":             {(*net.TCPConn).Close, true},
		"closed its half":    {(*net.TCPConn).CloseWrite, true},
		"reset":              {func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, true},
		"closed behind data": {func(c *net.TCPConn) error { _, _ = c.Write([]byte("GET ")); return c.Close() }, true},
	} {
		accepted, caller := tcpPair(t)
		ctx := ConnContext(t.Context(), accepted)
		require.False(t, CallerGone(ctx), name)
		require.NoError(t, tc.leave(caller), name)
		if tc.gone {
			require.Eventually(t, func() bool { return CallerGone(ctx) }, 5*time.Second, time.Millisecond, name)
			continue
		}
		require.Never(t, func() bool { return CallerGone(ctx) }, 20*time.Millisecond, 5*time.Millisecond, name)
	}
}

func TestCallerGoneConsumesNothingWhileAnotherGoroutineReads(t *testing.T) {
	accepted, caller := tcpPair(t)
	ctx := ConnContext(t.Context(), accepted)
	read := make(chan int)
	go func() {
		n, _ := accepted.Read(make([]byte, 8)) // as net/http does in the background
		read <- n
	}()
	require.False(t, CallerGone(ctx))
	_, err := caller.Write([]byte("x"))
	require.NoError(t, err)
	require.Equal(t, 1, <-read, "nothing is consumed")
}

func TestWithoutASocketOnlyTheContextTells(t *testing.T) {
	a, b := net.Pipe()
	require.NoError(t, b.Close())
	ctx, cancel := context.WithCancel(ConnContext(t.Context(), a))
	require.False(t, CallerGone(ctx))
	cancel()
	require.True(t, CallerGone(ctx))
	require.False(t, CallerGone(t.Context()))
}

func BenchmarkCallerGone(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(b, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(b, err)
	defer accepted.Close()
	ctx := ConnContext(b.Context(), accepted)
	for b.Loop() {
		CallerGone(ctx)
	}
}
