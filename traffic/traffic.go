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
func (c *Counters) CountSent(call string, bytes int64) {
	c.vars.Add(call+".sent_bytes", bytes)
	c.vars.Add(call+".sent_messages", 1)
}

// Received counts one message that came.
func (c *Counters) CountReceived(call string, bytes int64) {
	c.vars.Add(call+".received_bytes", bytes)
	c.vars.Add(call+".received_messages", 1)
}

// Transport counts a client's requests and answers. Call names a request; by
// default it is the last part of its path.
type Transport struct {
	Base     http.RoundTripper // nil: http.DefaultTransport
	Counters *Counters
	CallName func(*http.Request) string
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

// Handler counts a server's requests and answers by the last part of the path.
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

// countedBody reports its length once, when it is closed.
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

type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}
