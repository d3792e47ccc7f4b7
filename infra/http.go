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
)

// Bounds of answers, so that no answer can take an instance's memory.
const (
	// maxAnswerBytes bounds a JSON answer other than a read of the log: the
	// status of a server with a few hundred items is under 64 KiB.
	maxAnswerBytes = 4 << 20
	// maxErrorBytes bounds the body of a refusal.
	maxErrorBytes = 64 << 10
)

// ErrorBody is the JSON body of a refusal in the HTTP form of the platform's
// services. Its Effect is the other side's own word: "none" only if it refused
// before it started.
type ErrorBody struct {
	Reason  Reason `json:"reason"`
	Effect  string `json:"effect"`
	Message string `json:"message,omitempty"`
	// Oldest and Next come with ReasonOutOfRange.
	Oldest Offset `json:"oldest,omitempty"`
	Next   Offset `json:"next,omitempty"`
}

// StatusError is the cause of an Error where the other side answered with an
// HTTP status that is no success.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Message
}

// SizeError is the cause of an Error where an answer was larger than its bound.
type SizeError struct{ Limit int64 } // in bytes

// Error implements error.
func (e *SizeError) Error() string { return "the answer is larger than its bound" }

// caller does the HTTP calls of one service.
type caller struct {
	client *http.Client
}

// newCaller copies the client without following redirects: a redirect would
// send a request to a second server.
func newCaller(client *http.Client) caller {
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return caller{client: &c}
}

// call is one HTTP call.
type call struct {
	op     string
	addr   string
	method string
	url    string
	body   any   // sent as JSON unless nil
	limit  int64 // bytes of the answer; 0: maxAnswerBytes
	// unless is the ETag of an answer that is known already: an answer of 304
	// then says that it still holds. Empty: none is known.
	unless string
}

// json does the call and decodes its answer into out, unless out is nil.
func (c caller) json(ctx context.Context, k call, out any) error {
	res, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return k.decode(ctx, res, out)
}

// decode reads a success's body into out, unless out is nil.
func (k call) decode(ctx context.Context, res *http.Response, out any) error {
	limit := k.limit
	if limit == 0 {
		limit = maxAnswerBytes
	}
	data, err := readBounded(res.Body, limit)
	if err != nil {
		return k.failed(ctx, EffectUnknown, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Op: k.op, Addr: k.addr, Reason: ReasonProtocol, Effect: EffectUnknown, Err: err}
	}
	return nil
}

// send does the call and returns its answer if that is a success. The caller
// closes the answer's body.
func (c caller) send(ctx context.Context, k call) (*http.Response, error) {
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
	if k.unless != "" {
		req.Header.Set("If-None-Match", k.unless)
	}
	res, err := c.do(req, k)
	if err != nil {
		return nil, err
	}
	if k.unless != "" && res.StatusCode == http.StatusNotModified {
		return res, nil
	}
	if res.StatusCode/100 != 2 {
		defer res.Body.Close()
		return nil, k.refused(res)
	}
	return res, nil
}

// do sends the request, and says of a failure whether a byte can have left.
func (c caller) do(req *http.Request, k call) (*http.Response, error) {
	return Send(k.op, k.addr, c.client.Do, req)
}

// Send sends a request, and says of a failure whether a byte can have left. Its
// error is an *Error; an answer is returned whatever its status.
func Send(op, addr string, do func(*http.Request) (*http.Response, error), req *http.Request) (*http.Response, error) {
	var t connTrace
	ctx := httptrace.WithClientTrace(req.Context(), t.hooks())
	res, err := do(req.WithContext(ctx))
	if err != nil {
		k := call{op: op, addr: addr}
		return nil, k.failed(ctx, t.effect(ctx, err), err)
	}
	return res, nil
}

// connTrace follows whether a request was ever given a connection.
type connTrace struct {
	asked atomic.Bool // the transport began to look for one, and it traces
	given atomic.Bool
}

func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { t.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.given.Store(true) },
	}
}

// effect returns EffectNone only if no byte can have left: the request was
// never given a connection, and either the dial failed or the context ended
// while the transport still waited for one.
func (t *connTrace) effect(ctx context.Context, err error) Effect {
	if t.given.Load() {
		return EffectUnknown
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return EffectNone
	}
	if t.asked.Load() && ctx.Err() != nil {
		return EffectNone
	}
	return EffectUnknown
}

// failed returns the Error of a call that got no answer, or a broken one.
func (k call) failed(ctx context.Context, effect Effect, err error) *Error {
	return &Error{Op: k.op, Addr: k.addr, Reason: reasonOf(ctx, err), Effect: effect, Err: err}
}

func reasonOf(ctx context.Context, err error) Reason {
	var size *SizeError
	var timeout net.Error
	switch {
	case errors.As(err, &size):
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

// refused returns the Error of an answer that is no success.
func (k call) refused(res *http.Response) error {
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
		return &outOfRange{cause: e, batch: Batch{Oldest: body.Oldest, Next: body.Next}}
	}
	return e
}

// outOfRange carries the bounds of a stream beside the error to the log's
// adapter, which takes them apart.
type outOfRange struct {
	cause *Error
	batch Batch
}

// Error implements error.
func (e *outOfRange) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *outOfRange) Unwrap() error { return e.cause }

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
