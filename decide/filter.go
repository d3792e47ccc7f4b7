package decide

import (
	"math"
	"time"
)

// candidate is a replica that a request may be sent to, with the estimates behind its
// score.
type candidate struct {
	replica *replicaState
	server  *serverState
	load    float64 // estimated requests of all instances at the server
	unread  float64 // estimated prompt tokens not yet prefilled there
	score   float64 // expected seconds to the end of the answer; lower is better
}

// newCandidate returns the server as a candidate, with the replica left unset.
func newCandidate(now time.Time, s *serverState) candidate {
	return candidate{server: s, load: s.load(now), unread: s.estimateUnread(now)}
}

// filter decides whether a candidate is eligible for a request.
type filter interface {
	keep(s *Scheduler, now time.Time, req *requestState, c *candidate) bool
}

// eligibilityFilters don't depend on load. capacityFilters do: it can help to queue a
// request that only they reject.
var (
	eligibilityFilters = []filter{availabilityFilter{}, reachabilityFilter{}, residencyFilter{}, failedServerFilter{}, affinityFilter{}}
	capacityFilters    = []filter{rateFilter{}, slotFilter{}, prefillFilter{}, memoryFilter{}, suspectFilter{}, deadlineFilter{}}
)

// passesAll reports whether all filters keep the candidate.
func passesAll(filters []filter, s *Scheduler, now time.Time, req *requestState, c *candidate) bool {
	for _, x := range filters {
		if !x.keep(s, now, req, c) {
			return false
		}
	}
	return true
}

// availabilityFilter drops servers that are unlisted, draining, paused or in backoff after
// failures. Besides the table it uses the results of this instance's own attempts, which
// are more recent. For a request with an affinity key it doesn't: instances whose attempts
// went differently would send its copies to different servers.
type availabilityFilter struct{}

func (availabilityFilter) keep(_ *Scheduler, now time.Time, req *requestState, c *candidate) bool {
	if !c.server.listed || c.server.Leaving || now.Before(c.server.pausedUntil) {
		return false
	}
	return req.Affinity != 0 || !now.Before(c.server.backoffUntil)
}

// reachabilityFilter drops servers of a failure domain that seems unreachable, as long as
// there are others.
type reachabilityFilter struct{}

func (reachabilityFilter) keep(s *Scheduler, now time.Time, _ *requestState, c *candidate) bool {
	return s.allowCutOff || !now.Before(c.server.domain.cutOffUntil)
}

// residencyFilter drops replicas that recently answered that the target isn't resident,
// and those of servers that lost all they held.
type residencyFilter struct{}

func (residencyFilter) keep(_ *Scheduler, now time.Time, req *requestState, c *candidate) bool {
	return c.replica.isResident(now, req.target)
}

// failedServerFilter drops the server where the request's last attempt failed.
type failedServerFilter struct{}

func (failedServerFilter) keep(_ *Scheduler, _ time.Time, req *requestState, c *candidate) bool {
	return c.server != req.failedServer
}

// slotFilter drops servers that are full, by this instance's limit or in total. Under
// saturation excess requests wait at this instance, where they can still be refused as not
// run, rather than at the server. A server's own short queue is for partners with no more
// than their share: at any one instance slots free only once in seconds, so that queue is
// how a partner regains its share from a flood that arrives through all instances.
type slotFilter struct{}

func (slotFilter) keep(s *Scheduler, now time.Time, req *requestState, c *candidate) bool {
	limit := c.server.Slots
	switch s.fillLevel {
	case fillLow:
		limit = int(math.Ceil(float64(c.server.Slots) * s.localFillLimit))
	case fillServerQueue:
		limit += c.server.queueAllowance(c.server.pool.shareStatus(s.fleet.partnerList, req.target.partner), req.Goal)
	}
	if req.target.roomByRank {
		return s.hasRoomForRank(now, req, c, limit)
	}
	return c.server.hasRoom(now, limit)
}

const (
	// localPrefillLimit is the prefill backlog up to which a server is preferred to those
	// of other failure domains.
	localPrefillLimit = 0.1 // seconds
	// maxPrefillWait is the prefill backlog up to which a server gets another prompt. It
	// keeps the server busy until the instances have learned that it has capacity again.
	maxPrefillWait = 0.4 // seconds
)

// prefillFilter drops servers with a sufficient prefill backlog. When demand exceeds the
// prefill rate of a model's servers, requests wait at this instance instead of at a server
// for their first token: here the request with the nearest goal is served first, and
// others can still be refused as not run. It also keeps prefill from stalling the streams
// that run on the server.
type prefillFilter struct{}

func (prefillFilter) keep(s *Scheduler, _ time.Time, _ *requestState, c *candidate) bool {
	if s.fillLevel == fillLow {
		return c.prefillWait() <= localPrefillLimit
	}
	return c.prefillWait() <= maxPrefillWait
}

// suspectFilter keeps requests that may crash a server apart from each other, so that the
// next crash shows which of them causes it.
type suspectFilter struct{}

func (suspectFilter) keep(_ *Scheduler, _ time.Time, req *requestState, c *candidate) bool {
	return !req.Suspect || c.server.suspects == 0
}

// deadlineFilter drops servers too slow for the request's deadline. For a server's queue
// the wait there and the upper estimate of the service time have to fit, because a request
// that is cut off wastes a slot that another could use.
type deadlineFilter struct{}

func (deadlineFilter) keep(s *Scheduler, now time.Time, req *requestState, c *candidate) bool {
	serviceTime := req.serviceTime
	if s.fillLevel == fillServerQueue {
		serviceTime = req.safeServiceTime + c.slotWait(req)
	}
	timeLeft := req.timeLeft(now)
	return timeLeft > 0 && serviceTime*max(c.server.slowdownAmong(req.target), 1) <= timeLeft
}
