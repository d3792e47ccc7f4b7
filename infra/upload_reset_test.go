package infra_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// resetUploads starts a server that answers each request before it has read its body: with the text,
// framed by the connection, which it then resets. It returns its address.
func resetUploads(t *testing.T, text string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n", text)
				time.Sleep(20 * time.Millisecond) // until the text has been read
				_ = c.(*net.TCPConn).SetLinger(0) // a test's own connection
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an answer being taken for the whole on the product's own interfaces, if the
// connection is reset while a long request is being written.
func TestAnswerResetDuringItsUploadIsNoSuccess(t *testing.T) {
	upload := make([]byte, 8<<20)
	for name, call := range map[string]func(ctx context.Context, addr string) error{
		"service": func(ctx context.Context, addr string) error {
			answer, err := infra.NewHTTPServices(newTransport(t)).Call(ctx, addr, infra.ServiceRequest{Method: "POST", Path: "/", Body: upload})
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			_, err = io.Copy(io.Discard, answer.Body)
			return err
		},
		"log": func(ctx context.Context, addr string) error {
			_, err := infra.NewHTTPLog("http://"+addr, newClient(t)).Append(ctx, "s", [][]byte{upload})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr := resetUploads(t, `{"offset": 7}`)
			for range 4 {
				require.Error(t, call(t.Context(), addr))
			}
		})
	}
}
