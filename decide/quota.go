package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxQuotaInterval bounds the interval between load reports for which a quota is
	// drawn in advance. How many slots free over a longer time can't be predicted.
	maxQuotaInterval = time.Second
	// quotaTTL is how long a quota is valid without a new report. After that each
	// instance relies on its own knowledge, as it does without a lease holder.
	quotaTTL = 1500 * time.Millisecond
	// ArrivalHorizon is the time ahead for which expected arrivals, besides queued
	// requests, take part in sharing out a server's slots. It is about as long as a
	// report takes to show what other instances sent.
	ArrivalHorizon = 500 * time.Millisecond
	// minHoldTime is the shortest time, in seconds, for which a request is assumed to
	// hold its slot.
	minHoldTime = 0.001
	// arrivalTimeConstant is the time in which an arrival's weight in the arrival rate
	// decays to 1/e.
	arrivalTimeConstant = 2 * time.Second
)

// quota is an instance's part of the slots of a server for which the requests of all
// instances contend. It is for many instances that queue requests for few replicas:
// without it, instances that each sent one request when a report showed a free slot, or
// when a replica became ready, together sent 200 requests to a server of 12 slots, which
// refused them.
type quota struct {
	instances      int       // number of instances; only servers with fewer slots have quotas
	contending     float64   // requests of all instances for the server's targets
	servedTargets  int       // number of the server's targets when the quota was last drawn
	limited        bool      // contending requests exceed the slots available until the next report
	remaining      int       // if limited: requests that this instance may still send until then
	lastReportAt   time.Time // when the last load report arrived
	reportInterval time.Duration
}

// contenders returns how many requests contend for the server's slots, or 0 if there
// is no quota.
func (q *quota) contenders() int {
	if !q.limited {
		return 0
	}
	return int(q.contending)
}

// drawQuota draws the instance's part of the slots that the server has until the next
// report: those free now and those expected to become free. The part is proportional to
// the instance's fraction of all contending requests. Since it is mostly less than one,
// it is rounded at random, so that all instances together send as many requests as there
// are slots.
func (s *serverState) drawQuota(now time.Time, rng *rand.Rand) {
	q := &s.quota
	q.servedTargets = len(s.servedTargets)
	q.limited = !s.rateLimit.Named && q.contending > 0 && q.instances > s.Slots && !s.slotsFreeFast() // requests for a fast server no longer wait at the next report
	if !q.limited {
		return
	}
	own := s.demand(now)
	slots := max(float64(s.Slots)-s.load(now)+s.expectedReleases(q.reportInterval), 0)
	if max(q.contending, own) <= slots {
		q.limited = false
		return
	}
	q.remaining = int(math.Floor(slots*own/q.contending + rng.Float64()))
}

// quotaApplies reports whether a quota limits what this instance sends to the server.
func (s *serverState) quotaApplies(now time.Time) bool {
	return s.quota.limited && now.Sub(s.quota.lastReportAt) < quotaTTL
}

// demand returns the number of this instance's requests for the server's targets, queued
// or expected within ArrivalHorizon, each divided among the target's replicas by their speed.
func (s *serverState) demand(now time.Time) float64 {
	return s.sumOverTargets(func(t *targetState) float64 { return t.demand(now) })
}

// sumOverTargets adds up count over the server's targets, each divided among the target's
// replicas by their speed.
func (s *serverState) sumOverTargets(count func(*targetState) float64) float64 {
	sum := 0.0
	for _, r := range s.servedTargets {
		sum += count(r.target) * s.speed() / r.target.totalSpeed
	}
	return sum
}

// demand returns the number of requests for the target that are queued or expected
// within ArrivalHorizon.
func (t *targetState) demand(now time.Time) float64 {
	return float64(t.queue.len()) + t.arrivalRate.rate(now)*ArrivalHorizon.Seconds()
}

// SpreadOverServers divides the wanted requests, by target name, among the servers that
// have the target ready, by their speed. It returns them by server ID.
func (s *Scheduler) SpreadOverServers(wanted map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for name, n := range wanted {
		t := s.fleet.targets[name]
		if t == nil {
			continue
		}
		for i := range t.replicas {
			srv := t.replicas[i].server
			out[srv.ID] += n * srv.speed() / t.totalSpeed
		}
	}
	return out
}

// arrivalRate is an exponentially decaying estimate of the rate of arrivals.
type arrivalRate struct {
	count     float64 // arrivals weighted by age; one arrivalTimeConstant ago weighs 1/e
	countedAt time.Time
}

func (a *arrivalRate) add(now time.Time) {
	a.count, a.countedAt = a.decayed(now)+1, now
}

func (a *arrivalRate) decayed(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.countedAt).Seconds()/arrivalTimeConstant.Seconds())
}

// rate returns the arrivals per second.
func (a *arrivalRate) rate(now time.Time) float64 {
	return a.decayed(now) / arrivalTimeConstant.Seconds()
}

// expectedReleases estimates how many slots of a full server are released within a time.
func (s *serverState) expectedReleases(within time.Duration) float64 {
	return float64(s.Slots) * s.speed() * within.Seconds() / max(s.pool.holdTime(), minHoldTime)
}

// updateQuota draws a new quota, and the room by rank, given the number of requests of all instances that
// want the server's targets.
func (s *serverState) updateQuota(now time.Time, wanting int, rng *rand.Rand) {
	q := &s.quota
	if !q.lastReportAt.IsZero() {
		q.reportInterval = min(now.Sub(q.lastReportAt), maxQuotaInterval)
	}
	q.lastReportAt, q.contending = now, float64(wanting)
	if s.roomByRank {
		s.drawRankRoom(now, rng)
	}
	s.drawQuota(now, rng)
}
