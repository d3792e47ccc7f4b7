// Package traffic counts the bytes and messages of an instance's control
// traffic, by call, where they are sent and received.
package traffic

import (
	"expvar"
	"io"
	"net/http"
	"path"
)

// Counters are four expvar counters for each call: "<call>.sent_bytes",
// "<call>.sent_messages", "<call>.received_bytes" and
// "<call>.received_messages". Bytes are those of bodies: headers, which HTTP
// libraries write, are not in them.
type Counters struct {
	vars *expvar.Map
}

// NewCounters returns counters that are kept in vars.
func NewCounters(vars *expvar.Map) *Counters { return &Counters{vars: vars} }

// Sent counts one message that left.
func (c *Counters) Sent(call string, bytes int64) {
	c.vars.Add(call+".sent_bytes", bytes)
	c.vars.Add(call+".sent_messages", 1)
}

// Received counts one message that came.
func (c *Counters) Received(call string, bytes int64) {
	c.vars.Add(call+".received_bytes", bytes)
	c.vars.Add(call+".received_messages", 1)
}

// Transport counts a client's requests and answers. Call names a request; by
// default it is the last part of its path.
type Transport struct {
	Base     http.RoundTripper // nil: http.DefaultTransport
	Counters *Counters
	Call     func(*http.Request) string
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	call := path.Base(req.URL.Path)
	if t.Call != nil {
		call = t.Call(req)
	}
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	t.Counters.Sent(call, max(req.ContentLength, 0))
	resp, err := base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, done: func(n int64) { t.Counters.Received(call, n) }}
	return resp, nil
}

// Handler counts a server's requests and answers by the last part of the path.
func Handler(next http.Handler, c *Counters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := path.Base(r.URL.Path)
		r.Body = &countedBody{ReadCloser: r.Body, done: func(n int64) { c.Received(call, n) }}
		counted := &countedWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		_ = r.Body.Close()
		c.Sent(call, counted.bytes)
	})
}

// countedBody reports its length once, when it is closed.
type countedBody struct {
	io.ReadCloser
	bytes int64
	done  func(int64)
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	return n, err
}

func (b *countedBody) Close() error {
	if b.done != nil {
		b.done(b.bytes)
		b.done = nil
	}
	return b.ReadCloser.Close()
}

type countedWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}
