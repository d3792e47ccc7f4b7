package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LinkState is what a link does to the bytes that cross it.
type LinkState struct {
	Delay   time.Duration // each piece of data waits so long
	HoldOut bool          // nothing reaches the target
	HoldIn  bool          // nothing comes back from the target
	Refuse  bool          // connections are reset, new ones too
}

// pieceBytes is the most that crosses a link in one piece.
const pieceBytes = 32 << 10

// Proxy is a link on loopback to one target. What is held back waits, as on a
// network that is cut and heals: TCP sends it again.
type Proxy struct {
	Addr     string // where it listens
	target   string
	listener net.Listener

	mu      sync.Mutex
	state   LinkState
	changed chan struct{} // closed at each change of the state
	conns   map[net.Conn]struct{}
	closed  bool
	group   sync.WaitGroup
}

// NewProxy returns a proxy that passes everything on.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Proxy{Addr: l.Addr().String(), target: target, listener: l, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.group.Go(p.accept)
	return p, nil
}

// Set changes what the link does from now on.
func (p *Proxy) Set(s LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
	if s.Refuse {
		p.resetAll()
	}
}

// Reset breaks every open connection; new ones pass.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll breaks all connections. The lock is held.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		abort(c)
	}
}

// Close ends the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	_ = p.listener.Close() // nothing is lost by it
	p.group.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.group.Go(func() { p.carry(c) })
	}
}

// keep registers a connection. It returns false where the link takes none.
func (p *Proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.state.Refuse {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// drop closes a connection whose directions have both ended, and forgets it.
func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close() // may be closed already
}

// abort closes a connection with a reset, so that an end that wasn't the other
// side's own can't look like one.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closed already if it fails
	}
	_ = c.Close() // the same
}

// carry joins one connection with the target.
func (p *Proxy) carry(from net.Conn) {
	if !p.keep(from) {
		abort(from)
		return
	}
	defer p.drop(from)
	var dialer net.Dialer
	to, err := dialer.DialContext(context.Background(), "tcp4", p.target)
	if err != nil {
		abort(from)
		return
	}
	if !p.keep(to) {
		abort(to)
		return
	}
	defer p.drop(to)
	var both sync.WaitGroup
	both.Go(func() { p.pump(to, from, func(s LinkState) bool { return s.HoldOut }) })
	both.Go(func() { p.pump(from, to, func(s LinkState) bool { return s.HoldIn }) })
	both.Wait()
}

// pump copies one direction until either side ends.
func (p *Proxy) pump(dst, src net.Conn, held func(LinkState) bool) {
	data := make([]byte, pieceBytes)
	for {
		n, err := src.Read(data)
		if !p.pass(held) {
			abort(dst)
			abort(src)
			return
		}
		if n > 0 {
			if _, werr := dst.Write(data[:n]); werr != nil {
				abort(src)
				return
			}
		}
		if err != nil {
			p.end(dst, err)
			return
		}
	}
}

// end hands on how one direction ended: in order, or by a reset.
func (p *Proxy) end(dst net.Conn, err error) {
	tcp, ok := dst.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite() // gone already if it fails
		return
	}
	abort(dst)
}

// pass waits until the link lets a piece through. It returns false once the
// proxy is closed.
func (p *Proxy) pass(held func(LinkState) bool) bool {
	delayed := false
	for {
		p.mu.Lock()
		s, changed, closed := p.state, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case held(s):
			<-changed
		case s.Delay > 0 && !delayed:
			delayed = true
			time.Sleep(s.Delay)
		default:
			return true
		}
	}
}
