package decide

import "time"

// release frees the request's slot at its server.
func (s *Scheduler) release(now time.Time, req *requestState) {
	srv := req.dispatchedTo
	if srv == nil {
		return
	}
	srv.pool.holdSeconds.add(now.Sub(req.dispatchedAt).Seconds())
	req.dispatchedTo = nil
	req.target.inFlight--
	srv.own--
	srv.releaseTokens(req)
	if !req.firstTokenSeen {
		srv.unread -= req.PromptTokens
	}
	srv.pool.addInFlight(req.target.partner, -1)
	if req.Suspect {
		srv.suspects--
	}
}

// finish drops the request and gives its slot to a queued one.
func (s *Scheduler) finish(now time.Time, req *requestState, complete bool) {
	srv := req.dispatchedTo
	if srv == nil {
		s.removeQueued(req)
	} else if !complete {
		req.target.learnAbandoned(now, req)
	}
	s.release(now, req)
	s.forget(req)
	if srv != nil {
		s.dequeueForServer(now, srv)
	}
}

// refuse decides to refuse the request, with a retry delay, and forgets it.
func (s *Scheduler) refuse(req *requestState, reason Reason, after time.Duration) {
	s.out = append(s.out, Decision{Request: req.ID, Action: ActionRefuse, Reason: reason, RetryAfter: after, Inputs: Inputs{
		ServiceTime: seconds(req.serviceTime),
		RoomByRank:  req.target != nil && req.target.roomByRank,
		Late:        req.goalMissed,
	}})
	s.forget(req)
}

// forget drops the request's state and keeps its memory for another request.
func (s *Scheduler) forget(req *requestState) {
	if s.requests[req.ID] == req {
		delete(s.requests, req.ID)
	}
	if len(s.freeRequests) < maxQueued {
		s.freeRequests = append(s.freeRequests, req)
	}
}
