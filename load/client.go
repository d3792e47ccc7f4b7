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

// HTTP headers of the client API.
const (
	headerTimeout       = "Greengageferry-Timeout-Ms"
	headerNonIdempotent = "Greengageferry-Non-Idempotent"
	headerKey           = "Idempotency-Key"
	headerServer        = "Greengageferry-Server"
)

const (
	// maxAnswerBytes is the maximum number of bytes read of a response body.
	maxAnswerBytes = 4 << 20
	// answerGrace is the time beyond a request's deadline for which the client
	// still waits, so that a refusal sent at the deadline is counted.
	answerGrace = 5 * time.Second
	// doneMarker is the data of the event that ends a stream.
	doneMarker = "[DONE]"
)

// Outcome is the result of a request as reported to the caller.
type Outcome string

// Outcomes of a request.
const (
	OutcomeComplete Outcome = "complete" // the whole answer was received
	OutcomeNotRun   Outcome = "not_run"  // an error says that no backend server ran the request
	OutcomeUnknown  Outcome = "unknown"  // an error says that a backend server may have run the request
	OutcomeOther    Outcome = "other"    // no answer, a broken one, or one without any of the outcomes above
)

// Request is a completion request.
type Request struct {
	Model          string
	Prompt         string
	MaxTokens      int
	Seed           uint64 // sampling seed; 0: chosen by the instance
	Streamed       bool
	IdempotencyKey string // empty: none
	NonIdempotent  bool
	Timeout        time.Duration // deadline, counted from the scheduled time
}

// ServiceRequest is a POST request to a plain HTTP service.
type ServiceRequest struct {
	Service        string
	Path           string // relative to the service, with a leading slash
	Body           string
	IdempotencyKey string // empty: none
	NonIdempotent  bool   // sets the header; the service's configuration may also declare it
	Timeout        time.Duration
}

// Answer is the response to a request, with its latencies.
type Answer struct {
	Outcome    Outcome
	Code       string // error code, or why the outcome is OutcomeOther
	Text       string
	Server     string          // backend server named in the answer; empty: none
	FirstToken time.Duration   // streams: time from the scheduled time to the first token; 0: no token
	Gaps       []time.Duration // streams: times between consecutive tokens
	Total      time.Duration   // time from the scheduled time to the end of the answer
}

// Client sends the requests of one caller to one entry instance.
type Client struct {
	HTTP *http.Client
	URL  string // base URL
	Key  string // the caller's API key
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}

// completionChunk holds the fields read from a whole answer or from one event
// of a stream.
type completionChunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

// errorBody is the JSON form of every error of the client API.
type errorBody struct {
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
}

// Send sends a completion request and returns its answer. The deadline and the
// latencies count from due, the scheduled time of the request.
func (c *Client) Send(ctx context.Context, r Request, due time.Time) Answer {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Timeout+answerGrace))
	defer cancel()
	var a Answer
	a.Outcome, a.Code = c.complete(ctx, r, due, &a)
	a.Total = time.Since(due)
	return a
}

// complete sends a completion request, reads its answer into a, and returns the
// outcome and the error code.
func (c *Client) complete(ctx context.Context, r Request, due time.Time, a *Answer) (Outcome, string) {
	body, err := json.Marshal(completionBody{Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Seed: r.Seed, Stream: r.Streamed})
	if err != nil {
		return OutcomeOther, "bad_request"
	}
	opts := requestOptions{idempotencyKey: r.IdempotencyKey, nonIdempotent: r.NonIdempotent, deadline: due.Add(r.Timeout)}
	res, err := c.post(ctx, "/v1/completions", body, opts)
	if err != nil {
		return OutcomeOther, "no_answer"
	}
	defer res.Body.Close()
	a.Server = res.Header.Get(headerServer)
	if r.Streamed && res.StatusCode == http.StatusOK {
		return a.readStream(res, due)
	}
	return a.readCompletion(res)
}

// SendService sends a request to a plain HTTP service and returns its answer.
// The deadline and the latencies count from due. An answer with a 2xx status is
// OutcomeComplete and has the body as its text.
func (c *Client) SendService(ctx context.Context, r ServiceRequest, due time.Time) Answer {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Timeout+answerGrace))
	defer cancel()
	var a Answer
	a.Outcome, a.Code = c.callService(ctx, r, due, &a)
	a.Total = time.Since(due)
	return a
}

// callService sends a service request, reads its answer into a, and returns the
// outcome and the error code.
func (c *Client) callService(ctx context.Context, r ServiceRequest, due time.Time, a *Answer) (Outcome, string) {
	opts := requestOptions{idempotencyKey: r.IdempotencyKey, nonIdempotent: r.NonIdempotent, deadline: due.Add(r.Timeout)}
	res, err := c.post(ctx, "/services/"+r.Service+r.Path, []byte(r.Body), opts)
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
		return chunk.Error.outcomeAndCode()
	}
	return OutcomeOther, fmt.Sprintf("status_%d", res.StatusCode)
}

// requestOptions are the options sent as request headers.
type requestOptions struct {
	idempotencyKey string
	nonIdempotent  bool
	deadline       time.Time
}

// post sends a POST request. The body can't be rewound, which keeps net/http
// from resending the request. The response body ends after maxAnswerBytes.
func (c *Client) post(ctx context.Context, path string, body []byte, opts requestOptions) (*http.Response, error) {
	target := strings.TrimRight(c.URL, "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	remaining := max(time.Until(opts.deadline), time.Millisecond)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set(headerTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	if opts.nonIdempotent {
		req.Header.Set(headerNonIdempotent, "true")
	}
	if opts.idempotencyKey != "" {
		req.Header.Set(headerKey, opts.idempotencyKey)
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

// readCompletion reads an answer that isn't a stream, and returns its outcome
// and error code.
func (a *Answer) readCompletion(res *http.Response) (Outcome, string) {
	var chunk completionChunk
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return OutcomeOther, "cut"
	}
	if json.Unmarshal(data, &chunk) != nil {
		return OutcomeOther, fmt.Sprintf("status_%d", res.StatusCode)
	}
	if chunk.Error != nil {
		return chunk.Error.outcomeAndCode()
	}
	if res.StatusCode != http.StatusOK || len(chunk.Choices) == 0 || chunk.Choices[0].FinishReason == "" {
		return OutcomeOther, fmt.Sprintf("status_%d", res.StatusCode)
	}
	a.Text = chunk.Choices[0].Text
	return OutcomeComplete, ""
}

// readStream reads a stream to its done marker, and returns its outcome and
// error code. A stream is complete only if a choice has a finish reason and the
// marker was received.
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
			return chunk.Error.outcomeAndCode()
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

// token adds the latency of a token that arrives now, and returns the
// current time. last is the arrival of the previous token; zero: none.
func (a *Answer) token(due, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		a.FirstToken = now.Sub(due)
	} else {
		a.Gaps = append(a.Gaps, now.Sub(last))
	}
	return now
}

// outcomeAndCode returns the outcome and the code of an error. An outcome other
// than not_run and unknown becomes OutcomeOther.
func (e *errorBody) outcomeAndCode() (Outcome, string) {
	switch e.Outcome {
	case OutcomeNotRun, OutcomeUnknown:
		return e.Outcome, e.Code
	}
	return OutcomeOther, e.Code
}
