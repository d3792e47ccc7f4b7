package claims

import (
	"sync"
	"time"

	"greengageferry/infra"
)

// silentTTL is how long a batcher that didn't answer, while another one did, is called
// last. After that one claim waits for hedgeDelay to find out whether it answers.
const silentTTL = 5 * time.Second

// silentBatchers remembers the batchers that didn't answer while another one did: the
// log answers, so the way to them is cut or their process stands still. Without it each
// claim would wait hedgeDelay for them again. It is safe for concurrent use.
type silentBatchers struct {
	mu    sync.Mutex
	until map[string]time.Time // by instance id
}

// update records that one batcher answered and that others, called before it, didn't.
func (s *silentBatchers) update(now time.Time, answered string, unanswered []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, answered)
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	for _, id := range unanswered {
		s.until[id] = now.Add(silentTTL)
	}
}

// moveLast returns the candidates with the silent ones behind the others.
func (s *silentBatchers) moveLast(now time.Time, candidates []infra.Instance) []infra.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var answering, silent []infra.Instance
	for _, c := range candidates {
		if now.Before(s.until[c.ID]) {
			silent = append(silent, c)
			continue
		}
		delete(s.until, c.ID)
		answering = append(answering, c)
	}
	return append(answering, silent...)
}
