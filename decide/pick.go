package decide

import (
	"slices"
	"time"
)

const (
	// sampleSize is the number of replicas that a decision considers. It makes a decision
	// as quick among 1,900 servers as among 100. Together with the random choice it keeps
	// instances that have the same load report from all choosing the same server.
	sampleSize = 8
	// minSlotWeight keeps the selection weights of full servers above zero.
	minSlotWeight = 0.1
	// probeInterval is the number of decisions of which one picks any candidate, so that
	// the recovery of a slow server is noticed.
	probeInterval = 32
)

// fillLevel is the limit up to which a server may be filled to get a request.
type fillLevel int

// The fill levels, in the order in which they are tried, each in the own failure domain
// first. A nearly full batch is slower than one in another domain that is half a
// millisecond away.
const (
	fillRateLimited fillLevel = iota // a free slot of a server whose active rate limit admits a request
	fillLow                          // slot utilization up to Table.LocalFillLimit
	fillFreeSlot                     // any free slot
	fillServerQueue                  // the server's own short queue
)

// lowFillFraction is the slot utilization up to which a server's batch runs fast.
const lowFillFraction = 0.6

// choose returns the server for the request: one whose rate limit admits it, else one with
// a free slot in the own failure domain, then in others, else one with space in its short
// queue. Failure domains that seem unreachable come last. If it returns nil, waitable
// reports whether queueing may help: some replica is eligible but for its load.
func (s *Scheduler) choose(now time.Time, req *requestState) (c *candidate, waitable bool) {
	s.expireSpeeds(now)
	s.allowCutOff = false
	if c, waitable = s.chooseByFill(now, req); c != nil || waitable {
		return c, waitable
	}
	s.allowCutOff = true
	return s.chooseByFill(now, req)
}

// chooseByFill tries the fill levels in order.
func (s *Scheduler) chooseByFill(now time.Time, req *requestState) (c *candidate, waitable bool) {
	t := req.target
	s.prefixServer = nil
	if req.Prefix != 0 {
		s.prefixServer = s.prefixIndex.getFor(now, prefixKey{t.Model, req.Prefix}, t)
	}
	near, far := t.replicas[:t.near], t.replicas[t.near:]
	if t.uneven {
		near, far = t.replicas, nil // see preferNear
	}
	for s.fillLevel = fillRateLimited; s.fillLevel <= fillServerQueue; s.fillLevel++ {
		if s.fillLevel == fillServerQueue && t.roomByRank {
			break // see hasRoomForRank
		}
		if s.fillLevel == fillRateLimited && !s.limitAllows(now, t) || s.fillLevel == fillLow && s.instancesExceedSlots {
			continue
		}
		for _, replicas := range [][]replicaState{near, far} {
			c, w := s.chooseAmong(now, req, replicas)
			if c != nil {
				return c, true
			}
			waitable = waitable || w
		}
	}
	return nil, waitable
}

// chooseAmong samples, filters and scores the replicas and picks one.
func (s *Scheduler) chooseAmong(now time.Time, req *requestState, replicas []replicaState) (c *candidate, waitable bool) {
	s.sample(now, req, replicas)
	s.urgentFits = req.target.roomByRank && s.fitsUrgent(req)
	kept := s.candidates[:0]
	for i := range s.candidates {
		c := &s.candidates[i]
		if !passesAll(eligibilityFilters, s, now, req, c) {
			continue
		}
		waitable = true
		if passesAll(capacityFilters, s, now, req, c) {
			kept = append(kept, *c)
		}
	}
	s.candidates = kept
	if len(kept) == 0 {
		return nil, waitable
	}
	if req.target.uneven {
		s.preferNear()
	}
	s.scoreAll(now, req)
	if s.instancesExceedSlots {
		return s.pickByFreeSlots(), true
	}
	return s.pick(), true
}

// sample fills s.candidates with all replicas if they are few. Otherwise it takes random
// ones and, for a request with a prefix, the replica that the prefix hashes to, so that
// requests with the same prefix share that replica's cache.
func (s *Scheduler) sample(now time.Time, req *requestState, replicas []replicaState) {
	s.candidates = s.candidates[:0]
	if req.Affinity != 0 {
		s.sampleByAffinity(now, req, replicas)
		return
	}
	n := len(replicas)
	if n <= sampleSize || s.fillLevel == fillRateLimited {
		for i := range replicas {
			if n <= sampleSize || replicas[i].server.rateLimit.Named {
				s.addCandidate(now, &replicas[i])
			}
		}
		return
	}
	if req.Prefix != 0 {
		s.addCandidate(now, &replicas[int(req.Prefix%uint64(n))])
	}
	for len(s.candidates) < sampleSize {
		s.addCandidate(now, &replicas[s.rng.IntN(n)])
	}
}

func (s *Scheduler) addCandidate(now time.Time, r *replicaState) {
	c := newCandidate(now, r.server)
	c.replica = r
	s.candidates = append(s.candidates, c)
}

func (s *Scheduler) scoreAll(now time.Time, req *requestState) {
	s.meanLoad = 0
	for i := range s.candidates {
		s.meanLoad += s.candidates[i].load / float64(len(s.candidates))
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		c.score = 0
		for _, x := range scorers {
			c.score += x.score(s, now, req, c)
		}
	}
}

// preferNear keeps only the candidates of the own failure domain that are filled no more than the
// mean of all candidates, if there are any. If the own domain always went first, its slow servers
// would get requests while fast ones in other domains have free slots.
func (s *Scheduler) preferNear() {
	mean := 0.0
	for i := range s.candidates {
		mean += s.candidates[i].fill() / float64(len(s.candidates))
	}
	isPreferred := func(c candidate) bool { return c.server.FailureDomain == s.ownDomain && c.fill() <= mean }
	if !slices.ContainsFunc(s.candidates, isPreferred) {
		return
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return !isPreferred(c) })
}

// fill returns the slot utilization of the server with one more request, divided by its speed.
func (c *candidate) fill() float64 {
	return (c.load + 1) / float64(c.server.Slots) / c.server.speed()
}

// pick returns the better of two random candidates, or occasionally a random one to probe
// it.
func (s *Scheduler) pick() *candidate {
	n := len(s.candidates)
	first := s.rng.IntN(n)
	a := &s.candidates[first]
	if n == 1 || s.rng.IntN(probeInterval) == 0 {
		return a
	}
	b := &s.candidates[(first+1+s.rng.IntN(n-1))%n]
	if b.score < a.score {
		return b
	}
	return a
}

// pickByFreeSlots picks at random in proportion to free slots and speed. It is for more
// instances than a server has slots: with the same load report they would all choose the
// emptiest server, and so they fill each server according to its free slots.
func (s *Scheduler) pickByFreeSlots() *candidate {
	sum := 0.0
	for i := range s.candidates {
		sum += s.candidates[i].freeSlotWeight()
	}
	at := s.rng.Float64() * sum
	for i := range s.candidates {
		if at -= s.candidates[i].freeSlotWeight(); at < 0 {
			return &s.candidates[i]
		}
	}
	return &s.candidates[len(s.candidates)-1]
}

func (c *candidate) freeSlotWeight() float64 {
	room := float64(c.server.Slots) - c.load
	if c.server.roomByRank {
		room += c.server.expectedReleases(2 * ArrivalHorizon)
	}
	free := max(room, minSlotWeight)
	return free / max(c.score, minSlotWeight)
}
