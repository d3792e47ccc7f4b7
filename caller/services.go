package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"greengageferry/caller/api"
	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/hop"
	"greengageferry/internal/stall"
)

// serviceHeld is how much of a service's answer is read before any of it goes
// to the caller: a shorter one whose connection breaks can be asked for again.
const serviceHeld = 64 << 10

// ownHeaders are for this system alone, or set anew for the service: a caller's
// key must not reach it.
var ownHeaders = []string{"Authorization", "Content-Length", "Host"}

const ownHeaderPrefix = "Greengageferry-"

// serveService passes a call on to a plain service.
func (s *Server) serveService(k *sink, c *call, r *http.Request) *api.Problem {
	w, p := s.parseWishes(r.Header)
	if p != nil {
		return p
	}
	name, below, p := servicePath(r)
	if p != nil {
		return p
	}
	t, p := s.target(c, name, true)
	if p != nil {
		return p
	}
	body, p := s.readBody(k, r)
	if p != nil {
		return p
	}
	c.target = t
	if !mayRepeat(r.Method, below, s.opts.Directory.Config().Services[name]) {
		w.nonIdempotent = true
	}
	c.setWishes(w, t, s.opts.Limits.MaxTimeout)
	c.promptBytes = len(body)
	c.fingerprint = digest([]byte(c.who.partner), []byte(name), []byte(r.Method), []byte(below), []byte(r.URL.RawQuery), body)
	if p := s.quarantined(c); p != nil {
		return p
	}
	j := &serviceJob{server: s, call: c, sink: k, request: serviceRequest(r, name, body)}
	if w.key == "" {
		ctx, _, cancel := within(r, c, false)
		defer cancel()
		return s.serveOnce(ctx, c, j)
	}
	ctx, callerCtx, cancel := within(r, c, true)
	defer cancel()
	return s.serveClaimed(ctx, callerCtx, c, k, j, claimed{key: w.key, fingerprint: c.fingerprint})
}

// servicePath returns the service's name and the path below it, decoded and
// clean. A path with dot segments is refused: what the service takes it for
// can't be known, and so neither whether it may be repeated.
func servicePath(r *http.Request) (name, below string, p *api.Problem) {
	name, below, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, pathServices), "/")
	for _, segment := range strings.Split(below, "/") {
		if segment == "." || segment == ".." {
			return "", "", api.Invalid(CodeBadPath, "the path must have no dot segments")
		}
	}
	return name, path.Clean("/" + below), nil
}

// mayRepeat says whether the call is idempotent: by its method, as HTTP says,
// and by the service's configuration.
func mayRepeat(method, below string, cfg config.Service) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
	default:
		return false
	}
	for _, rule := range cfg.NonIdempotent {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == method && strings.HasPrefix(below, strings.TrimSpace(prefix)) {
			return false
		}
	}
	return true
}

func serviceRequest(r *http.Request, name string, body []byte) infra.ServiceRequest {
	p := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
	_, below, _ := strings.Cut(p, "/")
	target := "/" + below
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return infra.ServiceRequest{Method: r.Method, Path: target, Header: passedOn(r.Header), Body: body}
}

// passedOn returns the headers that go on to the other side.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	hop.RemoveHeaders(out)
	for _, name := range ownHeaders {
		delete(out, name)
	}
	for name := range out {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}

// serviceJob passes a call on to a plain service.
type serviceJob struct {
	server  *Server
	call    *call
	sink    *sink
	request infra.ServiceRequest
	asked   bool // it was dispatched before
}

func (j *serviceJob) attempt(ctx context.Context, d decide.Decision) (decide.Outcome, *attemptError) {
	began := time.Now()
	req := j.request
	req.Attempt = newID()
	dog := stall.Watch(ctx, j.call.serviceLimit(began), j.call.idempotent && !j.asked)
	defer dog.Stop()
	j.asked = true
	a, err := j.server.opts.Services.Call(dog.Context(), d.Server.Addr, req)
	if err != nil {
		return decide.Outcome{Total: time.Since(began)}, judge(dog.Context(), &attemptError{failure: failureOf(err), err: err})
	}
	dog.Disarm(0) // it has begun to answer: it may take its time
	defer func() { _ = a.Body.Close() }()
	first := time.Since(began)
	aerr := j.passBack(a)
	return decide.Outcome{Complete: aerr == nil, FirstToken: first, Total: time.Since(began)}, aerr
}

// passBack gives the service's answer to the caller. Up to serviceHeld bytes
// are read before any goes out, unless the service sends events as they come.
func (j *serviceJob) passBack(a *infra.ServiceAnswer) *attemptError {
	hold := int64(serviceHeld)
	if strings.HasPrefix(a.Header.Get("Content-Type"), contentEvents) {
		hold = 0
	}
	var held bytes.Buffer
	_, err := io.CopyN(&held, a.Body, hold)
	if err != nil && err != io.EOF {
		return brokenBody(err)
	}
	whole := err == io.EOF
	h := j.sink.w.Header()
	for name, values := range passedOn(a.Header) {
		h[name] = values
	}
	j.sink.start(a.Status, a.Header.Get("Content-Type"))
	if err := j.sink.write(held.Bytes()); err != nil {
		return asAttemptError(err)
	}
	if whole {
		return nil
	}
	if err := j.sink.flush(); err != nil {
		return asAttemptError(err)
	}
	return j.passRest(a.Body)
}

// passRest streams what is left. A body that breaks now can't be repeated.
func (j *serviceJob) passRest(body io.Reader) *attemptError {
	buf := make([]byte, serviceHeld)
	for {
		n, err := body.Read(buf)
		if werr := j.sink.write(buf[:n]); werr != nil {
			return asAttemptError(werr)
		}
		if werr := j.sink.flush(); werr != nil {
			return asAttemptError(werr)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			e := brokenBody(err)
			e.final = j.call.serverProblem(CodeServerFailed, "the service's answer broke off")
			return e
		}
	}
}

func brokenBody(err error) *attemptError {
	f := failureOf(err)
	f.Effect = infra.EffectUnknown // it had begun to answer
	if f.Reason == infra.ReasonProtocol {
		f.Reason = infra.ReasonUnreachable
	}
	return &attemptError{failure: f, err: err}
}

// fail tells the problem, or, where a part of the answer has gone out, breaks
// the connection, so that it can't be taken for a whole one.
func (j *serviceJob) fail(p *api.Problem) {
	if !j.sink.started {
		j.sink.problem(p)
		return
	}
	j.sink.broken = true
}
