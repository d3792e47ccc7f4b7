package caller

import (
	"sync"
	"time"

	"greengageferry/claims"
)

// keptOverhead is what one kept answer takes beside its body, in bytes: its
// strings, its place in the map and in the order.
const keptOverhead = 512

// kept holds the answers to claimed requests, so that a resend through any
// instance gets the very same one. It is bounded by bytes and by claims.Window;
// the oldest finished answer goes first. A running one is never dropped.
type kept struct {
	mu    sync.Mutex
	most  int // bytes of finished answers
	each  int // bytes of one answer's body
	bytes int
	runs  map[string]*keptRun // by attempt
	order []*keptRun          // finished ones, oldest first
}

type keptRun struct {
	attempt  string
	answer   Answer
	lost     bool // finished without an answer that could be kept
	finished time.Time
	done     chan struct{} // closed once finished
}

func newKept(most, each int) *kept {
	return &kept{most: most, each: each, runs: map[string]*keptRun{}}
}

// begin says that the claimed attempt runs from now on.
func (k *kept) begin(attempt string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs[attempt] = &keptRun{attempt: attempt, done: make(chan struct{})}
}

// forget drops an attempt that was never granted.
func (k *kept) forget(attempt string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.runs[attempt]; r != nil {
		close(r.done)
		delete(k.runs, attempt)
	}
}

// finish keeps the attempt's answer. Without one, resends learn that it is lost.
func (k *kept) finish(attempt string, a Answer, ok bool) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.runs[attempt]
	if r == nil || !r.finished.IsZero() {
		return
	}
	r.finished = now
	r.lost = !ok || len(a.Body) > k.each
	if !r.lost {
		r.answer = a
	}
	close(r.done)
	k.order = append(k.order, r)
	k.bytes += r.size()
	k.evict(now)
}

func (r *keptRun) size() int { return len(r.answer.Body) + keptOverhead }

// evict drops the oldest answers while they are too old or too many. The lock
// is held.
func (k *kept) evict(now time.Time) {
	for len(k.order) > 0 {
		oldest := k.order[0]
		if k.bytes <= k.most && now.Sub(oldest.finished) < claims.Window {
			return
		}
		k.order[0] = nil
		k.order = k.order[1:]
		k.bytes -= oldest.size()
		delete(k.runs, oldest.attempt)
	}
}

// get returns the attempt's answer as far as it is known. done is closed once
// it is finished; it is nil if the attempt isn't known.
func (k *kept) get(attempt string) (a Answer, finished, found bool, done <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evict(time.Now())
	r := k.runs[attempt]
	if r == nil {
		return Answer{}, false, false, nil
	}
	if r.finished.IsZero() {
		return Answer{}, false, true, r.done
	}
	return r.answer, true, !r.lost, r.done
}

// AnswerFor returns the answer that this instance gave to a claimed request, by
// the claim's attempt. finished is false while it runs; found is false if the
// answer is not known here, or no longer.
func (s *Server) AnswerFor(attempt string) (a Answer, finished, found bool) {
	a, finished, found, _ = s.answers.get(attempt)
	return a, finished, found
}
