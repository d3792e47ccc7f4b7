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

// BenchmarkEngineHTTP measures how many tokens a second one engine gives over
// HTTP when its steps take no time: the ceiling of what a load through it can
// measure.
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
