package decide

import (
	"slices"
	"strings"
	"time"

	"greengageferry/infra"
)

// serverState is an instance's state of one backend server, in addition to its
// entry in the table.
type serverState struct {
	Server
	listed        bool
	noQueue       bool           // see Table.NoServerQueue
	roomByRank    bool           // see Table.RoomByRank
	rankRoom      rankRoom       // if roomByRank
	own           int            // this instance's requests at the server; exact
	unread        int            // prompt tokens of own requests without a first token
	heldTokens    int            // tokens of own requests; see Request.tokenSize
	suspects      int            // own requests that may crash a server
	servedTargets []servedTarget // targets that the server has ready
	pool          *poolState

	slotShare      float64 // this instance's part of the slots when all instances compete for them
	window         float64 // most requests that this instance may have at the server
	report         infra.Load
	reportedAt     time.Time
	ownAtReport    int     // own when the report was made
	unreadAtReport int     // unread when the report was made
	othersInFlight float64 // mean number of other instances' requests at the server
	othersUnread   float64 // mean number of other instances' unread prompt tokens there

	errorRate           average     // fraction of answers that were the server's own failures
	slowdown            average     // time taken divided by the target's usual time; above 1 is slow
	speedSums           []speedSum  // samples since the last TakeSpeedSamples
	shared              sharedSpeed // from all instances
	consecutiveFailures int
	consecutiveRefusals int
	consecutiveMisses   int // requests in a row for which the server reported a missing model
	backoffUntil        time.Time
	pausedUntil         time.Time // latest end of all pauses that the server asked for; see Failure.RetryAfter
	pauseAskedAt        time.Time // when it last asked for one

	quota      quota
	rateLimit  limitState
	domain     *domainState
	emptyStart string    // Server.Start of the process that presumably lost its models
	emptyUntil time.Time // until then the server is presumed to hold no models
}

// poolState is an instance's state of one pool.
type poolState struct {
	slowdown          float64 // smoothed slowdown of all servers of the pool
	engine            enginePerformance
	slots             int // per server
	service           serviceTimes
	budget            retryBudget
	requestTokens     average           // tokens of each of this instance's requests; see Request.tokenSize
	holdSeconds       average           // seconds that attempts held a slot, whatever their outcome
	totalInFlight     int               // this instance's requests in the pool
	inFlightByPartner []int             // the same by partnerState.index
	queuedByRank      [Ranks]queueCount // if roomByRank
}

// holdTime returns the mean number of seconds that an attempt holds its slot, or
// defaultServiceTime while there are too few samples.
func (p *poolState) holdTime() float64 {
	if p.holdSeconds.warm() {
		return p.holdSeconds.mean
	}
	return defaultServiceTime
}

// servedTarget is a target that a server has ready.
type servedTarget struct {
	target  *targetState
	replica int // index into target.replicas
}

// partnerState is an instance's state of one partner.
type partnerState struct {
	index  int
	weight float64 // weight in sharing contended capacity
	queued int     // requests in this instance's queues
}

// replicaState is a replica with what failed attempts there showed.
type replicaState struct {
	server            *serverState
	start             string // Server.Start of the process that it is about
	version           string
	unreadyUntil      time.Time // not used before, since the server reported the target missing
	consecutiveMisses int
}

// targetState is an instance's state of one target.
type targetState struct {
	*Target
	partner      *partnerState
	pool         *poolState     // nil if unknown
	replicas     []replicaState // those in the own failure domain first
	near         int            // number of replicas in the own failure domain
	queue        queue
	inFlight     int
	service      serviceTimes
	arrivalRate  arrivalRate
	roomByRank   bool               // see Table.RoomByRank; for engines only
	rankArrivals [Ranks]arrivalRate // if roomByRank
	returns      returns
	totalSpeed   float64       // sum of the speeds of the replicas' servers
	uneven       bool          // the replicas' servers are known to differ in speed
	backlog      sharedBacklog // at all instances

	replicaAddedAt      time.Time // when the target last got a replica
	replicasBefore      int       // replicas that measured start rates include, until newReplicaTime after replicaAddedAt
	replicaMissingSince time.Time // when a request first waited for the target's first replica; zero: none does
}

// fleet holds the state that is kept when a new table replaces the old one.
type fleet struct {
	servers          map[string]*serverState
	targets          map[string]*targetState
	sortedTargets    []*targetState // by name, so that decisions are deterministic
	pools            map[string]*poolState
	partners         map[string]*partnerState
	partnerList      []*partnerState // by partnerState.index
	domains          map[string]*domainState
	retry            RetryPolicy
	speedsReceivedAt time.Time // when servers' speeds were last received from the lease holder; zero: not within speedsTTL
	modelLoadTime    average   // seconds from the first request that waits for a model's first replica until that is ready
}

