package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// mostInterval bounds the time between two load reports for which a quota is
	// drawn in advance: after a longer silence nothing is known of what frees.
	mostInterval = time.Second
	// quotaFor is how long a quota holds without another report: after it each
	// instance goes by what it knows itself, as where no lease holder is known.
	quotaFor = 1500 * time.Millisecond
	// Horizon is the time for whose arrivals a server's slots are shared out,
	// together with what waits: as long as a report takes to bring what others sent.
	Horizon = 500 * time.Millisecond
	// leastHeld bounds, in seconds, how short a request is taken to hold its slot.
	leastHeld = 0.001
	// arrivalsMemory is how long an arrival counts toward a target's rate.
	arrivalsMemory = 2 * time.Second
)

// quota is an instance's part of the slots of a server that more requests want,
// over all instances, than it has. It is for many instances with queues before few
// replicas: each that sent one request as a report showed room, or as a replica
// came, together sent a server of 12 slots two hundred, which it refused.
type quota struct {
	instances  int       // that there are; quotas are for servers with fewer slots
	contending float64   // requests of all instances that want what the server serves
	residents  int       // targets that it served when the quota was last drawn
	limited    bool      // they want more than it has until the next report
	left       int       // where limited: requests that this instance may send it until then
	at         time.Time // of the last report
	interval   time.Duration
}

// contenders returns how many requests contend for the server's slots, 0 where
// there is no quota.
func (q *quota) contenders() int {
	if !q.limited {
		return 0
	}
	return int(q.contending)
}

// drawQuota draws the instance's part of the slots that the server has until the
// next report: those free now and those that will free. Each instance gets its part
// in proportion to its own requests of all that want them. That is mostly less than
// one, so it is drawn at random: together the instances send as many as there is
// room for.
func (s *serverState) drawQuota(now time.Time, rng *rand.Rand) {
	q := &s.quota
	q.residents = len(s.residents)
	q.limited = !s.rateLimit.Named && q.contending > 0 && q.instances > s.Slots && !s.slotsFreeFast() // what waits for a fast one is gone by the next report
	if !q.limited {
		return
	}
	own := s.wanted(now)
	slots := max(float64(s.Slots)-s.load(now)+s.frees(q.interval), 0)
	if max(q.contending, own) <= slots {
		q.limited = false
		return
	}
	q.left = int(math.Floor(slots*own/q.contending + rng.Float64()))
}

// wanted returns how many of this instance's requests want what the server serves
// within Horizon, each counted in equal parts at all that serve it.
func (s *serverState) wanted(now time.Time) float64 {
	return s.share(func(t *targetState) float64 { return t.wanted(now) })
}

// share adds up what count returns of each target that the server serves, in equal
// parts at all that serve it.
func (s *serverState) share(count func(*targetState) float64) float64 {
	sum := 0.0
	for _, r := range s.residents {
		sum += count(r.target) / float64(len(r.target.replicas))
	}
	return sum
}

// wanted returns how many requests for the target wait, or will come within Horizon.
func (t *targetState) wanted(now time.Time) float64 {
	return float64(t.queue.len()) + t.arrivals.rate(now)*Horizon.Seconds()
}

// Spread divides what is wanted of targets, in equal parts, among the servers that
// serve them.
func (s *Scheduler) Spread(wanted map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for name, n := range wanted {
		t := s.fleet.targets[name]
		if t == nil {
			continue
		}
		for i := range t.replicas {
			out[t.replicas[i].server.ID] += n / float64(len(t.replicas))
		}
	}
	return out
}

// arrivals follows the rate at which requests arrive.
type arrivals struct {
	count float64 // those of arrivalsMemory ago weigh 1/e
	at    time.Time
}

func (a *arrivals) add(now time.Time) {
	a.count, a.at = a.decayed(now)+1, now
}

func (a *arrivals) decayed(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.at).Seconds()/arrivalsMemory.Seconds())
}

// rate returns arrivals a second.
func (a *arrivals) rate(now time.Time) float64 {
	return a.decayed(now) / arrivalsMemory.Seconds()
}

// frees estimates how often a slot of a full server frees within a time.
func (s *serverState) frees(within time.Duration) float64 {
	return float64(s.Slots) * within.Seconds() / max(s.pool.holdTime(), leastHeld)
}

// contended takes in how many requests of all instances want what the server
// serves, and draws the instance's quota anew.
func (s *serverState) contended(now time.Time, wanting int, rng *rand.Rand) {
	q := &s.quota
	if !q.at.IsZero() {
		q.interval = min(now.Sub(q.at), mostInterval)
	}
	q.at, q.contending = now, float64(wanting)
	s.drawQuota(now, rng)
}
