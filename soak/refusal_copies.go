package soak

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refusedShare is the share of the requests that servers refuse meanwhile, copyShare that of
	// the refusals of which they send an extra copy.
	refusedShare = 0.3
	copyShare    = 0.5
)

// copiedRefusals says whether servers refuse requests and send extra copies of refusals.
type copiedRefusals struct {
	active atomic.Bool
	copies atomic.Int64 // sent
}

// copyRefusals makes all servers refuse requests and send extra copies of refusals.
func copyRefusals(d *Deployment, _ *rand.Rand, duration time.Duration) error {
	d.refusals.active.Store(true)
	time.Sleep(duration)
	d.refusals.active.Store(false)
	return nil
}

// refuses draws whether a server refuses a request.
func (c *copiedRefusals) refuses() bool { return c.active.Load() && rand.Float64() < refusedShare }

// refusalCopier is a server's listener. The server sends a refusal that a connection carried a
// second time, once it has read the next request on that connection.
type refusalCopier struct {
	*net.TCPListener
	refusals *copiedRefusals
}

// Accept implements net.Listener.
func (l refusalCopier) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &copyingConn{TCPConn: c, refusals: l.refusals}, nil
}

// copyingConn is a connection of a server with a refusalCopier.
type copyingConn struct {
	*net.TCPConn
	refusals *copiedRefusals

	mu      sync.Mutex
	refusal []byte // to send again; nil: none
}

// Write implements net.Conn. An answer without a body is written at once.
func (c *copyingConn) Write(p []byte) (int, error) {
	if c.refusals.active.Load() && isRefusal(p) && rand.Float64() < copyShare {
		c.mu.Lock()
		c.refusal = bytes.Clone(p)
		c.mu.Unlock()
	}
	return c.TCPConn.Write(p)
}

// isRefusal reports whether data is an answer that says that its request was not run.
func isRefusal(data []byte) bool {
	status, _, _ := bytes.Cut(data, []byte("\r\n"))
	refused := bytes.HasPrefix(status, []byte("HTTP/1.1 503")) || bytes.HasPrefix(status, []byte("HTTP/1.1 421"))
	return refused && bytes.Contains(data, []byte("Greengageferry-Not-Run: 1"))
}

// Read implements net.Conn.
func (c *copyingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	refusal := c.refusal
	if n > 0 {
		c.refusal = nil
	}
	c.mu.Unlock()
	if n > 0 && refusal != nil {
		c.refusals.copies.Add(1)
		_, _ = c.TCPConn.Write(refusal) // the server notices itself that the connection is gone
	}
	return n, err
}
