package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/internal/respbody"
	"greengageferry/netconn"
	"greengageferry/topology"
)

// testHeaders implements Headers with short header names.
type testHeaders struct{}

func (testHeaders) RequestHeaders(h http.Header) RequestHeaders {
	ms, err := strconv.Atoi(h.Get("Timeout"))
	if err != nil {
		ms = 0 // not set
	}
	r := RequestHeaders{ID: h.Get("Id"), Model: h.Get("Model"), Timeout: time.Duration(ms) * time.Millisecond, LastEventID: h.Get("Last"), Resumes: h.Get("Resumes")}
	if n, err := strconv.Atoi(h.Get("Tokens")); err == nil {
		r.PromptTokens = n
	}
	if key := h.Get("Key"); key != "" {
		r.Key = topology.DigestKey(key)
	}
	return r
}

func (testHeaders) SetAttempt(h http.Header, a AttemptHeaders) {
	h.Del("Reserved")
	h.Set("Server-Id", a.Server)
	h.Del("Key")
	h.Del("Account")
	if a.Account != "" {
		h.Set("Account", a.Account)
	}
	h.Set("Urgency", strconv.Itoa(a.Urgency))
	h.Set("Timeout", strconv.Itoa(int(a.Remaining.Milliseconds())))
	if a.LastEventID != "" {
		h.Set("Last", a.LastEventID)
	}
	if a.Weights != 0 {
		h.Set("Expect-Weights", strconv.FormatInt(a.Weights, 10))
	}
}

func (testHeaders) ResponseHeaders(status int, h http.Header) ResponseHeaders {
	weights, err := strconv.ParseInt(h.Get("Weights"), 10, 64)
	if err != nil {
		weights = 0 // not stated
	}
	return ResponseHeaders{WeightVersion: weights, RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "" || status == 421, Encoded: h.Get("Content-Encoding") != ""}
}

func (testHeaders) EventWeightVersion(line []byte) int64 {
	text, _ := fieldValue(line, "weights")
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // not stated
	}
	return version
}

func (testHeaders) SetRemaining(h http.Header, remaining time.Duration) {
	h.Set("Timeout", strconv.Itoa(int(remaining.Milliseconds())))
}

func (testHeaders) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
}

func (testHeaders) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

type testMetrics struct{}

func (testMetrics) ObserveRequest(string, time.Duration) {}

func (testMetrics) ObserveFirstByte(time.Duration) {}

func (testMetrics) CountDecision(string, string) {}

func (testMetrics) ObserveQueueTime(time.Duration) {}

func (testMetrics) ObserveStreamGap(time.Duration) {}

func (testMetrics) CountRankDecision(string, int, bool) {}
func (testMetrics) CountRateLimitedAttempt()            {}

func (testMetrics) CountBacklogRefusal(bool) {}

func (testMetrics) CountGatewayAdmission(string) {}

func (testMetrics) CountSendings(bool, int) {}

func (testMetrics) CountResumption(string, string, string) {}

func (testMetrics) CountEventOrder(string, string) {}

func (testMetrics) CountConnectionEnd(string) {}

func (testMetrics) CountBody(respbody.Framing, respbody.End) {}

// backendServer responds as its script does, and counts the requests that it receives.
type backendServer struct {
	*httptest.Server
	calls  atomic.Int64
	script func(w http.ResponseWriter, r *http.Request, body string)
	left   chan struct{} // nothing sends on it or reads it
	// leavesUploads: the script is called before the request's body is read.
	leavesUploads bool
}

// writeSeal sets the headers that show that the server itself sent the response.
func writeSeal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
}

// respondWith returns a script that sends a sealed response with the text.
func respondWith(text string) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		writeSeal(w, r)
		_, _ = io.WriteString(w, text)
	}
}

// harness connects a client, a relay and scripted servers.
type harness struct {
	t         *testing.T
	relay     *Relay
	front     *httptest.Server
	backends  []*backendServer
	routes    []topology.Route
	accounts  *topology.Accounts // nil: requests need no API key
	trust     ConfigTrust
	client    *http.Client
	versions  []string // software versions of the servers, by index; beyond: "v1"
	origins   fakeOrigins
	bodyLimit int64   // of callers' requests, in bytes; 0: 1000
	weights   []int64 // versions of the weights of model "m" that the servers hold, by index; nil: there are no models
}

