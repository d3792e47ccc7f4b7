package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/internal/peakheap"
)

// endlessBytes returns a script that sends the head and then the part again and again, until the
// relay closes the connection. open counts the connections on which it still does.
func endlessBytes(t *testing.T, open *atomic.Int64, head string, part []byte) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		open.Add(1)
		defer open.Add(-1)
		defer c.Close()
		if head != "" {
			_, err = fmt.Fprintf(c, head, r.Header.Get("Id"))
		}
		for err == nil {
			_, err = c.Write(part)
		}
	}
}

const (
	endlessRequests = 24                     // at a time, to servers that send bytes without end
	endlessTimeout  = 250 * time.Millisecond // of these requests
	// endlessSlack is how much later their ends may be seen.
	endlessSlack = time.Second
	// maxEndlessHeap bounds the memory that they take together, bodies of callers included: a
	// megabyte each.
	maxEndlessHeap = endlessRequests << 20
)

// Guards against a server in trouble whose bytes without end, in a head or in a body, take an instance's
// memory or time, or harm requests to other servers.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n"
	junk := bytes.Repeat([]byte("x"), 16<<10)
	chunk := append([]byte("4000\r\n"), append(bytes.Repeat([]byte("x"), 0x4000), "\r\n"...)...)
	for name, tc := range map[string]struct {
		head string
		part []byte
	}{
		"no answer":                  {"", junk},
		"no answer, in lines":        {"", []byte("no answer\r\n")},
		"status line":                {"HTTP/1.1 200 ", junk},
		"header line":                {sealed + "X: ", junk},
		"header lines":               {sealed, append(append([]byte("X: "), junk...), "\r\n"...)},
		"header line, by the byte":   {sealed + "X: ", []byte("x")},
		"header lines, by the byte":  {sealed, []byte("X: 1\r\n")},
		"body, by the byte":          {sealed + "\r\n", []byte("x")},
		"comments of events":         {sealed + "Content-Type: text/event-stream\r\n\r\n", []byte(": x\n")},
		"informational heads":        {"", []byte("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n")},
		"body of no request":         {"HTTP/1.1 200 OK\r\n\r\n", junk},
		"body of a refusal":          {"HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nSeal: s\r\n\r\n", junk},
		"body":                       {sealed + "\r\n", junk},
		"chunks":                     {sealed + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"chunk's length":             {sealed + "Transfer-Encoding: chunked\r\n\r\n", bytes.Repeat([]byte("0"), 16<<10)},
		"event":                      {sealed + "Content-Type: text/event-stream\r\n\r\ndata: ", junk},
		"event after another":        {sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\ndata: ", junk},
		"trailer after the last one": {sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", append([]byte("X: "), junk...)},
	} {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			for _, forwarded := range []bool{false, true} {
				if forwarded && path != "/resume/" {
					continue
				}
				t.Run(fmt.Sprint(name, path, forwarded), func(t *testing.T) {
					var open atomic.Int64
					b := newHarness(t, endlessBytes(t, &open, tc.head, tc.part))
					other := newHarness(t, respondWith("sound"))
					if forwarded {
						_, _, addr := b.forwardingPeer()
						b.cutOff(addr)
					}
					stop := peakheap.Watch()
					b.playEndless(path, other)
					peak := stop()
					require.Eventually(t, func() bool { return open.Load() == 0 }, endlessSlack, 10*time.Millisecond, "the relay closes the connections")
					require.Less(t, peak, uint64(maxEndlessHeap), "bytes of memory")
				})
			}
		}
	}
}

// playEndless sends requests to the harness's server, whose bytes have no end, and others to a sound
// one meanwhile.
func (b *harness) playEndless(path string, other *harness) {
	var calls sync.WaitGroup
	for range endlessRequests {
		calls.Go(func() {
			begun := time.Now()
			res, err := b.client.Do(b.request("POST", path, "body", "Timeout", fmt.Sprint(endlessTimeout.Milliseconds())))
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body) // its end, and not its content, is checked
				_ = res.Body.Close()
			}
			if took := time.Since(begun); took > endlessTimeout+endlessSlack {
				b.t.Errorf("the request ended after %v", took)
			}
		})
	}
	for range 20 {
		if a := other.do(other.request("POST", "/once/", "body")); a.status != http.StatusOK || a.body != "sound" {
			b.t.Errorf("status %d of a sound server's answer", a.status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	calls.Wait()
}

// Guards against a body without end taking an instance's memory while its callers read nothing of it.
func TestBytesWithoutEndToCallersThatDoNotReadAreBounded(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n"
	for name, tc := range map[string]struct {
		head string
		part []byte
	}{
		"body":   {sealed + "\r\n", bytes.Repeat([]byte("x"), 16<<10)},
		"events": {sealed + "Content-Type: text/event-stream\r\n\r\n", bytes.Repeat([]byte("data: x\n\n"), 1000)},
	} {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			t.Run(name+path, func(t *testing.T) {
				var open atomic.Int64
				b := newHarness(t, endlessBytes(t, &open, tc.head, tc.part))
				stop := peakheap.Watch()
				var calls sync.WaitGroup
				for range endlessRequests {
					calls.Go(func() {
						res, err := b.client.Do(b.request("POST", path, "body", "Timeout", fmt.Sprint(endlessTimeout.Milliseconds())))
						if err != nil {
							return
						}
						time.Sleep(2 * endlessTimeout) // without reading
						_ = res.Body.Close()
					})
				}
				calls.Wait()
				peak := stop()
				require.Eventually(t, func() bool { return open.Load() == 0 }, slowCallerGrace+endlessSlack, 10*time.Millisecond, "the relay closes the connections")
				require.Less(t, peak, uint64(maxEndlessHeap), "bytes of memory")
			})
		}
	}
}
