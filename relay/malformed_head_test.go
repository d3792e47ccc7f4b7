package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// soundBody is the body of the answer that a server gives when it isn't in trouble. It is an event too.
const soundBody = "data: sound\n\n"

// malformedOnce returns a script whose first answer is the bytes given, with the request's id in place of
// ID. All further answers are sound.
func malformedOnce(answer string) func(http.ResponseWriter, *http.Request, string) {
	var calls atomic.Int64
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		if calls.Add(1) > 1 {
			writeSeal(w, r)
			_, _ = io.WriteString(w, soundBody) // fails only if the relay has left
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the test has ended
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", r.Header.Get("Id"))) // as above
		_, _ = io.Copy(io.Discard, conn)                                                  // until the relay closes
	}
}

// requireNotPassedOn checks that bytes that are no answer aren't passed on as one: a request that may be
// repeated is served by another server, and any other gets an error of the relay's own.
func requireNotPassedOn(t *testing.T, answer string) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s%t", path, forwarded), func(t *testing.T) {
				t.Parallel()
				script := malformedOnce(answer)
				b := newHarness(t, script, script)
				if forwarded {
					_, _, addr := b.forwardingPeer()
					b.cutOff(addr)
				}
				a := b.do(b.request("POST", path, "body"))
				require.NoError(t, a.err)
				if path == "/safe/" || path == "/resume/" {
					require.Equal(t, http.StatusOK, a.status)
					require.Equal(t, soundBody, a.body)
					return
				}
				require.Equal(t, http.StatusBadGateway, a.status)
				require.Empty(t, a.header.Get("Seal"))
				require.EqualValues(t, 1, b.calls())
			})
		}
	}
}

// Guards against bytes being passed on as an answer, or ending the caller's connection, whose status is
// none: of three digits from 200 to 599. Nobody asks a server for another protocol (101).
func TestStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for kind, rest := range map[string]string{
			"body": "Content-Length: 13\r\n\r\n" + soundBody,
			"none": "Content-Length: 0\r\n\r\n",
			"open": "\r\n" + soundBody,
		} {
			t.Run(status+" "+kind, func(t *testing.T) {
				requireNotPassedOn(t, "HTTP/1.1 "+status+" x\r\nId: ID\r\nSeal: s\r\n"+rest)
			})
		}
	}
}

// The status of a sound answer is passed on as it is.
func TestStatusIsPassedOnUnchanged(t *testing.T) {
	for _, status := range []int{200, 206, 299, 302, 404, 418, 499, 500, 599} {
		b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
			writeSeal(w, r)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, soundBody) // fails only if the relay has left
		})
		a := b.do(b.request("POST", "/once/", "body"))
		require.NoError(t, a.err)
		require.Equal(t, status, a.status)
		require.Equal(t, soundBody, a.body)
		require.Equal(t, "s", a.header.Get("Seal"))
	}
}
