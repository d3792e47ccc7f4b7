package infra_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"greengageferry/infra"
	"greengageferry/netconn"
	"greengageferry/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newClient returns an HTTP client whose idle connections are closed at the test's end.
func newClient(t *testing.T) *http.Client { return &http.Client{Transport: newTransport(t)} }

func newTransport(t *testing.T) *netconn.Transport {
	transport := netconn.SendOnce(&http.Transport{})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// startServer starts a server that is closed at the test's end.
func startServer(t *testing.T, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func addrOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// requireError checks an error's type, reason and effect.
func requireError(t *testing.T, err error, reason infra.Reason, effect infra.Effect) {
	t.Helper()
	var e *infra.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, reason, e.Reason, "%v", err)
	require.Equal(t, effect, e.Effect, "%v", err)
}

// closedAddr returns an address where nothing listens.
func closedAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func TestDialFailureHasNoEffect(t *testing.T) {
	engine := infra.NewHTTPEngine(newClient(t))
	_, err := engine.Generate(t.Context(), closedAddr(t), infra.GenerateRequest{Attempt: "a"})
	requireError(t, err, infra.ReasonUnreachable, infra.EffectNone)
}

func TestContextEndDuringDialHasNoEffect(t *testing.T) {
	dialing, over := make(chan struct{}), make(chan struct{})
	defer close(over)
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		close(dialing)
		<-over
		return nil, net.ErrClosed
	}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialing
		cancel()
	}()
	_, err := infra.NewHTTPLog("http://127.0.0.1:1", &http.Client{Transport: transport}).Append(ctx, "s", [][]byte{nil})
	requireError(t, err, infra.ReasonCanceled, infra.EffectNone)
}

// untracedTransport is a transport that calls no httptrace hooks.
type untracedTransport struct{}

func (untracedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func TestEffectUnknownWithoutTransportTracing(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := infra.NewHTTPLog("http://127.0.0.1:1", &http.Client{Transport: untracedTransport{}}).Append(ctx, "s", [][]byte{nil})
	requireError(t, err, infra.ReasonTimeout, infra.EffectUnknown)
}

func TestEffectUnknownAfterBrokenConnection(t *testing.T) {
	s := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	err := infra.NewHTTPEngine(newClient(t)).Order(t.Context(), addrOf(s), infra.Order{Kind: infra.OrderFence})
	requireError(t, err, infra.ReasonUnreachable, infra.EffectUnknown)
}

func TestRefusalCarriesServerReasonAndEffect(t *testing.T) {
	for _, c := range []struct {
		body   string
		reason infra.Reason
		effect infra.Effect
	}{
		{`{"reason":"leaving","effect":"none"}`, infra.ReasonLeaving, infra.EffectNone},
		{`{"reason":"leaving","effect":"unknown"}`, infra.ReasonLeaving, infra.EffectUnknown},
		{`{"reason":"leaving"}`, infra.ReasonLeaving, infra.EffectUnknown},
		{`{"effect":"none"}`, infra.ReasonUnavailable, infra.EffectUnknown},
		{`not found`, infra.ReasonUnavailable, infra.EffectUnknown},
	} {
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, c.body)
		})
		_, err := infra.NewHTTPEngine(newClient(t)).Generate(t.Context(), addrOf(s), infra.GenerateRequest{})
		requireError(t, err, c.reason, c.effect)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var second atomic.Int32
	other := startServer(t, func(http.ResponseWriter, *http.Request) { second.Add(1) })
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, other.URL, http.StatusTemporaryRedirect)
	})
	_, err := infra.NewHTTPEngine(newClient(t)).Generate(t.Context(), addrOf(s), infra.GenerateRequest{})
	requireError(t, err, infra.ReasonUnavailable, infra.EffectUnknown)
	require.Zero(t, second.Load())
}

// TestServiceCallIsSentOnce breaks an idle connection during a call that net/http would retry
// by itself, because the call has an Idempotency-Key and no body.
func TestServiceCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		var calls atomic.Int32
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		})
		services := infra.NewHTTPServices(newTransport(t))
		req := infra.ServiceRequest{Attempt: "a", Method: method, Path: "/x", Header: http.Header{"Idempotency-Key": {"k"}}}
		first, err := services.Call(t.Context(), addrOf(s), req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, first.Body)
		require.NoError(t, err)
		require.NoError(t, first.Body.Close())
		_, err = services.Call(t.Context(), addrOf(s), req)
		requireError(t, err, infra.ReasonUnreachable, infra.EffectUnknown)
		require.EqualValues(t, 2, calls.Load(), method)
	}
}

func TestServiceCall(t *testing.T) {
	service := standin.NewService(standin.ServiceOptions{Name: "invoices"})
	s := startServer(t, service.ServeHTTP)
	services := infra.NewHTTPServices(newTransport(t))
	req := infra.ServiceRequest{Attempt: "a1", Method: http.MethodPut, Path: "/orders/7?dry=1", Body: []byte("two trays")}
	answer, err := services.Call(t.Context(), addrOf(s), req)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.JSONEq(t, `{"service":"invoices","method":"PUT","path":"/orders/7?dry=1","body":"two trays"}`, string(body))
	runs := service.Truth()
	require.Len(t, runs, 1)
	require.Equal(t, "a1", runs[0].Attempt)

	service.SetLeaving(true)
	_, err = services.Call(t.Context(), addrOf(s), req)
	requireError(t, err, infra.ReasonLeaving, infra.EffectNone)
	require.Len(t, service.Truth(), 1)
}

