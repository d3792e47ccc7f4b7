// Package whole checks invariants of the whole system in integration tests. A History
// records the answer that each caller received. Check compares it with a GroundTruth, which
// holds what the stand-ins (simulated platform services and backend servers) recorded, and
// returns the violations of each Rule.
package whole

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengageferry/load"
)

// CallerView is a caller's view of one submission of a request.
type CallerView struct {
	Request  load.Request
	Service  load.ServiceRequest // used instead of Request if its Service is set
	Answer   load.Answer
	Instance string // the entry instance that the request was sent to
	Sent     time.Time
	Ended    time.Time
}

// identity returns the prompt or body of the request, which is unique to the request.
func (v CallerView) identity() string {
	if v.Service.Service != "" {
		return v.Service.Body
	}
	return v.Request.Prompt
}

// idempotencyKey returns the request's idempotency key, or "" if it has none.
func (v CallerView) idempotencyKey() string {
	if v.Service.Service != "" {
		return v.Service.IdempotencyKey
	}
	return v.Request.IdempotencyKey
}

// nonIdempotent reports whether the request must run at most once. This holds for all calls
// to plain services, because they are POSTs.
func (v CallerView) nonIdempotent() bool {
	return v.Service.Service != "" || v.Request.NonIdempotent
}

// History records the callers' views, in the order in which their requests ended. It is safe
// for concurrent use.
type History struct {
	mu       sync.Mutex
	entries  []CallerView
	complete int // entries with a complete answer
}

// Add adds an entry.
func (h *History) Add(t CallerView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, t)
	if t.Answer.Outcome == load.OutcomeComplete {
		h.complete++
	}
}

// Complete returns the number of entries with a complete answer. Tests poll it, so it doesn't
// copy the entries.
func (h *History) Complete() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.complete
}

// CallerView returns a copy of all entries.
func (h *History) CallerView() []CallerView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.entries)
}

// Send sends a request through an entry instance and adds the caller's view of it. The
// prompt must be unique to the request; resends with the same idempotency key share it.
func (h *History) Send(ctx context.Context, instance string, client *load.Client, r load.Request) load.Answer {
	sent := time.Now()
	answer := client.Send(ctx, r, sent)
	h.Add(CallerView{Request: r, Answer: answer, Instance: instance, Sent: sent, Ended: time.Now()})
	return answer
}

// SendService sends a call to a plain service, as Send sends a request. The body must be
// unique to the call; resends with the same idempotency key share it.
func (h *History) SendService(ctx context.Context, instance string, client *load.Client, r load.ServiceRequest) load.Answer {
	sent := time.Now()
	answer := client.SendService(ctx, r, sent)
	h.Add(CallerView{Service: r, Answer: answer, Instance: instance, Sent: sent, Ended: time.Now()})
	return answer
}
