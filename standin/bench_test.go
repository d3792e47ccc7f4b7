package standin

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
)

// BenchmarkEngineHTTP measures the tokens per second of one engine over HTTP when
// batch steps take almost no time. This is the upper limit of what a load test
// through the engine can measure.
func BenchmarkEngineHTTP(b *testing.B) {
	for _, streams := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			e := NewEngine(EngineOptions{ID: "s", Slots: 64, StepBase: time.Nanosecond, StepPerRequest: time.Nanosecond, PrefillPerKiB: time.Nanosecond})
			server, err := Start("127.0.0.1:0", e)
			require.NoError(b, err)
			defer server.Close()
			transport := &http.Transport{MaxIdleConnsPerHost: streams}
			defer transport.CloseIdleConnections()
			engine := infra.NewHTTPEngine(&http.Client{Transport: transport})
			require.NoError(b, engine.Order(b.Context(), server.Addr(), infra.Order{Kind: infra.OrderLoad, Item: planner}))
			waitReady(b, engine, server.Addr())
			start := time.Now()
			for b.Loop() {
				var group errgroup.Group
				for i := range streams {
					group.Go(func() error {
						s, err := engine.Generate(b.Context(), server.Addr(), request(fmt.Sprint("a", i), "prompt"))
						if err != nil {
							return err
						}
						defer s.Close()
						_, err = readAll(s)
						return err
					})
				}
				if err := group.Wait(); err != nil {
					b.Fatal(err)
				}
			}
			tokens := 0
			for _, run := range e.Truth().Runs {
				tokens += run.Tokens
			}
			b.ReportMetric(float64(tokens)/time.Since(start).Seconds(), "tokens/s")
		})
	}
}
