package relay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// leftUntilEnd is what is left of the grace when requests of these tests are passed on or sent again.
	leftUntilEnd = time.Second
	// longDuration is how long requests of the routes usually take: more than what is left.
	longDuration = 2 * time.Second
)

// drainSoonDone has the relay drain with leftUntilEnd of its grace left. usual is the duration of all routes'
// requests; 0: not known.
func (b *harness) drainSoonDone(usual time.Duration) {
	for _, r := range b.routes {
		for range 50 { // until the deviation from the first one is forgotten
			if usual > 0 {
				b.relay.durations.observe(r.Name, usual)
			}
		}
	}
	b.relay.Drain(Shutdown{SwitchedBy: time.Now(), AnswerBy: time.Now().Add(leftUntilEnd)})
}

// Guards against a request being passed on that takes longer than what is left of the grace.
func TestRequestThatCannotEndInTheGraceIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		usual  time.Duration
		header []string
		status int
	}{
		"long":                  {usual: longDuration, status: http.StatusServiceUnavailable},
		"not known":             {status: http.StatusServiceUnavailable},
		"short":                 {usual: leftUntilEnd / 4, status: http.StatusOK},
		"not known, soon ended": {header: []string{"Timeout", "500"}, status: http.StatusOK},
		"long, soon ended":      {usual: longDuration, header: []string{"Timeout", "500"}, status: http.StatusOK},
	} {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			for way, forwarded := range map[string]bool{" direct": false, " forwarded": true} {
				t.Run(name+way+path, func(t *testing.T) {
					b := newHarness(t, respondWith(soundBody))
					if forwarded {
						_, _, addr := b.forwardingPeer()
						b.cutOff(addr)
					}
					b.drainSoonDone(tc.usual)
					a := b.do(b.request("POST", path, "body", tc.header...))
					require.NoError(t, a.err)
					require.Equal(t, tc.status, a.status)
					if tc.status == http.StatusServiceUnavailable {
						require.Zero(t, b.calls())
						require.Equal(t, "0.10", a.header.Get("Retry-After"))
					}
				})
			}
		}
	}
}

// Guards against a request being sent again that takes longer than what is left of the grace.
func TestRequestIsNotSentAgainShortBeforeTheEnd(t *testing.T) {
	draining := make(chan *harness, 1)
	fail := func(w http.ResponseWriter, r *http.Request, _ string) {
		b := <-draining
		b.drainSoonDone(longDuration)
		if r.URL.Path == "/resume/" {
			writeSeal(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, streamBody(1, 2)) // fails only if the relay has left
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
	for _, path := range []string{"/safe/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			b := newHarness(t, fail, fail)
			draining <- b
			a := b.do(b.request("POST", path, "body"))
			require.EqualValues(t, 1, b.calls())
			if path == "/resume/" {
				require.Error(t, a.err, "a part of the stream isn't complete")
				return
			}
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.status)
		})
	}
}

// Guards against the caller's connection being closed without an answer at the end of the grace.
func TestRequestWithoutAnswerAtTheEndGetsAnError(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for way, forwarded := range map[string]bool{" direct": false, " forwarded": true} {
			t.Run(path+way, func(t *testing.T) {
				running, ended := make(chan struct{}, 2), make(chan struct{})
				silent := func(_ http.ResponseWriter, r *http.Request, _ string) {
					running <- struct{}{}
					select {
					case <-r.Context().Done():
					case <-ended:
					}
				}
				b := newHarness(t, silent, silent)
				if forwarded {
					_, _, addr := b.forwardingPeer()
					b.cutOff(addr)
				}
				defer close(ended)
				go func() {
					<-running
					b.relay.EndUnanswered()
				}()
				begun := time.Now()
				a := b.do(b.request("POST", path, "body"))
				require.NoError(t, a.err)
				require.Equal(t, http.StatusBadGateway, a.status, "it may have run")
				require.Less(t, time.Since(begun), time.Second)
				require.EqualValues(t, 1, b.calls())
			})
		}
	}
}

// A request that was never sent is refused at the end: it didn't run.
func TestRequestThatWaitsAtTheEndIsRefused(t *testing.T) {
	release := make(chan struct{})
	b := newHarness(t, func(http.ResponseWriter, *http.Request, string) { <-release })
	defer close(release)
	statuses := make(chan int, 100)
	sent := 0
	for ; b.relay.dispatcher.queuedCalls() == 0; sent++ { // until the server takes no more
		go func() { statuses <- b.do(b.request("POST", "/once/", "body")).status }()
		time.Sleep(10 * time.Millisecond) // until the request was sent or queued
	}
	running := b.calls()
	b.relay.EndUnanswered()
	counts := map[int]int{}
	for range sent {
		counts[<-statuses]++
	}
	require.Equal(t, map[int]int{http.StatusBadGateway: int(running), http.StatusServiceUnavailable: sent - int(running)}, counts)
	require.Equal(t, running, b.calls(), "no other request is sent")
}

// Guards against an instance that has begun to drain passing on another one's attempt whose body has
// arrived since.
func TestForwardWhoseBodyArrivesWhileDrainingIsNotSent(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	peer, _, addr := b.forwardingPeer()
	body, rest := io.Pipe()
	req, err := http.NewRequest("POST", "http://"+addr+"/once/", body)
	require.NoError(t, err)
	req.ContentLength = 4
	req.Header.Set("Id", "r1")
	req.Header.Set(headerForwardTo, "s0")
	go func() {
		_, _ = io.WriteString(rest, "bod")
		time.Sleep(50 * time.Millisecond) // until the instance reads the body
		peer.Drain(Shutdown{})
		_, _ = io.WriteString(rest, "y")
		_ = rest.Close()
	}()
	a := b.do(req)
	require.NoError(t, a.err)
	require.Equal(t, "1", a.header.Get(headerForwardUnsent))
	require.Zero(t, b.calls())
}
