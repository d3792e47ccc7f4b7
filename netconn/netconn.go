// Package netconn makes the HTTP connections to servers, the store and other instances. In
// a network partition nothing reports an error, and an open connection may stay silent
// forever while new ones work. Each connection therefore detects a silent peer by itself,
// with TCP keep-alive probes and a limit on unacknowledged data.
package netconn

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is how long opening a connection may take. It usually takes a few
	// milliseconds. In a network partition it never succeeds, and the request could be
	// served elsewhere meanwhile.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the connection
	// is closed: many round trips, but less than callers wait.
	unackedTimeout = 2 * time.Second
	// With these TCP keep-alive settings a silent connection is detected within three
	// seconds, and a single lost probe does not close the connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// bufferSize is the size of a connection's read and write buffers, in bytes. A
	// stream's event or a small response fits, and a thousand connections take 8 MB.
	bufferSize = 4 << 10
)

// Dialer returns a dialer whose connections detect a silent peer.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial opens a connection that is reset when it is closed, which discards sent
// data that has not arrived. Otherwise a request that was abandoned in a network partition
// would be delivered after the partition, seconds after a newer request.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := Dialer().DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close() // the connection is unused
			return nil, err
		}
	}
	return conn, nil
}

// IdleClosingTransport closes its idle connections, to all addresses, when a request
// fails or is canceled before its response headers arrive. Other connections from the
// same pool may be silent as well, and each would make another request time out. Use
// it for clients that call only a few addresses.
type IdleClosingTransport struct{ *Transport }

// NewIdleClosingTransport returns an IdleClosingTransport with the arguments of NewTransport.
func NewIdleClosingTransport(maxIdle int, idleTimeout time.Duration) *IdleClosingTransport {
	return &IdleClosingTransport{NewTransport(maxIdle, idleTimeout)}
}

// RoundTrip implements http.RoundTripper.
func (t *IdleClosingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		t.CloseIdleConnections()
	}
	return resp, err
}
