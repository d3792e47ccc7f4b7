package instance

import (
	"net"
	"sync"
)

// sharedListener lets one http.Server after another accept from one listener:
// the bounds of a server can't change once it serves.
type sharedListener struct {
	net.Listener
	accepted chan net.Conn
	failed   chan error
}

func newSharedListener(l net.Listener) *sharedListener {
	s := &sharedListener{Listener: l, accepted: make(chan net.Conn), failed: make(chan error, 1)}
	go s.run()
	return s
}

// run accepts until the listener is closed.
func (s *sharedListener) run() {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			s.failed <- err
			return
		}
		s.accepted <- c
	}
}

// turn returns a listener that accepts until it is closed, and leaves the
// shared one open.
func (s *sharedListener) turn() net.Listener {
	return &listenerTurn{shared: s, over: make(chan struct{})}
}

type listenerTurn struct {
	shared *sharedListener
	once   sync.Once
	over   chan struct{}
}

// Accept implements net.Listener.
func (t *listenerTurn) Accept() (net.Conn, error) {
	select {
	case <-t.over:
		return nil, net.ErrClosed
	case err := <-t.shared.failed:
		return nil, err
	case c := <-t.shared.accepted:
		return c, nil
	}
}

// Close implements net.Listener.
func (t *listenerTurn) Close() error {
	t.once.Do(func() { close(t.over) })
	return nil
}

// Addr implements net.Listener.
func (t *listenerTurn) Addr() net.Addr { return t.shared.Addr() }
