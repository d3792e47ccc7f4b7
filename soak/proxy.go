package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// LinkState is how a link treats the data that crosses it.
type LinkState struct {
	Delay          time.Duration // of each chunk of data
	HoldToTarget   bool          // no data reaches the target
	HoldFromTarget bool          // no data comes back from the target
	Refuse         bool          // existing and new connections are reset
}

// chunkBytes is the largest chunk that crosses a link at once.
const chunkBytes = 32 << 10

// Proxy is a TCP proxy on loopback that simulates the network link to one target. Data held
// back arrives later, as after a network partition, when TCP retransmits it.
type Proxy struct {
	Addr     string // address that the proxy listens on
	target   string
	listener net.Listener

	mu      sync.Mutex
	state   LinkState
	changed chan struct{}     // closed at each change of the state
	conns   map[net.Conn]bool // true: opened by a client
	closed  bool
	ended   bool // see End
	group   sync.WaitGroup
}

// NewProxy starts a proxy that forwards all data to target without delay.
func NewProxy(target string) (*Proxy, error) {
	l, err := listenAtChosenPort()
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), target: target, listener: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

// listenAtChosenPort listens at a port that was free just before. A socket that is bound to the port
// by its number keeps it while it doesn't listen.
func listenAtChosenPort() (net.Listener, error) {
	const tries = 10
	for n := 1; ; n++ {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		_ = l.Close() // it has accepted nothing
		l, err = net.Listen("tcp4", l.Addr().String())
		if err == nil || n == tries {
			return l, errors.WithStack(err)
		}
	}
}

// Set changes the state of the link for open and new connections.
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

// Reset resets all open connections. New connections are not affected.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll resets all open connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		abort(c)
	}
}

// Close resets all connections, stops the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	_ = p.listener.Close() // no more connections are accepted
	p.group.Wait()
}

// End does what the end of the target's process does: its connections are closed in good order,
// and the address refuses new ones until Reopen.
func (p *Proxy) End() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	err := p.control(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RDWR) })
	for c, byClient := range p.conns {
		if byClient {
			_ = c.Close() // the other ends follow
		}
	}
	return err
}

// Reopen makes the address accept connections again after End.
func (p *Proxy) Reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		return nil
	}
	p.ended = false
	close(p.changed)
	p.changed = make(chan struct{})
	return p.control(func(fd int) error { return unix.Listen(fd, unix.SOMAXCONN) })
}

// control calls do with the listener's socket, which keeps the address as long as it isn't closed.
func (p *Proxy) control(do func(fd int) error) error {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var doErr error
	if err := raw.Control(func(fd uintptr) { doErr = do(int(fd)) }); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(doErr)
}

// accept forwards incoming connections until the proxy is closed.
func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err == nil {
			p.group.Go(func() { p.forward(c) })
		} else if !p.awaitReopening() {
			return
		}
	}
}

// awaitReopening waits until the address accepts connections. It returns false once the proxy is
// closed.
func (p *Proxy) awaitReopening() bool {
	for {
		p.mu.Lock()
		ended, changed, closed := p.ended, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case !ended:
			return true
		}
		<-changed
	}
}

// track registers a connection. It returns false if the link accepts none.
func (p *Proxy) track(c net.Conn, byClient bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ended || p.state.Refuse {
		return false
	}
	p.conns[c] = byClient
	return true
}

// untrack closes and unregisters a connection after both directions have ended.
func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close() // may be closed already
}

// abort closes a connection with a TCP reset, so that its peer can't mistake a broken
// connection for one that the other side closed in order.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if already closed
	}
	_ = c.Close() // fails only if already closed
}

// forward connects to the target and copies data in both directions.
func (p *Proxy) forward(from net.Conn) {
	if !p.track(from, true) {
		abort(from)
		return
	}
	defer p.untrack(from)
	var dialer net.Dialer
	to, err := dialer.DialContext(context.Background(), "tcp4", p.target)
	if err != nil {
		abort(from)
		return
	}
	if !p.track(to, false) {
		abort(to)
		return
	}
	defer p.untrack(to)
	var both sync.WaitGroup
	both.Go(func() { p.copyWhileOpen(to, from, func(s LinkState) bool { return s.HoldToTarget }) })
	both.Go(func() { p.copyWhileOpen(from, to, func(s LinkState) bool { return s.HoldFromTarget }) })
	both.Wait()
}

// copyWhileOpen copies data from src to dst until either side ends. holds reports whether a
// link state holds back this direction.
func (p *Proxy) copyWhileOpen(dst, src net.Conn, holds func(LinkState) bool) {
	data := make([]byte, chunkBytes)
	for {
		n, err := src.Read(data)
		if !p.waitToPass(holds) {
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
			p.propagateEnd(dst, err)
			return
		}
	}
}

// propagateEnd ends dst in the way that the source ended: by a half-close after io.EOF, else
// by a reset.
func (p *Proxy) propagateEnd(dst net.Conn, err error) {
	tcp, ok := dst.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite() // fails only if already closed
		return
	}
	abort(dst)
}

// waitToPass waits until the link lets a chunk through. It returns false once the proxy is
// closed.
func (p *Proxy) waitToPass(holds func(LinkState) bool) bool {
	delayed := false
	for {
		p.mu.Lock()
		s, changed, closed := p.state, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case holds(s):
			<-changed
		case s.Delay > 0 && !delayed:
			delayed = true
			time.Sleep(s.Delay)
		default:
			return true
		}
	}
}
