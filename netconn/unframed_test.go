package netconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerTo returns how a caller of the given HTTP version reads the answer of a handler.
func answerTo(t *testing.T, proto string, h func(srv *httptest.Server, w http.ResponseWriter)) (string, error) {
	var srv *httptest.Server
	srv = httptest.NewUnstartedServer(ResetTruncated(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { h(srv, w) })))
	srv.Config.ConnContext = ConnContext
	srv.Start()
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET / %s\r\nHost: x\r\n\r\n", proto)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// writePart sends a part of an answer.
func writePart(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
}

func TestTruncatedAnswerIsNeverCompleteForItsCaller(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for name, c := range map[string]struct {
			handler func(srv *httptest.Server, w http.ResponseWriter)
			whole   bool
		}{
			"whole":       {func(_ *httptest.Server, w http.ResponseWriter) { writePart(w) }, true},
			"short":       {func(_ *httptest.Server, w http.ResponseWriter) { _, _ = io.WriteString(w, "part") }, true},
			"with length": {func(_ *httptest.Server, w http.ResponseWriter) { w.Header().Set("Content-Length", "4"); writePart(w) }, true},
			"panic": {func(_ *httptest.Server, w http.ResponseWriter) {
				writePart(w)
				panic(http.ErrAbortHandler)
			}, false},
			"the server closes its connections": {func(srv *httptest.Server, w http.ResponseWriter) {
				writePart(w)
				_ = srv.Config.Close()
			}, false},
		} {
			t.Run(proto+"/"+name, func(t *testing.T) {
				body, err := answerTo(t, proto, c.handler)
				require.Equal(t, c.whole, err == nil, err)
				if c.whole {
					require.Equal(t, "part", body)
				}
			})
		}
	}
}
