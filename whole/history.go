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
	Answer   load.Answer
	Instance string // the entry instance that it was sent to
	Sent     time.Time
	Ended    time.Time
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
