package decide

import (
	"math/rand/v2"
	"time"

	"greengageferry/infra"
)

// Scheduler decides about each request of one entry instance, from its arrival
// to its end. It has one owner, which steps it with what happens and carries
// out the decisions it returns. Requests that wait are decided later: each
// method may return decisions about other requests than the one it was told of.
//
// The slice that a method returns is reused by the next call of any method:
// its owner carries the decisions out, or copies them, before that call.
type Scheduler struct {
	rng       *rand.Rand
	fleet     fleet
	requests  map[string]*flight
	spare     []*flight // for reuse
	queued    int
	prefixes  prefixes
	draining  bool
	turn      int
	nearFill  float64 // see Table.NearFill
	rationing rationing
	limited   bool // some server names a rate limit
	crowd     bool // the own domain has more instances than its servers have slots

	out        []Decision
	candidates []candidate
	sorted     []*flight
	hinted     *serverState // of the decision under way: the server that probably has the prefix
	reachCut   bool         // servers of domains that seem cut off may be chosen
	fill       fill         // of the decision under way: how full a server may be
	meanLoad   float64      // of the decision under way: the candidates' mean load
}

// NewScheduler returns a scheduler that draws its random choices from rng.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{
		rng:        rng,
		fleet:      newFleet(),
		requests:   map[string]*flight{},
		prefixes:   newPrefixes(),
		candidates: make([]candidate, 0, sampled+1),
	}
}

// SetTable replaces what is known of the fleet.
func (s *Scheduler) SetTable(now time.Time, t *Table) []Decision {
	s.out = s.out[:0]
	for _, gone := range s.fleet.applyTable(now, t) {
		s.refuseAll(gone, ReasonUnknownTarget, 0)
	}
	s.limited = s.RateLimitedServers() > 0
	s.nearFill = t.NearFill
	if s.nearFill <= 0 {
		s.nearFill = roomyPart
	}
	s.crowd = false
	for i := range t.Servers {
		srv := &t.Servers[i]
		s.crowd = s.crowd || srv.FailureDomain == t.OwnDomain && t.Entries[t.OwnDomain] > srv.Slots
	}
	for i := range t.Servers { // what a server newly serves may be waited for by all
		if srv := s.fleet.servers[t.Servers[i].ID]; len(srv.servedTargets) > srv.quota.servedTargets {
			srv.drawQuota(now, s.rng)
		}
	}
	s.pumpAll(now)
	return s.out
}

// Arrive takes in a new request.
func (s *Scheduler) Arrive(now time.Time, r Request) []Decision {
	s.out = s.out[:0]
	f := s.newFlight(r)
	switch f.target = s.fleet.targets[r.Target]; {
	case s.draining:
		s.refuse(f, ReasonShuttingDown, shutdownRetry)
	case f.target == nil:
		s.refuse(f, ReasonUnknownTarget, 0)
	default:
		f.target.arrivalRate.add(now)
		s.setDeadline(f)
		s.place(now, f)
	}
	return s.out
}

// Failed is told that the request's attempt at the server failed; the decision
// that follows retries, queues or refuses it.
func (s *Scheduler) Failed(now time.Time, request, server string, f Failure) []Decision {
	s.out = s.out[:0]
	r := s.requests[request]
	if r == nil || r.at == nil || r.at.ID != server {
		return s.out
	}
	srv := r.at
	s.blame(now, r.target, srv, f)
	s.release(now, r)
	r.avoid = srv
	r.delivered = max(r.delivered, f.Tokens)
	if f.Unsent {
		r.attempts--
		r.unsent++
	}
	if f.Crash {
		r.crashes++
		r.Suspect = true
	}
	switch reason, ok := s.again(now, r, f); {
	case !ok:
		s.refuse(r, reason, r.target.returns.next(now, 0, s.gap(now, r.target)))
	default:
		s.place(now, r)
	}
	s.pumpServer(now, srv)
	return s.out
}

// Ended is told that the request is over, with its last attempt's outcome.
func (s *Scheduler) Ended(now time.Time, request, server string, o Outcome) []Decision {
	s.out = s.out[:0]
	f := s.requests[request]
	if f == nil {
		return s.out
	}
	if o.Complete && f.at != nil && f.at.ID == server {
		f.target.learn(now, f, o)
		f.at.recordSuccess()
		f.at.domain.recordAnswer()
		f.at.errorRate.add(0)
		f.at.pool.budget.succeeded()
	}
	s.end(now, f, o.Complete)
	return s.out
}

// Left is told that the request's caller has gone.
func (s *Scheduler) Left(now time.Time, request string) []Decision {
	s.out = s.out[:0]
	if f := s.requests[request]; f != nil {
		s.end(now, f, false)
	}
	return s.out
}

// Reported is told of a server's load report, as old as age.
func (s *Scheduler) Reported(now time.Time, server string, load infra.Load, age time.Duration) []Decision {
	s.out = s.out[:0]
	if srv := s.fleet.servers[server]; srv != nil {
		srv.reported(now, load, age)
		srv.updateQuota(now, load.Contending, s.rng)
		s.pumpServer(now, srv)
	}
	return s.out
}

