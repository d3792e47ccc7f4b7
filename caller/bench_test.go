package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
)

const benchTokens = 32

// httpEngine serves the platform's HTTP interface of an engine and sends each token
// immediately. With hold it sends one token and then waits for the client to
// disconnect.
func httpEngine(hold bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != infra.PathGenerate {
			_, _ = io.WriteString(w, `{"boot":"b"}`)
			return
		}
		var req infra.GenerateRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", infra.ContentTypeEvents)
		for i := range req.MaxTokens {
			_, _ = fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":%d,\"token\":\"token \"}\n\n", req.Attempt, i)
			w.(http.Flusher).Flush()
			if hold {
				<-r.Context().Done()
				return
			}
		}
		_, _ = fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":%d,\"finish\":\"length\"}\n\n", req.Attempt, req.MaxTokens)
	}
}

// streamBench runs the callers' side of an entry instance in front of one HTTP engine,
// and a client that reaches the engine directly or through the entry instance.
type streamBench struct {
	harness *harness
	client  *http.Client
	engine  *httptest.Server
	entry   *httptest.Server
	body    []byte
	direct  []byte
}

func newStreamBench(b *testing.B, hold bool, tokens int) *streamBench {
	transport := &http.Transport{MaxIdleConnsPerHost: 2000}
	b.Cleanup(transport.CloseIdleConnections)
	x := &streamBench{client: &http.Client{Transport: transport}}
	x.engine = httptest.NewServer(httpEngine(hold))
	b.Cleanup(x.engine.Close)
	backend := &http.Transport{MaxIdleConnsPerHost: 2000}
	b.Cleanup(backend.CloseIdleConnections)
	x.harness = newHarness(b, func(o *Options) { o.Engine = infra.NewHTTPEngine(&http.Client{Transport: backend}) })
	t := testTable()
	t.Servers = []decide.Server{{ID: "e0", Addr: x.engine.Listener.Addr().String(), Pool: "p", FailureDomain: "dock-hall-a", Slots: 1 << 20}}
	for _, target := range t.Targets {
		target.Replicas = []decide.Replica{{Server: 0, Version: "v1"}}
		target.MaxTokens = 1 << 20
		target.Timeout = 5 * time.Minute
	}
	x.harness.SetTable(t)
	x.entry = x.harness.listen(b)
	x.body = []byte(fmt.Sprintf(`{"model":"tray","prompt":"p","stream":true,"max_tokens":%d}`, tokens))
	x.direct, _ = json.Marshal(infra.GenerateRequest{Attempt: newID(), Model: "tray", Prompt: "p", MaxTokens: tokens})
	return x
}

func (x *streamBench) open(b *testing.B, viaEntry bool) *http.Response {
	url, body := "http://"+x.engine.Listener.Addr().String()+infra.PathGenerate, x.direct
	if viaEntry {
		url, body = x.entry.URL+pathCompletions, x.body
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := x.client.Do(req)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, resp.StatusCode)
	return resp
}

func (x *streamBench) readStream(b *testing.B, viaEntry bool) {
	resp := x.open(b, viaEntry)
	_, err := io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
}

// BenchmarkEntryOverhead measures the latency and allocations that an entry instance
// adds to a streamed request of 32 tokens, compared with a direct request to the
// engine. Both alternate in one run. Client and engine run in the same process.
func BenchmarkEntryOverhead(b *testing.B) {
	x := newStreamBench(b, false, benchTokens)
	var times [2]*hdrhistogram.Histogram
	var allocs [2]uint64
	for variant := range times {
		times[variant] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		x.readStream(b, variant == 1)
	}
	b.ResetTimer()
	for range b.N {
		for variant := range times {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			x.readStream(b, variant == 1)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			allocs[variant] += after.Mallocs - before.Mallocs
			_ = times[variant].RecordValue(took.Microseconds())
		}
	}
	b.StopTimer()
	for _, q := range []float64{50, 99} {
		direct, entry := times[0].ValueAtQuantile(q), times[1].ValueAtQuantile(q)
		b.ReportMetric(float64(entry)/float64(direct), fmt.Sprintf("p%.0f-ratio", q))
		b.ReportMetric(float64(entry-direct), fmt.Sprintf("p%.0f-added-us", q))
	}
	b.ReportMetric(float64(allocs[1]-allocs[0])/float64(b.N), "added-allocs/req")
	b.ReportMetric(float64(allocs[0])/float64(b.N), "direct-allocs/req")
}

// BenchmarkOpenStreams measures the memory of 1,000 open streams that wait for their
// next token: through the entry instance, minus that of as many direct streams.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for range b.N {
		var used [2]float64
		for variant := range used {
			x := newStreamBench(b, true, benchTokens)
			before := memoryInUse()
			open := make([]*http.Response, streams)
			for i := range open {
				open[i] = x.open(b, variant == 1)
				_, err := io.ReadFull(open[i].Body, make([]byte, 16)) // the first token arrived
				require.NoError(b, err)
			}
			used[variant] = (memoryInUse() - before) / streams
			for _, resp := range open {
				require.NoError(b, resp.Body.Close())
			}
		}
		b.ReportMetric(used[1]-used[0], "added-B/stream")
		b.ReportMetric(used[0], "direct-B/stream")
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkToken measures the time per token of a long stream, directly and through
// the entry instance. With -cpu 1 the difference is the entry instance's CPU time.
func BenchmarkToken(b *testing.B) {
	for variant, name := range []string{"direct", "entry"} {
		b.Run(name, func(b *testing.B) {
			x := newStreamBench(b, false, b.N)
			b.ReportAllocs()
			b.ResetTimer()
			x.readStream(b, variant == 1)
		})
	}
}

// discardWriter is a response writer that discards the body.
type discardWriter struct{ h http.Header }

func (d *discardWriter) Header() http.Header         { return d.h }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkTokenWithFakeEngine measures the time per token in this package alone.
func BenchmarkTokenWithFakeEngine(b *testing.B) {
	r := newHarness(b)
	t := testTable()
	t.Targets["tray"].MaxTokens = 1 << 30
	r.SetTable(t)
	r.engine.generate = func(ctx ctxT, _ string, req infra.GenerateRequest) (infra.Stream, error) {
		return &endlessStream{attempt: req.Attempt, tokens: req.MaxTokens}, nil
	}
	body := fmt.Sprintf(`{"model":"tray","prompt":"p","stream":true,"max_tokens":%d}`, max(b.N, 1))
	req := httptest.NewRequest(http.MethodPost, pathCompletions, bytes.NewReader([]byte(body)))
	req.Header.Set("Authorization", "Bearer "+testKey)
	b.ReportAllocs()
	b.ResetTimer()
	r.Handler().ServeHTTP(&discardWriter{http.Header{}}, req)
}

// endlessStream is a stream that yields the given number of tokens and then its end marker.
type endlessStream struct {
	attempt string
	next    int
	tokens  int
}

func (e *endlessStream) Recv() (infra.Event, error) {
	ev := infra.Event{Attempt: e.attempt, Index: e.next, Token: "token "}
	if e.next == e.tokens {
		ev.Token, ev.Finish = "", infra.FinishLength
	}
	e.next++
	return ev, nil
}

func (e *endlessStream) Close() error { return nil }
