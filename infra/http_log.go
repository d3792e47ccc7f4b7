package infra

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The HTTP interface of the log. All bodies are JSON.
//
//   - POST PathLogAppend?stream=S takes an AppendBody and responds with an AppendAnswer.
//   - GET PathLogRead?stream=S&from=N&max=N&wait_ms=N responds with a ReadAnswer.
const (
	PathLogAppend = "/log/append"
	PathLogRead   = "/log/read"
)

// maxLogAnswerBytes limits the response to a read of the log. The largest batch that the log
// returns is 8 MiB, and base64 makes it larger by a third.
const maxLogAnswerBytes = 16 << 20

// AppendBody is the request body of PathLogAppend.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the response body of PathLogAppend.
type AppendAnswer struct {
	Offset Offset `json:"offset"` // offset of the first record
}

// ReadAnswer is the response body of PathLogRead. The records have consecutive offsets from
// First on.
type ReadAnswer struct {
	First   Offset   `json:"first"`
	Records [][]byte `json:"records"`
	Oldest  Offset   `json:"oldest"`
	Next    Offset   `json:"next"`
}

// HTTPLog implements Log over HTTP.
type HTTPLog struct {
	base       string
	addr       string
	httpClient httpClient
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log at the base URL, such as http://10.0.0.1:7000.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{base: strings.TrimRight(base, "/"), addr: hostOf(base), httpClient: newHTTPClient(client)}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	k := call{
		op:     "log.append",
		addr:   l.addr,
		method: http.MethodPost,
		url:    l.base + PathLogAppend + "?stream=" + url.QueryEscape(stream),
		body:   AppendBody{Records: records},
	}
	var answer AppendAnswer
	if err := l.httpClient.doJSON(ctx, k, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == 0 {
		return 0, &Error{Op: k.op, Addr: k.addr, Reason: ReasonProtocol, Effect: EffectUnknown}
	}
	return answer.Offset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error) {
	query := url.Values{
		"stream":  {stream},
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	k := call{
		op:     "log.read",
		addr:   l.addr,
		method: http.MethodGet,
		url:    l.base + PathLogRead + "?" + query.Encode(),
		limit:  maxLogAnswerBytes,
	}
	var answer ReadAnswer
	err := l.httpClient.doJSON(ctx, k, &answer)
	var rangeErr *outOfRangeError
	if errors.As(err, &rangeErr) {
		return rangeErr.batch, rangeErr.cause
	}
	if err != nil {
		return Batch{}, err
	}
	return answer.batch(), nil
}

func (a ReadAnswer) batch() Batch {
	b := Batch{Oldest: a.Oldest, Next: a.Next, Records: make([]Record, len(a.Records))}
	for i, data := range a.Records {
		b.Records[i] = Record{Offset: a.First + Offset(i), Data: data}
	}
	return b
}

// hostOf returns the host:port of a base URL, for use in errors.
func hostOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return base
	}
	return u.Host
}
