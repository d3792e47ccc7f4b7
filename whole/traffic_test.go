package whole

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/load"
	"greengageferry/quickstart"
)

// The mix of a caller's requests, in tenths.
const (
	partWhole    = 2 // idempotent, not streamed
	partStreamed = 4 // idempotent, streamed
	partKeyed    = 2 // non-idempotent with a key, resent through other instances
	partUnkeyed  = 1 // non-idempotent without a key: sent once
	partService  = 1 // a call to a plain service, which runs at most once
)

// maxSubmissions bounds how often a caller submits a request with an idempotency key.
const maxSubmissions = 4

// claimTimeout is the timeout of a request that needs a claim. It is short, because the
// request, and with it the caller, may wait this long for the claim while the log is down.
const claimTimeout = 2 * time.Second

// resendDelay is how long a caller waits before it resends a request.
const resendDelay = 200 * time.Millisecond

// traffic is a group of callers that send requests until they are stopped.
type traffic struct {
	d             *deployment
	ctx           context.Context
	cancel        context.CancelFunc
	callers       sync.WaitGroup
	configWatcher sync.WaitGroup
}

// startTraffic starts the callers and watchConfig.
func (d *deployment) startTraffic(callers int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{d: d, ctx: ctx, cancel: cancel}
	transport := d.transport(placeCallers)
	for i := range callers {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		tr.callers.Go(func() {
			for tr.ctx.Err() == nil {
				tr.sendNext(rng, transport)
			}
		})
	}
	tr.configWatcher.Go(func() { d.watchConfig(ctx) })
	return tr
}

// stop stops the callers and waits until their requests in flight have ended.
func (tr *traffic) stop() {
	tr.cancel()
	tr.callers.Wait()
	tr.configWatcher.Wait()
}

// sendNext sends one random request and its resends.
func (tr *traffic) sendNext(rng *rand.Rand, transport *http.Transport) {
	m := tr.d.truth.Models[rng.IntN(len(tr.d.truth.Models))]
	r := tr.d.newRequest(m)
	draw := rng.IntN(partWhole + partStreamed + partKeyed + partUnkeyed + partService)
	switch {
	case draw < partWhole:
		tr.send(rng, transport, m, r)
	case draw < partWhole+partStreamed:
		r.Streamed = true
		tr.send(rng, transport, m, r)
	case draw < partWhole+partStreamed+partKeyed:
		r.NonIdempotent, r.IdempotencyKey = true, fmt.Sprintf("key-%d", r.Seed)
		r.Streamed = rng.IntN(2) == 0
		r.Timeout = claimTimeout
		tr.sendKeyed(rng, transport, m, r)
	case draw < partWhole+partStreamed+partKeyed+partUnkeyed:
		r.NonIdempotent = true
		tr.send(rng, transport, m, r)
	default:
		tr.callService(rng, transport, m.Partner, r)
	}
}

// send sends a request through a random instance. A request in flight when the traffic stops
// is not canceled.
func (tr *traffic) send(rng *rand.Rand, transport *http.Transport, m Model, r load.Request) load.Answer {
	liveNodes := tr.d.liveNodes()
	n := liveNodes[rng.IntN(len(liveNodes))]
	a := tr.d.history.Send(context.Background(), n.id, tr.d.client(transport, n, m.Partner), r)
	if a.Outcome != load.OutcomeComplete {
		sleep(tr.ctx, resendDelay)
	}
	return a
}

// sendKeyed sends a request with an idempotency key through random instances until it is
// complete. At random it also sends the request through a second instance at the same time.
func (tr *traffic) sendKeyed(rng *rand.Rand, transport *http.Transport, m Model, r load.Request) {
	var second sync.WaitGroup
	defer second.Wait()
	if rng.IntN(4) == 0 {
		other := rand.New(rand.NewPCG(r.Seed, 1))
		second.Go(func() { tr.send(other, transport, m, r) })
	}
	for range maxSubmissions {
		if tr.send(rng, transport, m, r).Outcome == load.OutcomeComplete {
			return
		}
	}
}

// callService calls the partner's plain service, half of the time with an idempotency key and
// resends.
func (tr *traffic) callService(rng *rand.Rand, transport *http.Transport, partner string, similar load.Request) {
	r := load.ServiceRequest{Service: "order-desk", Path: "/orders", Body: "order " + similar.Prompt, Timeout: similar.Timeout}
	if partner == quickstart.Instituto {
		r.Service, r.Path = "campo", "/notes"
	}
	submissions := 1
	if rng.IntN(2) == 0 {
		r.IdempotencyKey = fmt.Sprintf("service-key-%d", similar.Seed)
		r.Timeout = claimTimeout
		submissions = maxSubmissions
	}
	for range submissions {
		liveNodes := tr.d.liveNodes()
		n := liveNodes[rng.IntN(len(liveNodes))]
		if tr.d.history.SendService(context.Background(), n.id, tr.d.client(transport, n, partner), r).Outcome == load.OutcomeComplete {
			return
		}
		sleep(tr.ctx, resendDelay)
	}
}

// waitCompleted waits until the callers have received that many more complete answers.
func (tr *traffic) waitCompleted(more int) {
	tr.d.t.Helper()
	wanted := tr.d.history.Complete() + more
	waitUntil(tr.d.t, "complete answers", func() bool { return tr.d.history.Complete() >= wanted })
}

// waitUntil waits for a condition, and fails the test after recoveryTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for !condition() {
		require.True(t, time.Now().Before(deadline), "timed out waiting for: %s", what)
		time.Sleep(20 * time.Millisecond)
	}
}
