package infra

import (
	"bytes"
	"context"
	"io"
	"net/http"
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

// NewHTTPServices returns Services that use the client.
func NewHTTPServices(client *http.Client) *HTTPServices {
	return &HTTPServices{httpClient: newHTTPClient(client)}
}

// Call implements Services. The context also bounds the reading of the response body.
func (s *HTTPServices) Call(ctx context.Context, addr string, req ServiceRequest) (*ServiceAnswer, error) {
	k := call{op: "service.call", addr: addr}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+addr+req.Path, nonReplayableBody{bytes.NewReader(req.Body)})
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

// nonReplayableBody keeps the HTTP transport from retrying a request by itself. After a
// broken connection the transport retries a request whose method is idempotent or that has
// an Idempotency-Key, if its body is empty or can be rewound. This type hides both facts
// about the body: the transport must not decide whether a call may be repeated.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }
