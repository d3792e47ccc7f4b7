package infra

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// Headers between this system and plain services.
const (
	// HeaderAttempt carries the attempt's id to a plain service.
	HeaderAttempt = "Greengageferry-Attempt"
	// HeaderRefused comes with an answer by which a plain service's backend
	// server refuses a call before it starts; its value is a Reason.
	HeaderRefused = "Greengageferry-Refused"
)

// HTTPServices is Services over HTTP.
type HTTPServices struct {
	caller caller
}

var _ Services = (*HTTPServices)(nil)

// NewHTTPServices returns Services that call through the client.
func NewHTTPServices(client *http.Client) *HTTPServices {
	return &HTTPServices{caller: newCaller(client)}
}

// Call implements Services. The context bounds the reading of the body too.
func (s *HTTPServices) Call(ctx context.Context, addr string, req ServiceRequest) (*ServiceAnswer, error) {
	k := call{op: "service.call", addr: addr}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+addr+req.Path, onceBody{bytes.NewReader(req.Body)})
	if err != nil {
		return nil, &Error{Op: k.op, Addr: k.addr, Reason: ReasonBadRequest, Effect: EffectNone, Err: err}
	}
	if len(req.Body) > 0 {
		r.ContentLength = int64(len(req.Body))
	}
	if req.Header != nil {
		r.Header = req.Header.Clone()
	}
	r.Header.Set(HeaderAttempt, req.Attempt)
	res, err := s.caller.do(r, k)
	if err != nil {
		return nil, err
	}
	if reason := res.Header.Get(HeaderRefused); reason != "" {
		res.Body.Close()
		return nil, &Error{Op: k.op, Addr: k.addr, Reason: Reason(reason), Effect: EffectNone, Err: &StatusError{Status: res.StatusCode}}
	}
	return &ServiceAnswer{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

// onceBody hides from the HTTP transport that the body could be sent again:
// the transport repeats a request by itself on a broken connection if its
// method is idempotent or it bears an Idempotency-Key and its body is absent or
// can be rewound. Whether a call may be repeated isn't the transport's to say.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }
