package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"greengageferry/claims"
	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/record"
)

type fakeDirectory struct{ cfg *config.Config }

func (d *fakeDirectory) Config() *config.Config { return d.cfg }

// fakeEngine answers Generate with the function generate. If that is nil, it streams
// the tokens t0, t1, … up to the request's limit.
type fakeEngine struct {
	generate func(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error)
	status   func(addr string) (infra.ServerStatus, error)

	mu       sync.Mutex
	requests []infra.GenerateRequest
	canceled []string
	closed   int
}

func (e *fakeEngine) Generate(ctx context.Context, addr string, req infra.GenerateRequest) (infra.Stream, error) {
	e.mu.Lock()
	e.requests = append(e.requests, req)
	e.mu.Unlock()
	if e.generate != nil {
		return e.generate(ctx, addr, req)
	}
	return e.stream(ctx, completeAnswer(req)), nil
}

func (e *fakeEngine) attempts() []infra.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]infra.GenerateRequest(nil), e.requests...)
}

func (e *fakeEngine) Cancel(_ context.Context, _, attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, attempt)
	return nil
}

func (e *fakeEngine) Order(context.Context, string, infra.Order) error { return nil }

func (e *fakeEngine) Status(_ context.Context, addr string) (infra.ServerStatus, error) {
	if e.status != nil {
		return e.status(addr)
	}
	return infra.ServerStatus{ID: addr, Boot: "boot-1"}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, string, uint64) ([]infra.CacheEvent, error) {
	return nil, nil
}

// completeAnswer returns the events of a complete answer that continues after the
// request's prefix.
func completeAnswer(req infra.GenerateRequest) []infra.Event {
	return answerEvents(req, len(req.Prefix), req.MaxTokens)
}

// answerEvents returns the events of the tokens from (inclusive) to to (exclusive),
// and the end marker.
func answerEvents(req infra.GenerateRequest, from, to int) []infra.Event {
	var events []infra.Event
	for i := from; i < to; i++ {
		events = append(events, infra.Event{Attempt: req.Attempt, Index: i, Token: fmt.Sprintf("t%d ", i)})
	}
	return append(events, infra.Event{Attempt: req.Attempt, Index: to, Finish: infra.FinishLength})
}

// tokenText returns the text of the first n tokens.
func tokenText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// scriptedStream is a stream that yields its events and then fails with end.
type scriptedStream struct {
	engine *fakeEngine
	ctx    context.Context
	events []infra.Event
	end    error // nil for io.EOF
	block  bool  // after the events, wait until ctx ends
}

func (e *fakeEngine) stream(ctx context.Context, events []infra.Event) *scriptedStream {
	return &scriptedStream{engine: e, ctx: ctx, events: events}
}

func (s *scriptedStream) Recv() (infra.Event, error) {
	if err := s.ctx.Err(); err != nil {
		return infra.Event{}, &infra.Error{Op: "generate", Reason: infra.ReasonCanceled, Err: err}
	}
	if len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		return e, nil
	}
	if s.block {
		<-s.ctx.Done()
		return infra.Event{}, &infra.Error{Op: "generate", Reason: infra.ReasonCanceled, Err: s.ctx.Err()}
	}
	if s.end != nil {
		return infra.Event{}, s.end
	}
	return infra.Event{}, io.EOF
}

func (s *scriptedStream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.closed++
	return nil
}

// fakeServices answers with the function call or, if that is nil, with status 200 and
// the method and path as the body.
type fakeServices struct {
	call func(ctx context.Context, addr string, req infra.ServiceRequest) (*infra.ServiceAnswer, error)

	mu       sync.Mutex
	requests []infra.ServiceRequest
}

func (s *fakeServices) Call(ctx context.Context, addr string, req infra.ServiceRequest) (*infra.ServiceAnswer, error) {
	s.mu.Lock()
	s.requests = append(s.requests, req)
	s.mu.Unlock()
	if s.call != nil {
		return s.call(ctx, addr, req)
	}
	return serviceAnswer(http.StatusOK, req.Method+" "+req.Path), nil
}

func (s *fakeServices) calls() []infra.ServiceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]infra.ServiceRequest(nil), s.requests...)
}

func serviceAnswer(status int, body string) *infra.ServiceAnswer {
	h := http.Header{"Content-Type": {"text/plain"}}
	return &infra.ServiceAnswer{Status: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

// fakeClaimer simulates the claims on the log. Several instances can share one.
type fakeClaimer struct {
	mu      sync.Mutex
	claims  map[string]*record.Claim
	results []*record.ClaimResult
	verdict claims.Verdict // if not zero, the verdict on every claim
}

func (c *fakeClaimer) Claim(_ context.Context, cl *record.Claim) (claims.Standing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.verdict != 0 {
		return claims.Standing{Verdict: c.verdict}, &infra.Error{Op: "log.append", Reason: infra.ReasonUnavailable}
	}
	if c.claims == nil {
		c.claims = map[string]*record.Claim{}
	}
	first := c.claims[string(cl.Key)]
	switch {
	case first == nil:
		c.claims[string(cl.Key)] = cl
		return claims.Standing{Verdict: claims.Granted}, nil
	case string(first.Fingerprint) != string(cl.Fingerprint):
		return claims.Standing{Verdict: claims.Conflict}, nil
	}
	return claims.Standing{Verdict: claims.Taken, Instance: first.Instance, Attempt: first.Attempt, Request: first.Request}, nil
}

func (c *fakeClaimer) Result(_ context.Context, r *record.ClaimResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	if r.Outcome == record.ClaimResult_NOT_RUN {
		delete(c.claims, string(r.Key))
	}
	return nil
}

func (c *fakeClaimer) reportedResults() []*record.ClaimResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*record.ClaimResult(nil), c.results...)
}

type fakeQuarantine struct {
	mu          sync.Mutex
	quarantined map[[32]byte]bool
	crashes     []*record.Crash
}

func (q *fakeQuarantine) Quarantined(f [32]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantined[f]
}

func (q *fakeQuarantine) Suspect(f [32]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.crashes {
		if string(c.Fingerprint) == string(f[:]) {
			return true
		}
	}
	return false
}

func (q *fakeQuarantine) ReportCrash(_ context.Context, c *record.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, c)
}

func (q *fakeQuarantine) reportedCrashes() []*record.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]*record.Crash(nil), q.crashes...)
}

type fakeAnswers struct {
	fetch func(ctx context.Context, instance, attempt string) (Answer, bool, bool, error)
}

func (a *fakeAnswers) Fetch(ctx context.Context, instance, attempt string) (Answer, bool, bool, error) {
	return a.fetch(ctx, instance, attempt)
}
