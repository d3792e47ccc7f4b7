package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minRankShare is the fraction of the dispatches to a server that each rank with demand gets,
	// however many more urgent requests there are.
	minRankShare = 0.05
	// urgentQueue is the number of urgent requests that may wait at a full server, so that one of
	// them gets the next free slot at once.
	urgentQueue = 1
	// urgentGoal is the longest goal of an urgent request. With a longer goal a request has time to
	// wait at its instance for the next load report.
	urgentGoal = 2 * ArrivalHorizon
	// maxUrgentFill bounds the requests at a server including an added urgent one, as a multiple of
	// its slots. It stays below the length of the servers' own queues, beyond which they refuse.
	maxUrgentFill = 2.0
)

// rankRoom is the room at a server until the next load report, by rank. Room is the number of requests
// that the server can take: free slots and those that will become free.
type rankRoom struct {
	limited    [Ranks]bool    // the demand of all instances exceeds the room of the rank
	remaining  [Ranks]int     // if limited: requests that this instance may still send
	left       [Ranks]float64 // room that more urgent ranks leave, for all instances; with urgentQueue
	demand     [Ranks]float64 // the server's part of all instances' demand, in requests
	least      int            // the least urgent rank with demand; late requests of all ranks use its room
	guaranteed [Ranks]bool    // the rank may send one request under minRankShare
}

// rankDemand is a number of requests that are waiting or expected before the next load report.
type rankDemand struct {
	byRank [Ranks]float64 // those that can meet their goal
	late   float64        // those of all ranks that can't
}

// total returns the requests that use the room of a rank. least is rankRoom.least.
func (d *rankDemand) total(rank, least int) float64 {
	if rank == least {
		return d.byRank[rank] + d.late
	}
	return d.byRank[rank]
}

// add adds a target's requests of a rank: those that wait, of which the fraction late can't meet
// their goal, and those that will arrive.
func (d *rankDemand) add(rank int, waiting, late, arrivals float64) {
	d.byRank[rank] += waiting*(1-late) + arrivals
	d.late += waiting * late
}

// queueCount counts this instance's queued requests of a rank in a pool, and those of them that
// can't meet their goal.
type queueCount struct{ queued, late int }

// lateFraction returns the fraction of the queued requests that can't meet their goal.
func (c *queueCount) lateFraction() float64 {
	return float64(c.late) / float64(max(c.queued, 1))
}

// countQueued adds n to the counts of queued requests to which req belongs.
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

// demandByRank returns the demand of all instances, and of this one, within a time for the targets that
// the server has ready, and the part of all instances' demand that falls to the server if it is
// divided equally among a target's replicas. Without a recent backlog report the other instances'
// demand is assumed to equal this one's, and the fraction of late requests always is.
func (s *serverState) demandByRank(now time.Time, within time.Duration) (all, own, serverPart rankDemand) {
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
			serverPart.add(rank, waiting/replicas, late, arrivals*horizon/replicas)
		}
	}
	return all, own, serverPart
}

// drawRankRoom divides the server's room until the next load report among the ranks: each gets what
// more urgent ones leave. A rank's room is divided among the instances by their demand. An instance's
// part is mostly less than one request, so it is rounded at random.
func (s *serverState) drawRankRoom(now time.Time, rng *rand.Rand) {
	all, own, serverPart := s.demandByRank(now, s.quota.reportInterval)
	load := s.load(now)
	left := float64(s.Slots) - load + s.expectedReleases(s.quota.reportInterval)*min(load/float64(s.Slots), 1)
	room := &s.rankRoom
	room.least = 0
	for rank := range Ranks {
		if all.byRank[rank] > 0 {
			room.least = rank
		}
	}
	for rank := range Ranks {
		total, ownTotal := all.total(rank, room.least), own.total(rank, room.least)
		room.left[rank], room.demand[rank] = max(left+urgentQueue, 0), serverPart.byRank[rank]
		left = max(left, 0)
		room.limited[rank] = max(total, ownTotal) > left
		room.remaining[rank] = 0
		if total > 0 {
			room.remaining[rank] = int(math.Floor(left*min(ownTotal/total, 1) + rng.Float64()))
		}
		left -= serverPart.byRank[rank]
	}
}

// roomRank returns the rank whose room at the server the request uses. A late request uses that of the
// least urgent rank, since it has lost most of its value already.
func (s *serverState) roomRank(req *requestState) int {
	if req.goalMissed {
		return max(s.rankRoom.least, RankIndex(req.Rank))
	}
	return RankIndex(req.Rank)
}

// hasRoomForRank reports whether the instance may send the request to the server, which then has at
// most limit requests, by the room of the request's rank. An urgent request doesn't wait for the next
// load report and may exceed the limit: it waits at the server, which starts the most urgent requests
// of all instances first. Without a recent load report the room isn't known, and hasRoom decides.
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
	if rank > 0 && srv.rankRoom.guaranteed[rank] {
		return true
	}
	return !srv.rankRoom.limited[rank] || srv.rankRoom.remaining[rank] > 0
}

// fitsUrgent reports whether the candidates have room for the urgent request besides the others of its
// rank. If they have room for a fraction of these requests only, the request's draw decides whether it
// is in that fraction. Dividing the room among the instances instead would leave it unused at those
// that get no urgent request before the next load report.
func (s *Scheduler) fitsUrgent(req *requestState) bool {
	left, demand := 0.0, 0.0
	for i := range s.candidates {
		room := &s.candidates[i].server.rankRoom
		left += room.left[RankIndex(req.Rank)]
		demand += room.demand[RankIndex(req.Rank)]
	}
	return left >= req.draw*demand
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

// countDispatch subtracts a dispatch to the server from the room of the rank. draw is random, from 0 to
// 1: with probability minRankShare each other rank may send one request next. An instance sends too
// few requests to one server to count off that share.
func (s *serverState) countDispatch(rank int, draw float64) {
	room := &s.rankRoom
	room.remaining[rank] = max(room.remaining[rank]-1, 0)
	room.guaranteed[rank] = false
	if draw >= minRankShare {
		return
	}
	for other := range room.guaranteed {
		room.guaranteed[other] = room.guaranteed[other] || other != rank
	}
}
