package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

var planner = infra.Item{Model: "tray-planner", Version: "v1", MiB: 100}

// runEngine runs an engine under synctest until the test ends. It returns the engine
// and an infra.Engine that has the engine at the address s.
func runEngine(t *testing.T, options EngineOptions) (*Engine, *LocalEngines) {
	e := NewEngine(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	engines := NewLocalEngines()
	engines.Add("s", e)
	return e, engines
}

func load(t *testing.T, engines *LocalEngines, item infra.Item, fence uint64) {
	require.NoError(t, engines.Order(t.Context(), "s", infra.Order{Kind: infra.OrderLoad, Item: item, Fence: fence}))
	synctest.Wait()
}

func request(attempt, prompt string) infra.GenerateRequest {
	return infra.GenerateRequest{Attempt: attempt, Model: planner.Model, Version: planner.Version, Prompt: prompt, MaxTokens: 1000, Seed: 7}
}

// readAll reads a stream to its end.
func readAll(s infra.Stream) (string, error) {
	var text strings.Builder
	for {
		event, err := s.Recv()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(event.Token)
	}
}

func TestEngineReturnsExpectedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, engines := runEngine(t, EngineOptions{ID: "s"})
		load(t, engines, planner, 1)
		req := request("a1", "two kosher meals on 417")
		s, err := engines.Generate(t.Context(), "s", req)
		require.NoError(t, err)
		text, err := readAll(s)
		require.NoError(t, err)
		require.NoError(t, s.Close())
		require.Equal(t, AnswerTo(req).Text(req.MaxTokens), text)
		require.Equal(t, EndComplete, e.Truth().Runs[0].End)
		require.Empty(t, e.Truth().Violations)
	})
}

// waitReady waits until the engine's only item is ready.
func waitReady(t testing.TB, engine infra.Engine, addr string) {
	require.Eventually(t, func() bool {
		status, err := engine.Status(t.Context(), addr)
		return err == nil && len(status.Items) == 1 && status.Items[0].State == infra.ItemReady
	}, 10*time.Second, time.Millisecond)
}

func TestHTTPEngine(t *testing.T) {
	e := NewEngine(EngineOptions{ID: "s", StepBase: time.Millisecond})
	server, err := Start("127.0.0.1:0", e)
	require.NoError(t, err)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	engine := infra.NewHTTPEngine(&http.Client{Transport: transport})
	require.NoError(t, engine.Order(t.Context(), server.Addr(), infra.Order{Kind: infra.OrderLoad, Item: planner, Fence: 1}))
	waitReady(t, engine, server.Addr())
	req := request("a1", "two kosher meals on 417")
	s, err := engine.Generate(t.Context(), server.Addr(), req)
	require.NoError(t, err)
	text, err := readAll(s)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Equal(t, AnswerTo(req).Text(req.MaxTokens), text)
}
