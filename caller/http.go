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
	"greengageferry/netconn"
)

// The paths of the callers' interface.
const (
	pathModels      = "/v1/models"
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathServices    = "/services/"
)

// Limits of the callers' HTTP server. If a header arrives too slowly, net/http
// closes the connection without an answer; all other requests are answered.
const (
	// HeaderReadTimeout is the time within which a request's header must arrive.
	HeaderReadTimeout = 5 * time.Second
	// KeepAliveTimeout is how long a connection may wait for its next request. It is
	// longer than a load balancer's usual 60 s, so that the balancer closes first.
	KeepAliveTimeout = 90 * time.Second
	// HeaderSizeLimit is many times the largest header of this interface.
	HeaderSizeLimit = 16 << 10
)

// ConfigureHTTPServer sets the timeouts and limits of a server for Handler, and that the handler
// knows its connections.
func ConfigureHTTPServer(h *http.Server) {
	h.ReadHeaderTimeout = HeaderReadTimeout
	h.IdleTimeout = KeepAliveTimeout
	h.MaxHeaderBytes = HeaderSizeLimit
	h.ConnContext = netconn.ConnContext
}

// serve answers one request. Every failure, a panic included, is answered with a
// typed problem.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c := &call{
		id:         newID(),
		arrived:    now,
		deadline:   now.Add(s.opts.Limits.MaxTimeout),
		idempotent: true,
		decisions:  make(chan decide.Decision, decisionBuffer),
	}
	rw := s.newResponse(w, c)
	rw.bodyUnread = r.ContentLength != 0
	if p := s.admit(); p != nil {
		w.Header().Set("Connection", "close") // so that the load balancer selects another instance
		rw.problem(p)
		s.logEnd(c, p)
		return
	}
	defer s.workTracker.done()
	defer s.recoverHandler(c, rw)
	// The write deadline must not apply to later requests on the connection.
	defer func() { _ = rw.rc.SetWriteDeadline(time.Time{}) }()
	p := s.route(rw, c, r)
	if p != nil && !rw.started {
		rw.problem(p)
	}
	s.logEnd(c, p)
	if rw.mustAbort {
		panic(http.ErrAbortHandler)
	}
}

// admit counts a request in flight, or returns the problem of a refused one.
func (s *Server) admit() *api.Problem {
	switch s.workTracker.admit(s.opts.Limits.ConcurrentRequests) {
	case shuttingDown:
		return unavailable(string(decide.ReasonShuttingDown), "the instance is shutting down", shortRetryAfter)
	case tooManyRequests:
		return unavailable(CodeTooManyRequests, "the instance has too many requests in hand", shortRetryAfter)
	}
	return nil
}

// recoverHandler answers a request whose handler panicked outside of run.
func (s *Server) recoverHandler(c *call, rw *response) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v) // intentional: a truncated answer must not look complete
	}
	s.opts.Log.WithFields(logrus.Fields{"request": c.id, "panic": v, "stack": string(debug.Stack())}).Error("handler panicked")
	if rw.started {
		panic(http.ErrAbortHandler)
	}
	p := c.problem(http.StatusInternalServerError, api.TypeServer, CodeInternal, "an internal fault", shortRetryAfter)
	rw.problem(p)
	s.logEnd(c, p)
}

// route authenticates the request and passes it to the handler of its path. It
// returns the request's problem, which may already have been written, or nil.
func (s *Server) route(rw *response, c *call, r *http.Request) *api.Problem {
	sender, p := s.authenticate(r)
	if p != nil {
		return p
	}
	c.sender = sender
	switch path := r.URL.Path; {
	case path == pathModels:
		return s.serveModels(rw, c, r)
	case path == pathCompletions:
		return s.serveModel(rw, c, r, api.Completion)
	case path == pathChat:
		return s.serveModel(rw, c, r, api.Chat)
	case strings.HasPrefix(path, pathServices):
		return s.serveService(rw, c, r)
	}
	return &api.Problem{
		Status:  http.StatusNotFound,
		Type:    api.TypeNotFound,
		Code:    CodeNoSuchPath,
		Message: "there is nothing at this path",
		Outcome: api.OutcomeNotRun,
	}
}

// readBody reads a request's body within the limits of size and time.
func (s *Server) readBody(rw *response, r *http.Request) ([]byte, *api.Problem) {
	limits := s.opts.Limits
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, bodyTooLarge()
	}
	_ = rw.rc.SetReadDeadline(time.Now().Add(limits.BodyReadTimeout)) // not all connections support deadlines
	body, err := readAll(http.MaxBytesReader(rw.w, r.Body, int64(limits.BodyBytes)), r.ContentLength)
	if err != nil {
		return nil, bodyReadProblem(err)
	}
	rw.bodyUnread = false
	// net/http keeps reading to detect a disconnect, which needs no deadline.
	_ = rw.rc.SetReadDeadline(time.Time{})
	return body, nil
}

// maxPreallocatedBytes limits the buffer allocated before a body arrives: a
// declared Content-Length alone must not consume memory.
const maxPreallocatedBytes = 64 << 10

// readAll reads all of r. length is the declared Content-Length, -1 if unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocatedBytes {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func bodyTooLarge() *api.Problem {
	return invalid(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is too large")
}

func bodyReadProblem(err error) *api.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bodyTooLarge()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invalid(http.StatusRequestTimeout, CodeBodyTooSlow, "the body took too long to arrive")
	}
	return invalid(http.StatusBadRequest, CodeBodyBroken, "the body could not be read")
}

// callContexts returns the context in which a call runs and the context of the
// connection to its caller. Both end at the call's deadline. callerCtx also ends
// when the caller disconnects, and so does ctx unless the call is claimed.
func callContexts(r *http.Request, c *call, isClaimed bool) (ctx, callerCtx context.Context, cancel func()) {
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
