package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/caller/api"
	"greengageferry/decide"
)

// The paths of the callers' interface.
const (
	pathModels      = "/v1/models"
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathServices    = "/services/"
)

// Limits of the callers' HTTP server. Slow headers end the connection without
// an answer, as net/http does; all else is answered.
const (
	// HeaderTime is the time in which a request's header must arrive.
	HeaderTime = 5 * time.Second
	// IdleTime is how long a connection may wait for its next request: longer
	// than a balancer's usual 60 s, so that it is the balancer that closes.
	IdleTime = 90 * time.Second
	// HeaderBytes holds any header of this interface many times over.
	HeaderBytes = 16 << 10
)

// Configure sets the limits of an HTTP server that serves the handler.
func Configure(h *http.Server) {
	h.ReadHeaderTimeout = HeaderTime
	h.IdleTimeout = IdleTime
	h.MaxHeaderBytes = HeaderBytes
}

// serve answers one request. Whatever happens, it is answered in a typed form.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c := &call{
		id:         newID(),
		arrived:    now,
		deadline:   now.Add(s.opts.Limits.MaxTimeout),
		idempotent: true,
		decisions:  make(chan decide.Decision, decisionsHeld),
	}
	k := s.newSink(w, c)
	k.unread = r.ContentLength != 0
	if p := s.enter(); p != nil {
		w.Header().Set("Connection", "close") // so that the balancer finds another instance
		k.problem(p)
		s.conclude(c, p)
		return
	}
	defer s.inHand.leave()
	defer s.recoverServe(c, k)
	// A connection's later requests must not meet this one's deadline.
	defer func() { _ = k.rc.SetWriteDeadline(time.Time{}) }()
	p := s.route(k, c, r)
	if p != nil && !k.started {
		k.problem(p)
	}
	s.conclude(c, p)
	if k.broken {
		panic(http.ErrAbortHandler)
	}
}

// enter takes a request in hand.
func (s *Server) enter() *api.Problem {
	switch s.inHand.enter(s.opts.Limits.Requests) {
	case shuttingDown:
		return notRunYet(string(decide.ReasonShuttingDown), "the instance is shutting down", soon)
	case tooMany:
		return notRunYet(CodeTooMany, "the instance has too many requests in hand", soon)
	}
	return nil
}

// recoverServe answers for a handler that panicked outside a run.
func (s *Server) recoverServe(c *call, k *sink) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v) // meant: the answer must not look whole
	}
	s.opts.Log.WithFields(logrus.Fields{"request": c.id, "panic": v, "stack": string(debug.Stack())}).Error("handler panicked")
	if k.started {
		panic(http.ErrAbortHandler)
	}
	p := c.problem(http.StatusInternalServerError, api.TypeServer, CodeInternal, "an internal fault", soon)
	k.problem(p)
	s.conclude(c, p)
}

// route finds what the request is for. It returns the problem to tell, or that
// was told.
func (s *Server) route(k *sink, c *call, r *http.Request) *api.Problem {
	who, p := s.authenticate(r)
	if p != nil {
		return p
	}
	c.who = who
	switch path := r.URL.Path; {
	case path == pathModels:
		return s.serveModels(k, c, r)
	case path == pathCompletions:
		return s.serveModel(k, c, r, api.Completion)
	case path == pathChat:
		return s.serveModel(k, c, r, api.Chat)
	case strings.HasPrefix(path, pathServices):
		return s.serveService(k, c, r)
	}
	return &api.Problem{
		Status:  http.StatusNotFound,
		Type:    api.TypeNotFound,
		Code:    CodeNoSuchPath,
		Message: "there is nothing at this path",
		Outcome: api.OutcomeNotRun,
	}
}

// readBody reads a request's body within its limits of size and time.
func (s *Server) readBody(k *sink, r *http.Request) ([]byte, *api.Problem) {
	limits := s.opts.Limits
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, bodyTooLarge()
	}
	_ = k.rc.SetReadDeadline(time.Now().Add(limits.BodyTime)) // not all connections have one
	body, err := readAll(http.MaxBytesReader(k.w, r.Body, int64(limits.BodyBytes)), r.ContentLength)
	if err != nil {
		return nil, bodyProblem(err)
	}
	k.unread = false
	// The server reads on to notice that the caller leaves: without a limit.
	_ = k.rc.SetReadDeadline(time.Time{})
	return body, nil
}

// trustedLength is how much room is made for a body before any of it has come:
// a length that is only claimed must not take memory.
const trustedLength = 64 << 10

// readAll reads all of r, which is said to hold length bytes (-1: unknown).
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > trustedLength {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func bodyTooLarge() *api.Problem {
	return invalid(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is too large")
}

func bodyProblem(err error) *api.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bodyTooLarge()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invalid(http.StatusRequestTimeout, CodeBodySlow, "the body took too long to arrive")
	}
	return invalid(http.StatusBadRequest, CodeBodyBroken, "the body could not be read")
}

// within returns the context that a call runs in, and its caller's. Both end at
// the call's deadline; the caller's ends when it leaves, and so does the call's
// unless the call is claimed.
func within(r *http.Request, c *call, isClaimed bool) (ctx, callerCtx context.Context, cancel func()) {
	callerCtx, cancelCaller := context.WithDeadline(r.Context(), c.deadline)
	if !isClaimed {
		return callerCtx, callerCtx, cancelCaller
	}
	ctx, cancelRun := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	return ctx, callerCtx, func() {
		cancelRun()
		cancelCaller()
	}
}