// Cached is told of a server's cache events.
func (s *Scheduler) Cached(now time.Time, server string, events []infra.CacheEvent) {
	if srv := s.fleet.servers[server]; srv != nil {
		s.prefixes.events(now, srv, events)
	}
}

// Tick lets time pass: it refuses what can no longer make its deadline.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.out = s.out[:0]
	if s.queued > 0 {
		s.pumpAll(now)
	}
	return s.out
}

// Drain refuses what waits and whatever arrives from now on.
func (s *Scheduler) Drain(now time.Time) []Decision {
	s.out = s.out[:0]
	s.draining = true
	for _, t := range s.fleet.sortedTargets {
		s.refuseAll(t, ReasonShuttingDown, shutdownRetry)
	}
	return s.out
}

// Queued returns how many requests wait.
func (s *Scheduler) Queued() int { return s.queued }

func (s *Scheduler) newFlight(r Request) *flight {
	var f *flight
	if n := len(s.spare); n > 0 {
		f, s.spare = s.spare[n-1], s.spare[:n-1]
	} else {
		f = &flight{}
	}
	*f = flight{Request: r, place: -1}
	s.requests[r.ID] = f
	return f
}

func (s *Scheduler) setDeadline(f *flight) {
	if !f.Deadline.IsZero() {
		return
	}
	timeout := f.target.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	f.Deadline = f.Arrived.Add(timeout)
}

// place dispatches the request, lets it wait or refuses it.
func (s *Scheduler) place(now time.Time, f *flight) {
	s.prepare(now, f)
	if len(f.target.replicas) == 0 {
		if f.target.Expected {
			s.enqueue(now, f)
			return
		}
		s.refuse(f, ReasonNoReplica, noReplicaRetry)
		return
	}
	if f.left(now) < f.need {
		s.refuse(f, ReasonDeadline, f.target.returns.next(now, 0, s.gap(now, f.target)))
		return
	}
	c, waitable := s.choose(now, f)
	if c != nil {
		s.dispatch(now, f, c)
		return
	}
	f.avoid = nil
	if back := f.target.untilAvailable(now); !waitable && f.late(now, back) {
		s.refuse(f, ReasonNoReplica, max(seconds(back), minRetryAfter))
		return
	}
	s.enqueue(now, f)
}

func (s *Scheduler) dispatch(now time.Time, f *flight, c *candidate) {
	srv := c.server
	f.at, f.sentAt = srv, now
	f.alone, f.begun = c.unread <= aloneUnread && f.delivered == 0, false
	srv.unread += f.PromptTokens
	srv.quota.remaining--
	granted := srv.rateLimit.consume(now)
	f.lined = c.load+1 > float64(srv.Slots)
	f.attempts++
	f.target.inFlight++
	srv.own++
	srv.pool.addInFlight(f.target.partner, 1)
	if f.Suspect {
		srv.suspects++
	}
	if f.Prefix != 0 {
		s.prefixes.put(now, prefixKey{f.target.Model, f.Prefix}, srv)
	}
	reason := ReasonBest
	if len(s.candidates) == 1 {
		reason = ReasonOnly
	}
	s.out = append(s.out, Decision{
		Request: f.ID, Action: ActionDispatch, Server: srv.Server, Version: c.replica.version, Reason: reason,
		Inputs: Inputs{
			Candidates: len(s.candidates),
			InFlight:   srv.own - 1,
			Queued:     f.target.queue.len(),
			Service:    seconds(f.need),
			Score:      c.score,
			Unread:     int(c.unread),
			First:      seconds(c.firstToken(f)),
			LoadAge:    srv.loadAge(now),
			Contending: srv.quota.contenders(),
			Limit:      srv.rateLimit.RateLimit,
			Granted:    granted,
		},
	})
}

// release takes the request from the server that it is at.
func (s *Scheduler) release(now time.Time, f *flight) {
	srv := f.at
	if srv == nil {
		return
	}
	srv.pool.held.add(now.Sub(f.sentAt).Seconds())
	f.at = nil
	f.target.inFlight--
	srv.own--
	if !f.begun {
		srv.unread -= f.PromptTokens
	}
	srv.pool.addInFlight(f.target.partner, -1)
	if f.Suspect {
		srv.suspects--
	}
}

// end forgets the request and gives its slot to one that waits.
func (s *Scheduler) end(now time.Time, f *flight, complete bool) {
	srv := f.at
	if srv == nil {
		s.unqueue(f)
	} else if !complete {
		f.target.learnAbandoned(now, f)
	}
	s.release(now, f)
	s.forget(f)
	if srv != nil {
		s.pumpServer(now, srv)
	}
}

func (s *Scheduler) refuse(f *flight, reason Reason, after time.Duration) {
	s.out = append(s.out, Decision{Request: f.ID, Action: ActionRefuse, Reason: reason, RetryAfter: after, Inputs: Inputs{Service: seconds(f.need)}})
	s.forget(f)
}

func (s *Scheduler) forget(f *flight) {
	if s.requests[f.ID] == f {
		delete(s.requests, f.ID)
	}
	if len(s.spare) < maxQueued {
		s.spare = append(s.spare, f)
	}
}
