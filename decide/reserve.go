package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// rankFloor is the part of a server's dispatches that each rank gets, if it asks for it, however
	// many more urgent requests there are.
	rankFloor = 0.05
	// urgentQueue is the number of urgent requests that may wait at a full server, so that one of
	// them gets the next free slot, whoever held it.
	urgentQueue = 1
	// urgentGoal is the longest goal of an urgent request. With a longer one a request can wait at
	// its instance for the next load report.
	urgentGoal = 2 * ArrivalHorizon
	// maxUrgentFill bounds the requests at a server when an urgent one is added, as a multiple of
	// its slots. Engines refuse requests beyond about three times their slots.
	maxUrgentFill = 2.0
)

// rankRoom is what an instance may use of a server's room until the next load report, by rank.
type rankRoom struct {
	limited   [Ranks]bool    // the demand of all instances exceeds what the rank gets
	remaining [Ranks]int     // if limited: requests that this instance may still send
	left      [Ranks]float64 // requests of all instances that the server can take
	soon      [Ranks]float64 // requests of all instances that are expected there
	least     int            // the least urgent rank with demand; requests of any rank that are late share its room
	floor     [Ranks]bool    // the rank may have a free slot under rankFloor
}

// rankDemand is how many requests want to start soon, by rank, and how many are late for their goal.
type rankDemand struct {
	soon [Ranks]float64
	late float64
}

// total returns the requests that share the room of a rank.
func (d *rankDemand) total(rank, least int) float64 {
	if rank == least {
		return d.soon[rank] + d.late
	}
	return d.soon[rank]
}

// add adds a number of a target's requests of a rank that wait, a part of which is late, and those
// that arrive.
func (d *rankDemand) add(rank int, waiting, late, arrivals float64) {
	d.soon[rank] += waiting*(1-late) + arrivals
	d.late += waiting * late
}

// queueCount counts this instance's queued requests of a rank in a pool.
type queueCount struct{ queued, late int }

// lateFraction returns the part of the queued requests that is late for its goal.
func (c *queueCount) lateFraction() float64 {
	return float64(c.late) / float64(max(c.queued, 1))
}

// countQueued adds n to the counts of queued requests that are like req.
func (p *poolState) countQueued(req *requestState, n int) {
	if p == nil {
		return
	}
	c := &p.queuedByRank[RankIndex(req.Rank)]
	c.queued += n
	if req.goalMissed {
		c.late += n
	}
}

// demandByRank returns what all instances, and this one, want to start within a time of the targets
// that the server has, on whatever server. Where nothing recent is told of the others, it takes
// them to be like this one: as it does for how many of them are late. share is the server's part of
// all instances' demand.
func (s *serverState) demandByRank(now time.Time, within time.Duration) (all, own, share rankDemand) {
	horizon := within.Seconds()
	for _, r := range s.servedTargets {
		t := r.target
		replicas := float64(len(t.replicas))
		known := t.backlog.known(now)
		for rank := range Ranks {
			late := s.pool.queuedByRank[rank].lateFraction()
			waiting, arrivals := float64(t.queue.lenOfRank(rank)), t.rankArrivals[rank].rate(now)
			own.add(rank, waiting, late, arrivals*horizon)
			if known {
				waiting, arrivals = max(t.backlog.Waiting[rank], waiting), max(t.backlog.Arrivals[rank], arrivals)
			} else {
				waiting, arrivals = waiting*float64(s.quota.instances), arrivals*float64(s.quota.instances)
			}
			all.add(rank, waiting, late, arrivals*horizon)
			share.add(rank, waiting/replicas, late, arrivals*horizon/replicas)
		}
	}
	return all, own, share
}

// drawRankRoom shares out what the server can take until the next report: the most urgent requests
// come first, and less urgent ones get what those leave. A rank's part is divided among the
// instances by their demand; parts are mostly less than one, so they are rounded at random.
func (s *serverState) drawRankRoom(now time.Time, rng *rand.Rand) {
	all, own, share := s.demandByRank(now, s.quota.reportInterval)
	load := s.load(now)
	left := float64(s.Slots) - load + s.expectedReleases(s.quota.reportInterval)*min(load/float64(s.Slots), 1)
	room := &s.rankRoom
	room.least = 0
	for rank := range Ranks {
		if all.soon[rank] > 0 {
			room.least = rank
		}
	}
	for rank := range Ranks {
		total, mine := all.total(rank, room.least), own.total(rank, room.least)
		room.left[rank], room.soon[rank] = max(left+urgentQueue, 0), share.soon[rank]
		left = max(left, 0)
		room.limited[rank] = max(total, mine) > left
		room.remaining[rank] = 0
		if total > 0 {
			room.remaining[rank] = int(math.Floor(left*min(mine/total, 1) + rng.Float64()))
		}
		left -= share.soon[rank]
	}
}

// roomRank returns the rank whose room at the server the request may use. It costs little to let a
// late one wait longer.
func (s *serverState) roomRank(req *requestState) int {
	if req.goalMissed {
		return max(s.rankRoom.least, RankIndex(req.Rank))
	}
	return RankIndex(req.Rank)
}

// hasRoomForRank reports whether the instance may send the request to the server by its rank, up to
// a limit of requests there. An urgent request doesn't wait for the next load report: it waits at
// the server, which admits the most urgent requests of all instances first. Without a recent report
// the instance keeps to its fair share.
func (s *Scheduler) hasRoomForRank(now time.Time, req *requestState, c *candidate, limit int) bool {
	srv := c.server
	if now.Sub(srv.quota.lastReportAt) >= quotaTTL {
		return srv.hasRoom(now, limit)
	}
	if req.isUrgent() && s.urgentFits {
		return c.load+1 <= maxUrgentFill*float64(srv.Slots)
	}
	if c.load+1 > float64(limit) {
		return false
	}
	rank := srv.roomRank(req)
	if rank > 0 && srv.rankRoom.floor[rank] {
		return true
	}
	return !srv.rankRoom.limited[rank] || srv.rankRoom.remaining[rank] > 0
}

// fitsUrgent reports whether the candidates can take the request besides the other urgent ones that
// are expected there. If there is room for a part of them, each is among that part by its draw:
// parts of a quota would lie unused at instances that get no request in time.
func (s *Scheduler) fitsUrgent(req *requestState) bool {
	left, soon := 0.0, 0.0
	for i := range s.candidates {
		room := &s.candidates[i].server.rankRoom
		left += room.left[RankIndex(req.Rank)]
		soon += room.soon[RankIndex(req.Rank)]
	}
	return left >= req.draw*soon
}

// isUrgent reports whether the request can meet its goal only if it is sent before the next load
// report.
func (req *requestState) isUrgent() bool {
	return req.Goal > 0 && req.Goal <= urgentGoal && !req.goalMissed
}

// mayTakeMore reports whether the server may have room for a request of any rank.
func (s *serverState) mayTakeMore(now time.Time) bool {
	return s.load(now)+1 <= maxUrgentFill*float64(s.Slots)
}

// countDispatch takes a dispatch to the server from the part and from the floor of the rank. By draw
// it may add to the floors of the others: an instance sends too little to one server to count.
func (s *serverState) countDispatch(rank int, draw float64) {
	room := &s.rankRoom
	room.remaining[rank] = max(room.remaining[rank]-1, 0)
	room.floor[rank] = false
	if draw >= rankFloor {
		return
	}
	for other := range room.floor {
		room.floor[other] = room.floor[other] || other != rank
	}
}
