package netconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"
)

// Transport is an HTTP transport that sends a request at most once for each RoundTrip.
//
// When a kept connection breaks before the response, http.Transport sends some requests
// again, on one kept connection after the other, though the server may have run them. What
// may be sent again, how often, when and with which deadline is the caller's decision. So a
// request is given another connection only while no byte of it has been written.
type Transport struct {
	*http.Transport
	open *openConns
}

// NewTransport returns a Transport that keeps at most maxIdle idle connections to each
// address, none if it is negative, each for at most idleTimeout.
func NewTransport(maxIdle int, idleTimeout time.Duration) *Transport {
	return NewTransportWith(Dial, maxIdle, idleTimeout)
}

// NewTransportWith is like NewTransport, with connections that dial opens.
func NewTransportWith(dial DialFunc, maxIdle int, idleTimeout time.Duration) *Transport {
	return SendOnce(&http.Transport{
		DialContext:         dial,
		DisableCompression:  true, // bodies are relayed unchanged
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	})
}

// maxResponseHeadBytes bounds the head of a response, with all informational ones before it. A
// faulty server may send a head without end, and each request holds what has arrived.
const maxResponseHeadBytes = 64 << 10

// SendOnce returns a Transport with the settings of t, which must not be used any more. Heads of
// responses are limited to maxResponseHeadBytes, whatever t says.
func SendOnce(t *http.Transport) *Transport {
	t.MaxResponseHeaderBytes = maxResponseHeadBytes
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	open := &openConns{conns: map[*conn]struct{}{}}
	t.DialContext = open.record(dial)
	return &Transport{t, open}
}

// OpenBefore returns how many connections are open that were opened before at. One whose peer
// has closed it may count for some milliseconds more.
func (t *Transport) OpenBefore(at time.Time) int { return t.open.countBefore(at) }

// BrokenError means that the connection broke before the response, after some of the request
// was sent. The server may have run it.
type BrokenError struct{ Addr string }

// Error implements error.
func (e *BrokenError) Error() string {
	return e.Addr + ": the connection broke after the request was sent"
}

// RoundTrip implements http.RoundTripper. A response that is malformed is a *MalformedResponseError.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	guard := &resendGuard{cancel: func() { cancel(&BrokenError{req.URL.Host}) }}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        guard.gotConn,
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkInformational(req.URL.Host, fields) },
	})
	res, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		defer cancel(nil)
		if guard.broken {
			return nil, errors.WithStack(context.Cause(ctx))
		}
		return nil, err
	}
	if err := checkHead(req.URL.Host, res, guard); err != nil {
		cancel(nil)
		return nil, err
	}
	if res.Body == http.NoBody {
		cancel(nil)
		return res, nil
	}
	res.Body = &cancelingBody{&checkedBody{res.Body, res, req.URL.Host, guard}, cancel}
	return res, nil
}

// cancelingBody releases a response's context once the body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// resendGuard keeps a request from being written to a second connection.
type resendGuard struct {
	cancel  func()
	conn    *conn // the newest that the request was given
	written int64 // bytes that had been written to conn before
	broken  bool  // conn broke after a part of the request was written
}

// gotConn is called before the request is written to a connection, in the goroutine of its
// RoundTrip. A connection that the request must not use is closed, so that nothing can be
// written to it.
func (g *resendGuard) gotConn(info httptrace.GotConnInfo) {
	if g.conn != nil && g.conn.written.Load() > g.written {
		g.broken = true
		g.cancel()
		_ = info.Conn.Close() // nothing was sent on it
		return
	}
	if c, ok := info.Conn.(*conn); ok {
		g.conn, g.written = c, c.written.Load()
	}
}

// Close closes the newest connection that the request was given.
func (g *resendGuard) Close() error {
	if g.conn == nil {
		return nil
	}
	return g.conn.Close()
}
