package relay

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// brokenHeads are heads of answers of which a server sends only a part before it closes.
var brokenHeads = map[string]string{
	"with a length":     "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 24\r\n\r\n",
	"with chunks":       "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	"after another":     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 24\r\n\r\n",
	"with bare breaks":  "HTTP/1.1 200 OK\nId: ID\nSeal: s\nContent-Length: 24\n\n",
	"a continued line":  "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nNote: a\r\n b\r\nContent-Length: 24\r\n\r\n",
	"of an old version": "HTTP/1.0 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 24\r\n\r\n",
}

// headerCut is how many bytes of the head a server sends.
const headerCut = "Cut"

// breakHead returns a script that sends the beginning of a head and closes the connection.
func breakHead(head string) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the test has ended
		}
		n, err := strconv.Atoi(r.Header.Get(headerCut))
		if err == nil {
			_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("Id"))[:n]) // fails only if the relay has left
		}
		_ = conn.Close()
	}
}

// headCuts returns where to break a head off: within each line, before and after each line break. The
// last one is its end, and the body breaks off.
func headCuts(head string) []int {
	cuts := []int{0}
	for n := range len(head) {
		if head[n] == '\n' {
			cuts = append(cuts, n-3, n, n+1)
		}
	}
	return cuts
}

// Guards against an answer whose head breaks off being passed on as a success with no body or a short one.
func TestAnswerWhoseHeadBreaksOffIsNoSuccess(t *testing.T) {
	for name, head := range brokenHeads {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded: %t", name, forwarded), func(t *testing.T) {
				t.Parallel()
				for _, cut := range headCuts(head) {
					for _, path := range []string{"/once/", "/resume/"} {
						b := newHarness(t, breakHead(head))
						if forwarded {
							_, _, addr := b.forwardingPeer()
							b.cutOff(addr)
						}
						req := b.request("POST", path, "body", headerCut, strconv.Itoa(cut), "Timeout", "500")
						res, err := b.client.Do(req)
						require.Positive(t, b.calls())
						if err != nil {
							continue // the connection was closed
						}
						body, err := io.ReadAll(res.Body)
						_ = res.Body.Close()
						require.False(t, res.StatusCode/100 == 2 && err == nil, "%d bytes, %s: %d %q", cut, path, res.StatusCode, body)
					}
				}
			})
		}
	}
}
