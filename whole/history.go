// Package whole checks the whole system: it keeps what each caller was told
// and compares that with the truth that the stand-ins for the platform and the
// backend servers keep, against each line of what must always hold.
package whole

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengageferry/load"
)

// Told is what a caller was told of one sending of a request.
type Told struct {
	Request  load.Request
	Service  load.ServiceRequest // in place of Request where its Service is set
	Answer   load.Answer
	Instance string // the entry instance that it was sent to
	Sent     time.Time
	Ended    time.Time
}

// content returns what the request is known by: its prompt or body, which no
// other request has.
func (t Told) content() string {
	if t.Service.Service != "" {
		return t.Service.Body
	}
	return t.Request.Prompt
}

// key returns the request's idempotency key; empty: none.
func (t Told) key() string {
	if t.Service.Service != "" {
		return t.Service.IdempotencyKey
	}
	return t.Request.IdempotencyKey
}

// nonIdempotent says whether it may run at most once: a POST to a service
// always.
func (t Told) nonIdempotent() bool {
	return t.Service.Service != "" || t.Request.NonIdempotent
}

// History is what callers were told, in the order of the ends of their
// requests. It is safe for concurrent use.
type History struct {
	mu   sync.Mutex
	told []Told
}

// Add adds an entry.
func (h *History) Add(t Told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = append(h.told, t)
}

// Told returns the entries.
func (h *History) Told() []Told {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.told)
}

// Send sends a request through an entry instance, and adds what its caller was
// told. Each request needs a prompt of its own; the resends of one with an
// idempotency key share theirs.
func (h *History) Send(ctx context.Context, instance string, client *load.Client, r load.Request) load.Answer {
	sent := time.Now()
	answer := client.Send(ctx, r, sent)
	h.Add(Told{Request: r, Answer: answer, Instance: instance, Sent: sent, Ended: time.Now()})
	return answer
}

// SendService sends a call to a plain service, as Send does a request. Each
// needs a body of its own.
func (h *History) SendService(ctx context.Context, instance string, client *load.Client, r load.ServiceRequest) load.Answer {
	sent := time.Now()
	answer := client.SendService(ctx, r, sent)
	h.Add(Told{Service: r, Answer: answer, Instance: instance, Sent: sent, Ended: time.Now()})
	return answer
}
