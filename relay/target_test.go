package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// Guards against a request that reaches its server with another target: net/http completed a path that
// begins with two slashes to a whole URL.
func TestRequestTargetReachesTheServerUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "//", "///", "//x/y", "//x//y/", "//x/y?", "//x/y?a=%20b&&c", "//x%2Fy/%7e", "//x/../y", "//host:80/y", "//x?//y", "//x/ü", "/x//y", "/x/y?//z", "/x/|y",
	} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprint(target, forwarded), func(t *testing.T) {
				got := make(chan string, 4)
				b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
					got <- r.RequestURI
					writeSeal(w, r)
				})
				all := b.routes[0]
				all.Name, all.Prefix = "all", "/"
				b.routes = append([]topology.Route(nil), all)
				b.setView(2)
				if forwarded {
					_, _, addr := b.forwardingPeer()
					b.cutOff(addr)
				}
				c, err := net.Dial("tcp4", b.front.Listener.Addr().String())
				require.NoError(t, err)
				defer c.Close()
				_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: example.test\r\nId: r1\r\n\r\n", target)
				require.NoError(t, err)
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, res.Body) // only whether and how it ran is checked
				close(got)
				if received, ran := <-got; ran {
					require.Equal(t, http.StatusOK, res.StatusCode)
					require.Equal(t, target, received)
				} else {
					require.Equal(t, http.StatusBadRequest, res.StatusCode, "a target that can't be sent unchanged")
					require.Equal(t, "//x/ü", target, "the only one")
				}
			})
		}
	}
}
