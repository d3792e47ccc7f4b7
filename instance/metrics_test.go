package instance

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMetricsAreServedInPrometheusTextFormat(t *testing.T) {
	m := newMetrics()
	m.ObserveRequest("done", 30*time.Millisecond)
	m.CountDecision("dispatch", "best_score")
	m.ObserveFirstByte(20 * time.Millisecond)
	m.ObserveQueueTime(time.Millisecond)
	m.ObserveStreamGap(time.Minute)
	m.countOrder("accepted")
	m.CountRankDecision("dispatch", 0, true)
	m.CountRateLimitedAttempt()
	m.CountBacklogRefusal(true)
	m.observeStoreCall("servers", time.Now(), nil)
	m.observeStoreCall("servers", time.Now(), context.DeadlineExceeded)
	m.gauge("config_version", "help", func() float64 { return 7 })
	w := httptest.NewRecorder()
	m.handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	for _, line := range []string{
		`greengageferry_requests_total{outcome="done"} 1`,
		`greengageferry_decisions_total{action="dispatch",reason="best_score"} 1`,
		`greengageferry_orders_total{result="accepted"} 1`,
		`greengageferry_sent_rate_limited_total 1`,
		`greengageferry_backlog_refusals_total{room="true"} 1`,
		`greengageferry_request_seconds_bucket{le="0.025"} 0`,
		`greengageferry_request_seconds_bucket{le="0.05"} 1`,
		`greengageferry_event_gap_seconds_bucket{le="15"} 0`,
		`greengageferry_event_gap_seconds_bucket{le="+Inf"} 1`,
		`greengageferry_store_call_seconds_count{read="servers"} 2`,
		`greengageferry_store_reads_total{read="servers",result="answered"} 1`,
		`greengageferry_store_reads_total{read="servers",result="unanswered"} 1`,
		`greengageferry_config_version 7`,
	} {
		require.Contains(t, string(body), line+"\n")
	}
}