// startStream starts a stream from a server that sends the text and then aborts the
// connection or ends the response.
func startStream(t *testing.T, text string, abort bool) infra.Stream {
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", infra.ContentTypeEvents)
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		if abort {
			panic(http.ErrAbortHandler)
		}
	})
	stream, err := infra.NewHTTPEngine(newClient(t)).Generate(t.Context(), addrOf(s), infra.GenerateRequest{})
	require.NoError(t, err)
	t.Cleanup(func() { stream.Close() })
	return stream
}

func TestStreamEndsOnlyAfterFinish(t *testing.T) {
	const token = "data: {\"attempt\":\"a\",\"token\":\"x\"}\n\n"
	const finish = "data: {\"attempt\":\"a\",\"index\":1,\"finish\":\"stop\"}\n\n"
	for _, c := range []struct {
		name, text string
		abort      bool
		reason     infra.Reason // empty: the stream ends normally
	}{
		{"whole", token + finish, false, ""},
		{"ends early", token, false, infra.ReasonUnreachable},
		{"cut", token, true, infra.ReasonUnreachable},
		{"finish cut short", token + finish[:len(finish)-1], true, infra.ReasonUnreachable},
		{"broken JSON", token + "data: {\n\n", false, infra.ReasonProtocol},
		{"endless line", token + "data: " + strings.Repeat("x", 1<<20), false, infra.ReasonProtocol},
	} {
		t.Run(c.name, func(t *testing.T) {
			stream := startStream(t, c.text, c.abort)
			first, err := stream.Recv()
			require.NoError(t, err)
			require.Equal(t, infra.Event{Attempt: "a", Token: "x"}, first)
			last, err := stream.Recv()
			if c.reason != "" {
				requireError(t, err, c.reason, infra.EffectUnknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, infra.FinishStop, last.Finish)
			_, err = stream.Recv()
			require.Equal(t, io.EOF, err)
		})
	}
}

func TestHTTPLog(t *testing.T) {
	s, err := standin.Start("127.0.0.1:0", standin.NewLog(standin.LogOptions{RetainedRecords: 2}))
	require.NoError(t, err)
	defer s.Close()
	log := infra.NewHTTPLog(s.URL()+"/", newClient(t))
	stream := infra.ControlStream("dock-hall-a")
	offset, err := log.Append(t.Context(), stream, [][]byte{{1}, {2}, {3}})
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
	batch, err := log.Read(t.Context(), stream, 2, 10, 0)
	require.NoError(t, err)
	require.Equal(t, infra.Batch{Oldest: 2, Next: 4, Records: []infra.Record{{Offset: 2, Data: []byte{2}}, {Offset: 3, Data: []byte{3}}}}, batch)
	batch, err = log.Read(t.Context(), stream, 1, 10, 0)
	requireError(t, err, infra.ReasonOutOfRange, infra.EffectNone)
	require.Equal(t, infra.Batch{Oldest: 2, Next: 4}, batch)
}

func TestHTTPInstancesAndStore(t *testing.T) {
	list := standin.NewInstanceList(0)
	list.Put(infra.Instance{ID: "e1", Role: infra.RoleEntry, State: infra.StateLive, Addr: "127.0.0.1:1"})
	s := startServer(t, list.ServeHTTP)
	got, err := infra.NewHTTPInstances(s.URL, newClient(t)).List(t.Context())
	require.NoError(t, err)
	require.Equal(t, list.Truth(), got)

	limits := infra.StoreLimits{LoadsPerSecond: 3, ConcurrentLoads: 3}
	store := startServer(t, standin.NewWeightStore(standin.StoreOptions{Limits: map[string]infra.StoreLimits{"kitchen": limits}}).ServeHTTP)
	read, err := infra.NewHTTPStore(store.URL, newClient(t)).Limits(t.Context(), "kitchen")
	require.NoError(t, err)
	require.Equal(t, limits, read)
}

func TestResponseSizeIsLimited(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"`+strings.Repeat("x", 8<<20)+`"}`)
	})
	_, err := infra.NewHTTPEngine(newClient(t)).Status(t.Context(), addrOf(s))
	requireError(t, err, infra.ReasonProtocol, infra.EffectUnknown)
}

// A stream of events without a length and without chunks ends with its connection, also if its
// service dies.
func TestTruncatedEventStreamEndsWithAnError(t *testing.T) {
	for body, complete := range map[string]bool{"data: x\n\n": true, "data: x\n\ndata": false, "data: x\n": false, "": false} {
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+body)
			_ = conn.Close()
		})
		res, err := infra.NewHTTPServices(newTransport(t)).Call(t.Context(), addrOf(s), infra.ServiceRequest{Attempt: "a", Method: http.MethodGet, Path: "/x"})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.Equal(t, complete, err == nil, "%q: %v", body, err)
		require.NoError(t, res.Body.Close())
	}
}
