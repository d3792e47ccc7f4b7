package netconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// answerPart is what the peers of these tests send before they end the connection.
const answerPart = "part of an answer"

// lateWriteConn is a connection whose failed writes return late, as on a busy machine.
type lateWriteConn struct{ *net.TCPConn }

// Write implements net.Conn.
func (c lateWriteConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		time.Sleep(30 * time.Millisecond)
	}
	return n, err
}

// dialPeer opens a connection of a transport to a peer that plays script.
func dialPeer(t *testing.T, dial DialFunc, script func(peer *net.TCPConn)) net.Conn {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialed := make(chan struct{})
	go func() {
		peer, err := listener.Accept()
		if err != nil {
			return // the test has ended
		}
		<-dialed                                // else dialing may be given the error of the connection's end
		_, _ = io.WriteString(peer, answerPart) // fails only if the test has ended
		script(peer.(*net.TCPConn))
	}()
	open := &openConns{conns: map[*conn]struct{}{}}
	c, err := open.record(dial)(context.Background(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	close(dialed)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readWhileWriting reads the connection to its end while more is written to it than the peer takes.
func readWhileWriting(c net.Conn) (string, error) {
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}()
	data, err := io.ReadAll(c)
	return string(data), err
}

func dialLateWrites(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return lateWriteConn{c.(*net.TCPConn)}, nil
}

// dialImpatient opens connections that break after 200 ms in which the peer takes no data.
func dialImpatient(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 200) // as in Dialer
	})
	return lateWriteConn{c.(*net.TCPConn)}, err
}

// Guards against a reader seeing the end of the data in order because a writer was given the error of the
// connection, also if the write returns only after the read.
func TestReadReportsErrorThatAWriteWasGiven(t *testing.T) {
	reset := func(peer *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = peer.SetLinger(0) // a test's own connection
		_ = peer.Close()
	}
	silent := func(peer *net.TCPConn) {
		time.Sleep(time.Second)
		_ = peer.Close()
	}
	for name, tc := range map[string]struct {
		dial DialFunc
		end  func(*net.TCPConn)
		want error
	}{
		"reset":                    {Dial, reset, unix.ECONNRESET},
		"reset, write late":        {dialLateWrites, reset, unix.ECONNRESET},
		"data unacknowledged long": {dialImpatient, silent, unix.ETIMEDOUT},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				data, err := readWhileWriting(dialPeer(t, tc.dial, tc.end))
				require.Equal(t, answerPart, data)
				require.True(t, errors.Is(err, tc.want), "%v", err)
			}
		})
	}
}

// A peer may end its half before it has read everything, and close or reset the connection afterwards.
func TestEndInOrderIsNoErrorWhileWriting(t *testing.T) {
	for name, after := range map[string]time.Duration{"closed at once": 0, "closed later": 50 * time.Millisecond} {
		for kind, dial := range map[string]DialFunc{"": Dial, ", write late": dialLateWrites} {
			t.Run(name+kind, func(t *testing.T) {
				for range 10 {
					data, err := readWhileWriting(dialPeer(t, dial, func(peer *net.TCPConn) {
						_ = peer.CloseWrite() // fails only if the test has ended
						time.Sleep(after)
						_ = peer.SetLinger(0) // a test's own connection
						_ = peer.Close()
					}))
					require.NoError(t, err)
					require.Equal(t, answerPart, data)
				}
			})
		}
	}
}
