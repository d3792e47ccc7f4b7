package caller

import (
	"sync/atomic"
	"time"

	"greengageferry/decide"
)

// decisionBuffer is the number of unread decisions that one call can hold: the
// one the call waits for, and a refusal sent while the call ends. Further ones
// are logged, counted and dropped.
const decisionBuffer = 2

// call is one request, from its arrival to its final answer. The request's handler
// owns the call; the dispatcher only writes to decisions.
type call struct {
	id          string
	sender      identity
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

	// mayHaveRun says that a byte of some attempt may have reached a server that
	// did not refuse the attempt before starting. Once true at the end of an
	// attempt, it stays true.
	mayHaveRun bool
	server     decide.Server // the server of the last attempt; zero if there was none
	crashes    int           // servers that crashed while running the call
	replayed   bool          // answered with the stored answer of an earlier request

	ended atomic.Bool // the scheduler was told that the call ended
}

func (c *call) schedulerRequest(suspect bool) decide.Request {
	return decide.Request{
		ID:          c.id,
		Partner:     c.sender.partner,
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
