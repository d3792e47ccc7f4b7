// Package traffic counts the bytes and messages of an instance's control traffic by
// call. Transport counts at the client and Handler at the server; both add to
// Counters.
package traffic

import (
	"expvar"
	"io"
	"net/http"
	"path"
)

// Counters are four expvar counters for each call: "<call>.sent_bytes",
// "<call>.sent_messages", "<call>.received_bytes" and
// "<call>.received_messages". Bytes are those of bodies, without headers, which the
// HTTP library writes.
type Counters struct {
	vars *expvar.Map
}

// NewCounters returns counters that are stored in vars.
func NewCounters(vars *expvar.Map) *Counters { return &Counters{vars: vars} }

// CountSent counts one sent message of the given size.
func (c *Counters) CountSent(call string, bytes int64) {
	c.vars.Add(call+".sent_bytes", bytes)
	c.vars.Add(call+".sent_messages", 1)
}

// CountReceived counts one received message of the given size.
func (c *Counters) CountReceived(call string, bytes int64) {
	c.vars.Add(call+".received_bytes", bytes)
	c.vars.Add(call+".received_messages", 1)
}

// Transport is an http.RoundTripper that counts a client's requests and responses.
type Transport struct {
	Base     http.RoundTripper // nil: http.DefaultTransport
	Counters *Counters
	CallName func(*http.Request) string // nil: the last element of the request's path
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	call := path.Base(req.URL.Path)
	if t.CallName != nil {
		call = t.CallName(req)
	}
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	t.Counters.CountSent(call, max(req.ContentLength, 0))
	resp, err := base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, onClose: func(n int64) { t.Counters.CountReceived(call, n) }}
	return resp, nil
}

// Handler counts a server's requests and responses by the last element of the path.
func Handler(next http.Handler, c *Counters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := path.Base(r.URL.Path)
		r.Body = &countingBody{ReadCloser: r.Body, onClose: func(n int64) { c.CountReceived(call, n) }}
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		_ = r.Body.Close()
		c.CountSent(call, counted.bytes)
	})
}

// countingBody calls onClose with the number of bytes read, once, when it is closed.
type countingBody struct {
	io.ReadCloser
	bytes   int64
	onClose func(int64)
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	return n, err
}

func (b *countingBody) Close() error {
	if b.onClose != nil {
		b.onClose(b.bytes)
		b.onClose = nil
	}
	return b.ReadCloser.Close()
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}
