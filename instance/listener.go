package instance

import (
	"net"
	"sync"
)

// sharedListener lets several http.Servers accept from one listener, one after the other.
// The limits of an http.Server can't change while it serves, so new limits need a new
// server.
type sharedListener struct {
	net.Listener
	accepted    chan net.Conn
	acceptError chan error
}

func newSharedListener(l net.Listener) *sharedListener {
	s := &sharedListener{Listener: l, accepted: make(chan net.Conn), acceptError: make(chan error, 1)}
	go s.acceptLoop()
	return s
}

// acceptLoop accepts connections until the listener is closed.
func (s *sharedListener) acceptLoop() {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			s.acceptError <- err
			return
		}
		s.accepted <- c
	}
}

// child returns a listener that accepts shared connections until it is closed. Closing it
// leaves the shared listener open.
func (s *sharedListener) child() net.Listener {
	return &childListener{shared: s, closed: make(chan struct{})}
}

type childListener struct {
	shared    *sharedListener
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *childListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case err := <-l.shared.acceptError:
		return nil, err
	case c := <-l.shared.accepted:
		return c, nil
	}
}

// Close implements net.Listener.
func (l *childListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *childListener) Addr() net.Addr { return l.shared.Addr() }
