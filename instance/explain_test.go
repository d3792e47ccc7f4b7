package instance_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/exchange"
	"greengageferry/platform/standin"
)

// Any instance explains over the exchange where it would send a request; nothing runs for it.
func TestInstanceExplainsARoute(t *testing.T) {
	d := deploy(t)
	client := exchange.NewExchangeProtobufClient("http://"+d.instances[0].node.PeerAddr, http.DefaultClient)
	ask := func(model string) *exchange.RouteAnswer {
		a, err := client.ExplainRoute(context.Background(), &exchange.RouteQuestion{
			Host: standin.Host, Path: standin.StreamPath, Model: model, PromptTokens: 100, MaxTokens: 10,
		})
		require.NoError(t, err)
		return a
	}
	d.waitUntil(func() bool { return ask(standin.BusyModel).GetAction() == "dispatch" })
	a := ask(standin.BusyModel)
	require.Equal(t, "draft", a.GetRoute())
	require.NotEmpty(t, a.GetServer())
	require.NotEmpty(t, a.GetReplicas())
	require.Equal(t, "refuse", ask("no-such-model").GetAction())
}
