package decide

import "time"

const (
	// minPrefillTokens is the minimum prompt length of a prefill rate sample. Shorter
	// prompts are dominated by network latency and the first decoding step.
	minPrefillTokens = 512
	// maxUnreadAlone is the estimate of unread prompt tokens at a server up to which a
	// prompt counts as prefilled alone. It isn't zero because the others' recent mean
	// never falls to zero, and the rate would not be learned any more.
	maxUnreadAlone = 100
	// minPrefillSamples is the number of samples before the prefill rate is used.
	minPrefillSamples = 4
	// prefillQuantile is the quantile of the samples that is taken as the prefill rate.
	// Lower samples waited for prompts that other instances had sent meanwhile: the mean
	// of all samples was half the rate seen where a server's backlog is known.
	prefillQuantile = 0.75
	// decodeQuantile is the quantile of the times per output token that is taken as the
	// time without concurrent prefill.
	decodeQuantile = 0.1
	// minDecodeTokens is the minimum answer length of a decode time sample.
	minDecodeTokens = 8
	// unreadHalfLife is the time in which the weight of a report of unread tokens halves.
	// A server prefills the backlog it may have in some 0.4 s, and has got as much again
	// by then.
	unreadHalfLife = 300 * time.Millisecond
	// quantileStep is the relative change of an estimated quantile per sample. The
	// estimate settles, and follows changes, within some tens of samples.
	quantileStep = 0.05
)

// quantile estimates a quantile of positive samples.
type quantile struct {
	value float64
	n     int
}

// add updates the estimate of the quantile q, from 0 to 1, with a sample.
func (v *quantile) add(x, q float64) {
	v.n++
	switch {
	case v.n == 1:
		v.value = x
	case x > v.value:
		v.value *= 1 + quantileStep*q
	case x < v.value:
		v.value *= 1 - quantileStep*(1-q)
	}
}

// enginePerformance estimates the prefill and decode speed of a pool's engines from
// observed answers; nothing is configured. An engine prefills its prompts one after the
// other, in chunks between decoding steps. So the time to first token depends on the
// unread prompt tokens at the server, those not yet prefilled, and hardly on the number of
// requests.
type enginePerformance struct {
	prefill quantile // prompt tokens per second of engines of speed 1 with no other prompt
	decode  quantile // seconds per output token without concurrent prefill
}

// prefillRate returns an engine's prompt tokens per second, 0 if not known.
func (m *enginePerformance) prefillRate() float64 {
	if m.prefill.n < minPrefillSamples {
		return 0
	}
	return m.prefill.value
}

// prefillTime returns the seconds in which an engine prefills that many prompt tokens, 0
// if not known.
func (m *enginePerformance) prefillTime(tokens float64) float64 {
	prefillRate := m.prefillRate()
	if prefillRate <= 0 {
		return 0
	}
	return tokens / prefillRate
}

// recordPrefill adds a sample from the time to the first token of a request whose prompt
// didn't have to wait, as it would be at a server of speed 1.
func (m *enginePerformance) recordPrefill(tokens int, took time.Duration) {
	if tokens >= minPrefillTokens && took > 0 {
		m.prefill.add(float64(tokens)/took.Seconds(), prefillQuantile)
	}
}

// recordDecode adds a sample from an answer's mean time per output token, as it would be at a
// server of speed 1.
func (m *enginePerformance) recordDecode(tokens int, perToken float64) {
	if tokens >= minDecodeTokens && perToken > 0 {
		m.decode.add(perToken, decodeQuantile)
	}
}

// engineTime returns the seconds of a whole engine that a request takes: its prefill and
// its share of the decoding steps of a full batch. 0 if not known.
func (m *enginePerformance) engineTime(prompt int, output float64, slots int) float64 {
	if m.prefillRate() <= 0 {
		return 0
	}
	return m.prefillTime(float64(prompt)) + output*m.decode.value/float64(max(slots, 1))
}

// Work returns the time of a whole engine that the request would take, 0 if not known for
// its target's engines.
func (s *Scheduler) Work(r *Request) time.Duration {
	t := s.fleet.targets[r.Target]
	if t == nil || t.Service || t.pool == nil {
		return 0
	}
	return seconds(t.pool.engine.engineTime(r.PromptTokens, t.expectedOutput(r), t.pool.slots))
}

// expectedOutput returns the expected number of tokens in the request's answer.
func (t *targetState) expectedOutput(r *Request) float64 {
	allowed := float64(t.allowed(r))
	if r.LengthHint > 0 && (allowed <= 0 || float64(r.LengthHint) < allowed) {
		return float64(r.LengthHint)
	}
	if length := &t.pool.service.length; length.warm() {
		return allowed * length.mean
	}
	return allowed
}

// FirstTokenReceived handles the first token of the request's attempt: its prompt is
// prefilled, so the server may get another.
func (s *Scheduler) FirstTokenReceived(now time.Time, request, server string) []Decision {
	s.out = s.out[:0]
	req := s.requests[request]
	if req == nil || req.dispatchedTo == nil || req.dispatchedTo.ID != server || req.firstTokenSeen {
		return s.out
	}
	if req.prefilledAlone {
		took := seconds(now.Sub(req.dispatchedAt).Seconds() * req.dispatchedTo.speed())
		req.dispatchedTo.pool.engine.recordPrefill(req.PromptTokens, took)
	}
	req.firstTokenSeen = true
	req.dispatchedTo.unread -= req.PromptTokens
	s.dequeueForServer(now, req.dispatchedTo)
	return s.out
}

// estimateUnread estimates the prompt tokens not yet prefilled at the server: this
// instance's own exactly, the others' from the newest report, which gives way to their
// recent mean as it ages.
func (s *serverState) estimateUnread(now time.Time) float64 {
	return s.addOthers(now, s.unread, s.report.UnreadTokens-s.unreadAtReport, s.othersUnread, unreadHalfLife)
}

// timeToFirstToken returns the seconds until the request's first token would come from the
// server, 0 if not known.
func (c *candidate) timeToFirstToken(req *requestState) float64 {
	return c.server.pool.engine.prefillTime(c.unread+float64(req.PromptTokens)) / c.server.speed()
}

// prefillWait returns the seconds until the server would start to prefill another prompt,
// 0 if not known.
func (c *candidate) prefillWait() float64 {
	return c.server.pool.engine.prefillTime(c.unread) / c.server.speed()
}

// Unread returns the prompt tokens of this instance's requests at the server that have no
// first token yet.
func (s *Scheduler) Unread(server string) int {
	if srv := s.fleet.servers[server]; srv != nil {
		return srv.unread
	}
	return 0
}
