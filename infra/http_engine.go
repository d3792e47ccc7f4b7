package infra

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/openai/openai-go/v3/packages/ssestream"
)

// The HTTP interface of an engine. All bodies are JSON.
//
//   - POST PathGenerate takes a GenerateRequest and responds with server-sent events, each
//     with an Event.
//   - POST PathCancel takes a CancelBody.
//   - POST PathOrder takes an Order.
//   - GET PathStatus responds with a ServerStatus.
//   - GET PathCacheEvents?after=N responds with an array of CacheEvent.
const (
	PathGenerate    = "/engine/generate"
	PathCancel      = "/engine/cancel"
	PathOrder       = "/engine/order"
	PathStatus      = "/engine/status"
	PathCacheEvents = "/engine/cache-events"
)

// ContentTypeEvents is the media type of a stream of server-sent events.
const ContentTypeEvents = "text/event-stream"

// CancelBody is the request body of PathCancel.
type CancelBody struct {
	Attempt string `json:"attempt"`
}

// HTTPEngine implements Engine over HTTP. The client's transport should allow as many idle
// connections to each server as there are requests in flight.
type HTTPEngine struct {
	httpClient httpClient
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns an Engine that uses the client.
func NewHTTPEngine(client *http.Client) *HTTPEngine {
	return &HTTPEngine{httpClient: newHTTPClient(client)}
}

// Generate implements Engine. The stream ends with an error when ctx ends.
func (e *HTTPEngine) Generate(ctx context.Context, addr string, req GenerateRequest) (Stream, error) {
	k := call{op: "engine.generate", addr: addr, method: http.MethodPost, url: "http://" + addr + PathGenerate, body: req}
	res, err := e.httpClient.send(ctx, k)
	if err != nil {
		return nil, err
	}
	return &httpStream{ctx: ctx, call: k, events: ssestream.NewDecoder(res)}, nil
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, addr, attempt string) error {
	k := call{op: "engine.cancel", addr: addr, method: http.MethodPost, url: "http://" + addr + PathCancel, body: CancelBody{Attempt: attempt}}
	return e.httpClient.doJSON(ctx, k, nil)
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, addr string, order Order) error {
	k := call{op: "engine.order", addr: addr, method: http.MethodPost, url: "http://" + addr + PathOrder, body: order}
	return e.httpClient.doJSON(ctx, k, nil)
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context, addr string) (ServerStatus, error) {
	k := call{op: "engine.status", addr: addr, method: http.MethodGet, url: "http://" + addr + PathStatus}
	var status ServerStatus
	if err := e.httpClient.doJSON(ctx, k, &status); err != nil {
		return ServerStatus{}, err
	}
	return status, nil
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	target := "http://" + addr + PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	k := call{op: "engine.cache_events", addr: addr, method: http.MethodGet, url: target}
	var events []CacheEvent
	if err := e.httpClient.doJSON(ctx, k, &events); err != nil {
		return nil, err
	}
	return events, nil
}

// httpStream reads the events of one answer. It buffers no more than one event, which package
// respbody bounds, and one read of the body, so that TCP flow control slows down an engine that is ahead of its reader.
type httpStream struct {
	ctx    context.Context
	call   call
	events ssestream.Decoder
	endErr error // returned by all further calls of Recv; nil while the stream runs
}

// Recv implements Stream.
func (s *httpStream) Recv() (Event, error) {
	if s.endErr != nil {
		return Event{}, s.endErr
	}
	if !s.events.Next() {
		return Event{}, s.failWith(s.endCause())
	}
	var event Event
	if err := json.Unmarshal(s.events.Event().Data, &event); err != nil {
		s.endErr = &Error{Op: s.call.op, Addr: s.call.addr, Reason: ReasonProtocol, Effect: EffectUnknown, Err: err}
		return Event{}, s.endErr
	}
	if event.Finish != "" {
		s.endErr = io.EOF
	}
	return event, nil
}

// endCause returns why the body ended before an event with a Finish.
func (s *httpStream) endCause() error {
	if err := s.events.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (s *httpStream) failWith(err error) error {
	s.endErr = s.call.transportError(s.ctx, EffectUnknown, err)
	return s.endErr
}

// Close implements Stream. Closing a body that has not been read to its end closes the
// connection, which cancels the work at the server.
func (s *httpStream) Close() error { return s.events.Close() }
