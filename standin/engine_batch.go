package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageferry/infra"
)

// streamBuffer is how many events are buffered for a stream's reader. While the
// buffer is full, the request keeps its slot and generates nothing.
const streamBuffer = 32

// tokensPerLoadReport is after how many tokens a stream carries another load report.
const tokensPerLoadReport = 16

// attempt is an accepted request that is queued or running.
type attempt struct {
	req       infra.GenerateRequest
	answer    Answer
	length    int
	finish    infra.Finish
	items     []*residentItem
	record    *Run
	nextIndex int              // index of the next token to generate
	events    chan infra.Event // full: generation waits for the reader
	aborted   chan struct{}    // closed when the attempt ends without a Finish
	ended     bool
}

// generate implements infra.Engine's Generate for one server.
func (e *Engine) generate(ctx context.Context, req infra.GenerateRequest) (infra.Stream, error) {
	const op = "engine.generate"
	var s *engineStream
	err := e.Faults.inject(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.checkUp(op); err != nil {
			return err
		}
		if reason := e.refusalReason(req); reason != "" {
			e.truth.addRefusal(req.Attempt, reason)
			return refusalError(op, e.options.ID, reason)
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

// refusalReason returns why the engine refuses the request, or "" if it accepts.
// The caller holds mu.
func (e *Engine) refusalReason(req infra.GenerateRequest) infra.Reason {
	if req.Attempt == "" || req.MaxTokens <= 0 || len(req.Prefix) > req.MaxTokens {
		return infra.ReasonBadRequest
	}
	if e.leaving {
		return infra.ReasonLeaving
	}
	if _, ok := e.readyItems(req); !ok {
		return infra.ReasonNotResident
	}
	if len(e.running) >= e.options.Slots && len(e.waiting) >= e.options.MaxWaiting {
		return infra.ReasonOverloaded
	}
	return ""
}

// accept records and queues a request. The caller holds mu.
func (e *Engine) accept(req infra.GenerateRequest) *attempt {
	a := &attempt{
		req:       req,
		answer:    AnswerTo(req),
		nextIndex: len(req.Prefix),
		events:    make(chan infra.Event, streamBuffer),
		aborted:   make(chan struct{}),
	}
	a.length, a.finish = a.answer.Length(req.MaxTokens)
	a.items, _ = e.readyItems(req)
	for _, r := range a.items {
		r.users++
	}
	a.record = &Run{
		Attempt: req.Attempt, Model: req.Model, Adapter: req.Adapter, Version: req.Version,
		Prompt: PromptHash(req.Prompt), Seed: req.Seed, PrefixTokens: len(req.Prefix), Boot: e.bootCount, Accepted: time.Now(),
	}
	e.truth.record(a.record)
	e.checkViolations(a)
	e.attempts[req.Attempt] = a
	e.enqueue(a)
	return a
}

// checkViolations records a reused attempt id or a prefix that differs from the
// expected answer. The caller holds mu.
func (e *Engine) checkViolations(a *attempt) {
	if e.attempts[a.req.Attempt] != nil {
		e.truth.addViolation(ViolationRepeatedAttempt, a.req.Attempt)
	}
	for i, token := range a.req.Prefix {
		if i >= a.length || token != a.answer.Token(i) {
			e.truth.addViolation(ViolationWrongPrefix, fmt.Sprintf("attempt %s, token %d", a.req.Attempt, i))
			return
		}
	}
}

// enqueue queues the attempt after those of the same or a higher priority, and
// wakes the batch loop. The caller holds mu.
func (e *Engine) enqueue(a *attempt) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].req.Priority < a.req.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, a)
	select {
	case e.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// beginStep fills the batch and returns the duration of its next step, or false if
// no request is running. A prompt with the poison text crashes the process.
func (e *Engine) beginStep() (time.Duration, bool) {
	prefill, poisoned := e.fillBatch()
	if poisoned {
		e.stopProcess(max(e.options.RestartTime, 1), "crashed")
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.options.StepBase + time.Duration(len(e.running))*e.options.StepPerRequest + prefill
	return time.Duration(float64(step) * e.slowdown), true
}

// fillBatch moves queued requests into free slots. It returns the prefill time of
// their prompts and whether one of them crashes the process.
func (e *Engine) fillBatch() (prefillTime time.Duration, poisoned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		a := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, a)
		a.record.Started = time.Now()
		if strings.Contains(a.req.Prompt, e.options.Poison) {
			return 0, true
		}
		prefillTime += e.prefillTime(a)
	}
	return prefillTime, false
}

// prefillTime returns the time to process the part of the prompt that is not
// cached, and caches its prefix. The caller holds mu.
func (e *Engine) prefillTime(a *attempt) time.Duration {
	size := len(a.req.Prompt)
	if e.cache.touch(a.req.Model, a.req.Prompt) {
		size -= min(size, infra.PrefixBytes)
	}
	return time.Duration(size) * e.options.PrefillPerKiB / 1024
}

// endStep generates the next token of each running request.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range slices.Clone(e.running) {
		e.advance(a)
	}
}

// advance generates one token, and after the last token the event with the Finish.
// It needs room for both events. The caller holds mu.
func (e *Engine) advance(a *attempt) {
	if cap(a.events)-len(a.events) < 2 {
		return // the reader is behind
	}
	if a.nextIndex < a.length {
		a.events <- e.event(a)
		a.nextIndex++
		a.record.Tokens++
		e.throughput.tokens++
	}
	if a.nextIndex >= a.length {
		loadReport := e.loadReport()
		a.events <- infra.Event{Attempt: a.req.Attempt, Index: a.length, Finish: a.finish, Load: &loadReport}
		e.endAttempt(a, EndComplete)
	}
}

// event returns the event of the next token, with a load report if one is due.
// The caller holds mu.
func (e *Engine) event(a *attempt) infra.Event {
	event := infra.Event{Attempt: a.req.Attempt, Index: a.nextIndex, Token: a.answer.Token(a.nextIndex)}
	if a.nextIndex%tokensPerLoadReport == 0 {
		loadReport := e.loadReport()
		event.Load = &loadReport
	}
	return event
}

// endAttempt removes the attempt from the batch and the queue and releases its
// items. The caller holds mu.
func (e *Engine) endAttempt(a *attempt, end RunEnd) {
	if a.ended {
		return
	}
	a.ended = true
	a.record.End, a.record.Ended = end, time.Now()
	if end != EndComplete {
		close(a.aborted)
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
	return e.Faults.inject(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.checkUp(op); err != nil {
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
	err := e.Faults.inject(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.checkUp(op); err != nil {
			return err
		}
		events = e.cache.after(after)
		return nil
	})
	return events, err
}
