package whole

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/load"
	"greengageferry/quickstart"
	"greengageferry/standin"
)

// Guards against an instance that shuts down ending its batchers under the claims that they
// are appending: the requests waited for them until their deadline. With one instance no
// other batcher can answer.
func TestWholeShutdownAnswersClaimsInFlight(t *testing.T) {
	const (
		requests    = 20
		appendDelay = 500 * time.Millisecond
	)
	runInParallel(t)
	d := newDeployment(t)
	d.publishConfig()
	d.start(quickstart.Domains()[0])
	n := d.nodes[0]
	client := d.client(d.transport(placeCallers), n, quickstart.FlightKitchen)
	send := func(i int) load.Answer {
		key := fmt.Sprint("order-", i)
		r := load.ServiceRequest{Service: "order-desk", Path: "/orders", Body: key, IdempotencyKey: key, Timeout: 10 * time.Second}
		return d.history.SendService(context.Background(), n.id, client, r)
	}
	waitUntil(t, "the service", func() bool { return send(-1).Outcome == load.OutcomeComplete })

	d.platform.Log.Faults.Set(standin.Always(standin.Fault{Delay: appendDelay}, "log.append"))
	var sent sync.WaitGroup
	answers := make([]load.Answer, requests)
	for i := range answers {
		sent.Go(func() { answers[i] = send(i) })
	}
	time.Sleep(appendDelay / 2) // appends are under way
	d.shutDown(n)
	sent.Wait()
	for i, a := range answers {
		require.Equal(t, load.OutcomeComplete, a.Outcome, "request %d: %s", i, a.Code)
	}
}
