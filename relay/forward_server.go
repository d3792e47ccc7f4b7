package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/infra"
	"greengageferry/internal/hop"
	"greengageferry/internal/respbody"
	"greengageferry/netconn"
)

const (
	// forwardConnectTimeout is how long another instance's attempt waits here for a
	// connection to its server. The other instance has waited before and may ask a third.
	forwardConnectTimeout = 200 * time.Millisecond
	// maxForwards bounds the attempts that are forwarded at a time. The few instances that
	// still reach servers have callers of their own.
	maxForwards = 1024
)

// ForwardServer sends other instances' attempts on to servers that these can't reach. It
// only carries them: the instance that has the caller decides, retries and counts.
type ForwardServer struct {
	relay     *Relay
	otherwise http.Handler // requests that are not attempts to forward
	active    atomic.Int64
}

// NewForwardServer returns a handler that passes all other requests to otherwise.
func (r *Relay) NewForwardServer(otherwise http.Handler) *ForwardServer {
	return &ForwardServer{relay: r, otherwise: otherwise}
}

// Active returns how many attempts are being forwarded.
func (f *ForwardServer) Active() int { return int(f.active.Load()) }

// ServeHTTP implements http.Handler. The ConnContext of its http.Server must be
// netconn.ConnContext.
func (f *ForwardServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerForwardTo)
	if id == "" {
		f.otherwise.ServeHTTP(w, req)
		return
	}
	w.Header().Set(headerForwarded, "1")
	server, ok := f.relay.inServiceServer(id)
	if !ok || !f.relay.paths.direct(id) || f.relay.draining() {
		writeForwardError(w, infra.ReasonUnavailable, true)
		return
	}
	if age := req.Header.Get(headerForwardCheck); age != "" {
		verdict := f.relay.crashes.judge(server, time.Now().Add(-brokenFor(age)))
		w.Header().Set(headerForwardCheck, crashVerdictNames[verdict])
		return
	}
	asked := takeGatewayRequest(req.Header)
	if asked.limit.PerSecond > 0 {
		f.relay.gateways.observe(server.Pool, asked.limit.PerSecond, time.Now().Add(-asked.limit.Age), "instance")
	}
	if f.active.Add(1) > maxForwards {
		f.active.Add(-1)
		writeForwardError(w, infra.ReasonOverloaded, true)
		return
	}
	defer f.active.Add(-1)
	held := requestOverhead + max(req.ContentLength, 0)
	if !f.relay.memory.reserve(held) {
		writeForwardError(w, infra.ReasonOverloaded, true)
		return
	}
	defer f.relay.memory.release(held)
	if !f.readBody(w, req) {
		writeForwardError(w, infra.ReasonUnreachable, true)
		return
	}
	if f.relay.draining() { // since the headers arrived
		writeForwardError(w, infra.ReasonUnavailable, true)
		return
	}
	f.forwardWithinLimit(w, req, server, asked)
}

// readBody reads an attempt's whole body within the attempt's own time, and reduces that by the time
// taken. It returns false if the body is incomplete. Instances send its length; one without is left as
// it is.
func (f *ForwardServer) readBody(w http.ResponseWriter, req *http.Request) bool {
	if req.ContentLength <= 0 {
		return true
	}
	began, headers := time.Now(), f.relay.opts.Headers
	remaining := headers.RequestHeaders(req.Header).Timeout
	if remaining > 0 {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(began.Add(remaining)) // always supported by net/http connections
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	if remaining > 0 {
		headers.SetRemaining(req.Header, remaining-time.Since(began))
	}
	return true
}

// forwardWithinLimit forwards an attempt once its server's refusal limit, if there is one, permits.
func (f *ForwardServer) forwardWithinLimit(w http.ResponseWriter, req *http.Request, server decide.Server, asked gatewayRequest) {
	limit, known := f.relay.gateways.limitOf(server)
	if limit == 0 || !known && !asked.asGateway {
		f.forward(w, req, server, nil)
		return
	}
	p := f.relay.gateways.admit(req.Context(), server, sendRequest{limit: limit, askedLimit: asked.limitOr(limit), mayWait: asked.mayWait})
	if p == nil {
		writeForwardError(w, infra.ReasonOverloaded, true)
		return
	}
	defer p.release(gateway.Abandoned) // unless it was released before
	f.forward(w, req, server, p)
}

// takeGatewayRequest removes from the headers what asks this instance as a gateway. The limit is
// zero if the instance that asks knows of none.
func takeGatewayRequest(h http.Header) gatewayRequest {
	limit, age, _ := strings.Cut(h.Get(headerForwardLimit), ",")
	perSecond, limitErr := strconv.Atoi(limit)
	ageMS, ageErr := strconv.Atoi(age)
	g := gatewayRequest{asGateway: limit != "", mayWait: h.Get(headerForwardWait) != ""}
	if limitErr == nil && ageErr == nil && perSecond > 0 && ageMS >= 0 {
		g.limit = gateway.Limit{PerSecond: perSecond, Age: time.Duration(ageMS) * time.Millisecond}
	}
	h.Del(headerForwardLimit)
	h.Del(headerForwardWait)
	return g
}

// limitOr returns the limit by which the instance that asks chose this one, or the given one if it
// didn't choose a gateway.
func (g gatewayRequest) limitOr(limit int) int {
	if !g.asGateway {
		return limit
	}
	return cmp.Or(g.limit.PerSecond, gateway.AssumedLimit)
}

// brokenFor decodes how long ago a connection broke. A check that says nothing usable is about
// one that has just broken.
func brokenFor(value string) time.Duration {
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, maxBrokenForMS)) * time.Millisecond
}

