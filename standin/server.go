package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
)

// maxBodyBytes limits a request body. An append of the largest checkpoint, in
// base64, is well below the limit.
const maxBodyBytes = 16 << 20

// headerTimeout limits how long a client may take to send a request's header.
const headerTimeout = 10 * time.Second

// Fake is implemented by every fake: an HTTP handler and its background work.
type Fake interface {
	http.Handler
	// Run does the background work until ctx ends and then returns nil.
	Run(ctx context.Context) error
}

// connCloser is implemented by a fake that closes its server's connections
// itself, for example when its simulated process dies.
type connCloser interface {
	// setCloseConnections sets the function that closes the connections.
	setCloseConnections(f func())
}

// ListenError reports that a fake could not listen on Addr.
type ListenError struct {
	Addr  string
	Cause string
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %s", e.Addr, e.Cause) }

// Server serves one fake on a loopback address.
type Server struct {
	addr   string
	cancel context.CancelFunc
	group  *errgroup.Group
	http   *http.Server

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

// Start serves the fake on a loopback address such as 127.0.0.1:0 and runs it
// until Close.
func Start(addr string, s Fake) (*Server, error) {
	if err := checkLoopback(addr); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err.Error()}
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{addr: listener.Addr().String(), cancel: cancel, conns: map[net.Conn]struct{}{}}
	server.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ConnState: server.trackConn}
	if b, ok := s.(connCloser); ok {
		b.setCloseConnections(server.CloseConnections)
	}
	server.group = &errgroup.Group{}
	server.group.Go(func() error { return s.Run(ctx) })
	server.group.Go(func() error { return server.serve(listener) })
	return server, nil
}

// checkLoopback returns an error unless addr is a loopback IP with a port.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return &ListenError{Addr: addr, Cause: err.Error()}
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &ListenError{Addr: addr, Cause: "not a loopback IP address"}
	}
	return nil
}

func (s *Server) serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Addr returns the address that the server listens on, as IP:port.
func (s *Server) Addr() string { return s.addr }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// CloseConnections closes all open connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// SetDown sets whether the server closes all its connections, including new
// ones. The server keeps its address while it is down.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.CloseConnections()
	}
}

// Close stops the fake, closes its connections and returns the first error.
func (s *Server) Close() error {
	s.cancel()
	s.http.Close()
	return s.group.Wait()
}

// trackConn is the http.Server's ConnState hook. It keeps conns up to date and closes
// new connections while the server is down.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.down {
			c.Close()
		}
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// writeJSON writes v as the JSON response body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the request body into v. If that fails, readJSON responds with
// ReasonBadRequest and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err == nil {
		return true
	}
	writeError(w, &infra.Error{Reason: infra.ReasonBadRequest, Effect: infra.EffectNone, Err: err}, infra.Batch{})
	return false
}

// writeError responds with the error and the stream's bounds. If the error's cause
// is a ConnectionBrokenError, writeError breaks the connection instead.
func writeError(w http.ResponseWriter, err error, bounds infra.Batch) {
	var broken *ConnectionBrokenError
	if errors.As(err, &broken) {
		panic(http.ErrAbortHandler)
	}
	body := infra.ErrorBody{Reason: infra.ReasonUnavailable, Effect: infra.EffectUnknown.String(), Message: err.Error()}
	var e *infra.Error
	if errors.As(err, &e) {
		body.Reason = e.Reason
		body.Effect = e.Effect.String()
	}
	body.Oldest, body.Next = bounds.Oldest, bounds.Next
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(body.Reason))
	_ = json.NewEncoder(w).Encode(body)
}

// writeResult responds with an empty success, or with the error.
func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// waitDone is Run for a fake without background work.
func waitDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
