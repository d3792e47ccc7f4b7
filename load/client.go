package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	headerServer        = "Greengageferry-Server"
)

const (
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 4 << 20
	// answerGrace is how much longer than a request's deadline a client waits
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

// Request is one request for a completion.
type Request struct {
	Model          string
	Prompt         string
	MaxTokens      int
	Seed           uint64 // of the answer; 0: the instance chooses
	Streamed       bool
	IdempotencyKey string // empty: none
	NonIdempotent  bool
	Timeout        time.Duration // the request's deadline counts from when it was due
}

// ServiceRequest is one POST to a plain service.
type ServiceRequest struct {
	Service        string
	Path           string // below the service, with a leading slash
	Body           string
	IdempotencyKey string // empty: none
	NonIdempotent  bool   // says so itself; the service's configuration may too
	Timeout        time.Duration
}

// Answer is what a caller got.
type Answer struct {
	Outcome    Outcome
	Code       string // the error's, or why the outcome is other
	Text       string
	Server     string          // that served it, where the answer says so
	FirstToken time.Duration   // of a stream, from when the request was due; 0: none came
	Gaps       []time.Duration // between a stream's tokens
	Total      time.Duration   // from when the request was due
}

// Client sends a caller's requests to one entry instance.
type Client struct {
	HTTP *http.Client
	URL  string // base URL
	Key  string // the caller's
}

// completionBody is the JSON of a request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}

// completionChunk is what a client reads of an answer, or of a piece of one.
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

// Send sends a request that is due at the given time, and returns its answer.
func (c *Client) Send(ctx context.Context, r Request, due time.Time) Answer {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Timeout+answerGrace))
	defer cancel()
	var a Answer
	a.Outcome, a.Code = c.complete(ctx, r, due, &a)
	a.Total = time.Since(due)
	return a
}

// complete sends a request and reads its answer into a.
func (c *Client) complete(ctx context.Context, r Request, due time.Time, a *Answer) (Outcome, string) {
	body, err := json.Marshal(completionBody{Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Seed: r.Seed, Stream: r.Streamed})
	if err != nil {
		return OutcomeOther, "bad_request"
	}
	headers := wishes{key: r.IdempotencyKey, nonIdempotent: r.NonIdempotent, deadline: due.Add(r.Timeout)}
	res, err := c.post(ctx, "/v1/completions", body, headers)
	if err != nil {
		return OutcomeOther, "no_answer"
	}
	defer res.Body.Close()
	a.Server = res.Header.Get(headerServer)
	if r.Streamed && res.StatusCode == http.StatusOK {
		return a.readStream(res, due)
	}
	return a.readWhole(res)
}

// SendService sends a call to a plain service, due at the given time, and
// returns its answer: complete with the body as its text if the status is a
// success.
func (c *Client) SendService(ctx context.Context, r ServiceRequest, due time.Time) Answer {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Timeout+answerGrace))
	defer cancel()
	var a Answer
	a.Outcome, a.Code = c.callService(ctx, r, due, &a)
	a.Total = time.Since(due)
	return a
}

func (c *Client) callService(ctx context.Context, r ServiceRequest, due time.Time, a *Answer) (Outcome, string) {
	headers := wishes{key: r.IdempotencyKey, nonIdempotent: r.NonIdempotent, deadline: due.Add(r.Timeout)}
	res, err := c.post(ctx, "/services/"+r.Service+r.Path, []byte(r.Body), headers)
	if err != nil {
		return OutcomeOther, "no_answer"
	}
	defer res.Body.Close()
	a.Server = res.Header.Get(headerServer)
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return OutcomeOther, "cut"
	}
	if res.StatusCode/100 == 2 {
		a.Text = string(data)
		return OutcomeComplete, ""
	}
	var chunk completionChunk
	if json.Unmarshal(data, &chunk) == nil && chunk.Error != nil {
		return chunk.Error.told()
	}
	return OutcomeOther, fmt.Sprintf("status_%d", res.StatusCode)
}

// wishes are what a request's headers ask for.
type wishes struct {
	key           string
	nonIdempotent bool
	deadline      time.Time
}

// post sends a request. Its body can't be rewound, so that net/http doesn't
// send it twice by itself. The answer's body is bounded.
func (c *Client) post(ctx context.Context, path string, body []byte, w wishes) (*http.Response, error) {
	target := strings.TrimRight(c.URL, "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	left := max(time.Until(w.deadline), time.Millisecond)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if w.nonIdempotent {
		req.Header.Set(headerNonIdempotent, "true")
	}
	if w.key != "" {
		req.Header.Set(headerKey, w.key)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	res.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(res.Body, maxAnswerBytes), res.Body}
	return res, nil
}

func (a *Answer) readWhole(res *http.Response) (Outcome, string) {
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
	a.Text = chunk.Choices[0].Text
	return OutcomeComplete, ""
}

// readStream reads a stream to its marker. It is complete only if a choice
// finished and the marker came.
func (a *Answer) readStream(res *http.Response, due time.Time) (Outcome, string) {
	events := ssestream.NewDecoder(res)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
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
		if token := chunk.Choices[0].Text; token != "" {
			text.WriteString(token)
			last = a.token(due, last)
		}
	}
	return OutcomeOther, "cut"
}

// token notes a token's arrival, and returns its time.
func (a *Answer) token(due, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		a.FirstToken = now.Sub(due)
	} else {
		a.Gaps = append(a.Gaps, now.Sub(last))
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
