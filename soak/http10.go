package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// http10Transport is an http.RoundTripper that sends each request in HTTP/1.0, over a
// connection of its own.
type http10Transport struct{}

// RoundTrip implements http.RoundTripper.
func (http10Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(req.Context(), "tcp4", req.URL.Host)
	if err != nil {
		return nil, err
	}
	ctx := req.Context()
	context.AfterFunc(ctx, func() { _ = conn.Close() }) // may be closed already
	res, err := exchangeHTTP10(conn, req)
	if err != nil {
		_ = conn.Close() // the request has failed already
		return nil, cmp.Or(ctx.Err(), err)
	}
	res.Body = &connBody{res.Body, conn, ctx}
	return res, nil
}

// exchangeHTTP10 sends the request and reads the answer's head.
func exchangeHTTP10(conn net.Conn, req *http.Request) (*http.Response, error) {
	w := bufio.NewWriter(conn)
	fmt.Fprintf(w, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", req.Method, req.URL.RequestURI(), req.Host, req.ContentLength)
	if err := req.Header.Write(w); err != nil {
		return nil, err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return nil, err
	}
	if req.Body != nil {
		if _, err := io.Copy(w, req.Body); err != nil {
			return nil, err
		}
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), req)
}

// connBody closes the connection together with the body.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	ctx  context.Context // of the request
}

// Read implements io.Reader. If the context has ended, the error is its error.
func (b *connBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close implements io.Closer.
func (b *connBody) Close() error {
	err := b.ReadCloser.Close()
	if cerr := b.conn.Close(); err == nil {
		err = cerr
	}
	return err
}