func newFleet() fleet {
	return fleet{
		servers:  map[string]*serverState{},
		targets:  map[string]*targetState{},
		pools:    map[string]*poolState{},
		partners: map[string]*partnerState{},
		domains:  map[string]*domainState{},
	}
}

// applyTable replaces the table and returns the targets that are no longer in it.
func (f *fleet) applyTable(now time.Time, t *Table) (gone []*targetState) {
	f.retry = t.Retry
	for _, p := range f.pools {
		p.budget.refill(now)
		p.budget.setPolicy(t.Retry)
	}
	listed := f.updateServers(now, t)
	f.sortedTargets = f.sortedTargets[:0]
	for _, name := range sortedNames(t.Targets) {
		f.sortedTargets = append(f.sortedTargets, f.updateTarget(now, t, t.Targets[name], listed))
	}
	for name, ts := range f.targets {
		if t.Targets[name] == nil {
			gone = append(gone, ts)
			delete(f.targets, name)
		}
	}
	slices.SortFunc(gone, func(a, b *targetState) int { return strings.Compare(a.Name, b.Name) })
	return gone
}

func (f *fleet) updateServers(now time.Time, t *Table) []*serverState {
	for _, s := range f.servers {
		s.listed = false
		s.servedTargets = s.servedTargets[:0]
		s.roomByRank = false
	}
	instances := CountInstances(t.Entries)
	listed := make([]*serverState, len(t.Servers))
	for i, srv := range t.Servers {
		s := f.servers[srv.ID]
		if s == nil {
			s = &serverState{}
			f.servers[srv.ID] = s
		}
		if s.Start != srv.Start {
			s.forgetStart(srv)
		}
		s.Server, s.listed, s.noQueue = srv, true, t.NoServerQueue
		s.Slots = max(s.Slots, 1)
		s.pool, s.domain = f.pool(srv.Pool), f.domain(srv.FailureDomain)
		s.pool.slots = s.Slots
		s.setFairShare(t.Entries[srv.FailureDomain])
		s.quota.instances = instances
		listed[i] = s
	}
	for id, s := range f.servers {
		// A server that is listed again before its pause ends is still paused.
		if !s.listed && s.own == 0 && !now.Before(s.pausedUntil) {
			delete(f.servers, id)
		}
	}
	return listed
}

// forgetStart drops what this instance learned of the server's process, which has ended before the
// one that is now listed began. The requests that the instance has there are still its own to end.
func (s *serverState) forgetStart(now Server) {
	if !s.answeredSince(now, s.rateLimit.observedAt) {
		s.rateLimit = limitState{}
	}
	if !s.answeredSince(now, s.pauseAskedAt) {
		s.pausedUntil = time.Time{}
	}
	s.backoffUntil = time.Time{}
	s.errorRate, s.slowdown = average{}, average{}
	s.speedSums, s.shared = nil, sharedSpeed{}
	s.consecutiveFailures, s.consecutiveRefusals, s.consecutiveMisses = 0, 0, 0
	s.report, s.reportedAt = infra.Load{}, time.Time{}
	s.othersInFlight, s.othersUnread = 0, 0
}

// answeredSince reports whether an answer at a time was one of the start that is now listed, which may
// be listed late. An earlier process at the same address had ended by then.
func (s *serverState) answeredSince(now Server, at time.Time) bool {
	return s.Addr == now.Addr && !now.Started.IsZero() && at.After(now.Started)
}

func (f *fleet) updateTarget(now time.Time, t *Table, target *Target, listed []*serverState) *targetState {
	ts := f.targets[target.Name]
	if ts == nil {
		ts = &targetState{}
		f.targets[target.Name] = ts
	}
	ts.Target = target
	ts.roomByRank = t.RoomByRank && !target.Service
	ts.partner = f.partner(target.Partner)
	if target.Pool != "" {
		ts.pool = f.pool(target.Pool)
	}
	ts.partner.weight = weightOf(t, target.Partner)
	old := ts.replicas
	ts.recordReplicaCount(now, len(old), len(target.Replicas))
	ts.replicas = make([]replicaState, 0, len(target.Replicas))
	for _, near := range []bool{true, false} {
		for _, r := range target.Replicas {
			if s := listed[r.Server]; (s.FailureDomain == t.OwnDomain) == near {
				s.servedTargets = append(s.servedTargets, servedTarget{ts, len(ts.replicas)})
				s.roomByRank = ts.roomByRank
				ts.replicas = append(ts.replicas, previousState(old, s, r.Version))
			}
		}
		if near {
			ts.near = len(ts.replicas)
		}
	}
	ts.sumSpeeds()
	f.recordFirstReplica(now, ts)
	return ts
}

