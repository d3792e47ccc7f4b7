package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/caller"
)

// closeTimeout is how long connections may take to close by themselves at shutdown, after
// the requests in flight have ended.
const closeTimeout = 2 * time.Second

// listener is a duty that serves one of the instance's addresses.
type listener struct {
	name    string
	net     net.Listener
	handler http.Handler
}

// ListenError reports that listening or serving on an address failed.
type ListenError struct {
	Name string // callers, peers or operators
	Addr string
	Err  error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen for " + e.Name + " on " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listen opens a TCP listener on addr.
func listen(name, addr string, handler http.Handler) (*listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Name: name, Addr: addr, Err: err}
	}
	return &listener{name: name, net: l, handler: handler}, nil
}

// addr returns the address that the listener is bound to, as IP:port.
func (l *listener) addr() string { return l.net.Addr().String() }

// run serves until ctx ends and then closes the listener.
func (l *listener) run(ctx context.Context) error {
	server := &http.Server{Handler: l.handler}
	caller.ConfigureHTTPServer(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l.net) }()
	select {
	case err := <-served:
		return &ListenError{Name: l.name, Addr: l.addr(), Err: err}
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		_ = server.Close() // cuts the connections that are still open at the timeout
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return &ListenError{Name: l.name, Addr: l.addr(), Err: err}
	}
	return nil
}
