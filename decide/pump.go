package decide

import "time"

// mostGoal stands in for the goals of requests that aren't looked at yet.
const mostGoal = time.Second

// pumpServer gives the server's free slots to requests that wait for a target
// there. Between partners the one goes first that has less of the pool by its
// weight: an idle share is lent, and taken back slot by slot as soon as its
// owner asks. Within a partner the request goes first that has to start first.
func (s *Scheduler) pumpServer(now time.Time, srv *serverState) {
	s.fill = queueing
	if srv.rateLimit.Named {
		s.fill = rationed
	}
	for s.queued > 0 && srv.room(now, srv.Slots+srv.queueFor(underShare, mostGoal)) {
		f, c := s.nextFor(now, srv)
		if f == nil {
			return
		}
		s.candidates = append(s.candidates[:0], c)
		s.start(now, f, &s.candidates[0])
	}
}

// nextFor returns the waiting request that the server should take next, with
// the candidate that the server is for it, or nil.
func (s *Scheduler) nextFor(now time.Time, srv *serverState) (*flight, candidate) {
	var best *flight
	var at candidate
	c := newCandidate(now, srv)
	for _, r := range srv.servedTargets {
		t := r.target
		if t.queue.len() == 0 || best != nil && !s.goesFirst(srv.pool, t, best) {
			continue
		}
		c.replica = &t.replicas[r.replica]
		for i := 0; i < classes; i++ {
			f := t.queue.head(i)
			if f != nil && (best == nil || s.before(srv.pool, f, best)) && passes(usable, s, now, f, &c) && passes(fitting, s, now, f, &c) {
				best, at = f, c
				break
			}
		}
	}
	return best, at
}

// goesFirst says whether a request of the target could go before f.
func (s *Scheduler) goesFirst(p *poolState, t *targetState, f *flight) bool {
	return t.partner == f.target.partner || p.weightedShare(t.partner) <= p.weightedShare(f.target.partner)
}

func (s *Scheduler) before(p *poolState, a, b *flight) bool {
	if x, y := p.weightedShare(a.target.partner), p.weightedShare(b.target.partner); x != y {
		return x < y
	}
	return a.order < b.order
}

// pumpAll refuses what can no longer make its deadline and tries a slot for the
// first of each queue, for as long as that succeeds.
func (s *Scheduler) pumpAll(now time.Time) {
	n := len(s.fleet.sortedTargets)
	if n == 0 {
		return
	}
	s.turn++
	for i := range n {
		if t := s.fleet.sortedTargets[(s.turn+i)%n]; t.queue.len() > 0 {
			s.expire(now, t)
		}
	}
	for progress := true; progress && s.queued > 0; {
		progress = false
		for i := range n {
			if t := s.fleet.sortedTargets[(s.turn+i)%n]; t.queue.len() > 0 && s.startOne(now, t) {
				progress = true
			}
		}
	}
}

// startOne starts one waiting request of the target, if any can be.
func (s *Scheduler) startOne(now time.Time, t *targetState) bool {
	for i := 0; i < classes; i++ {
		f := t.queue.head(i)
		if f == nil {
			continue
		}
		if c, _ := s.choose(now, f); c != nil {
			s.start(now, f, c)
			return true
		}
	}
	return false
}

// start takes a waiting request out of its queue and dispatches it.
func (s *Scheduler) start(now time.Time, f *flight, c *candidate) {
	f.target.queue.take(f)
	f.target.partner.queued--
	s.queued--
	s.dispatch(now, f, c)
}

// expire refuses each waiting request that would miss its deadline behind those
// that go before it, as soon as that shows. It is for saturation: such a request
// would take a slot that another could have used in time, and its caller should
// hear of it while there is time to do something else.
func (s *Scheduler) expire(now time.Time, t *targetState) {
	s.sorted = t.queue.sorted(s.sorted[:0])
	rate, pause := s.rate(now, t, 0), t.remainingPause(now)
	kept := 0
	for _, f := range s.sorted {
		if !f.missed && f.missesGoal(now) {
			t.queue.remove(f)
			f.missed = true
			t.queue.push(f)
		}

		if f.late(now, pause+(float64(kept)+firstWait)/rate) {
			s.unqueue(f)
			s.refuse(f, ReasonDeadline, t.returns.next(now, max(pause, float64(kept)/rate+f.safe-f.left(now)), 1/rate))
			continue
		}
		kept++
	}
}

func (s *Scheduler) unqueue(f *flight) {
	if f.place < 0 {
		return
	}
	f.target.queue.remove(f)
	f.target.partner.queued--
	s.queued--
}

func (s *Scheduler) refuseAll(t *targetState, reason Reason, after time.Duration) {
	for f := t.queue.last(); f != nil; f = t.queue.last() {
		s.unqueue(f)
		s.refuse(f, reason, after)
	}
}
