package instance

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetryPause is the pause after a connection could not be accepted, mostly for want of file
// descriptors.
const acceptRetryPause = 20 * time.Millisecond

// sharedListener lets several http.Servers accept from one listener, one after the other.
// The limits of an http.Server can't change while it serves, so new limits need a new
// server.
type sharedListener struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{} // closed once the listener is
	onError  func(error)   // called when a connection could not be accepted, and with nil when one is accepted after that
}

func newSharedListener(l net.Listener, onError func(error)) *sharedListener {
	s := &sharedListener{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{}), onError: onError}
	go s.acceptLoop()
	return s
}

// acceptLoop accepts connections until the listener is closed. Any other error passes.
func (s *sharedListener) acceptLoop() {
	defer close(s.closed)
	failing := false
	for {
		c, err := s.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			failing = true
			s.onError(err)
			time.Sleep(acceptRetryPause)
			continue
		case failing:
			failing = false
			s.onError(nil)
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
	case <-l.shared.closed:
		return nil, net.ErrClosed
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
