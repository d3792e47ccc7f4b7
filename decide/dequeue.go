package decide

import "time"

// assumedGoal is the first-token goal that is assumed before a request is selected.
const assumedGoal = time.Second

// dequeueForServer gives the server's free slots to queued requests for targets there. The
// partner with the smallest share of the pool for its weight goes first: idle capacity is
// lent and taken back slot by slot as soon as its owner has requests. Within a partner the
// request with the earliest latest start goes first.
func (s *Scheduler) dequeueForServer(now time.Time, srv *serverState) {
	s.fillLevel = fillServerQueue
	if srv.rateLimit.Named {
		s.fillLevel = fillRateLimited
	}
	for s.queued > 0 && s.mayHaveRoom(now, srv) {
		req, c := s.nextForServer(now, srv)
		if req == nil {
			return
		}
		s.candidates = append(s.candidates[:0], c)
		s.startQueued(now, req, &s.candidates[0])
	}
}

// mayHaveRoom reports whether the server may have room for some request.
func (s *Scheduler) mayHaveRoom(now time.Time, srv *serverState) bool {
	if srv.roomByRank {
		return srv.mayTakeMore(now)
	}
	return srv.hasRoom(now, srv.Slots+srv.queueAllowance(underShare, assumedGoal))
}

// nextForServer returns the queued request that the server should get next, with the
// server as its candidate, or nil.
func (s *Scheduler) nextForServer(now time.Time, srv *serverState) (*requestState, candidate) {
	var best *requestState
	var at candidate
	c := newCandidate(now, srv)
	for _, r := range srv.servedTargets {
		t := r.target
		if t.queue.len() == 0 || best != nil && !s.mayPrecede(srv.pool, t, best) {
			continue
		}
		c.replica = &t.replicas[r.replica]
		s.urgentFits = false
		var buf [heapCount]*requestState
		for _, req := range t.queue.heads(buf[:0]) {
			if (best == nil || s.precedes(srv.pool, req, best)) && passesAll(eligibilityFilters, s, now, req, &c) && passesAll(capacityFilters, s, now, req, &c) {
				best, at = req, c
				break
			}
		}
	}
	return best, at
}

// mayPrecede reports whether a request for the target could be served before req.
func (s *Scheduler) mayPrecede(p *poolState, t *targetState, req *requestState) bool {
	return t.partner == req.target.partner || p.weightedShare(t.partner) <= p.weightedShare(req.target.partner)
}

// precedes reports whether a is served before b: by the partners' shares of the pool, then
// by queueKey.
func (s *Scheduler) precedes(p *poolState, a, b *requestState) bool {
	if x, y := p.weightedShare(a.target.partner), p.weightedShare(b.target.partner); x != y {
		return x < y
	}
	return a.queueKey < b.queueKey
}

// dequeueAll refuses queued requests that would miss their deadline, then starts the first of
// each queue in turn for as long as any can start.
func (s *Scheduler) dequeueAll(now time.Time) {
	n := len(s.fleet.sortedTargets)
	if n == 0 {
		return
	}
	s.dequeueOffset++
	for i := range n {
		if t := s.fleet.sortedTargets[(s.dequeueOffset+i)%n]; t.queue.len() > 0 {
			s.expireQueued(now, t)
		}
	}
	for progress := true; progress && s.queued > 0; {
		progress = false
		for i := range n {
			if t := s.fleet.sortedTargets[(s.dequeueOffset+i)%n]; t.queue.len() > 0 && s.startNext(now, t) {
				progress = true
			}
		}
	}
}

// startNext starts one queued request of the target and reports whether one could start.
func (s *Scheduler) startNext(now time.Time, t *targetState) bool {
	var buf [heapCount]*requestState
	for _, req := range t.queue.heads(buf[:0]) {
		if c, _ := s.choose(now, req); c != nil {
			s.startQueued(now, req, c)
			return true
		}
	}
	return false
}

// startQueued removes the request from its queue and dispatches it.
func (s *Scheduler) startQueued(now time.Time, req *requestState, c *candidate) {
	req.target.queue.dequeue(req)
	req.target.partner.queued--
	s.queued--
	s.dispatch(now, req, c)
}

// expireQueued refuses each queued request that would miss its deadline behind those that
// are served before it, as soon as that is predictable. Under saturation such a request
// would take a slot that another could have used in time, and its caller should learn of
// it while there is time to do something else.
func (s *Scheduler) expireQueued(now time.Time, t *targetState) {
	s.sorted = t.queue.sorted(s.sorted[:0])
	startRate, pause := s.startRate(now, t, 0), t.remainingPause(now)
	backlog := s.estimateBacklog(now, t)
	untilFirstReplica := s.timeToFirstReplica(now, t)
	positions := newQueuePositions(s.sorted)
	ahead := 0
	for _, req := range s.sorted {
		if !req.goalMissed && req.wouldMissGoal(now) {
			t.queue.remove(req)
			req.goalMissed = true
			if t.roomByRank {
				req.setSlotWorth(now)
			}
			t.queue.push(req)
		}

		wait := max((float64(ahead)+headWaitTurns)/startRate, untilFirstReplica)
		if backlog.applies {
			wait = backlog.wait(req, positions.next(req))
		}
		if req.wouldMissDeadline(now, pause+wait) {
			s.removeQueued(req)
			own := retryTime{max(pause, float64(ahead)/startRate+req.safeServiceTime-req.timeLeft(now)), 1 / startRate}
			s.refuseLate(now, req, pause+wait, own, &backlog)
			continue
		}
		ahead++
	}
}

func (s *Scheduler) removeQueued(req *requestState) {
	if req.heapIndex < 0 {
		return
	}
	req.target.queue.remove(req)
	req.target.partner.queued--
	s.queued--
}

func (s *Scheduler) refuseAll(t *targetState, reason Reason, after time.Duration) {
	for req := t.queue.lowest(); req != nil; req = t.queue.lowest() {
		s.removeQueued(req)
		s.refuse(req, reason, after)
	}
}
