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
	"greengageferry/internal/digest"
	"greengageferry/internal/hop"
	"greengageferry/internal/stall"
)

// serviceBufferBytes is how much of a service's answer is read before any of it is
// sent to the caller. A shorter answer whose connection breaks can be requested
// again.
const serviceBufferBytes = 64 << 10

// strippedHeaders are not forwarded: a caller's key must not reach the service, and
// the other headers are set for each connection.
var strippedHeaders = []string{"Authorization", "Content-Length", "Host"}

// internalHeaderPrefix starts the names of this system's own headers, which are not
// forwarded either.
const internalHeaderPrefix = "Greengageferry-"

// serveService forwards a call to a plain service.
func (s *Server) serveService(rw *response, c *call, r *http.Request) *api.Problem {
	o, p := s.parseRequestOptions(r.Header)
	if p != nil {
		return p
	}
	name, subpath, p := servicePath(r)
	if p != nil {
		return p
	}
	t, p := s.target(c, name, true)
	if p != nil {
		return p
	}
	body, p := s.readBody(rw, r)
	if p != nil {
		return p
	}
	c.target = t
	if !isIdempotent(r.Method, subpath, s.opts.Directory.Config().Services[name]) {
		o.nonIdempotent = true
	}
	c.applyOptions(o, t, s.opts.Limits.MaxTimeout)
	c.promptBytes = len(body)
	c.fingerprint = digest.Sum([]byte(c.sender.partner), []byte(name), []byte(r.Method), []byte(subpath), []byte(r.URL.RawQuery), body)
	if p := s.checkQuarantine(c); p != nil {
		return p
	}
	j := &serviceJob{server: s, call: c, response: rw, request: serviceRequest(r, name, body)}
	if o.key == "" {
		ctx, _, cancel := callContexts(r, c, false)
		defer cancel()
		return s.serveUnclaimed(ctx, c, j)
	}
	ctx, callerCtx, cancel := callContexts(r, c, true)
	defer cancel()
	return s.serveClaimed(ctx, callerCtx, c, rw, j, claimRequest{key: o.key, fingerprint: c.fingerprint})
}

// servicePath returns the service's name and the decoded, cleaned path below it. A
// path with dot segments is refused: it isn't known how the service resolves them,
// and therefore whether the call is idempotent.
func servicePath(r *http.Request) (name, subpath string, p *api.Problem) {
	name, subpath, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, pathServices), "/")
	for _, segment := range strings.Split(subpath, "/") {
		if segment == "." || segment == ".." {
			return "", "", api.Invalid(CodeBadPath, "the path must have no dot segments")
		}
	}
	return name, path.Clean("/" + subpath), nil
}

// isIdempotent reports whether a call is idempotent by its HTTP method and by the
// rules in the service's configuration.
func isIdempotent(method, subpath string, cfg config.Service) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
	default:
		return false
	}
	for _, rule := range cfg.NonIdempotent {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == method && strings.HasPrefix(subpath, strings.TrimSpace(prefix)) {
			return false
		}
	}
	return true
}

// serviceRequest returns the request to forward, with its path still encoded.
func serviceRequest(r *http.Request, name string, body []byte) infra.ServiceRequest {
	p := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
	_, subpath, _ := strings.Cut(p, "/")
	target := "/" + subpath
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return infra.ServiceRequest{Method: r.Method, Path: target, Header: forwardedHeaders(r.Header), Body: body}
}

// forwardedHeaders returns the headers to forward, without those of the connection
// and of this system.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	hop.RemoveHeaders(out)
	for _, name := range strippedHeaders {
		delete(out, name)
	}
	for name := range out {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(out, name)
		}
	}
	return out
}

// serviceJob is the job of a call to a plain service.
type serviceJob struct {
	server    *Server
	call      *call
	response  *response
	request   infra.ServiceRequest
	attempted bool // an earlier attempt was made
}

func (j *serviceJob) attempt(ctx context.Context, d decide.Decision) (decide.Outcome, *attemptError) {
	began := time.Now()
	req := j.request
	req.Attempt = newID()
	watchdog := stall.Watch(ctx, j.call.serviceTimeout(began), j.call.idempotent && !j.attempted)
	defer watchdog.Stop()
	j.attempted = true
	a, err := j.server.opts.Services.Call(watchdog.Context(), d.Server.Addr, req)
	if err != nil {
		return decide.Outcome{Total: time.Since(began)}, asStall(watchdog.Context(), &attemptError{failure: failureOf(err), err: err})
	}
	watchdog.Disarm(0) // the answer has started, and its body may take long
	defer func() { _ = a.Body.Close() }()
	first := time.Since(began)
	aerr := j.relayAnswer(a)
	return decide.Outcome{Complete: aerr == nil, FirstToken: first, Total: time.Since(began)}, aerr
}

// relayAnswer relays the service's answer to the caller. It buffers up to
// serviceBufferBytes first, unless the answer is an event stream.
func (j *serviceJob) relayAnswer(a *infra.ServiceAnswer) *attemptError {
	limit := int64(serviceBufferBytes)
	if strings.HasPrefix(a.Header.Get("Content-Type"), contentEvents) {
		limit = 0
	}
	var held bytes.Buffer
	_, err := io.CopyN(&held, a.Body, limit)
	if err != nil && err != io.EOF {
		return bodyError(err)
	}
	complete := err == io.EOF
	h := j.response.w.Header()
	for name, values := range forwardedHeaders(a.Header) {
		h[name] = values
	}
	j.response.writeHeader(a.Status, a.Header.Get("Content-Type"))
	if err := j.response.write(held.Bytes()); err != nil {
		return deliveryError(err)
	}
	if complete {
		return nil
	}
	if err := j.response.flush(); err != nil {
		return deliveryError(err)
	}
	return j.relayRemainder(a.Body)
}

// relayRemainder streams the rest of the body. If the body breaks now, the call
// cannot be attempted again.
func (j *serviceJob) relayRemainder(body io.Reader) *attemptError {
	buf := make([]byte, serviceBufferBytes)
	for {
		n, err := body.Read(buf)
		if werr := j.response.write(buf[:n]); werr != nil {
			return deliveryError(werr)
		}
		if werr := j.response.flush(); werr != nil {
			return deliveryError(werr)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			e := bodyError(err)
			e.final = j.call.serverProblem(CodeServerFailed, "the service's answer broke off")
			return e
		}
	}
}

// bodyError returns the error of an answer whose body broke.
func bodyError(err error) *attemptError {
	f := failureOf(err)
	f.Effect = infra.EffectUnknown // the answer had started
	if f.Reason == infra.ReasonProtocol {
		f.Reason = infra.ReasonUnreachable
	}
	return &attemptError{failure: f, err: err}
}

// fail sends the problem. If a part of the answer was already sent, it aborts the
// connection instead, so that the answer cannot be mistaken for a complete one.
func (j *serviceJob) fail(p *api.Problem) {
	if !j.response.started {
		j.response.problem(p)
		return
	}
	j.response.mustAbort = true
}
