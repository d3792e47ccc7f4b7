package decide

import "time"

// tokenSize returns the number of tokens that the request may need in its server's memory: those of its
// prompt and of the longest answer that it allows, or 0 if these aren't known.
func (r *Request) tokenSize() int { return r.PromptTokens + r.MaxTokens }

// exceedsServer reports whether the request needs more memory than a whole server has. Servers would
// refuse such a request as if they were full, and it would be retried until its deadline.
func (t *targetState) exceedsServer(r *Request) bool {
	return t.ServerMemory > 0 && r.tokenSize() > t.ServerMemory
}

// memoryFilter drops servers whose memory the request would exceed together with the requests that
// are there. Requests of other instances count with the mean size of this instance's. A server
// without requests always has room.
type memoryFilter struct{}

func (memoryFilter) keep(_ *Scheduler, _ time.Time, req *requestState, c *candidate) bool {
	limit := req.target.ServerMemory
	if limit == 0 || c.load < 1 {
		return true
	}
	others := max(c.load-float64(c.server.own), 0)
	held := float64(c.server.heldTokens) + others*c.server.pool.requestTokens.mean
	return held+float64(req.tokenSize()) <= float64(limit)
}

// holdTokens records that the request is at the server.
func (s *serverState) holdTokens(req *requestState) {
	req.heldTokens = req.tokenSize()
	s.heldTokens += req.heldTokens
	s.pool.requestTokens.add(float64(req.heldTokens))
}

// releaseTokens records that the request has left the server.
func (s *serverState) releaseTokens(req *requestState) {
	s.heldTokens -= req.heldTokens
	req.heldTokens = 0
}