// maxBrokenForMS bounds how long ago, in milliseconds, a connection may have broken: longer
// than its instance waits for the check.
const maxBrokenForMS = 1000

// forward sends the attempt to the server and copies the response. The permit is nil if the
// server needs none.
func (f *ForwardServer) forward(w http.ResponseWriter, req *http.Request, s decide.Server, p *sendPermit) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	id := f.relay.opts.Headers.RequestHeaders(req.Header).ID
	repeat := takeRepeat(req.Header)
	var sending netconn.Sending
	sendCtx := netconn.WhileCallerStays(sending.Record(connectWithin(ctx, cancel)), req.Context(), cancel)
	res, err := infra.Send("forward", s.Addr, f.relay.backends.get(s.ID, s.Addr, repeat).RoundTrip, forwardRequest(sendCtx, req, s))
	if err != nil {
		if p != nil {
			p.releaseFailed(ctx, err)
		}
		var e *infra.Error
		errors.As(err, &e)
		writeForwardError(w, e.Reason, e.Effect == infra.EffectNone)
		return
	}
	defer res.Body.Close()
	headers := f.relay.headersOf(res, id)
	if headers.RequestID == id {
		f.relay.backends.handleResponse(s.ID, res.Header)
	} else {
		sending.CloseConnection()
	}
	if p != nil {
		p.releaseWith(res, headers)
	}
	check := f.relay.beginEndCheck(s, &sending, respbody.Watch(res))
	defer check.close()
	copyResponse(w, res, check)
}

// takeRepeat removes from the headers how often the request was sent to the server before, and
// returns it.
func takeRepeat(h http.Header) int {
	repeat, err := strconv.Atoi(h.Get(headerForwardRepeat))
	h.Del(headerForwardRepeat)
	if err != nil || repeat < 0 {
		return 0 // absent
	}
	return repeat
}

// connectWithin returns a context that ends if its request has no connection after
// forwardConnectTimeout.
func connectWithin(ctx context.Context, cancel context.CancelCauseFunc) context.Context {
	timer := time.AfterFunc(forwardConnectTimeout, func() { cancel(context.DeadlineExceeded) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { timer.Stop() }})
}

// forwardRequest returns the request to send to the server.
func forwardRequest(ctx context.Context, in *http.Request, s decide.Server) *http.Request {
	out := in.Clone(ctx)
	out.RequestURI = ""
	out.URL, _ = targetURL(s.Addr, in.RequestURI) // the instance that asks has checked that it can be sent
	hop.RemoveHeaders(out.Header)
	out.Header.Del(headerForwardTo)
	if len(out.Header["User-Agent"]) == 0 {
		out.Header["User-Agent"] = []string{""} // the caller sent none: keeps net/http from adding its own
	}
	return out
}

// copyResponse sends the server's response on as it arrives. If it breaks off, the
// connection is closed, so that it can't be taken for complete.
func copyResponse(w http.ResponseWriter, res *http.Response, check *endCheck) {
	h := w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	hop.RemoveHeaders(h)
	h.Set(headerForwarded, "1")
	h.Set(headerForwardFraming, string(respbody.Watch(res).Framing()))
	h.Del(headerForwardError)
	h.Del(headerForwardEnd)
	if check.needed() {
		h.Set("Trailer", headerForwardEnd)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps net/http from adding one
		}
	}
	w.WriteHeader(res.StatusCode)
	flush := http.NewResponseController(w)
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := res.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil || flush.Flush() != nil {
				panic(http.ErrAbortHandler) // the other instance is gone
			}
		}
		if err == io.EOF || isNoEvent(err) { // the instance that asks knows what no event means
			if check.needed() {
				h.Set(headerForwardEnd, crashVerdictNames[check.verdict()])
			}
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// writeForwardError reports that the response isn't the server's.
func writeForwardError(w http.ResponseWriter, reason infra.Reason, unsent bool) {
	w.Header().Set(headerForwardError, string(reason))
	if unsent {
		w.Header().Set(headerForwardUnsent, "1")
	}
	w.WriteHeader(http.StatusBadGateway)
}
