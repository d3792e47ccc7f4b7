package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	completeAnswer = `{"choices":[{"text":"a b","finish_reason":"stop"}]}`
	streamStart    = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n"
	streamEnd      = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
)

// fakeEntry stands in for an entry instance: it records the requests, and answer
// writes the responses.
type fakeEntry struct {
	mu            sync.Mutex
	headersByBody map[string]http.Header
	answer        func(w http.ResponseWriter, streamed bool)
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.headersByBody[string(body)] = r.Header
	e.mu.Unlock()
	e.answer(w, strings.Contains(string(body), `"stream":true`))
}

// runLoad runs a load against a fakeEntry with the given answers.
func runLoad(t *testing.T, o Options, answer func(w http.ResponseWriter, streamed bool)) (*Report, *fakeEntry) {
	e := &fakeEntry{headersByBody: map[string]http.Header{}, answer: answer}
	s := httptest.NewServer(e)
	defer s.Close()
	o.URL, o.Key, o.Models = s.URL, "k", []string{"a", "b"}
	o.Duration, o.Timeout = time.Minute, time.Minute
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	return report, e
}

// serveCompletion writes a complete answer.
func serveCompletion(w http.ResponseWriter, streamed bool) {
	if streamed {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, streamStart+streamEnd)
		return
	}
	_, _ = io.WriteString(w, completeAnswer)
}

func TestReportCountsOutcomesAndLatencies(t *testing.T) {
	report, e := runLoad(t, Options{Requests: 200, Streamed: 0.5, Keyed: 0.25, NonIdempotent: 0.25}, serveCompletion)
	require.Equal(t, 200, report.Requests)
	require.Equal(t, map[Outcome]int{OutcomeComplete: 200}, report.Outcomes)
	require.Equal(t, 1.0, report.Attainment)
	require.EqualValues(t, 200, report.Total.Count)
	require.Equal(t, report.FirstToken.Count, report.BetweenTokens.Count)
	require.InDelta(t, 100, report.FirstToken.Count, 30)
	keyed, marked := 0, 0
	for _, h := range e.headersByBody {
		require.Equal(t, "Bearer k", h.Get("Authorization"))
		require.NotEmpty(t, h.Get("Greengageferry-Timeout-Ms"))
		if h.Get("Idempotency-Key") != "" {
			keyed++
			require.Equal(t, "true", h.Get("Greengageferry-Non-Idempotent"))
		}
		if h.Get("Greengageferry-Non-Idempotent") != "" {
			marked++
		}
	}
	require.Len(t, e.headersByBody, 200)
	require.InDelta(t, 50, keyed, 25)
	require.InDelta(t, 100, marked, 30)
}

func TestSameSeedSendsSameRequests(t *testing.T) {
	o := Options{Requests: 20, Seed: 3, Streamed: 0.5}
	_, first := runLoad(t, o, serveCompletion)
	_, second := runLoad(t, o, serveCompletion)
	for body := range first.headersByBody {
		require.Contains(t, second.headersByBody, body)
	}
}

func TestOpenLoopLoadSendsAllRequests(t *testing.T) {
	report, _ := runLoad(t, Options{Requests: 50, Rate: 5000}, serveCompletion)
	require.Equal(t, 50, report.Requests)
	require.Equal(t, 50, report.Outcomes[OutcomeComplete])
}

// TestTruncatedAndErrorAnswersAreNotComplete guards against counting an answer as
// complete that was cut off, lacks a finish reason, carries an error or has an
// error status.
func TestTruncatedAndErrorAnswersAreNotComplete(t *testing.T) {
	const refused = `{"error":{"code":"queue_full","outcome":"not_run"}}`
	for _, c := range []struct {
		name, body, stream string
		status             int
		outcome            Outcome
		code               string
	}{
		{"cut", `{"choices":[`, streamStart, 200, OutcomeOther, ""},
		{"no finish", `{"choices":[{"text":"a"}]}`, streamStart + "data: [DONE]\n\n", 200, OutcomeOther, ""},
		{"unknown", `{"error":{"code":"cut","outcome":"unknown"}}`, streamStart + "data: {\"error\":{\"code\":\"cut\",\"outcome\":\"unknown\"}}\n\n", 200, OutcomeUnknown, "cut"},
		{"refused", refused, refused, 503, OutcomeNotRun, "queue_full"},
		{"no outcome", `{"error":{"code":"x"}}`, `{"error":{"code":"x"}}`, 503, OutcomeOther, "x"},
		{"whole but an error status", completeAnswer, completeAnswer, 500, OutcomeOther, "status_500"},
	} {
		for _, share := range []float64{0, 1} {
			t.Run(fmt.Sprintf("%s/%g", c.name, share), func(t *testing.T) {
				report, _ := runLoad(t, Options{Requests: 3, Streamed: share}, func(w http.ResponseWriter, streamed bool) {
					text := c.body
					if streamed && c.status == 200 {
						w.Header().Set("Content-Type", "text/event-stream")
						text = c.stream
					}
					w.WriteHeader(c.status)
					_, _ = io.WriteString(w, text)
				})
				require.Equal(t, map[Outcome]int{c.outcome: 3}, report.Outcomes)
				require.Zero(t, report.Attainment)
				if c.code != "" {
					require.Equal(t, map[string]int{c.code: 3}, report.Errors)
				}
			})
		}
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	good := Options{URL: "http://127.0.0.1:1", Models: []string{"a"}}
	for option, change := range map[string]func(*Options){
		"url":            func(o *Options) { o.URL = "http://192.0.2.1:80" },
		"models":         func(o *Options) { o.Models = nil },
		"rate":           func(o *Options) { o.Rate = -1 },
		"concurrency":    func(o *Options) { o.Concurrency = MaxConcurrency + 1 },
		"requests":       func(o *Options) { o.Requests = -1 },
		"duration":       func(o *Options) { o.Duration = 2 * MaxDuration },
		"prompt-max":     func(o *Options) { o.PromptMin, o.PromptMax = 10, 5 },
		"streamed":       func(o *Options) { o.Streamed = 1.5 },
		"non-idempotent": func(o *Options) { o.Keyed, o.NonIdempotent = 0.6, 0.6 },
	} {
		o := good
		change(&o)
		_, err := Run(t.Context(), o)
		var usage *UsageError
		require.True(t, errors.As(err, &usage), option)
		require.Equal(t, option, usage.Option)
	}
	for _, host := range []string{"localhost", "example.com", "10.0.0.1"} {
		require.Error(t, checkURL("http://"+host+":80"), host)
	}
}

func TestReportIsJSON(t *testing.T) {
	report, _ := runLoad(t, Options{Requests: 5}, serveCompletion)
	data, err := json.Marshal(report)
	require.NoError(t, err)
	var back map[string]any
	require.NoError(t, json.Unmarshal(data, &back))
	require.EqualValues(t, 5, back["requests"])
}
