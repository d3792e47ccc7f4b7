package caller

import (
	"sync"
	"time"

	"greengageferry/claims"
)

// cacheEntryOverhead is the memory of one entry beyond the answer's body, in bytes:
// its strings and its places in the map and the list.
const cacheEntryOverhead = 512

// answerCache stores the answers to claimed requests, so that a later request with
// the same key receives the same answer through any instance. It is limited in bytes
// and by the age claims.Window; the oldest finished answer is evicted first. An
// entry of a running attempt is never evicted.
type answerCache struct {
	mu            sync.Mutex
	maxBytes      int                    // of all finished entries
	maxBodyBytes  int                    // of one answer's body
	bytes         int                    // of all finished entries, with their overhead
	entries       map[string]*cacheEntry // by attempt
	evictionOrder []*cacheEntry          // oldest first
}

type cacheEntry struct {
	attempt  string
	answer   Answer
	lost     bool // finished without an answer that can be stored
	finished time.Time
	done     chan struct{} // closed once finished
}

func newAnswerCache(maxBytes, maxBodyBytes int) *answerCache {
	return &answerCache{maxBytes: maxBytes, maxBodyBytes: maxBodyBytes, entries: map[string]*cacheEntry{}}
}

// begin adds an entry for a claimed attempt that starts to run.
func (c *answerCache) begin(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[attempt] = &cacheEntry{attempt: attempt, done: make(chan struct{})}
}

// forget removes an attempt whose claim was not granted.
func (c *answerCache) forget(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[attempt]; e != nil {
		close(e.done)
		delete(c.entries, attempt)
	}
}

// finish stores the attempt's answer. If ok is false, or the answer is too large,
// the answer is marked as lost.
func (c *answerCache) finish(attempt string, a Answer, ok bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[attempt]
	if e == nil || !e.finished.IsZero() {
		return
	}
	e.finished = now
	e.lost = !ok || len(a.Body) > c.maxBodyBytes
	if !e.lost {
		e.answer = a
	}
	close(e.done)
	c.evictionOrder = append(c.evictionOrder, e)
	c.bytes += e.size()
	c.evict(now)
}

func (e *cacheEntry) size() int { return len(e.answer.Body) + cacheEntryOverhead }

// evict removes the oldest answers while they exceed the age or the total size. The
// caller holds the lock.
func (c *answerCache) evict(now time.Time) {
	for len(c.evictionOrder) > 0 {
		oldest := c.evictionOrder[0]
		if c.bytes <= c.maxBytes && now.Sub(oldest.finished) < claims.Window {
			return
		}
		c.evictionOrder[0] = nil
		c.evictionOrder = c.evictionOrder[1:]
		c.bytes -= oldest.size()
		delete(c.entries, oldest.attempt)
	}
}

// get returns the attempt's answer if it is stored. finished is false while the
// attempt runs; found is false if the attempt is unknown or its answer is lost. done
// is closed once the attempt is finished, and nil if it is unknown.
func (c *answerCache) get(attempt string) (a Answer, finished, found bool, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(time.Now())
	e := c.entries[attempt]
	if e == nil {
		return Answer{}, false, false, nil
	}
	if e.finished.IsZero() {
		return Answer{}, false, true, e.done
	}
	return e.answer, true, !e.lost, e.done
}

// AnswerFor returns the answer that this instance gave to the claimed attempt.
// finished is false while the attempt runs; found is false if the answer is not
// stored here, or not any more.
func (s *Server) AnswerFor(attempt string) (a Answer, finished, found bool) {
	a, finished, found, _ = s.answers.get(attempt)
	return a, finished, found
}
