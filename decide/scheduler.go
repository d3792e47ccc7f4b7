package decide

import (
	"cmp"
	"math/rand/v2"
	"time"

	"greengageferry/infra"
)

// Scheduler makes the decisions about each request of one instance, from arrival to
// completion. It isn't safe for concurrent use: its owner calls it for each event and
// carries out the returned decisions. Queued requests are decided later, so every method
// may also return decisions about requests other than the one it was called for.
//
// The returned slice is reused by the next call of any method: the owner carries the
// decisions out, or copies them, before that call.
type Scheduler struct {
	rng                  *rand.Rand
	fleet                fleet
	requests             map[string]*requestState
	freeRequests         []*requestState // released states for reuse, to avoid allocations
	queued               int
	prefixIndex          prefixIndex
	draining             bool
	dequeueOffset        int
	localFillLimit       float64 // see Table.LocalFillLimit
	ownDomain            string  // see Table.OwnDomain
	rateSharing          rateSharing
	accounts             accountShares
	rateLimitActive      bool // some server has an active rate limit
	instancesExceedSlots bool // the own domain has more instances than some server there has slots
	roomByRank           bool // see Table.RoomByRank
	instances            int  // number of instances, at least 1
	backlogsReported     bool // the newest report had backlogs

	out          []Decision // returned by the current call
	candidates   []candidate
	checked      candidate // by hasOneEligibleReplica; kept here to avoid an allocation
	sorted       []*requestState
	prefixServer *serverState // of the current request: server that probably has the prefix cached
	allowCutOff  bool         // servers of failure domains that seem unreachable may be chosen
	fillLevel    fillLevel    // of the current request: how full a server may be
	urgentFits   bool         // of the current request: see fitsUrgent
	meanLoad     float64      // of the current request: mean load of the candidates
}

// NewScheduler returns a scheduler that takes its random choices from rng.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{
		rng:         rng,
		fleet:       newFleet(),
		requests:    map[string]*requestState{},
		prefixIndex: newPrefixes(),
		candidates:  make([]candidate, 0, sampleSize+1),
	}
}

// SetTable replaces the routing table. Requests for targets that are no longer in it are
// refused.
func (s *Scheduler) SetTable(now time.Time, t *Table) []Decision {
	s.out = s.out[:0]
	for _, gone := range s.fleet.applyTable(now, t) {
		s.refuseAll(gone, ReasonUnknownTarget, 0)
	}
	s.accounts.setWeights(t.AccountWeights)
	s.rateLimitActive = s.RateLimitedServers() > 0
	s.localFillLimit, s.ownDomain = t.LocalFillLimit, t.OwnDomain
	if s.localFillLimit <= 0 {
		s.localFillLimit = lowFillFraction
	}
	s.roomByRank = t.RoomByRank
	s.instances = max(CountInstances(t.Entries), 1)
	s.instancesExceedSlots = false
	for i := range t.Servers {
		srv := &t.Servers[i]
		s.instancesExceedSlots = s.instancesExceedSlots || srv.FailureDomain == t.OwnDomain && t.Entries[t.OwnDomain] > srv.Slots
	}
	for i := range t.Servers { // all instances may have requests queued for a target that a server newly serves
		if srv := s.fleet.servers[t.Servers[i].ID]; len(srv.servedTargets) > srv.quota.servedTargets {
			srv.drawQuota(now, s.rng)
		}
	}
	s.dequeueAll(now)
	return s.out
}

// Submit handles a new request.
func (s *Scheduler) Submit(now time.Time, r Request) []Decision {
	s.out = s.out[:0]
	req := s.track(r)
	switch req.target = s.fleet.targets[r.Target]; {
	case s.draining:
		s.refuse(req, ReasonShuttingDown, ShutdownRetryAfter)
	case req.target == nil:
		s.refuse(req, ReasonUnknownTarget, 0)
	case req.target.exceedsServer(&r):
		s.refuse(req, ReasonTooLarge, maxRetryAfter)
	case s.overShare(now, req):
		s.refuseOverShare(now, req)
	default:
		req.target.arrivalRate.add(now)
		if req.target.roomByRank {
			req.draw = s.rng.Float64()
			req.target.rankArrivals[RankIndex(r.Rank)].add(now)
		}
		s.setDeadline(req)
		s.route(now, req)
	}
	return s.out
}

