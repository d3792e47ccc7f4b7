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

// Guards against an answer being passed on whose head is of another version of HTTP than the one spoken.
func TestOtherVersionOfHTTPIsNotPassedOn(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.1", "HTTP/2", "http/1.1", "HTTP/11.1", "ICY"} {
		t.Run(version, func(t *testing.T) {
			requireNotPassedOn(t, version+" 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 13\r\n\r\n"+soundBody)
		})
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

// malformedNames are lines of a head that are no fields, by what is wrong with the name.
var malformedNames = map[string]string{
	"blank within":              "No te: 1",
	"blank before the colon":    "Note : 1",
	"tab before the colon":      "Note\t: 1",
	"control byte":              "No\x01te: 1",
	"NUL":                       "No\x00te: 1",
	"DEL":                       "No\x7fte: 1",
	"CR":                        "No\rte: 1",
	"high byte":                 "No\xffte: 1",
	"bracket":                   "No(te: 1",
	"empty":                     ": 1",
	"no colon":                  "Note",
	"blank in the id's":         "I d: 1",
	"blank, like a length":      "Content-Length : 4",
	"blank, like chunks":        "Transfer-Encoding : chunked",
	"blank, like a compression": "Content-Encoding : gzip",
}

// Guards against an answer being passed on in whose head the name of a field holds a blank or a byte that
// no name may hold: its framing isn't known, and its body may not be the server's.
func TestMalformedFieldNameIsNotPassedOn(t *testing.T) {
	chunked := "5\r\nhello\r\n0\r\n\r\n"
	for name, line := range malformedNames {
		for kind, rest := range map[string]string{
			"length": "Content-Length: 13\r\n\r\n" + soundBody,
			"none":   "Content-Length: 0\r\n\r\n",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunked,
			"open":   "\r\n" + chunked,
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				requireNotPassedOn(t, "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"+line+"\r\n"+rest)
			})
		}
	}
}

// The same in the head of an informational response.
func TestMalformedFieldNameOfInformationalHeadIsNotPassedOn(t *testing.T) {
	for name, line := range malformedNames {
		t.Run(name, func(t *testing.T) {
			requireNotPassedOn(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 13\r\n\r\n"+soundBody)
		})
	}
}

// The same in a trailer, when all of the body has arrived.
func TestMalformedFieldNameOfTrailerIsNotPassedOn(t *testing.T) {
	for name, line := range malformedNames {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/once/", "/safe/"} {
				script := malformedOnce("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + line + "\r\n\r\n")
				b := newHarness(t, script, script)
				a := b.do(b.request("POST", path, "body"))
				require.NoError(t, a.err)
				if path == "/safe/" {
					require.Equal(t, http.StatusOK, a.status)
					require.Equal(t, soundBody, a.body)
					continue
				}
				require.Equal(t, http.StatusBadGateway, a.status)
			}
		})
	}
}

// Fields that only look odd are passed on, and trailers with proper names do no harm.
func TestOddFieldsArePassedOn(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the test has ended
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\nLink: a b\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n"+
			"!#$%%&'*+-.^_`|~9:a b \r\nEmpty:\r\nTrailer: Late\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nLate: 1\r\n\r\n", r.Header.Get("Id"))
	})
	a := b.do(b.request("POST", "/once/", "body"))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, "hello", a.body)
	require.Equal(t, "a b", a.header.Get("!#$%&'*+-.^_`|~9"))
}
