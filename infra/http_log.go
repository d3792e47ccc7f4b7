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

// The HTTP form of the log: POST PathLogAppend?stream=S with an AppendBody
// answers an AppendAnswer; GET PathLogRead?stream=S&from=N&max=N&wait_ms=N
// answers a ReadAnswer.
const (
	PathLogAppend = "/log/append"
	PathLogRead   = "/log/read"
)

// maxLogAnswerBytes bounds a read of the log: above the largest batch that the
// log gives (8 MiB) once it is in base64.
const maxLogAnswerBytes = 16 << 20

// AppendBody is the body of an append.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"` // of the first record
}

// ReadAnswer is the answer to a read. Records have the offsets First, First+1
// and so on.
type ReadAnswer struct {
	First   Offset   `json:"first"`
	Records [][]byte `json:"records"`
	Oldest  Offset   `json:"oldest"`
	Next    Offset   `json:"next"`
}

// HTTPLog is a Log over HTTP.
type HTTPLog struct {
	base   string
	addr   string
	caller caller
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns the log at the base URL, such as http://10.0.0.1:7000.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{base: strings.TrimRight(base, "/"), addr: hostOf(base), caller: newCaller(client)}
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
	if err := l.caller.json(ctx, k, &answer); err != nil {
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
	err := l.caller.json(ctx, k, &answer)
	var aged *outOfRange
	if errors.As(err, &aged) {
		return aged.batch, aged.cause
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

// hostOf returns a base URL's host:port, for errors.
func hostOf(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return base
	}
	return u.Host
}