// AttemptFailed handles the failure of the request's attempt at the server. The request is
// retried, queued or refused.
func (s *Scheduler) AttemptFailed(now time.Time, request, server string, f Failure) []Decision {
	s.out = s.out[:0]
	req := s.requests[request]
	if req == nil || req.dispatchedTo == nil || req.dispatchedTo.ID != server {
		return s.out
	}
	srv := req.dispatchedTo
	s.recordFailure(now, req.target, srv, f)
	s.release(now, req)
	if f.Reason != infra.ReasonCanceled {
		req.failedServer = srv
	}
	req.deliveredTokens = max(req.deliveredTokens, f.Tokens)
	if f.Unsent {
		req.attempts--
	}
	if f.Unsent && f.Reason != infra.ReasonOverloaded { // a gateway without room costs next to nothing
		req.unsentAttempts++
	}
	if f.Crash {
		req.crashes++
	}
	req.Suspect = req.Suspect || f.Suspect || f.Crash
	if f.Affinity != 0 {
		req.Affinity, req.CrashedServers = f.Affinity, f.CrashedServers
	}
	reason, ok := s.mayRetry(now, req, srv, f)
	if ok && !s.retarget(req, f.Target) {
		reason, ok = cmp.Or(f.TargetMissing, ReasonOtherVersion), false
	}
	switch {
	case !ok:
		s.refuse(req, reason, req.target.returns.next(now, 0, s.minSendInterval(now, req.target)))
	default:
		s.route(now, req)
	}
	s.dequeueForServer(now, srv)
	return s.out
}

// retarget gives a request that isn't dispatched another target, unless name is empty. It reports
// whether there is one with that name.
func (s *Scheduler) retarget(req *requestState, name string) bool {
	if name == "" {
		return true
	}
	t := s.fleet.targets[name]
	if t == nil {
		return false
	}
	req.Target, req.target = name, t
	return true
}

// Ended handles the end of the request, with the outcome of its last attempt.
func (s *Scheduler) Ended(now time.Time, request, server string, o Outcome) []Decision {
	s.out = s.out[:0]
	req := s.requests[request]
	if req == nil {
		return s.out
	}
	if o.Complete && req.dispatchedTo != nil && req.dispatchedTo.ID == server {
		req.target.learn(now, req, o)
		req.dispatchedTo.recordSuccess()
		req.dispatchedTo.domain.recordAnswer()
		req.dispatchedTo.errorRate.add(0)
		req.dispatchedTo.pool.budget.deposit()
	}
	s.finish(now, req, o.Complete)
	return s.out
}

// Cancel handles the disconnect of the request's caller.
func (s *Scheduler) Cancel(now time.Time, request string) []Decision {
	s.out = s.out[:0]
	if req := s.requests[request]; req != nil {
		s.finish(now, req, false)
	}
	return s.out
}

// UpdateLoad handles a server's load report of the given age.
func (s *Scheduler) UpdateLoad(now time.Time, server string, load infra.Load, age time.Duration) []Decision {
	s.out = s.out[:0]
	if srv := s.fleet.servers[server]; srv != nil {
		srv.updateLoad(now, load, age)
		srv.updateQuota(now, load.Contending, s.rng)
		s.dequeueForServer(now, srv)
	}
	return s.out
}

// ApplyCacheEvents handles a server's prefix cache events.
func (s *Scheduler) ApplyCacheEvents(now time.Time, server string, events []infra.CacheEvent) {
	if srv := s.fleet.servers[server]; srv != nil {
		s.prefixIndex.events(now, srv, events)
	}
}

// Tick refuses queued requests that can't meet their deadline any more, and dispatches
// those that have a free slot. The owner calls it periodically.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.out = s.out[:0]
	if s.queued > 0 {
		s.refuseQueuedOverShare(now)
		s.dequeueAll(now)
	}
	return s.out
}

// Drain refuses all queued requests and every request that arrives afterwards.
func (s *Scheduler) Drain(now time.Time) []Decision {
	s.out = s.out[:0]
	s.draining = true
	for _, t := range s.fleet.sortedTargets {
		s.refuseAll(t, ReasonShuttingDown, ShutdownRetryAfter)
	}
	return s.out
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return s.queued }

