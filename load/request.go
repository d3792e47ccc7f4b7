package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
)

// Headers of the callers' interface.
const (
	headerTimeout       = "Greengageferry-Timeout-Ms"
	headerNonIdempotent = "Greengageferry-Non-Idempotent"
	headerKey           = "Idempotency-Key"
)

const (
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 4 << 20
	// answerGrace is how much longer than a request's deadline the load waits
	// for its answer, so that a refusal at the deadline still counts.
	answerGrace = 5 * time.Second
	// doneMarker ends a stream.
	doneMarker = "[DONE]"
)

// Outcome is what a caller was told of its request.
type Outcome string

// The outcomes.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeOther    Outcome = "other" // no answer, or one that says none of these
)

// request is one request of a load.
type request struct {
	body          []byte
	streamed      bool
	key           string // empty: none
	nonIdempotent bool
	due           time.Time
}

// completionBody is the JSON of a request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// completionChunk is what the load reads of an answer, or of a piece of one.
type completionChunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

// errorBody is the callers' interface's one JSON shape of errors.
type errorBody struct {
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
}

// newRequest returns the nth request of the load.
func (o Options) newRequest(n int) (request, error) {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
	r := request{streamed: rng.Float64() < o.Streamed}
	draw := rng.Float64()
	r.nonIdempotent = draw < o.Keyed+o.NonIdempotent
	if draw < o.Keyed {
		r.key = fmt.Sprintf("load-%d-%d", o.Seed, n)
	}
	body := completionBody{
		Model:     o.Models[rng.IntN(len(o.Models))],
		Prompt:    o.prompt(rng, n),
		MaxTokens: o.MaxTokens,
		Stream:    r.streamed,
	}
	var err error
	r.body, err = json.Marshal(body)
	return r, err
}

// prompt makes a prompt of a beginning that others share, the request's number
// and filling.
func (o Options) prompt(rng *rand.Rand, n int) string {
	size := o.PromptMin + rng.IntN(o.PromptMax-o.PromptMin+1)
	prefix := fmt.Sprintf("instructions %d ", rng.IntN(o.Prefixes))
	shared := strings.Repeat(prefix, size/2/len(prefix)+1)
	text := shared + fmt.Sprintf("request %d ", n)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

// sample is what one request got.
type sample struct {
	outcome    Outcome
	code       string // the error's, where there was one
	firstToken time.Duration
	gaps       []time.Duration // between tokens of a stream
	total      time.Duration
	met        bool // complete within the deadline
}

// send carries out a request.
func (o Options) send(ctx context.Context, client *http.Client, r request) sample {
	ctx, cancel := context.WithDeadline(ctx, r.due.Add(o.Timeout+answerGrace))
	defer cancel()
	var s sample
	s.outcome, s.code = o.exchange(ctx, client, r, &s)
	s.total = time.Since(r.due)
	s.met = s.outcome == OutcomeComplete && s.total <= o.Timeout
	return s
}

// exchange sends a request and reads its answer.
func (o Options) exchange(ctx context.Context, client *http.Client, r request, s *sample) (Outcome, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(o.URL, "/")+"/v1/completions", io.NopCloser(bytes.NewReader(r.body)))
	if err != nil {
		return OutcomeOther, "bad_url"
	}
	req.ContentLength = int64(len(r.body))
	o.setHeaders(req, r)
	res, err := client.Do(req)
	if err != nil {
		return OutcomeOther, "no_answer"
	}
	defer res.Body.Close()
	res.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(res.Body, maxAnswerBytes), res.Body}
	if r.streamed && res.StatusCode == http.StatusOK {
		return readStream(res, r, s)
	}
	return readWhole(res)
}

func (o Options) setHeaders(req *http.Request, r request) {
	// The deadline counts from when the request was due.
	left := max(time.Until(r.due.Add(o.Timeout)), time.Millisecond)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+o.Key)
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if r.nonIdempotent {
		req.Header.Set(headerNonIdempotent, "true")
	}
	if r.key != "" {
		req.Header.Set(headerKey, r.key)
	}
}

func readWhole(res *http.Response) (Outcome, string) {
	var chunk completionChunk
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return OutcomeOther, "cut"
	}
	if json.Unmarshal(data, &chunk) != nil {
		return OutcomeOther, fmt.Sprintf("status_%d", res.StatusCode)
	}
	if chunk.Error != nil {
		return chunk.Error.told()
	}
	if res.StatusCode != http.StatusOK || len(chunk.Choices) == 0 || chunk.Choices[0].FinishReason == "" {
		return OutcomeOther, fmt.Sprintf("status_%d", res.StatusCode)
	}
	return OutcomeComplete, ""
}

// readStream reads a stream to its marker. It is complete only if a choice
// finished and the marker came.
func readStream(res *http.Response, r request, s *sample) (Outcome, string) {
	events := ssestream.NewDecoder(res)
	var last time.Time
	finished := false
	for events.Next() {
		data := bytes.TrimSpace(events.Event().Data)
		if string(data) == doneMarker {
			if finished {
				return OutcomeComplete, ""
			}
			return OutcomeOther, "unfinished"
		}
		var chunk completionChunk
		if json.Unmarshal(data, &chunk) != nil {
			return OutcomeOther, "broken_json"
		}
		if chunk.Error != nil {
			return chunk.Error.told()
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		finished = finished || chunk.Choices[0].FinishReason != ""
		if chunk.Choices[0].Text != "" {
			last = s.token(r, last)
		}
	}
	return OutcomeOther, "cut"
}

// token notes a token's arrival, and returns its time.
func (s *sample) token(r request, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		s.firstToken = now.Sub(r.due)
	} else {
		s.gaps = append(s.gaps, now.Sub(last))
	}
	return now
}

// told returns what an error tells its caller.
func (e *errorBody) told() (Outcome, string) {
	switch e.Outcome {
	case OutcomeNotRun, OutcomeUnknown:
		return e.Outcome, e.Code
	}
	return OutcomeOther, e.Code
}
