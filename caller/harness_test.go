package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

const (
	testKey  = "galley-key"
	otherKey = "campo-key"
)

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
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
