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

// maxBodyBytes bounds a request's body: an append of the largest checkpoint in
// base64 is well under it.
const maxBodyBytes = 16 << 20

// headerTimeout bounds how long a connection may take over a request's header.
const headerTimeout = 10 * time.Second

// Standin is what every stand-in is: a handler, and a duty that Run carries out.
type Standin interface {
	http.Handler
	// Run works until ctx ends and then returns nil.
	Run(ctx context.Context) error
}

// breaker is a stand-in that breaks its connections by itself, as when its
// process dies.
type breaker interface {
	onBreak(f func())
}

// ListenError says that a stand-in could not listen.
type ListenError struct {
	Addr  string
	Cause string
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %s", e.Addr, e.Cause) }

// Server serves one stand-in on a loopback address.
type Server struct {
	addr   string
	cancel context.CancelFunc
	group  *errgroup.Group
	http   *http.Server

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

// Start serves the stand-in on a loopback address such as 127.0.0.1:0, and runs
// it until Close.
func Start(addr string, s Standin) (*Server, error) {
	if err := checkLoopback(addr); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err.Error()}
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{addr: listener.Addr().String(), cancel: cancel, conns: map[net.Conn]struct{}{}}
	server.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ConnState: server.track}
	if b, ok := s.(breaker); ok {
		b.onBreak(server.Break)
	}
	server.group = &errgroup.Group{}
	server.group.Go(func() error { return s.Run(ctx) })
	server.group.Go(func() error { return server.serve(listener) })
	return server, nil
}

func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return &ListenError{Addr: addr, Cause: err.Error()}
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &ListenError{Addr: addr, Cause: "not a loopback IP number"}
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

// Addr returns the address that it listens on, as IP:port.
func (s *Server) Addr() string { return s.addr }

// URL returns its base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Break breaks all its connections.
func (s *Server) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// SetDown has it break all connections, new ones too, until set to false. The
// address stays its own.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.Break()
	}
}

// Close ends the stand-in and breaks its connections.
func (s *Server) Close() error {
	s.cancel()
	s.http.Close()
	return s.group.Wait()
}

func (s *Server) track(c net.Conn, state http.ConnState) {
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

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a request's body, or answers that it can't.
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

// writeError answers with a refusal, or breaks the connection if the error says
// that the answer is lost.
func writeError(w http.ResponseWriter, err error, bounds infra.Batch) {
	var broken *LostError
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
	w.WriteHeader(statusOf(body.Reason))
	_ = json.NewEncoder(w).Encode(body)
}

// answer writes nothing but success, or the error.
func answer(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// idle is the duty of a stand-in that only answers calls.
func idle(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
