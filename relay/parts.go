package relay

import (
	"context"
	"slices"
	"time"

	"greengageferry/quarantine"
)

// survivedFor is how long an answer must have gone on for its server to have survived the parts of
// its prompt: a server that crashes under one does so as it begins to write.
const survivedFor = 300 * time.Millisecond

// answerState is how far the answer to the newest attempt has come. Other goroutines read it.
type answerState struct {
	beganAt  time.Time // when its first data arrived; zero: it has not
	survived bool      // it is complete, or has gone on for survivedFor, and that was reported
	trial    bool      // the attempt was permitted to find out whether parts still crash servers
}

// setAnswer changes the state of the newest attempt's answer.
func (c *call) setAnswer(change func(*answerState)) {
	c.answerMu.Lock()
	defer c.answerMu.Unlock()
	change(&c.answerState)
}

// currentAnswer returns the state of the newest attempt's answer.
func (c *call) currentAnswer() answerState {
	c.answerMu.Lock()
	defer c.answerMu.Unlock()
	return c.answerState
}

// survivedParts reports whether the server has survived the parts of the prompt.
func (a answerState) survivedParts(now time.Time) bool {
	return !a.beganAt.IsZero() && now.Sub(a.beganAt) >= survivedFor
}

// noteProgress tells the quarantine, once, that the answer has gone on for long enough.
func (c *call) noteProgress(now time.Time) {
	q := c.relay.opts.Quarantine
	if q == nil || !q.Active() || len(c.headers.SharedParts) == 0 {
		return
	}
	a := c.currentAnswer()
	if a.survived || !a.survivedParts(now) {
		return
	}
	c.setAnswer(func(a *answerState) { a.survived = true })
	q.ReportCompleted(c.partFingerprints()...)
}

// blamedParts returns the parts that the crash of the attempt's server speaks against: those of a
// request whose answer had not begun, or only just.
func (c *call) blamedParts(now time.Time) []quarantine.Fingerprint {
	if c.currentAnswer().survivedParts(now) {
		return nil
	}
	return c.partFingerprints()
}

// permitTrial asks whether the request may run though parts of its prompt are condemned.
func (c *call) permitTrial(ctx context.Context) bool {
	for _, part := range c.verdict.Trials {
		if !c.relay.opts.Quarantine.PermitRun(ctx, part) {
			return false
		}
	}
	c.setAnswer(func(a *answerState) { a.trial = true })
	return true
}

// trialsOf returns the parts of the prompt that the newest attempt was a trial of.
func (c *call) trialsOf() []quarantine.Fingerprint {
	if !c.currentAnswer().trial {
		return nil
	}
	return c.verdict.Trials
}

// endsWith reports whether the call ends because something of it became quarantined: the whole
// request, or a part of its prompt before its answer has begun.
func (c *call) endsWith(quarantined func(quarantine.Fingerprint) bool) bool {
	if quarantined(c.fingerprint()) {
		return true
	}
	a := c.currentAnswer()
	return a.beganAt.IsZero() && !a.trial && slices.ContainsFunc(c.partFingerprints(), quarantined)
}
