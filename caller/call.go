package caller

import (
	"sync/atomic"
	"time"

	"greengageferry/decide"
)

// decisionsHeld is how many decisions one call may have unread: the one it
// waits for, and a refusal that crosses its end. More are dropped and logged.
const decisionsHeld = 2

// call is one caller's request, from its arrival to its one final answer. Its
// handler owns it; the dispatcher only writes to decisions.
type call struct {
	id          string
	who         identity
	target      *decide.Target
	arrived     time.Time
	deadline    time.Time
	priority    int
	promptBytes int
	maxTokens   int
	prefix      uint64
	idempotent  bool // may be dispatched again after an unknown outcome
	fingerprint [32]byte

	decisions chan decide.Decision

	// mayHaveRun: a byte of some attempt may have reached a server that did
	// not refuse it before starting. Never unset once true at an attempt's end.
	mayHaveRun bool
	server     decide.Server // the last one asked; zero: none
	crashes    int           // servers that died while they ran it
	replayed   bool          // answered with an earlier request's answer

	ended atomic.Bool // the scheduler was told that it is over
}

func (c *call) request(suspect bool) decide.Request {
	return decide.Request{
		ID:          c.id,
		Partner:     c.who.partner,
		Target:      c.target.Name,
		Priority:    c.priority,
		Arrived:     c.arrived,
		Deadline:    c.deadline,
		PromptBytes: c.promptBytes,
		MaxTokens:   c.maxTokens,
		Prefix:      c.prefix,
		Idempotent:  c.idempotent,
		Suspect:     suspect,
	}
}
