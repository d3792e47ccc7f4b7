package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageferry/infra"
)

// streamBuffer is how many events wait for a stream's reader. When it is full
// the request keeps its slot and generates nothing.
const streamBuffer = 32

// loadEvery is how many tokens apart a stream bears the server's load report.
const loadEvery = 16

// attempt is one accepted request.
type attempt struct {
	req    infra.GenerateRequest
	answer Answer
	length int
	finish infra.Finish
	items  []*residentItem
	run    *Run
	next   int              // index of the token to generate
	out    chan infra.Event // full: the reader is behind, and the request waits
	gone   chan struct{}    // closed when the attempt ended without its Finish
	ended  bool
}

// generate implements infra.Engine's Generate for one server.
func (e *Engine) generate(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
	const op = "engine.generate"
	var s *engineStream
	err := e.Faults.do(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.down(op); err != nil {
			return err
		}
		if reason := e.refuses(req); reason != "" {
			e.truth.refused(req.Attempt, reason)
			return refusal(op, e.options.ID, reason)
		}
		s = newEngineStream(ctx, e, e.accept(req))
		return nil
	})
	if err != nil {
		if s != nil {
			s.Close()
		}
		return nil, err
	}
	return s, nil
}

// refuses returns why it won't start a request, or "". The caller holds mu.
func (e *Engine) refuses(req infra.GenerateRequest) infra.Reason {
	if req.Attempt == "" || req.MaxTokens <= 0 || len(req.Prefix) > req.MaxTokens {
		return infra.ReasonBadRequest
	}
	if e.leaving {
		return infra.ReasonLeaving
	}
	if _, ok := e.ready(req); !ok {
		return infra.ReasonNotResident
	}
	if len(e.running) >= e.options.Slots && len(e.waiting) >= e.options.MaxWaiting {
		return infra.ReasonOverloaded
	}
	return ""
}

// accept queues a request. The caller holds mu.
func (e *Engine) accept(req infra.GenerateRequest) *attempt {
	a := &attempt{
		req:    req,
		answer: AnswerTo(req),
		next:   len(req.Prefix),
		out:    make(chan infra.Event, streamBuffer),
		gone:   make(chan struct{}),
	}
	a.length, a.finish = a.answer.Length(req.MaxTokens)
	a.items, _ = e.ready(req)
	for _, r := range a.items {
		r.users++
	}
	a.run = &Run{
		Attempt: req.Attempt, Model: req.Model, Adapter: req.Adapter, Version: req.Version,
		Prompt: PromptHash(req.Prompt), Seed: req.Seed, From: len(req.Prefix), Boot: e.boots, Accepted: time.Now(),
	}
	e.truth.run(a.run)
	e.check(a)
	e.attempts[req.Attempt] = a
	e.enqueue(a)
	return a
}

// check notes what must not be asked. The caller holds mu.
func (e *Engine) check(a *attempt) {
	if e.attempts[a.req.Attempt] != nil {
		e.truth.violated(ViolationAttempt, a.req.Attempt)
	}
	for i, token := range a.req.Prefix {
		if i >= a.length || token != a.answer.Token(i) {
			e.truth.violated(ViolationPrefix, fmt.Sprintf("attempt %s, token %d", a.req.Attempt, i))
			return
		}
	}
}

// enqueue puts the attempt behind those of its priority and wakes the batch.
// The caller holds mu.
func (e *Engine) enqueue(a *attempt) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].req.Priority < a.req.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, a)
	select {
	case e.wake <- struct{}{}:
	default: // a wake is pending
	}
}

// beginStep fills the batch and returns how long its next step takes, or false
// if there is nothing to do.
func (e *Engine) beginStep() (time.Duration, bool) {
	prefill, poisoned := e.fillBatch()
	if poisoned {
		e.stop(max(e.options.RestartTime, 1), "crashed")
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.options.StepBase + time.Duration(len(e.running))*e.options.StepPerRequest + prefill
	return time.Duration(float64(step) * e.slow), true
}

// fillBatch moves waiting requests into free slots. It returns how long their
// prompts take, and whether one of them crashes the process.
func (e *Engine) fillBatch() (prefill time.Duration, poisoned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		a := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, a)
		a.run.Started = time.Now()
		if strings.Contains(a.req.Prompt, e.options.Poison) {
			return 0, true
		}
		prefill += e.prefill(a)
	}
	return prefill, false
}

// prefill returns the time to take in a prompt and the text so far. The caller
// holds mu.
func (e *Engine) prefill(a *attempt) time.Duration {
	size := len(a.req.Prompt)
	if e.cache.use(a.req.Model, a.req.Prompt) {
		size -= min(size, infra.PrefixBytes)
	}
	return time.Duration(size) * e.options.PrefillPerKiB / 1024
}

// endStep gives each running request its next token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range slices.Clone(e.running) {
		e.advance(a)
	}
}

// advance generates one token, and the Finish after the last one. The caller
// holds mu.
func (e *Engine) advance(a *attempt) {
	if cap(a.out)-len(a.out) < 2 {
		return // its reader is behind
	}
	if a.next < a.length {
		a.out <- e.event(a)
		a.next++
		a.run.Tokens++
		e.speed.tokens++
	}
	if a.next >= a.length {
		load := e.load()
		a.out <- infra.Event{Attempt: a.req.Attempt, Index: a.length, Finish: a.finish, Load: &load}
		e.endAttempt(a, EndComplete)
	}
}

func (e *Engine) event(a *attempt) infra.Event {
	event := infra.Event{Attempt: a.req.Attempt, Index: a.next, Token: a.answer.Token(a.next)}
	if a.next%loadEvery == 0 {
		load := e.load()
		event.Load = &load
	}
	return event
}

// endAttempt frees what an attempt holds. The caller holds mu.
func (e *Engine) endAttempt(a *attempt, end RunEnd) {
	if a.ended {
		return
	}
	a.ended = true
	a.run.End, a.run.Ended = end, time.Now()
	if end != EndComplete {
		close(a.gone)
	}
	same := func(b *attempt) bool { return a == b }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	if e.attempts[a.req.Attempt] == a {
		delete(e.attempts, a.req.Attempt)
	}
	e.release(a.items)
}

// cancel implements infra.Engine's Cancel for one server.
func (e *Engine) cancel(ctx context.Context, id string) error {
	const op = "engine.cancel"
	return e.Faults.do(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.down(op); err != nil {
			return err
		}
		if a := e.attempts[id]; a != nil {
			e.endAttempt(a, EndCanceled)
		}
		return nil
	})
}

// cacheEvents implements infra.Engine's CacheEvents for one server.
func (e *Engine) cacheEvents(ctx context.Context, after uint64) ([]infra.CacheEvent, error) {
	const op = "engine.cache_events"
	var events []infra.CacheEvent
	err := e.Faults.do(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.down(op); err != nil {
			return err
		}
		events = e.cache.after(after)
		return nil
	})
	return events, err
}
