package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

func TestRequestAndResponseRelayedUnchanged(t *testing.T) {
	var got struct {
		uri, body, host, custom, reserved, hop, server, agent string
	}
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, body string) {
		got.uri, got.body, got.host = r.RequestURI, body, r.Host
		got.custom, got.reserved, got.hop = r.Header.Get("Custom"), r.Header.Get("Reserved"), r.Header.Get("Named")
		got.server, got.agent = r.Header.Get("Server-Id"), r.Header.Get("User-Agent")
		writeSeal(w, r)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "answer")
	})
	req := b.request("POST", "/once/a%2Fb//c?x=%20y&&z", "the body", "Custom", "1", "Reserved", "2", "Connection", "Named", "Named", "3", "User-Agent", "")
	a := b.do(req)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusAccepted, a.status)
	require.Equal(t, "answer", a.body)
	require.Equal(t, "s", a.header.Get("Seal"))
	require.NotContains(t, a.header, "Content-Type-Guessed")
	require.Equal(t, "/once/a%2Fb//c?x=%20y&&z", got.uri)
	require.Equal(t, "the body", got.body)
	require.Equal(t, "example.test", got.host)
	require.Equal(t, "1", got.custom)
	require.Empty(t, got.reserved, "a reserved header must not come from the caller")
	require.Empty(t, got.hop, "hop-by-hop headers must not be forwarded")
	require.Empty(t, got.agent)
	require.Equal(t, "s0", got.server)
}

func TestInvalidRequestsRejected(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	require.Equal(t, 404, b.do(b.request("GET", "/nowhere/", "")).status)
	other := b.request("GET", "/safe/", "")
	other.Host = "other.test"
	require.Equal(t, 404, b.do(other).status)
	require.Equal(t, 400, b.do(b.request("GET", "/safe/", "", "Id", "")).status)
	require.Equal(t, 413, b.do(b.request("POST", "/once/", strings.Repeat("x", 1001))).status)
	chunked := b.request("POST", "/once/", "")
	chunked.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001)))
	chunked.ContentLength = -1
	require.Equal(t, 413, b.do(chunked).status)
	require.Zero(t, b.calls())
}

func TestNoConfigurationReturnsRetryAfter(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.relay.view.Store(nil)
	a := b.do(b.request("GET", "/safe/", ""))
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

func TestNewConfigurationAppliesToNextRequest(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.routes = b.routes[:1]
	b.setView(2)
	require.Equal(t, 404, b.do(b.request("GET", "/safe/", "")).status)
}

func TestRefusedRequestRetriedElsewhere(t *testing.T) {
	var refused atomic.Bool
	script := func(w http.ResponseWriter, r *http.Request, body string) {
		if refused.CompareAndSwap(false, true) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respondWith("ok")(w, r, body)
	}
	b := newHarness(t, script, script)
	a := b.do(b.request("POST", "/once/", "body"))
	require.Equal(t, 200, a.status)
	require.EqualValues(t, 2, b.calls())
}

func TestRefusalByAllServersReturnsRetryAfter(t *testing.T) {
	full := func(w http.ResponseWriter, r *http.Request, _ string) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	b := newHarness(t, full, full)
	a := b.do(b.request("POST", "/once/", "body"))
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Empty(t, a.header.Get("Seal"))
	require.EqualValues(t, 2, b.calls(), "at most the route's number of attempts")
}

// unknownOutcomeScripts leave it unknown whether the request ran.
var unknownOutcomeScripts = map[string]func(http.ResponseWriter, *http.Request, string){

	"closed": func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) },
	"cut": func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "12345")
		panic(http.ErrAbortHandler)
	},
	"of another request": func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.Header().Set("Id", "another")
		_, _ = io.WriteString(w, "another's answer")
	},
	"without proof": func(w http.ResponseWriter, r *http.Request, _ string) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "forged")
	},
	"encoded": func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, "not the server's body")
	},
	"busy without a promise": func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
	},
}

func TestNonIdempotentNotRetriedAfterUnknownOutcome(t *testing.T) {
	for name, script := range unknownOutcomeScripts {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, script, script)
			a := b.do(b.request("POST", "/once/", "body"))
			require.Equal(t, http.StatusBadGateway, a.status)
			require.Empty(t, a.header.Get("Seal"))
			require.EqualValues(t, 1, b.calls())
		})
	}
}