// previousState returns the replica's state from the old table, or a new one.
func previousState(old []replicaState, s *serverState, version string) replicaState {
	for i := range old {
		if old[i].server == s && old[i].start == s.Start && old[i].version == version {
			return old[i]
		}
	}
	return replicaState{server: s, start: s.Start, version: version}
}

func (f *fleet) pool(name string) *poolState {
	p := f.pools[name]
	if p == nil {
		p = &poolState{slowdown: 1, budget: newRetryBudget(f.retry)}
		f.pools[name] = p
	}
	return p
}

func (f *fleet) partner(name string) *partnerState {
	p := f.partners[name]
	if p == nil {
		p = &partnerState{index: len(f.partners), weight: 1}
		f.partners[name] = p
		f.partnerList = append(f.partnerList, p)
	}
	return p
}

// weightedShare returns the partner's requests in the pool from this instance,
// divided by its weight.
func (p *poolState) weightedShare(partner *partnerState) float64 {
	if partner.index >= len(p.inFlightByPartner) {
		return 0
	}
	return float64(p.inFlightByPartner[partner.index]) / partner.weight
}

// shareStatus compares a partner's weighted share of a pool with the other partners'.
type shareStatus int

// The share statuses. A partner without competition has evenShare.
const (
	underShare shareStatus = iota - 1
	evenShare
	overShare
)

// shareStatus compares the partner's weighted share of the pool with those of the
// other partners that have requests in flight there or queued.
func (p *poolState) shareStatus(all []*partnerState, partner *partnerState) shareStatus {
	mine := p.weightedShare(partner)
	st := evenShare
	for _, other := range all {
		theirs := p.weightedShare(other)
		switch {
		case other == partner || theirs == 0 && other.queued == 0:
		case theirs < mine:
			return overShare
		case theirs > mine:
			st = underShare
		}
	}
	return st
}

func (p *poolState) addInFlight(partner *partnerState, n int) {
	for partner.index >= len(p.inFlightByPartner) {
		p.inFlightByPartner = append(p.inFlightByPartner, 0)
	}
	p.inFlightByPartner[partner.index] += n
	p.totalInFlight += n
}

func weightOf(t *Table, partner string) float64 {
	if w := t.Weights[partner]; w > 0 {
		return w
	}
	return 1
}

// replica returns the target's replica on the server, or nil.
func (t *targetState) replica(s *serverState) *replicaState {
	for i := range t.replicas {
		if t.replicas[i].server == s {
			return &t.replicas[i]
		}
	}
	return nil
}

// versionAt returns the version of the target's model on the server; empty: not known.
func (t *targetState) versionAt(s *serverState) string {
	if r := t.replica(s); r != nil {
		return r.version
	}
	return ""
}

// available reports whether the server is neither paused nor in backoff after failures.
func (s *serverState) available(now time.Time) bool {
	return !now.Before(s.backoffUntil) && !now.Before(s.pausedUntil)
}

// pauseFor pauses requests to the server for d. It never shortens a pause.
func (s *serverState) pauseFor(now time.Time, d time.Duration) {
	s.pauseAskedAt = now
	if to := now.Add(d); to.After(s.pausedUntil) {
		s.pausedUntil = to
	}
}

// remainingPause returns the seconds until the first of the target's servers ends its
// pause, or 0 unless all of them are paused. Unlisted and leaving servers don't count.
func (t *targetState) remainingPause(now time.Time) float64 {
	least := 0.0
	for i := range t.replicas {
		s := t.replicas[i].server
		if !s.listed || s.Leaving {
			continue
		}
		left := s.pausedUntil.Sub(now).Seconds()
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// untilAvailable returns the seconds until some replica may be tried again, or
// maxRetryAfter if none is known to become available sooner.
func (t *targetState) untilAvailable(now time.Time) float64 {
	wait := maxRetryAfter.Seconds()
	for i := range t.replicas {
		r := &t.replicas[i]
		if r.server.listed && !r.server.Leaving {
			wait = min(wait, max(r.unreadyUntil.Sub(now), r.server.backoffUntil.Sub(now), r.server.pausedUntil.Sub(now), 0).Seconds())
		}
	}
	return wait
}
