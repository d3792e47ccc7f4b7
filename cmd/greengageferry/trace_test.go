package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/platform"
	"greengageferry/relay"
	"greengageferry/topology"
)

func TestTraceFindsARequestsLines(t *testing.T) {
	lines, err := traceLines(strings.NewReader(`a time="2026-01-01T00:00:02.000Z" level=info msg="request ended" request=12 status=503
a time="2026-01-01T00:00:01.000Z" level=info msg="request decision" action=queue request=12
a time="2026-01-01T00:00:01.000Z" level=info msg="request decision" action=queue request=123
a time="2026-01-01T00:00:01.000Z" level=info msg="server gone" server=12
`), "12")
	require.NoError(t, err)
	require.Len(t, lines, 2)
	require.Less(t, logTime(lines[1]), logTime(lines[0]))
}

// failing is a relay before one server that fails by its script, with its log.
type failing struct {
	front *httptest.Server
	log   bytes.Buffer
	mu    sync.Mutex
}

// Write implements io.Writer for the log.
func (f *failing) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(line)
}

func (f *failing) story(t *testing.T, id string) string {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines, err := traceLines(strings.NewReader(f.log.String()), id)
	require.NoError(t, err)
	return strings.Join(lines, "\n")
}

// noMetrics implements relay.Metrics.
type noMetrics struct{}

func (noMetrics) ObserveRequest(string, time.Duration) {}
func (noMetrics) ObserveFirstByte(time.Duration)       {}
func (noMetrics) CountDecision(string, string)         {}
func (noMetrics) ObserveQueueTime(time.Duration)       {}
func (noMetrics) CountRateLimitedAttempt()             {}
func (noMetrics) ObserveStreamGap(time.Duration)       {}

func newFailing(t *testing.T, script http.HandlerFunc) *failing {
	f := &failing{}
	log := logrus.New()
	log.SetOutput(f)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	r := relay.New(relay.Options{Headers: platform.Headers{}, Log: log, Metrics: noMetrics{}, Rand: rand.New(rand.NewPCG(1, 1))})
	server := httptest.NewServer(script)
	t.Cleanup(server.Close)
	routes := []topology.Route{
		{Name: "orders", Host: "x.example", Prefix: "/orders/", Attempts: 1, Timeout: time.Second, Choices: []topology.Choice{{Service: "svc", Weight: 1}}},
		{Name: "drafts", Host: "x.example", Prefix: "/drafts/", Attempts: 1, Timeout: time.Second, Stream: true, Choices: []topology.Choice{{Service: "svc", Weight: 1}}},
		{Name: "absent", Host: "x.example", Prefix: "/absent/", Attempts: 1, Timeout: time.Second, Choices: []topology.Choice{{Service: "none", Weight: 1}}},
	}
	v := &topology.View{
		Config: &topology.Config{Version: 5, Routes: routes, Services: map[string]topology.Service{"svc": {Name: "svc"}, "none": {Name: "none"}}},
		Index:  topology.NewIndex(routes),
		Servers: []topology.Server{{
			ID: "i-1", Service: "svc", Addr: server.Listener.Addr().String(), Domain: "east", Slots: 4,
		}},
	}
	r.SetView(v, topology.BuildTable("east", v, decide.RetryPolicy{}))
	f.front = httptest.NewServer(r)
	t.Cleanup(f.front.Close)
	return f
}

func (f *failing) send(t *testing.T, id, path string) int {
	t.Helper()
	req, err := http.NewRequest("POST", f.front.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "x.example"
	req.Header.Set("Greengageferry-Request-Id", id)
	res, err := f.front.Client().Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // may be broken off: that is the point
	return res.StatusCode
}

func TestARefusedRequestsStoryNamesTheReason(t *testing.T) {
	f := newFailing(t, func(http.ResponseWriter, *http.Request) {})
	require.Equal(t, 503, f.send(t, "aa", "/absent/"))
	story := f.story(t, "aa")
	for _, want := range []string{"action=refuse", "reason=no_replica", "target=none", "retry_after_ms=", "status=503", "may_run=false", "config=5"} {
		require.Contains(t, story, want)
	}
}

func TestAnUnknownRunsStoryNamesTheServerAndWhy(t *testing.T) {
	f := newFailing(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	require.Equal(t, 502, f.send(t, "bb", "/orders/"))
	story := f.story(t, "bb")
	for _, want := range []string{"action=dispatch", "attempt failed", "server=i-1", "domain=east", "effect unknown", "reason=may_have_run", "status=502", "may_run=true"} {
		require.Contains(t, story, want)
	}
}

func TestABrokenStreamsStorySaysHowFarItCame(t *testing.T) {
	f := newFailing(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Greengageferry-Request-Id", r.Header.Get("Greengageferry-Request-Id"))
		w.Header().Set("Greengageferry-Server-Seal", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	require.Equal(t, 200, f.send(t, "cc", "/drafts/"))
	require.Eventually(t, func() bool { return strings.Contains(f.story(t, "cc"), "request ended") }, 5*time.Second, time.Millisecond)
	story := f.story(t, "cc")
	for _, want := range []string{"attempt failed", "server=i-1", "reason=stream_broke", "events=1", "first_byte_ms=", "may_run=true"} {
		require.Contains(t, story, want)
	}
}
