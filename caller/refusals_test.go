package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/caller/api"
	"greengageferry/infra"
)

type problemJSON struct {
	Error struct {
		Type, Code, Message, Outcome string
		RetryAfterMS                 *int64 `json:"retry_after_ms"`
		RequestID                    string `json:"request_id"`
	}
}

// requireNotRun checks that the answer is a typed refusal with outcome not_run and all
// required headers.
func requireNotRun(t *testing.T, w *httptest.ResponseRecorder, status int, code string) {
	t.Helper()
	require.Equal(t, status, w.Code, w.Body)
	var p problemJSON
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p), w.Body)
	require.Equal(t, code, p.Error.Code)
	require.Equal(t, string(api.OutcomeNotRun), p.Error.Outcome)
	require.NotEmpty(t, p.Error.Type)
	require.NotEmpty(t, p.Error.Message)
	require.NotNil(t, p.Error.RetryAfterMS)
	require.Equal(t, w.Header().Get(HeaderRequest), p.Error.RequestID)
	require.Equal(t, "dock-hall-a", w.Header().Get(HeaderDomain))
	require.Equal(t, NoServer, w.Header().Get(HeaderServer))
	require.Equal(t, contentJSON, w.Header().Get("Content-Type"))
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	const good = `{"model":"tray","prompt":"p"}`
	r := newHarness(t, func(o *Options) { o.Limits.BodyBytes = 200 })
	for name, tc := range map[string]struct {
		path, body string
		headers    header
		status     int
		code       string
	}{
		"no key":              {pathCompletions, good, header{"Authorization": ""}, 401, CodeNoKey},
		"another scheme":      {pathCompletions, good, header{"Authorization": "Basic " + testKey}, 401, CodeNoKey},
		"wrong key":           {pathCompletions, good, header{"Authorization": "Bearer x"}, 401, CodeWrongKey},
		"unknown model":       {pathCompletions, `{"model":"x","prompt":"p"}`, nil, 404, CodeUnknownModel},
		"a service as model":  {pathCompletions, `{"model":"order-desk","prompt":"p"}`, nil, 404, CodeUnknownModel},
		"another's model":     {pathCompletions, `{"model":"facade","prompt":"p"}`, nil, 403, CodeOtherPartner},
		"unknown service":     {"/services/x/y", "", nil, 404, CodeUnknownService},
		"a model as service":  {"/services/tray/y", "", nil, 404, CodeUnknownService},
		"unknown path":        {"/v1/embeddings", good, nil, 404, CodeNoSuchPath},
		"models by POST":      {pathModels, "", nil, 405, CodeMethodNotAllowed},
		"broken JSON":         {pathCompletions, `{"model":`, nil, 400, api.CodeBadJSON},
		"two objects":         {pathCompletions, good + good, nil, 400, api.CodeBadJSON},
		"a list":              {pathCompletions, `[]`, nil, 400, api.CodeBadJSON},
		"no body":             {pathCompletions, "", nil, 400, api.CodeBadJSON},
		"model is a number":   {pathCompletions, `{"model":1,"prompt":"p"}`, nil, 400, api.CodeBadField},
		"no model":            {pathCompletions, `{"prompt":"p"}`, nil, 400, api.CodeBadField},
		"no prompt":           {pathCompletions, `{"model":"tray"}`, nil, 400, api.CodeBadField},
		"prompt is a number":  {pathCompletions, `{"model":"tray","prompt":1}`, nil, 400, api.CodeBadField},
		"two prompts":         {pathCompletions, `{"model":"tray","prompt":["a","b"]}`, nil, 400, api.CodeBadField},
		"no messages":         {pathChat, `{"model":"tray"}`, nil, 400, api.CodeBadField},
		"unknown role":        {pathChat, `{"model":"tray","messages":[{"role":"x","content":"p"}]}`, nil, 400, api.CodeBadField},
		"an image":            {pathChat, `{"model":"tray","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, api.CodeBadField},
		"stream is a string":  {pathCompletions, `{"model":"tray","prompt":"p","stream":"true"}`, nil, 400, api.CodeBadField},
		"two choices":         {pathCompletions, `{"model":"tray","prompt":"p","n":2}`, nil, 400, api.CodeUnsupportedField},
		"tools":               {pathChat, `{"model":"tray","messages":[{"role":"user","content":"p"}],"tools":[{}]}`, nil, 400, api.CodeUnsupportedField},
		"no tokens":           {pathCompletions, `{"model":"tray","prompt":"p","max_tokens":0}`, nil, 400, api.CodeBadField},
		"too many tokens":     {pathCompletions, `{"model":"tray","prompt":"p","max_tokens":65}`, nil, 400, api.CodeBadField},
		"half a token":        {pathCompletions, `{"model":"tray","prompt":"p","max_tokens":1.5}`, nil, 400, api.CodeBadField},
		"body too large":      {pathCompletions, good + strings.Repeat(" ", 200), nil, 413, CodeBodyTooLarge},
		"service body large":  {"/services/order-desk/x", strings.Repeat(" ", 201), nil, 413, CodeBodyTooLarge},
		"timeout is a word":   {pathCompletions, good, header{HeaderTimeout: "1s"}, 400, CodeBadTimeout},
		"timeout is zero":     {pathCompletions, good, header{HeaderTimeout: "0"}, 400, CodeBadTimeout},
		"timeout is too long": {pathCompletions, good, header{HeaderTimeout: "600001"}, 400, CodeBadTimeout},
		"priority is a word":  {pathCompletions, good, header{HeaderPriority: "high"}, 400, CodeBadPriority},
		"priority too high":   {pathCompletions, good, header{HeaderPriority: "11"}, 400, CodeBadPriority},
		"flag is no bool":     {pathCompletions, good, header{HeaderNonIdempotent: "yes"}, 400, CodeBadNonIdempotent},
		"an empty key":        {pathCompletions, good, header{HeaderIdempotencyKey: ""}, 400, CodeBadIdempotencyKey},
		"a very long key":     {pathCompletions, good, header{HeaderIdempotencyKey: strings.Repeat("k", 256)}, 400, CodeBadIdempotencyKey},
	} {
		t.Run(name, func(t *testing.T) {
			requireNotRun(t, r.post(tc.path, tc.body, tc.headers), tc.status, tc.code)
		})
	}
	require.Empty(t, r.engine.attempts())
	require.Empty(t, r.services.calls())
	r.requireDrained(t)
}

// A caller's key and prompt must appear neither in logs nor in errors.
func TestLogsContainNeitherKeysNorPrompts(t *testing.T) {
	var log strings.Builder
	r := newHarness(t, func(o *Options) { o.Log = logTo(&log) })
	const secret = "diabetic passenger 14C"
	var answers strings.Builder
	for _, body := range []string{
		`{"model":"tray","prompt":"` + secret + `"}`, `{"model":"tray","prompt":"` + secret, `{"model":"tray","max_tokens":"` + secret + `"}`,
	} {
		answers.WriteString(r.post(pathCompletions, body).Body.String())
	}
	r.post(pathCompletions, "", header{"Authorization": "Bearer " + secret})
	r.services.call = func(_ ctxT, addr string, req infra.ServiceRequest) (*infra.ServiceAnswer, error) {
		e := connectionError()
		e.Err = &url.Error{Op: req.Method, URL: addr + "?" + secret, Err: io.ErrUnexpectedEOF}
		return nil, e
	}
	answers.WriteString(r.post("/services/order-desk/x", secret).Body.String())
	r.stop()
	require.Contains(t, log.String(), "routing decision")
	require.Contains(t, log.String(), "request ended")
	require.Contains(t, log.String(), io.ErrUnexpectedEOF.Error())
	require.NotContains(t, log.String()+answers.String(), secret)
	require.NotContains(t, log.String(), testKey)
}

func TestReadinessAndDrain(t *testing.T) {
	r := newHarness(t)
	fresh, err := New(r.opts)
	require.NoError(t, err)
	requireNotRun(t, (&harness{Server: fresh}).post(pathCompletions, `{}`), 503, CodeNotReady)
	gate := make(chan struct{})
	r.blockUntil(gate)
	running := make(chan *httptest.ResponseRecorder, 1)
	started := make(chan struct{})
	inner := r.engine.generate
	r.engine.generate = func(ctx ctxT, addr string, req infra.GenerateRequest) (infra.Stream, error) {
		close(started)
		return inner(ctx, addr, req)
	}
	go func() { running <- r.post(pathCompletions, `{"model":"tray","prompt":"p"}`) }()
	<-started
	r.Drain()
	w := r.post(pathCompletions, `{"model":"tray","prompt":"p"}`)
	requireNotRun(t, w, 503, "shutting_down")
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Equal(t, "true", w.Header().Get("X-Should-Retry"))
	select {
	case <-r.Idle():
		t.Fatal("idle while a request runs")
	default:
	}
	close(gate)
	require.Equal(t, http.StatusOK, (<-running).Code)
	<-r.Idle()
	r.requireDrained(t)
}

func TestRequestAndQueueLimits(t *testing.T) {
	r := newHarness(t, func(o *Options) { o.Limits.ConcurrentRequests = 1; o.Limits.DispatcherQueue = 1 })
	require.Equal(t, admitted, r.workTracker.admit(1))
	requireNotRun(t, r.post(pathCompletions, `{}`), 503, CodeTooManyRequests)
	r.workTracker.done()
	r.stop()
	r.queue <- loadReported{} // the dispatcher has stopped, so the queue is full now
	w := r.post(pathCompletions, `{"model":"tray","prompt":"p"}`)
	requireNotRun(t, w, 503, CodeDispatcherBusy)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	r.ReportLoad("e0", infra.Load{}, 0)
	require.Equal(t, "1", r.counter("hints_dropped"))
}

// listen serves the handler over HTTP on loopback, as an entry instance does.
func (r *harness) listen(t testing.TB) *httptest.Server {
	srv := httptest.NewUnstartedServer(r.Handler())
	ConfigureHTTPServer(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

func TestSlowBodyIsRefused(t *testing.T) {
	r := newHarness(t, func(o *Options) { o.Limits.BodyReadTimeout = 50 * time.Millisecond })
	srv := r.listen(t)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", pathCompletions, testKey)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Contains(t, string(body), `"code":"body_too_slow"`)
	require.Contains(t, string(body), `"outcome":"not_run"`)
	require.True(t, resp.Close)
}

// A refusal is sent without waiting for the rest of the request's body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	r := newHarness(t)
	srv := r.listen(t)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", pathCompletions)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil) // the body is never sent
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
}

func TestConfigureHTTPServerLimitsHeaders(t *testing.T) {
	var h http.Server
	ConfigureHTTPServer(&h)
	require.Equal(t, HeaderReadTimeout, h.ReadHeaderTimeout)
	require.Equal(t, HeaderSizeLimit, h.MaxHeaderBytes)
	require.Zero(t, h.WriteTimeout, "streams may last until the request's deadline")
}

// Closing a real connection cancels the attempt at the server.
func TestClosedConnectionCancelsTheAttempt(t *testing.T) {
	r := newHarness(t)
	ended := make(chan struct{})
	r.engine.generate = func(ctx ctxT, _ string, req infra.GenerateRequest) (infra.Stream, error) {
		s := r.engine.stream(ctx, answerEvents(req, 0, 1)[:1])
		s.block = true
		go func() { <-ctx.Done(); close(ended) }()
		return s, nil
	}
	srv := r.listen(t)
	req, err := http.NewRequest(http.MethodPost, srv.URL+pathCompletions, strings.NewReader(streamedRequest))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n') // the first token arrived
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-ended
}
