package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"greengageferry/internal/respbody"
	"greengageferry/netconn"
)

// Limits on the size of responses, so that no response can exhaust an instance's memory.
const (
	// maxAnswerBytes is the default limit of a JSON response. The status of a server with
	// a few hundred items is under 64 KiB.
	maxAnswerBytes = 4 << 20
	// maxErrorBytes limits the body of an error response.
	maxErrorBytes = 64 << 10
)

// ErrorBody is the JSON body of an error response of the platform's services. The service
// sets Effect to "none" only if it refused the request before starting it.
type ErrorBody struct {
	Reason  Reason `json:"reason"`
	Effect  string `json:"effect"`
	Message string `json:"message,omitempty"`
	// Oldest and Next are set with ReasonOutOfRange, as in Batch.
	Oldest Offset `json:"oldest,omitempty"`
	Next   Offset `json:"next,omitempty"`
}

// StatusError is the cause of an Error if the service responded with an HTTP status other
// than 2xx.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Message
}

// SizeError is the cause of an Error if a response was larger than its limit.
type SizeError struct{ Limit int64 } // in bytes

// Error implements error.
func (e *SizeError) Error() string { return "the answer is larger than its bound" }

// httpClient makes the HTTP calls to one service.
type httpClient struct {
	client *http.Client
}

// newHTTPClient returns an httpClient with a copy of the client that does not follow
// redirects, because a redirect would send a request to a second server.
func newHTTPClient(client *http.Client) httpClient {
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return httpClient{client: &c}
}

// call describes one HTTP call.
type call struct {
	op     string
	addr   string
	method string
	url    string
	body   any   // sent as JSON unless nil
	limit  int64 // maximum size of the response, in bytes; 0: maxAnswerBytes
	// ifNoneMatch is the ETag of the last response, or empty. If the resource has not
	// changed since, the response is 304 (Not Modified).
	ifNoneMatch string
}

// doJSON makes the call and decodes its response into out, unless out is nil.
func (c httpClient) doJSON(ctx context.Context, k call, out any) error {
	res, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return k.decode(ctx, res, out)
}

// decode reads the body of a successful response into out, unless out is nil.
func (k call) decode(ctx context.Context, res *http.Response, out any) error {
	limit := k.limit
	if limit == 0 {
		limit = maxAnswerBytes
	}
	data, err := readBounded(res.Body, limit)
	if err != nil {
		return k.transportError(ctx, EffectUnknown, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Op: k.op, Addr: k.addr, Reason: ReasonProtocol, Effect: EffectUnknown, Err: err}
	}
	return nil
}

// send makes the call and returns the response if its status is 2xx, or 304 with an
// ifNoneMatch. The caller of send closes the body.
func (c httpClient) send(ctx context.Context, k call) (*http.Response, error) {
	var body io.Reader
	if k.body != nil {
		data, err := json.Marshal(k.body)
		if err != nil {
			return nil, &Error{Op: k.op, Addr: k.addr, Reason: ReasonBadRequest, Effect: EffectNone, Err: err}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, k.url, body)
	if err != nil {
		return nil, &Error{Op: k.op, Addr: k.addr, Reason: ReasonBadRequest, Effect: EffectNone, Err: err}
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if k.ifNoneMatch != "" {
		req.Header.Set("If-None-Match", k.ifNoneMatch)
	}
	res, err := c.do(req, k)
	if err != nil {
		return nil, err
	}
	if k.ifNoneMatch != "" && res.StatusCode == http.StatusNotModified {
		return res, nil
	}
	if res.StatusCode/100 != 2 {
		defer res.Body.Close()
		return nil, k.responseError(res)
	}
	return res, nil
}

// do sends the request like Send.
func (c httpClient) do(req *http.Request, k call) (*http.Response, error) {
	return Send(k.op, k.addr, c.client.Do, req)
}

// Send sends a request and returns the response, whatever its status. Its body is a
// *respbody.Body. The error is an *Error whose Effect is EffectNone only if nothing of the
// request can have been sent.
func Send(op, addr string, do func(*http.Request) (*http.Response, error), req *http.Request) (*http.Response, error) {
	var t connTrace
	ctx := httptrace.WithClientTrace(req.Context(), t.hooks())
	res, err := do(req.WithContext(ctx))
	if err != nil {
		k := call{op: op, addr: addr}
		return nil, k.transportError(ctx, t.effect(ctx, err), err)
	}
	respbody.Watch(res)
	return res, nil
}

// connTrace records whether a request ever obtained a connection.
type connTrace struct {
	connRequested atomic.Bool // the transport supports tracing and has begun to get a connection
	connObtained  atomic.Bool
}

func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connObtained.Store(true) },
	}
}

// effect returns EffectNone only if nothing of the request can have been sent: the request
// never obtained a connection, and either the dial failed or the context ended while the
// transport was waiting for a connection.
func (t *connTrace) effect(ctx context.Context, err error) Effect {
	if t.connObtained.Load() {
		return EffectUnknown
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return EffectNone
	}
	if t.connRequested.Load() && ctx.Err() != nil {
		return EffectNone
	}
	return EffectUnknown
}

// transportError returns the Error of a call whose response is missing, incomplete or too
// large.
func (k call) transportError(ctx context.Context, effect Effect, err error) *Error {
	return &Error{Op: k.op, Addr: k.addr, Reason: reasonOf(ctx, err), Effect: effect, Err: err}
}

func reasonOf(ctx context.Context, err error) Reason {
	var size *SizeError
	var event *respbody.EventTooLargeError
	var malformed *netconn.MalformedResponseError
	var timeout net.Error
	switch {
	case errors.As(err, &size), errors.As(err, &event), errors.As(err, &malformed):
		return ReasonProtocol
	case errors.Is(err, context.Canceled) || errors.Is(ctx.Err(), context.Canceled):
		return ReasonCanceled
	case errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil:
		return ReasonTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return ReasonTimeout
	}
	return ReasonUnreachable
}

// responseError returns the Error for a response with a status other than 2xx.
func (k call) responseError(res *http.Response) error {
	cause := &StatusError{Status: res.StatusCode}
	e := &Error{Op: k.op, Addr: k.addr, Reason: ReasonUnavailable, Effect: EffectUnknown, Err: cause}
	data, err := readBounded(res.Body, maxErrorBytes)
	if err != nil {
		return e
	}
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Reason == "" {
		return e
	}
	cause.Message = body.Message
	e.Reason = body.Reason
	if body.Effect == EffectNone.String() {
		e.Effect = EffectNone
	}
	if body.Reason == ReasonOutOfRange {
		return &outOfRangeError{cause: e, batch: Batch{Oldest: body.Oldest, Next: body.Next}}
	}
	return e
}

// outOfRangeError passes the bounds of a stream to HTTPLog.Read, together with the error
// that Read returns.
type outOfRangeError struct {
	cause *Error
	batch Batch
}

// Error implements error.
func (e *outOfRangeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *outOfRangeError) Unwrap() error { return e.cause }

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return data, nil
}
