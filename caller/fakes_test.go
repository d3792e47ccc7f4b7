package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

	"greengageferry/claims"
	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/testmain"
	"greengageferry/record"
)

func TestMain(m *testing.M) { testmain.Run(m) }

const (
	testKey  = "galley-key"
	otherKey = "campo-key"
)

type fakeDirectory struct{ cfg *config.Config }

func (d *fakeDirectory) Config() *config.Config { return d.cfg }

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fakeEngine answers Generate with the function generate. If that is nil, it streams
// the tokens t0, t1, … up to the request's limit.
type fakeEngine struct {
	generate func(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error)
	status   func(addr string) (infra.ServerStatus, error)

	mu       sync.Mutex
	requests []infra.GenerateRequest
	canceled []string
	closed   int
}

func (e *fakeEngine) Generate(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error) {
	e.mu.Lock()
	e.requests = append(e.requests, req)
	e.mu.Unlock()
	if e.generate != nil {
		return e.generate(ctx, addr, req)
	}
	return e.stream(ctx, completeAnswer(req)), nil
}

func (e *fakeEngine) attempts() []infra.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]infra.GenerateRequest(nil), e.requests...)
}

func (e *fakeEngine) Cancel(_ context.Context, _, attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, attempt)
	return nil
}

func (e *fakeEngine) Order(context.Context, string, infra.Order) error { return nil }

func (e *fakeEngine) Status(_ context.Context, addr string) (infra.ServerStatus, error) {
	if e.status != nil {
		return e.status(addr)
	}
	return infra.ServerStatus{ID: addr, Boot: "boot-1"}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, string, uint64) ([]infra.CacheEvent, error) {
	return nil, nil
}

// completeAnswer returns the events of a complete answer that continues after the
// request's prefix.
func completeAnswer(req infra.GenerateRequest) []infra.Event {
	return answerEvents(req, len(req.Prefix), req.MaxTokens)
}

// answerEvents returns the events of the tokens from (inclusive) to to (exclusive),
// and the end marker.
func answerEvents(req infra.GenerateRequest, from, to int) []infra.Event {
	var events []infra.Event
	for i := from; i < to; i++ {
		events = append(events, infra.Event{Attempt: req.Attempt, Index: i, Token: fmt.Sprintf("t%d ", i)})
	}
	return append(events, infra.Event{Attempt: req.Attempt, Index: to, Finish: infra.FinishLength})
}

// tokenText returns the text of the first n tokens.
func tokenText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// scriptedStream is a stream that yields its events and then fails with end.
type scriptedStream struct {
	engine *fakeEngine
	ctx    context.Context
	events []infra.Event
	end    error // nil for io.EOF
	block  bool  // after the events, wait until ctx ends
}

func (e *fakeEngine) stream(ctx context.Context, events []infra.Event) *scriptedStream {
	return &scriptedStream{engine: e, ctx: ctx, events: events}
}

func (s *scriptedStream) Recv() (infra.Event, error) {
	if err := s.ctx.Err(); err != nil {
		return infra.Event{}, &infra.Error{Op: "generate", Reason: infra.ReasonCanceled, Err: err}
	}
	if len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		return e, nil
	}
	if s.block {
		<-s.ctx.Done()
		return infra.Event{}, &infra.Error{Op: "generate", Reason: infra.ReasonCanceled, Err: s.ctx.Err()}
	}
	if s.end != nil {
		return infra.Event{}, s.end
	}
	return infra.Event{}, io.EOF
}

func (s *scriptedStream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.closed++
	return nil
}

// fakeServices answers with the function call or, if that is nil, with status 200 and
// the method and path as the body.
type fakeServices struct {
	call func(ctx context.Context, addr string, req infra.ServiceRequest) (*infra.ServiceAnswer, error)

	mu       sync.Mutex
	requests []infra.ServiceRequest
}

func (s *fakeServices) Call(ctx context.Context, addr string, req infra.ServiceRequest) (*infra.ServiceAnswer, error) {
	s.mu.Lock()
	s.requests = append(s.requests, req)
	s.mu.Unlock()
	if s.call != nil {
		return s.call(ctx, addr, req)
	}
	return serviceAnswer(http.StatusOK, req.Method+" "+req.Path), nil
}

func (s *fakeServices) calls() []infra.ServiceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]infra.ServiceRequest(nil), s.requests...)
}

func serviceAnswer(status int, body string) *infra.ServiceAnswer {
	h := http.Header{"Content-Type": {"text/plain"}}
	return &infra.ServiceAnswer{Status: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

// fakeClaimer simulates the claims on the log. Several instances can share one.
type fakeClaimer struct {
	mu      sync.Mutex
	claims  map[string]*record.Claim
	results []*record.ClaimResult
	verdict claims.Verdict // if not zero, the verdict on every claim
}

func (c *fakeClaimer) Claim(_ context.Context, cl *record.Claim) (claims.Standing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.verdict != 0 {
		return claims.Standing{Verdict: c.verdict}, &infra.Error{Op: "log.append", Reason: infra.ReasonUnavailable}
	}
	if c.claims == nil {
		c.claims = map[string]*record.Claim{}
	}
	first := c.claims[string(cl.Key)]
	switch {
	case first == nil:
		c.claims[string(cl.Key)] = cl
		return claims.Standing{Verdict: claims.Granted}, nil
	case string(first.Fingerprint) != string(cl.Fingerprint):
		return claims.Standing{Verdict: claims.Conflict}, nil
	}
	return claims.Standing{Verdict: claims.Taken, Instance: first.Instance, Attempt: first.Attempt, Request: first.Request}, nil
}

func (c *fakeClaimer) Result(_ context.Context, r *record.ClaimResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	if r.Outcome == record.ClaimResult_NOT_RUN {
		delete(c.claims, string(r.Key))
	}
	return nil
}

func (c *fakeClaimer) reportedResults() []*record.ClaimResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*record.ClaimResult(nil), c.results...)
}

