package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondStatus returns a script that runs the request and responds with the status, and with the
// given headers.
func respondStatus(status int, headers ...string) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "why")
	}
}

// A status that promises that a request has not run is given only where no server can have run it,
// on each way that an attempt can end.
func TestStatusesThatPromiseNotRunAreTrue(t *testing.T) {
	type script = func(http.ResponseWriter, *http.Request, string)
	hang := func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }
	cut := func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "12345")
		panic(http.ErrAbortHandler)
	}
	long := func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(bytes.Repeat([]byte("x"), 2*maxBufferedBytes))
	}
	for name, tc := range map[string]struct {
		script script
		ran    bool // the server may have run the request
		timeMS int  // timeout of the request; 0: the route's
	}{
		"the server's 503":                     {respondStatus(503), true, 0},
		"a long 503":                           {long, true, 0},
		"the server's 429":                     {respondStatus(429), true, 0},
		"the server's 408":                     {respondStatus(408), true, 0},
		"the server's 500":                     {respondStatus(500), true, 0},
		"the server's 504":                     {respondStatus(504), true, 0},
		"not run 503":                          {respondStatus(503, "Not-Run", "1"), false, 0},
		"not run 429":                          {respondStatus(429, "Not-Run", "1"), false, 0},
		"421":                                  {respondStatus(421), false, 0},
		"late refusal of an earlier request":   {respondStatus(503, "Not-Run", "1", "Id", "earlier"), true, 0},
		"late 421 to an earlier request":       {respondStatus(421, "Id", "earlier"), true, 0},
		"late 429 to an earlier request":       {respondStatus(429, "Id", "earlier"), true, 0},
		"broken connection":                    {func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }, true, 0},
		"response that breaks off":             {cut, true, 0},
		"deadline":                             {hang, true, 100},
		"response without the server's proof":  {func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(503) }, true, 0},
		"stream of another kind than declared": {respondStatus(204), true, 0},
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			for _, forwarded := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, forwarded), func(t *testing.T) {
					b := newHarness(t, tc.script)
					if forwarded {
						_, _, addr := b.forwardingPeer()
						b.cutOff(addr)
					}
					req := b.request("POST", path, "body")
					if tc.timeMS > 0 {
						req.Header.Set("Timeout", fmt.Sprint(tc.timeMS))
					}
					status := 0 // the connection was closed
					if res, err := b.client.Do(req); err == nil {
						status = res.StatusCode
						_ = res.Body.Close()
					}
					require.Equal(t, !tc.ran, promisesNotRun(status), "status %d", status)
					require.LessOrEqual(t, b.calls(), int64(2))
					if tc.ran {
						require.EqualValues(t, 1, b.calls(), "it may run once at most")
					}
				})
			}
		}
	}
}

// What ends a request while its attempt runs, or just before it, decides by whether it may have run.
func TestRequestsThatEndEarlyArePromisedNothingOnceSent(t *testing.T) {
	for name, end := range map[string]func(b *harness){
		"shutdown":    func(b *harness) { b.relay.RefuseWaiting() },
		"server gone": func(b *harness) { b.backends[0].CloseClientConnections() },
		"key revoked": func(b *harness) {
			b.setAccounts(3, accountWith("first", "other"))
			b.backends[0].CloseClientConnections()
		},
		"servers not listed": func(b *harness) { gone := b.backends[0]; b.backends = nil; b.setView(4); gone.CloseClientConnections() },
	} {
		t.Run(name, func(t *testing.T) {
			started, release := make(chan struct{}, 1), make(chan struct{})
			b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
				started <- struct{}{}
				select {
				case <-release:
				case <-r.Context().Done():
				}
				respondStatus(503)(w, r, "")
			})
			b.setAccounts(2, accountWith("first", "k1"))
			status := make(chan int, 1)
			go func() {
				res, err := b.client.Do(b.request("POST", "/once/", "body", "Key", "k1"))
				if err != nil {
					status <- 0
					return
				}
				_ = res.Body.Close()
				status <- res.StatusCode
			}()
			<-started
			end(b)
			close(release)
			select {
			case got := <-status:
				require.False(t, promisesNotRun(got), "status %d", got)
			case <-time.After(5 * time.Second):
				require.Fail(t, "no answer")
			}
		})
	}
}
