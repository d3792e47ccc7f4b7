// Package netconn makes the HTTP connections to servers, the store and other
// instances. A network that is cut answers nothing, and an open connection may
// go silent for good while new ones work: every connection here finds that out
// by itself.
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
	// dialTimeout is how long a new connection may take. One takes a few
	// milliseconds; to a network that is cut off none ever comes, and a request
	// that waits for one could be served elsewhere.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken: many round trips, and less than a caller waits.
	unackedTimeout = 2 * time.Second
	// probeIdle, probeEvery and probes find a silent connection within three
	// seconds; one lost probe alone breaks nothing.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// buffer is the size of a connection's read and write buffers: an event of a
	// stream or a small answer fits, and a thousand connections take 8 MB.
	bufferSize = 4 << 10
)

// Dialer opens connections that notice a silent other side.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

// dialReset opens a connection that is reset when it is closed. What was sent on
// it and has not arrived is then lost: a request that was given up on while the
// network was cut would otherwise be delivered once it heals, seconds after a
// newer one.
func dialWithReset(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := Dialer().DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close() // the connection is of no use
			return nil, err
		}
	}
	return conn, nil
}

// Transport returns a transport that keeps at most idle unused connections to
// each address, for at most idleTime.
func Transport(idle int, idleTime time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         dialWithReset,
		DisableCompression:  true, // bodies pass as they are
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTime,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
}

// IdleClosingTransport closes its idle connections, to all addresses, when a request
// fails or is canceled before its response headers arrive. Other connections from the
// same pool may be silent as well, and each would make another request time out. Use
// it for clients that call only a few addresses.
type IdleClosingTransport struct{ *http.Transport }

// NewIdleClosingTransport returns an IdleClosingTransport with the arguments of Transport.
func NewIdleClosingTransport(idle int, idleTime time.Duration) *IdleClosingTransport {
	return &IdleClosingTransport{Transport(idle, idleTime)}
}

// RoundTrip implements http.RoundTripper.
func (t *IdleClosingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		t.CloseIdleConnections()
	}
	return resp, err
}
