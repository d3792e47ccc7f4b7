package netconn

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is for http.Server.ConnContext. ResetTruncated needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// lingerer is a connection that can be reset when it is closed.
type lingerer interface{ SetLinger(seconds int) error }

// ResetTruncated returns a handler that answers like h, whose connection to a caller of
// HTTP/1.0 is reset if h panics, or the process dies, before an answer without a length is
// complete. Such a caller has nothing else to tell a truncated answer by; later versions have
// chunks.
func ResetTruncated(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(lingerer)
		if !ok || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		guard := &unframedWriter{ResponseWriter: w, conn: conn}
		h.ServeHTTP(guard, r)
		guard.complete()
	})
}

// unframedWriter makes its connection be reset when it is closed, from the start of an answer
// without a length until complete.
type unframedWriter struct {
	http.ResponseWriter
	conn    lingerer
	started bool
	armed   bool
}

// Unwrap is used by http.ResponseController.
func (w *unframedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *unframedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.start()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *unframedWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

func (w *unframedWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.Header().Get("Content-Length") == "" {
		w.armed = w.conn.SetLinger(0) == nil // it fails only if the connection is gone
	}
}

// complete ends the answer in good order.
func (w *unframedWriter) complete() {
	if !w.armed || http.NewResponseController(w.ResponseWriter).Flush() != nil {
		return
	}
	_ = w.conn.SetLinger(-1) // it fails only if the connection is gone
}
