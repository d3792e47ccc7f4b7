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

// Of a caller's requests, in parts of ten.
const (
	partWhole     = 2 // idempotent, answered whole
	partStreamed  = 4 // idempotent, streamed
	partKeyed     = 2 // non-idempotent with a key, resent through other instances
	partUnkeyed   = 1 // non-idempotent without a key: sent once
	partOfService = 1 // a call to a plain service that runs at most once
)

// mostSendings bounds how often a caller sends a keyed request.
const mostSendings = 4

// claimTimeout is the deadline of a request that has to be claimed: while the
// log is out it may wait as long for its claim, and the callers with it.
const claimTimeout = 2 * time.Second

// resendPause is how long a caller waits before it sends again.
const resendPause = 200 * time.Millisecond

// traffic is callers that send requests until stopped.
type traffic struct {
	d       *deployment
	ctx     context.Context
	cancel  context.CancelFunc
	callers sync.WaitGroup
	watcher sync.WaitGroup
}

// startTraffic starts callers, and the watch of the configuration.
func (d *deployment) startTraffic(callers int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{d: d, ctx: ctx, cancel: cancel}
	transport := d.transport(placeCallers)
	for i := range callers {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		tr.callers.Go(func() {
			for tr.ctx.Err() == nil {
				tr.one(rng, transport)
			}
		})
	}
	tr.watcher.Go(func() { d.watchConfig(ctx) })
	return tr
}

// stop ends the callers once their requests in flight have ended.
func (tr *traffic) stop() {
	tr.cancel()
	tr.callers.Wait()
	tr.watcher.Wait()
}

// one sends one request, and its resends.
func (tr *traffic) one(rng *rand.Rand, transport *http.Transport) {
	m := tr.d.truth.Models[rng.IntN(len(tr.d.truth.Models))]
	r := tr.d.newRequest(m)
	draw := rng.IntN(partWhole + partStreamed + partKeyed + partUnkeyed + partOfService)
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

// send sends a request through any instance. Requests in flight when the
// traffic stops still end.
func (tr *traffic) send(rng *rand.Rand, transport *http.Transport, m Model, r load.Request) load.Answer {
	live := tr.d.live()
	n := live[rng.IntN(len(live))]
	a := tr.d.history.Send(context.Background(), n.id, tr.d.client(transport, n, m.Partner), r)
	if a.Outcome != load.OutcomeComplete {
		pause(tr.ctx, resendPause)
	}
	return a
}

// sendKeyed sends a keyed request through one instance and at times through a
// second at once, and again through others until it is complete.
func (tr *traffic) sendKeyed(rng *rand.Rand, transport *http.Transport, m Model, r load.Request) {
	var second sync.WaitGroup
	defer second.Wait()
	if rng.IntN(4) == 0 {
		other := rand.New(rand.NewPCG(r.Seed, 1))
		second.Go(func() { tr.send(other, transport, m, r) })
	}
	for range mostSendings {
		if tr.send(rng, transport, m, r).Outcome == load.OutcomeComplete {
			return
		}
	}
}

// callService calls the partner's plain service, half of the time with a key
// and resends.
func (tr *traffic) callService(rng *rand.Rand, transport *http.Transport, partner string, like load.Request) {
	r := load.ServiceRequest{Service: "order-desk", Path: "/orders", Body: "order " + like.Prompt, Timeout: like.Timeout}
	if partner == quickstart.Instituto {
		r.Service, r.Path = "campo", "/notes"
	}
	sendings := 1
	if rng.IntN(2) == 0 {
		r.IdempotencyKey = fmt.Sprintf("service-key-%d", like.Seed)
		r.Timeout = claimTimeout
		sendings = mostSendings
	}
	for range sendings {
		live := tr.d.live()
		n := live[rng.IntN(len(live))]
		if tr.d.history.SendService(context.Background(), n.id, tr.d.client(transport, n, partner), r).Outcome == load.OutcomeComplete {
			return
		}
		pause(tr.ctx, resendPause)
	}
}

// completed waits until callers have been given that many more whole answers.
func (tr *traffic) completed(more int) {
	tr.d.t.Helper()
	from := len(tr.d.completes())
	until(tr.d.t, "whole answers", func() bool { return len(tr.d.completes()) >= from+more })
}

// completes returns the entries of the history that are complete.
func (d *deployment) completes() []Told {
	var complete []Told
	for _, t := range d.history.Told() {
		if t.Answer.Outcome == load.OutcomeComplete {
			complete = append(complete, t)
		}
	}
	return complete
}

// until waits for a condition. That it takes recoverLimit is a fault, and no
// measure of speed.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(recoverLimit)
	for !condition() {
		require.True(t, time.Now().Before(deadline), "waited too long for: %s", what)
		time.Sleep(20 * time.Millisecond)
	}
}
