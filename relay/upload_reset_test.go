package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// longUpload is more bytes than the buffers of a connection on loopback take, so that the relay
	// is still writing when the answer comes.
	longUpload = 8 << 20
	// uploadRounds is how often each case is played: which side takes a connection's error is a race.
	uploadRounds = 3
	// uploadTimeout is of the requests. The race detector makes uploads slow, and no time is checked.
	uploadTimeout = 20 * time.Second
)

// An uploadEnd ends the connection on which a server has answered before it read the upload.
type uploadEnd func(conn *net.TCPConn)

// resetUpload resets the connection.
func resetUpload(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond) // until the part of the answer has been read
	_ = conn.SetLinger(0)             // a test's own connection
	_ = conn.Close()
}

// closeUploadUnread closes the connection, which the kernel turns into a reset.
func closeUploadUnread(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
}

// endAndReadUpload ends the answer in order and reads the rest of the upload.
func endAndReadUpload(conn *net.TCPConn) {
	_ = conn.CloseWrite() // fails only if the relay has left
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// endAndCloseLater ends the answer in order, and closes later with the upload unread.
func endAndCloseLater(conn *net.TCPConn) {
	_ = conn.CloseWrite() // fails only if the relay has left
	time.Sleep(300 * time.Millisecond)
	_ = conn.Close()
}

// answerBeforeUpload returns a script for a server that doesn't read the upload: it answers at once with
// the header and body, and then ends the connection.
func answerBeforeUpload(header, body string, end uploadEnd) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the test has ended
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%s\r\n%s", r.Header.Get("Id"), header, body)
		end(conn.(*net.TCPConn))
	}
}

// newUploadHarness returns a harness whose servers don't read uploads and whose callers may send
// longUpload bytes.
func newUploadHarness(t *testing.T, forwarded bool, script func(http.ResponseWriter, *http.Request, string)) *harness {
	b := newHarness(t, script, script)
	b.bodyLimit = longUpload
	for n := range b.routes {
		b.routes[n].Timeout = uploadTimeout
	}
	b.setView(2)
	for _, s := range b.backends {
		s.leavesUploads = true
	}
	if forwarded {
		_, _, addr := b.forwardingPeer()
		b.cutOff(addr)
	}
	return b
}

// upload sends a request with a body of the size. A status of 0 means that the connection was closed.
func (b *harness) upload(path string, size int) response {
	req := b.request("POST", path, "", "Timeout", strconv.FormatInt(uploadTimeout.Milliseconds(), 10))
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
	res, err := b.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(body), err}
}

// forEachUpload plays a server's answer on all routes, directly and forwarded.
func forEachUpload(t *testing.T, script func(http.ResponseWriter, *http.Request, string), check func(t *testing.T, a response)) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, forwarded := range []bool{false, true} {
			t.Run(path+strconv.FormatBool(forwarded), func(t *testing.T) {
				for range uploadRounds {
					b := newUploadHarness(t, forwarded, script)
					check(t, b.upload(path, longUpload))
				}
			})
		}
	}
}

// Guards against a part of an answer without a length being told as the whole, if its server resets the
// connection while the request is still being written: the connection's error is reported to the writer
// alone, and the reader sees an end in order.
func TestAnswerResetDuringItsUploadIsNotRelayedAsComplete(t *testing.T) {
	for name, end := range map[string]uploadEnd{"reset": resetUpload, "closed unread": closeUploadUnread} {
		for kind, header := range map[string]string{"body": "", "events": "Content-Type: text/event-stream\r\n"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				forEachUpload(t, answerBeforeUpload(header, "data: part\n\n", end), func(t *testing.T, a response) {
					require.False(t, a.status/100 == 2 && a.err == nil, "told as complete: %d %q", a.status, a.body)
				})
			})
		}
	}
}

// A long part of an answer is passed on before its end is known.
func TestLongAnswerResetDuringItsUploadIsNotRelayedAsComplete(t *testing.T) {
	part := strings.Repeat("data: part\n\n", 2*maxBufferedBytes/12)
	forEachUpload(t, answerBeforeUpload("", part, resetUpload), func(t *testing.T, a response) {
		require.False(t, a.status/100 == 2 && a.err == nil, "told as complete: %d, %d bytes", a.status, len(a.body))
	})
}

// A server may answer before it has read a long body. An answer that ends in order is whole.
func TestAnswerThatEndsInOrderDuringItsUploadIsComplete(t *testing.T) {
	for name, end := range map[string]uploadEnd{"read later": endAndReadUpload, "closed later": endAndCloseLater} {
		for kind, header := range map[string]string{"by connection": "", "by length": "Content-Length: 13\r\n"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				forEachUpload(t, answerBeforeUpload(header, "data: whole\n\n", end), func(t *testing.T, a response) {
					require.NoError(t, a.err)
					require.Equal(t, http.StatusOK, a.status)
					require.Equal(t, "data: whole\n\n", a.body)
				})
			})
		}
	}
}