func TestIdempotentRetriedAfterUnknownOutcome(t *testing.T) {
	for name, script := range unknownOutcomeScripts {
		t.Run(name, func(t *testing.T) {
			var broken atomic.Bool
			once := func(w http.ResponseWriter, r *http.Request, body string) {
				if broken.CompareAndSwap(false, true) {
					script(w, r, body)
					return
				}
				respondWith("ok")(w, r, body)
			}
			b := newHarness(t, once, once)
			a := b.do(b.request("GET", "/safe/", ""))
			require.Equal(t, 200, a.status)
			require.Equal(t, "ok", a.body)
			require.EqualValues(t, 2, b.calls())
		})
	}
}

func TestServerErrorRelayed(t *testing.T) {
	fails := func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "why")
	}
	b := newHarness(t, fails, fails)
	for _, path := range []string{"/once/", "/safe/"} {
		a := b.do(b.request("GET", path, ""))
		require.Equal(t, 500, a.status)
		require.Equal(t, "why", a.body)
		require.Equal(t, "s", a.header.Get("Seal"))
	}
	require.EqualValues(t, 3, b.calls(), "one attempt for /once/, two for /safe/")
}

func TestStatusAtDeadline(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() }
	b := newHarness(t, hang)
	a := b.do(b.request("POST", "/once/", "body", "Timeout", "150"))
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	b.backends = nil
	b.setView(2)
	a = b.do(b.request("POST", "/once/", "body", "Timeout", "150"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// A server that accepts no connection cannot have run the request, also if the deadline
// passes meanwhile.
func TestUnreachableServerAnsweredAsNotRun(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.backends[0].Close()
	a := b.do(b.request("POST", "/once/", "body", "Timeout", "400"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

func TestServerGetsRemainingTime(t *testing.T) {
	var left int
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, body string) {
		left, _ = strconv.Atoi(r.Header.Get("Timeout")) // written by the relay
		respondWith("")(w, r, body)
	})
	b.do(b.request("POST", "/once/", "", "Timeout", "1000"))
	require.Positive(t, left)
	require.LessOrEqual(t, left, 1000)
	b.do(b.request("POST", "/once/", "", "Timeout", "60000"))
	require.LessOrEqual(t, left, 3000, "the route's timeout")
}

func TestIdempotentRequestsWithStoppedServer(t *testing.T) {
	b := newHarness(t, respondWith("a"), respondWith("b"))
	b.backends[0].Close()
	for range 6 {
		require.Equal(t, 200, b.do(b.request("GET", "/safe/", "")).status)
	}
}

func TestDrainThenRefuse(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	b.relay.Drain(Shutdown{})
	a := b.do(b.request("GET", "/safe/", ""))
	require.Equal(t, 200, a.status)
	b.relay.RefuseWaiting()
	require.Equal(t, 503, b.do(b.request("GET", "/safe/", "")).status)
}

// Requests with ambiguous framing, with a second request after the end of the chunks. The
// second must not reach a server as a request of its own.
func TestSmuggledRequestNotServed(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	u, err := url.Parse(b.front.URL)
	require.NoError(t, err)
	for _, head := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"Content-Length: 4\r\nContent-Length: 90\r\n",
		"Transfer-Encoding: xchunked\r\n",
	} {
		before := b.calls()
		conn, err := net.Dial("tcp", u.Host)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: example.test\r\nId: r1\r\n"+head+"\r\n0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: example.test\r\nId: smuggled\r\n\r\n")
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.GreaterOrEqual(t, res.StatusCode, 200)
		res.Body.Close()
		conn.Close()
		require.LessOrEqual(t, b.calls(), before+1)
	}
}

func TestIdleTimeoutShorterThanKeepAlive(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Keep-Alive", "timeout=10, max=5")
		respondWith("x")(w, r, body)
	})
	for range 3 {
		b.do(b.request("GET", "/safe/", ""))
	}
	require.Equal(t, 8*time.Second, b.relay.backends.pools["s0"].idleTimeout)
	require.Equal(t, 8*time.Second, b.relay.backends.pools["s0"].transports[0].IdleConnTimeout)
	require.Zero(t, keepAliveTimeout(""))
	require.Zero(t, keepAliveTimeout("timeout=x"))
	require.Zero(t, keepAliveTimeout("timeout=-1"))
}