// fakeOrigins implements Origins.
type fakeOrigins struct {
	mu    sync.Mutex
	known map[string]Origin
	only  string // the one version possible; empty: there may be several
	// settled is the version at which streams begin; empty: any
	settled string
	weights ModelWeights
	// seen are the versions of the weights that aren't new
	seen []int64
}

func (f *fakeOrigins) Began(id string, o Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[string]Origin{}
	}
	f.known[id] = o
}

func (f *fakeOrigins) Find(_ context.Context, id, _ string) (Origin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.known[id]
	return o, ok
}

func (f *fakeOrigins) Only(string) (string, bool) { return f.only, f.only != "" }

func (f *fakeOrigins) Settled(string) (string, bool) { return f.settled, f.settled != "" }

func (f *fakeOrigins) Weights(string, string) ModelWeights {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.weights
}

func (f *fakeOrigins) SawWeights(_, _ string, version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isNew := len(f.seen) > 0 && !slices.Contains(f.seen, version)
	f.seen = append(f.seen, version)
	return isNew
}

// newHarness starts a relay and one server for each script. Routes: /once/ is not
// idempotent, /safe/ is, /stream/ is a non-idempotent stream and /resume/ a resumable
// one. Each request is sent to at most two servers.
func newHarness(t *testing.T, scripts ...func(http.ResponseWriter, *http.Request, string)) *harness {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &harness{t: t, trust: ConfigTrust{MayReject: true, MayAccept: true}}
	b.relay = New(Options{
		Headers: testHeaders{}, Log: log, Metrics: testMetrics{}, Rand: rand.New(rand.NewPCG(1, 1)),
		Trust: func() ConfigTrust { return b.trust }, Origins: &b.origins,
	})
	for _, script := range scripts {
		s := &backendServer{script: script, left: make(chan struct{}, 100)}
		s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.calls.Add(1)
			if s.leavesUploads {
				s.script(w, r, "")
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			s.script(w, r, string(body))
		}))
		b.backends = append(b.backends, s)
		t.Cleanup(s.Close)
	}
	choice := []topology.Choice{{Service: "svc", Weight: 1}}
	for _, r := range []topology.Route{
		{Name: "once", Prefix: "/once/", Retry: topology.AtMostOnce},
		{Name: "safe", Prefix: "/safe/", Retry: topology.Idempotent},
		{Name: "stream", Prefix: "/stream/", Retry: topology.AtMostOnce, Stream: true, Goal: time.Second},
		{Name: "resume", Prefix: "/resume/", Retry: topology.Resumable, Stream: true, Goal: time.Second},
	} {
		r.Host, r.Timeout, r.Attempts, r.Choices = "example.test", 3*time.Second, 2, choice
		b.routes = append(b.routes, r)
	}
	b.setView(1)
	b.front = httptest.NewUnstartedServer(b.relay)
	b.front.Config.ConnContext = netconn.ConnContext
	b.front.Start()
	b.client = b.front.Client()
	t.Cleanup(func() {
		b.front.Close()
		b.relay.backends.retainListed(nil)
	})
	return b
}

func (b *harness) setView(version int64) {
	v := &topology.View{
		Config: &topology.Config{
			Version: version, Routes: b.routes, Accounts: b.accounts, Services: map[string]topology.Service{"svc": {Name: "svc"}},
			Limits: topology.Limits{BodyBytes: cmp.Or(b.bodyLimit, 1000), IdleTimeout: time.Second},
		},
		Index:             topology.NewIndex(b.routes),
		InstancesByDomain: map[string]int{"d": 1},
	}
	var versions []string
	for i, s := range b.backends {
		version := "v1"
		if i < len(b.versions) {
			version = b.versions[i]
		}
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
		v.Servers = append(v.Servers, topology.Server{SoftwareVersion: version, ID: fmt.Sprint("s", i), Service: "svc", Addr: s.Listener.Addr().String(), Domain: "d", Slots: 4})
	}
	v.Versions = map[string][]string{"svc": versions}
	if b.weights != nil {
		holdModel(v, b.weights)
	}
	b.relay.SetView(v, topology.BuildTable("d", v, decide.RetryPolicy{}))
}

func (b *harness) request(method, path, body string, headers ...string) *http.Request {
	req, err := http.NewRequest(method, b.front.URL+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Host = "example.test"
	req.Header.Set("Id", "r1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

type response struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (b *harness) do(req *http.Request) response {
	res, err := b.client.Do(req)
	require.NoError(b.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(body), err}
}

func (b *harness) calls() int64 {
	n := int64(0)
	for _, s := range b.backends {
		n += s.calls.Load()
	}
	return n
}
