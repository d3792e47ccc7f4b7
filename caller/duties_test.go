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

// faulty is an observer that panics once.
type faulty struct {
	nopObserver
	done atomic.Bool
}

func (f *faulty) Decided(string, decide.Decision) {
	if !f.done.Swap(true) {
		panic("observer")
	}
}

func TestDispatcherThatPanicsIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.stop()
		s, err := New(func() Options { o := r.opts; o.Observer = &faulty{}; return o }())
		require.NoError(t, err)
		s.SetTable(testTable())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		second := &rig{Server: s}
		w := second.post(pathCompletions, `{"model":"tray","prompt":"p"}`)
		requireNotRun(t, w, http.StatusServiceUnavailable, CodeDispatcherRestarted)
		require.Contains(t, w.Body.String(), "started again")
		var panicked *supervise.PanicError
		require.True(t, errors.As(<-ended, &panicked))
		require.Equal(t, "dispatcher", panicked.Duty)
		go func() { ended <- s.Run(ctx) }() // as its supervisor does
		w = second.post(pathCompletions, `{"model":"tray","prompt":"p"}`)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
		cancel()
		require.NoError(t, <-ended)
	})
}

// stuck is a caller that stops reading after some writes.
type stuck struct {
	*httptest.ResponseRecorder
	left int
	gate chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	if s.left--; s.left < 0 {
		<-s.gate
	}
	return s.ResponseRecorder.Write(p)
}

// stuckPost sends a request whose caller stops reading until gate is closed.
func (r *rig) stuckPost(body string, writes int) (w *stuck, done chan struct{}) {
	return r.stuckRequest(http.MethodPost, pathCompletions, body, writes)
}

func (r *rig) stuckRequest(method, path, body string, writes int) (w *stuck, done chan struct{}) {
	w = &stuck{httptest.NewRecorder(), writes, make(chan struct{})}
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	done = make(chan struct{})
	go func() {
		defer close(done)
		r.Handler().ServeHTTP(w, req)
	}()
	return w, done
}

// counted counts what is taken from a stream.
type counted struct {
	infra.Stream
	taken *atomic.Int32
}

func (c *counted) Recv() (infra.Event, error) {
	c.taken.Add(1)
	return c.Stream.Recv()
}

func TestCallerThatReadsSlowlyHoldsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var taken atomic.Int32
		r.engine.generate = func(ctx ctxT, _ string, req infra.GenerateRequest) (infra.Stream, error) {
			return &counted{r.engine.stream(ctx, wholeAnswer(req)), &taken}, nil
		}
		w, done := r.stuckPost(`{"model":"tray","prompt":"p","max_tokens":60,"stream":true}`, 5)
		synctest.Wait()
		require.EqualValues(t, 6, taken.Load(), "nothing is taken ahead of the caller")
		close(w.gate)
		<-done
		require.Equal(t, text(60), streamText(w.Body.String()))
		r.empty(t)
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
		require.False(t, o.put(3), "a full ring drops")
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

// A request that waits for a slot when the shutdown begins is served.
func TestDrainServesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
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
		r.empty(t)
	})
}
