package infra

import (
	"bytes"
	"context"
	"net/http"

	"greengageferry/netconn"
)

// Headers exchanged with plain services.
const (
	// HeaderAttempt is the request header with the attempt's id.
	HeaderAttempt = "Greengageferry-Attempt"
	// HeaderRefused is the response header by which a backend server reports that it
	// refused the call before starting it. Its value is a Reason.
	HeaderRefused = "Greengageferry-Refused"
)

// HTTPServices implements Services over HTTP.
type HTTPServices struct {
	httpClient httpClient
}

var _ Services = (*HTTPServices)(nil)

// NewHTTPServices returns Services over a transport that sends each call at most once:
// whether a call may be repeated is its caller's decision.
func NewHTTPServices(transport *netconn.Transport) *HTTPServices {
	return &HTTPServices{httpClient: newHTTPClient(&http.Client{Transport: transport})}
}

// Call implements Services. The context also bounds the reading of the response body.
func (s *HTTPServices) Call(ctx context.Context, addr string, req ServiceRequest) (*ServiceAnswer, error) {
	k := call{op: "service.call", addr: addr}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+addr+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, &Error{Op: k.op, Addr: k.addr, Reason: ReasonBadRequest, Effect: EffectNone, Err: err}
	}
	if req.Header != nil {
		r.Header = req.Header.Clone()
	}
	r.Header.Set(HeaderAttempt, req.Attempt)
	res, err := s.httpClient.do(r, k)
	if err != nil {
		return nil, err
	}
	if reason := res.Header.Get(HeaderRefused); reason != "" {
		res.Body.Close()
		return nil, &Error{Op: k.op, Addr: k.addr, Reason: Reason(reason), Effect: EffectNone, Err: &StatusError{Status: res.StatusCode}}
	}
	return &ServiceAnswer{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}