func (s *Scheduler) track(request Request) *requestState {
	var req *requestState
	if n := len(s.freeRequests); n > 0 {
		req, s.freeRequests = s.freeRequests[n-1], s.freeRequests[:n-1]
	} else {
		req = &requestState{}
	}
	*req = requestState{Request: request, heapIndex: -1}
	s.requests[request.ID] = req
	return req
}

func (s *Scheduler) setDeadline(req *requestState) {
	if !req.Deadline.IsZero() {
		return
	}
	timeout := req.target.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	req.Deadline = req.Arrived.Add(timeout)
}

// route dispatches, queues or refuses the request.
func (s *Scheduler) route(now time.Time, req *requestState) {
	s.prepare(now, req)
	if len(req.target.replicas) == 0 {
		if req.target.ReplicaPending {
			req.target.recordMissingReplica(now)
			s.enqueue(now, req)
			return
		}
		s.refuse(req, ReasonNoReplica, noReplicaRetry)
		return
	}
	if req.timeLeft(now) < req.serviceTime {
		s.refuse(req, ReasonDeadline, req.target.returns.next(now, 0, s.minSendInterval(now, req.target)))
		return
	}
	chosen, waitable := s.choose(now, req)
	if chosen != nil {
		s.dispatch(now, req, chosen)
		return
	}
	req.failedServer = nil
	if availableIn := req.target.untilAvailable(now); !waitable && req.wouldMissDeadline(now, availableIn) {
		s.refuse(req, ReasonNoReplica, max(seconds(availableIn), minRetryAfter))
		return
	}
	s.enqueue(now, req)
}

// dispatch decides to send the request to the candidate.
func (s *Scheduler) dispatch(now time.Time, req *requestState, c *candidate) {
	srv := c.server
	reason := ReasonBestScore
	if s.hasOneEligibleReplica(now, req) {
		reason = ReasonOnlyReplica
	}
	granted := s.recordDispatch(now, req, c)
	s.out = append(s.out, Decision{
		Request: req.ID, Action: ActionDispatch, Server: srv.Server, Version: c.replica.version, Reason: reason,
		Inputs: Inputs{
			Candidates:       len(s.candidates),
			InFlight:         srv.own - 1,
			Queued:           req.target.queue.len(),
			ServiceTime:      seconds(req.serviceTime),
			Score:            c.score,
			Unread:           int(c.unread),
			TimeToFirstToken: seconds(c.timeToFirstToken(req)),
			LoadAge:          srv.loadAge(now),
			Contending:       srv.quota.contenders(),
			RoomByRank:       req.target.roomByRank,
			Late:             req.goalMissed,
			RankRoom:         srv.rankRoom.left[RankIndex(req.Rank)],
			ServerLimit:      srv.rateLimit.RateLimit,
			Granted:          granted,
		},
	})
}

// recordDispatch records that the request is at the candidate's server. granted reports whether the
// lease holder granted it under the server's rate limit.
func (s *Scheduler) recordDispatch(now time.Time, req *requestState, c *candidate) (granted bool) {
	srv := c.server
	req.dispatchedTo, req.dispatchedAt = srv, now
	req.prefilledAlone, req.firstTokenSeen = c.unread <= maxUnreadAlone && req.deliveredTokens == 0, false
	srv.unread += req.PromptTokens
	srv.holdTokens(req)
	srv.quota.remaining--
	if req.target.roomByRank {
		srv.countDispatch(srv.roomRank(req), s.rng.Float64())
	}
	granted = srv.rateLimit.consume(now)
	req.queuedAtServer = c.load+1 > float64(srv.Slots)
	req.attempts++
	req.target.inFlight++
	srv.own++
	srv.pool.addInFlight(req.target.partner, 1)
	if req.Suspect {
		srv.suspects++
	}
	if req.Prefix != 0 {
		s.prefixIndex.put(now, prefixKey{req.target.Model, req.Prefix}, srv, req.target.versionAt(srv))
	}
	return granted
}

// hasOneEligibleReplica reports whether no more than one of the target's replicas is eligible for
// the request. Others that are only full count.
func (s *Scheduler) hasOneEligibleReplica(now time.Time, req *requestState) bool {
	eligible := 0
	for i := range req.target.replicas {
		r := &req.target.replicas[i]
		s.checked = candidate{replica: r, server: r.server}
		if !passesAll(eligibilityFilters, s, now, req, &s.checked) {
			continue
		}
		if eligible++; eligible > 1 {
			return false
		}
	}
	return true
}
