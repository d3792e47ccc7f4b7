package instance_test

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"greengageferry/netconn"
)

// cutKind is how an instance is cut off from the servers.
type cutKind int

const (
	notCut     cutKind = iota
	silentCut          // connections stay open, and nothing arrives
	resetCut           // connections are reset and refused
	newRefused         // open connections go on, new ones are refused
)

// serverLinks are the ways of one instance to all servers.
type serverLinks struct {
	mu    sync.Mutex
	kind  cutKind
	conns map[*linkConn]bool
}

// cut changes how the links behave.
func (l *serverLinks) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
	for c := range l.conns {
		switch kind {
		case silentCut:
			c.silence()
		case resetCut:
			_ = c.Conn.Close() // whatever it returns, the connection is gone
		}
	}
}

// dial is an instance's netconn.DialFunc.
func (l *serverLinks) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	kind := l.kind
	l.mu.Unlock()
	switch kind {
	case silentCut:
		ctx, cancel := context.WithTimeout(ctx, netconn.Dialer().Timeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case resetCut, newRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", unix.ECONNREFUSED)}
	}
	conn, err := netconn.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, links: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]bool{}
	}
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection that can fall silent: what is written is lost, and reads wait
// until the connection is closed or, as its TCP options have it, times out.
type linkConn struct {
	net.Conn
	links       *serverLinks
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

// silence makes the connection fall silent, also for a read that already waits.
func (c *linkConn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silent)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // in the past; whatever it returns, the read ends or has ended
	})
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
	default:
		return n, err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-time.After(silentConnTimeout):
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", unix.ETIMEDOUT)}
	}
}

// silentConnTimeout is when TCP gives up a silent connection, see netconn.Dialer.
const silentConnTimeout = 2 * time.Second

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}
