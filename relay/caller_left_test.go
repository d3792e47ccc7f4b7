package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/netconn"
)

// leaveBeforeWrite returns a context in which attempts are written only after leave was called: the
// process was held between the decision to write and the write.
func leaveBeforeWrite(leave func()) func(net.Listener) context.Context {
	trace := &httptrace.ClientTrace{WroteHeaders: leave} // into a buffer that is written next
	return func(net.Listener) context.Context { return httptrace.WithClientTrace(context.Background(), trace) }
}

// serveWith serves h with contexts that derive from base. The end of a connection is read late.
func serveWith(t *testing.T, h http.Handler, base func(net.Listener) context.Context) string {
	s := httptest.NewUnstartedServer(h)
	now, ended := make(chan struct{}), make(chan struct{})
	close(now)
	s.Listener = lateListener{s.Listener, now, ended}
	s.Config.ConnContext, s.Config.BaseContext = netconn.ConnContext, base
	s.Start()
	t.Cleanup(func() {
		close(ended)
		s.Close()
	})
	return s.Listener.Addr().String()
}

// leavingConn is a caller's connection that is closed, and known to be closed, once leave returns.
type leavingConn struct{ net.Conn }

func (c *leavingConn) leave() {
	_ = c.Close()
	time.Sleep(20 * time.Millisecond) // on loopback it has arrived long before
}

// The caller leaves after its connection was checked and before the request is written.
func TestRequestIsNotWrittenOnceItsCallerHasLeft(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, body := range []string{"", "the body"} {
			b := newHarness(t, respondWith("x"))
			caller := &leavingConn{}
			addr := serveWith(t, b.relay, leaveBeforeWrite(func() { caller.leave() }))
			conn, err := net.Dial("tcp4", addr)
			require.NoError(t, err)
			caller.Conn = conn
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: example.test\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(b.relay.backends.addrs()) == 1 && b.relay.ActiveRequests() == 0 }, 5*time.Second, time.Millisecond)
			require.Zero(t, b.calls(), "%s with body %q", path, body)
		}
	}
}

// The same at an instance that forwards, whose caller is another instance.
func TestForwardedAttemptIsNotWrittenOnceItsInstanceHasLeft(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	r, forwards, _ := b.forwardingPeer()
	caller := &leavingConn{}
	addr := serveWith(t, forwards, leaveBeforeWrite(func() { caller.leave() }))
	conn, err := net.Dial("tcp4", addr)
	require.NoError(t, err)
	caller.Conn = conn
	_, err = fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: example.test\r\nId: r1\r\n%s: s0\r\n\r\n", headerForwardTo)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(r.backends.addrs()) == 1 && forwards.Active() == 0 }, 5*time.Second, time.Millisecond)
	require.Zero(t, b.calls())
}

// occupyProcessor has goroutines take turns on the process's only processor, so that one that becomes
// ready waits about two seconds. It returns a function that ends them.
func occupyProcessor() (release func()) {
	const goroutines, turn = 400, 5 * time.Millisecond
	procs := runtime.GOMAXPROCS(1)
	done := make(chan struct{})
	for range goroutines {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				for began := time.Now(); time.Since(began) < turn; {
					runtime.KeepAlive(began)
				}
				runtime.Gosched()
			}
		}()
	}
	return func() {
		close(done)
		runtime.GOMAXPROCS(procs)
	}
}

// holdRun returns a script that sends the beginning of an answer and leaves the run unended, and the
// connection of the run.
func holdRun(answer string) (func(http.ResponseWriter, *http.Request, string), <-chan net.Conn) {
	runs := make(chan net.Conn, 1)
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the test has ended
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", r.Header.Get("Id"))) // fails only if the relay has left
		runs <- conn
	}, runs
}

// leftAfter is how long after a caller has left its server may still be at work.
const leftAfter = 500 * time.Millisecond

// An instance short of processor time must still end the run of a caller that leaves.
func TestRunEndsSoonAfterItsCallerLeftABusyInstance(t *testing.T) {
	const event = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"f\r\nid: 1\ndata: x\n\n\r\n"
	for path, answer := range map[string]string{"/safe/": "", "/stream/": event, "/resume/": event} {
		t.Run(path, func(t *testing.T) {
			script, runs := holdRun(answer)
			b := newHarness(t, script)
			conn, err := net.Dial("tcp4", b.front.Listener.Addr().String())
			require.NoError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: example.test\r\nId: r1\r\n\r\n", path)
			require.NoError(t, err)
			run := <-runs
			defer run.Close()
			time.Sleep(100 * time.Millisecond) // the first event is passed on
			defer occupyProcessor()()
			time.Sleep(100 * time.Millisecond)
			require.True(t, netconn.OpenAndSilent(run))
			require.NoError(t, conn.Close())
			left := time.Now()
			for netconn.OpenAndSilent(run) && time.Since(left) < 10*leftAfter {
				time.Sleep(70 * time.Millisecond) // a timer's goroutine runs before those that wait
			}
			require.Less(t, time.Since(left), leftAfter)
		})
	}
}
