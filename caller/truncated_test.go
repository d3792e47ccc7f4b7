package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// A caller of HTTP/1.0 has only the end of its connection to tell that an answer without a
// length is complete.
func TestBrokenAnswerIsNotCompleteForHTTP10Caller(t *testing.T) {
	for name, body := range map[string]struct {
		reader io.Reader
		whole  bool
	}{
		"whole":  {io.LimitReader(neverEnding{}, 3*serviceBufferBytes), true},
		"broken": {&brokenReader{3 * serviceBufferBytes}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.services.call = func(context.Context, string, infra.ServiceRequest) (*infra.ServiceAnswer, error) {
				return &infra.ServiceAnswer{Status: http.StatusOK, Body: io.NopCloser(body.reader)}, nil
			}
			srv := r.listen(t)
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "GET /services/order-desk/orders HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			require.Equal(t, body.whole, err == nil, err)
		})
	}
}

// neverEnding is a reader of x.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
