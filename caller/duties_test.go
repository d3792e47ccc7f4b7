package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/supervise"
)

// panickingObserver is an observer that panics once.
type panickingObserver struct {
	nopObserver
	panicked atomic.Bool
}

func (f *panickingObserver) Decided(string, decide.Decision) {
	if !f.panicked.Swap(true) {
		panic("observer")
	}
}

func TestDispatcherRestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.stop()
		s, err := New(func() Options { o := r.opts; o.Observer = &panickingObserver{}; return o }())
		require.NoError(t, err)
		s.SetTable(testTable())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		second := &harness{Server: s}
		w := second.post(pathCompletions, `{"model":"tray","prompt":"p"}`)
		requireNotRun(t, w, http.StatusServiceUnavailable, CodeDispatcherRestarted)
		require.Contains(t, w.Body.String(), "started again")
		var panicked *supervise.PanicError
		require.True(t, errors.As(<-ended, &panicked))
		require.Equal(t, "dispatcher", panicked.Duty)
		go func() { ended <- s.Run(ctx) }() // as the supervisor does
		w = second.post(pathCompletions, `{"model":"tray","prompt":"p"}`)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
		cancel()
		require.NoError(t, <-ended)
	})
}

// blockingRecorder simulates a caller that stops reading after some writes: further
// writes block until resume is closed.
type blockingRecorder struct {
	*httptest.ResponseRecorder
	writesLeft int
	resume     chan struct{}
}

func (s *blockingRecorder) Write(p []byte) (int, error) {
	if s.writesLeft--; s.writesLeft < 0 {
		<-s.resume
	}
	return s.ResponseRecorder.Write(p)
}

// postBlocked sends a request whose caller stops reading after some writes until
// w.resume is closed.
func (r *harness) postBlocked(body string, writes int) (w *blockingRecorder, done chan struct{}) {
	return r.sendBlocked(http.MethodPost, pathCompletions, body, writes)
}

func (r *harness) sendBlocked(method, path, body string, writes int) (w *blockingRecorder, done chan struct{}) {
	w = &blockingRecorder{httptest.NewRecorder(), writes, make(chan struct{})}
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	done = make(chan struct{})
	go func() {
		defer close(done)
		r.Handler().ServeHTTP(w, req)
	}()
	return w, done
}

// countingStream counts the calls of Recv.
type countingStream struct {
	infra.Stream
	received *atomic.Int32
}

func (c *countingStream) Recv() (infra.Event, error) {
	c.received.Add(1)
	return c.Stream.Recv()
}

func TestSlowCallerAppliesBackpressureToEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		var received atomic.Int32
		r.engine.generate = func(ctx ctxT, _ string, req infra.GenerateRequest) (infra.Stream, error) {
			return &countingStream{r.engine.stream(ctx, completeAnswer(req)), &received}, nil
		}
		w, done := r.postBlocked(`{"model":"tray","prompt":"p","max_tokens":60,"stream":true}`, 5)
		synctest.Wait()
		require.EqualValues(t, 6, received.Load(), "no token is read ahead of the caller")
		close(w.resume)
		<-done
		require.Equal(t, tokenText(60), streamText(w.Body.String()))
		r.requireDrained(t)
	})
}

func TestOutboxDropsWhenFullAndSurvivesAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := newWorkTracker()
		var sent, panics int
		o := &outbox[int]{
			queue: make(chan int, 2), maxConcurrent: 1, work: work,
			send: func(_ context.Context, n int) {
				if sent++; n == 1 {
					panic("send")
				}
			},
			onPanic: func(any) { panics++ },
		}
		require.True(t, o.put(1))
		require.True(t, o.put(2))
		require.False(t, o.put(3), "a full queue drops the message")
		require.Equal(t, 2, work.n)
		work.drain()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- o.run(ctx) }()
		<-work.idle
		cancel()
		require.NoError(t, <-ended)
		require.Equal(t, 2, sent)
		require.Equal(t, 1, panics)
	})
}

// A request that is queued when the shutdown begins is still served.
func TestDrainServesQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		table := testTable()
		table.Servers[0].Slots = 1
		for _, target := range table.Targets {
			target.Replicas = target.Replicas[:1]
		}
		r.SetTable(table)
		synctest.Wait()
		gate := make(chan struct{})
		r.blockUntil(gate)
		const sent = 8
		done := make(chan *httptest.ResponseRecorder, sent)
		for range sent {
			go func() { done <- r.post(pathCompletions, `{"model":"tray","prompt":"p","max_tokens":2}`) }()
		}
		synctest.Wait()
		waiting := sent - len(r.engine.attempts())
		require.NotZero(t, waiting)
		r.Drain()
		synctest.Wait()
		requireNotRun(t, r.post(pathCompletions, `{}`), http.StatusServiceUnavailable, "shutting_down")
		close(gate)
		for range sent {
			w := <-done
			require.Equal(t, http.StatusOK, w.Code, w.Body)
		}
		r.requireDrained(t)
	})
}
