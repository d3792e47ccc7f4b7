package infra

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/openai/openai-go/v3/packages/ssestream"
)

// The HTTP form of an engine. PathGenerate takes a POST with a GenerateRequest
// and answers with server-sent events, each an Event in JSON; PathCancel a POST
// with a CancelBody; PathOrder a POST with an Order; PathStatus a GET answered
// by a ServerStatus; PathCacheEvents a GET with ?after=N answered by an array
// of CacheEvent.
const (
	PathGenerate    = "/engine/generate"
	PathCancel      = "/engine/cancel"
	PathOrder       = "/engine/order"
	PathStatus      = "/engine/status"
	PathCacheEvents = "/engine/cache-events"
)

// ContentTypeEvents is the media type of a stream of server-sent events.
const ContentTypeEvents = "text/event-stream"

// maxEventBytes bounds one event of a stream, so that an engine that sends a
// line without an end can't fill an instance's memory. A token takes some tens
// of bytes.
const maxEventBytes = 64 << 10

// CancelBody is the body of a cancel.
type CancelBody struct {
	Attempt string `json:"attempt"`
}

// HTTPEngine is an Engine over HTTP. Its client's transport should keep enough
// idle connections to each server for the requests in flight there.
type HTTPEngine struct {
	caller caller
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns an Engine that calls through the client.
func NewHTTPEngine(client *http.Client) *HTTPEngine {
	return &HTTPEngine{caller: newCaller(client)}
}

// Generate implements Engine. The context bounds the whole stream.
func (e *HTTPEngine) Generate(ctx context.Context, addr string, req GenerateRequest) (Stream, error) {
	k := call{op: "engine.generate", addr: addr, method: http.MethodPost, url: "http://" + addr + PathGenerate, body: req}
	res, err := e.caller.send(ctx, k)
	if err != nil {
		return nil, err
	}
	bounded := &eventBound{body: res.Body}
	res.Body = bounded
	return &httpStream{ctx: ctx, call: k, bound: bounded, events: ssestream.NewDecoder(res)}, nil
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, addr, attempt string) error {
	k := call{op: "engine.cancel", addr: addr, method: http.MethodPost, url: "http://" + addr + PathCancel, body: CancelBody{Attempt: attempt}}
	return e.caller.json(ctx, k, nil)
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, addr string, order Order) error {
	k := call{op: "engine.order", addr: addr, method: http.MethodPost, url: "http://" + addr + PathOrder, body: order}
	return e.caller.json(ctx, k, nil)
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context, addr string) (ServerStatus, error) {
	k := call{op: "engine.status", addr: addr, method: http.MethodGet, url: "http://" + addr + PathStatus}
	var status ServerStatus
	if err := e.caller.json(ctx, k, &status); err != nil {
		return ServerStatus{}, err
	}
	return status, nil
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error) {
	target := "http://" + addr + PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	k := call{op: "engine.cache_events", addr: addr, method: http.MethodGet, url: target}
	var events []CacheEvent
	if err := e.caller.json(ctx, k, &events); err != nil {
		return nil, err
	}
	return events, nil
}

// httpStream reads the events of one answer. It buffers no more than one event
// and one read of the body: an engine ahead of its reader is held up by TCP.
type httpStream struct {
	ctx    context.Context
	call   call
	bound  *eventBound
	events ssestream.Decoder
	end    error // what Recv returns from now on; nil while the stream runs
}

// Recv implements Stream.
func (s *httpStream) Recv() (Event, error) {
	if s.end != nil {
		return Event{}, s.end
	}
	s.bound.left = maxEventBytes
	if !s.events.Next() {
		return Event{}, s.broken(s.cause())
	}
	var event Event
	if err := json.Unmarshal(s.events.Event().Data, &event); err != nil {
		s.end = &Error{Op: s.call.op, Addr: s.call.addr, Reason: ReasonProtocol, Effect: EffectUnknown, Err: err}
		return Event{}, s.end
	}
	if event.Finish != "" {
		s.end = io.EOF
	}
	return event, nil
}

// cause says why the body ended before a Finish.
func (s *httpStream) cause() error {
	if err := s.events.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (s *httpStream) broken(err error) error {
	s.end = s.call.failed(s.ctx, EffectUnknown, err)
	return s.end
}

// Close implements Stream. Closing a body that has not been read to its end
// closes the connection, which cancels the work at the server.
func (s *httpStream) Close() error { return s.events.Close() }

// eventBound fails once more than left bytes were read since left was last set.
type eventBound struct {
	body io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *eventBound) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &SizeError{Limit: maxEventBytes}
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.body.Read(p)
	b.left -= n
	return n, err
}

// Close implements io.Closer.
func (b *eventBound) Close() error { return b.body.Close() }
