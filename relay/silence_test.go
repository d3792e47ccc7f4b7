package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/internal/stall"
	"greengageferry/topology"
)

// lateBody returns its first event after a delay, also if its context has ended.
type lateBody struct {
	after time.Duration
	sent  bool
}

func (b *lateBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, io.ErrUnexpectedEOF
	}
	b.sent = true
	time.Sleep(b.after)
	return copy(p, "id: 1\ndata: x\n\n"), nil
}

func (b *lateBody) Close() error { return nil }

// Guards against starting a stream with an event that arrives just after the watchdog has
// ended the attempt: the caller would receive a truncated response instead of a retry.
func TestStreamNotStartedAfterWatchdogExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := New(Options{Headers: testHeaders{}, Log: log, Metrics: testMetrics{}, Rand: rand.New(rand.NewPCG(1, 1))})
		w := httptest.NewRecorder()
		c := &call{
			relay: r, w: w, req: httptest.NewRequest(http.MethodPost, "/resume/x", nil), arrived: time.Now(),
			route: &topology.Route{Stream: true, Retry: topology.Resumable, Attempts: 2}, service: &topology.Service{},
			deadline: time.Now().Add(time.Minute), decisions: make(chan decide.Decision, decisionBuffer),
		}
		watch := stall.Watch(t.Context(), time.Second, true)
		defer watch.Stop()
		res := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &lateBody{after: time.Second + time.Millisecond}}
		require.Empty(t, c.relayStream(watch.Context(), decide.Decision{}, res, time.Now(), watch), "a new decision must follow")
		require.False(t, c.stream.started)
		require.Zero(t, w.Body.Len())
		require.False(t, w.Flushed)
	})
}
