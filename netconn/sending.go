package netconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Sending is how one request was sent. It is valid once its RoundTrip has returned.
type Sending struct {
	Connections int       // connections that the request was given, one after the other
	Reused      bool      // the newest of them had carried a request before
	Opened      time.Time // when the newest was opened; zero: there was none
	newest      net.Conn
}

// CloseConnection closes the newest connection, so that nothing that still arrives on it is taken
// for the answer to a later request.
func (s *Sending) CloseConnection() {
	if s.newest != nil {
		_ = s.newest.Close() // a connection that is closed already is as good
	}
}

// Age returns how long ago the connection was opened, 0 if there was none.
func (s *Sending) Age() time.Duration {
	if s.Opened.IsZero() {
		return 0
	}
	return time.Since(s.Opened)
}

// Record returns a context for a request that records in s how it is sent. The request must
// go through a transport of this package.
func (s *Sending) Record(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *Sending) gotConn(info httptrace.GotConnInfo) {
	s.Connections++
	s.Reused, s.newest = info.Reused, info.Conn
	if c, ok := info.Conn.(*conn); ok {
		s.Opened = c.opened
	}
}

// conn is a connection of a transport of this package.
type conn struct {
	net.Conn
	opened  time.Time
	written atomic.Int64               // bytes
	guard   atomic.Pointer[writeGuard] // of the next write; nil: there is none
	onClose func()

	writing  sync.Mutex     // held during a write
	brokenBy atomic.Uintptr // syscall.Errno that a write got when the connection broke; 0: none
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.guard.Swap(nil).allows() {
		_ = c.Close() // nothing was sent on it
		return 0, errors.WithStack(&CallerGoneError{})
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if err != nil {
		c.noteWriteError(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// openConns holds a transport's open connections. It is safe for concurrent use.
type openConns struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// record returns a DialFunc that returns connections of dial as *conn.
func (o *openConns) record(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, opened: time.Now()}
		c.onClose = func() { o.remove(c) }
		o.mu.Lock()
		defer o.mu.Unlock()
		o.conns[c] = struct{}{}
		return c, nil
	}
}

func (o *openConns) remove(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// countBefore returns how many connections are open that were opened before t.
func (o *openConns) countBefore(t time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for c := range o.conns {
		if c.opened.Before(t) {
			n++
		}
	}
	return n
}