type fakeQuarantine struct {
	mu          sync.Mutex
	quarantined map[[32]byte]bool
	crashes     []*record.Crash
}

func (q *fakeQuarantine) Quarantined(f [32]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantined[f]
}

func (q *fakeQuarantine) Suspect(f [32]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.crashes {
		if string(c.Fingerprint) == string(f[:]) {
			return true
		}
	}
	return false
}

func (q *fakeQuarantine) ReportCrash(_ context.Context, c *record.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, c)
}

func (q *fakeQuarantine) reportedCrashes() []*record.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]*record.Crash(nil), q.crashes...)
}

type fakeAnswers struct {
	fetch func(ctx context.Context, instance, attempt string) (Answer, bool, bool, error)
}

func (a *fakeAnswers) Fetch(ctx context.Context, instance, attempt string) (Answer, bool, bool, error) {
	return a.fetch(ctx, instance, attempt)
}

// harness is a Server with fake dependencies and running duties.
type harness struct {
	*Server
	engine     *fakeEngine
	services   *fakeServices
	claimer    *fakeClaimer
	quarantine *fakeQuarantine
	answers    *fakeAnswers
	stop       func()
}

func testConfig() *config.Config {
	return &config.Config{
		Callers: map[string]config.Caller{
			"desk":   {Owner: "kitchen", KeySHA256: hashKey(testKey)},
			"parish": {Owner: "instituto", KeySHA256: hashKey(otherKey)},
		},
		Services: map[string]config.Service{
			"order-desk": {Owner: "kitchen", NonIdempotent: []string{"PUT /orders"}},
		},
	}
}

func testTable() *decide.Table {
	both := []decide.Replica{{Server: 0, Version: "v1"}, {Server: 1, Version: "v1"}}
	target := func(name, partner string) *decide.Target {
		return &decide.Target{
			Name: name, Partner: partner, Model: name, MaxTokens: 64, Replicas: both,
			FirstTokenTarget: 700 * time.Millisecond, PerTokenTarget: 37 * time.Millisecond, Timeout: 30 * time.Second,
		}
	}
	adapter := target("kosher", "kitchen")
	adapter.Model, adapter.Adapter = "tray", "kosher"
	service := &decide.Target{
		Name: "order-desk", Partner: "kitchen", Service: true, Timeout: 30 * time.Second,
		Replicas: []decide.Replica{{Server: 2}, {Server: 3}},
	}
	return &decide.Table{
		OwnDomain: "dock-hall-a",
		Servers: []decide.Server{
			{ID: "e0", Addr: "127.0.0.1:1", Pool: "galley-models", FailureDomain: "dock-hall-a", Slots: 4096},
			{ID: "e1", Addr: "127.0.0.1:2", Pool: "galley-models", FailureDomain: "dock-hall-b", Slots: 4096},
			{ID: "s0", Addr: "127.0.0.1:3", Pool: "order-desk", FailureDomain: "dock-hall-a", Slots: 64},
			{ID: "s1", Addr: "127.0.0.1:4", Pool: "order-desk", FailureDomain: "dock-hall-a", Slots: 64},
		},
		Targets: map[string]*decide.Target{
			"tray": target("tray", "kitchen"), "kosher": adapter, "facade": target("facade", "instituto"),
			"order-desk": service,
		},
		Weights: map[string]float64{"kitchen": 1, "instituto": 1},
		Entries: map[string]int{"dock-hall-a": 1},
	}
}

// tableWithoutReplicas returns the test table with no replica of any target.
func tableWithoutReplicas() *decide.Table {
	t := testTable()
	for _, target := range t.Targets {
		target.Replicas = nil
	}
	return t
}

// ctxT lets test files use context.Context without importing package context.
type ctxT = context.Context

func logTo(w io.Writer) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(w)
	return l
}

func quietLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newHarness starts a server. The functions in change modify its options first.
func newHarness(t testing.TB, change ...func(*Options)) *harness {
	r := &harness{
		engine: &fakeEngine{}, services: &fakeServices{}, claimer: &fakeClaimer{},
		quarantine: &fakeQuarantine{quarantined: map[[32]byte]bool{}}, answers: &fakeAnswers{},
	}
	o := Options{
		Instance: "entry-1", FailureDomain: "dock-hall-a", Directory: &fakeDirectory{testConfig()},
		Engine: r.engine, Services: r.services, Claimer: r.claimer, Quarantine: r.quarantine, Answers: r.answers,
		Log: quietLog(), Rand: rand.New(rand.NewPCG(1, 2)),
	}
	for _, f := range change {
		f(&o)
	}
	s, err := New(o)
	require.NoError(t, err)
	r.Server = s
	s.SetTable(testTable())
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- s.Run(ctx) }()
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			cancel()
			require.NoError(t, <-ran)
		})
	}
	t.Cleanup(r.stop)
	return r
}

type header map[string]string

// post sends a POST request to the handler and returns the answer.
func (r *harness) post(path, body string, headers ...header) *httptest.ResponseRecorder {
	return r.send(context.Background(), http.MethodPost, path, body, headers...)
}

func (r *harness) send(ctx context.Context, method, path, body string, headers ...header) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		for name, value := range h {
			req.Header.Set(name, value)
		}
	}
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, req)
	return w
}
