package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// mostInterval bounds the time between two load reports for which an instance
	// is dealt places in advance: after a longer silence nothing is known of what
	// frees.
	mostInterval = time.Second
	// dealtFor is how long places hold without another report: after it each
	// instance goes by what it knows itself, as where no lease holder is known.
	dealtFor = 1500 * time.Millisecond
	// Horizon is the time for whose arrivals a server's places are dealt, together
	// with what waits: as long as a report takes to bring what others sent.
	Horizon = 500 * time.Millisecond
	// leastHeld bounds, in seconds, how short a request is taken to hold its slot.
	leastHeld = 0.001
	// arrivalsMemory is how long an arrival counts toward a target's rate.
	arrivalsMemory = 2 * time.Second
)

// dealing is an instance's part of a server that more requests wait for, over all
// instances, than it takes. It is for many instances with queues before few
// replicas: each that sent one request as a report showed room, or as a replica
// came, together sent a server of 12 slots two hundred, which it refused.
type dealing struct {
	instances  int       // that there are; places are dealt where a server has fewer
	contending float64   // requests of all instances that wait for what the server serves
	residents  int       // targets that it served when places were last dealt
	limited    bool      // more wait than it takes until the next report
	places     int       // where limited: requests that this instance may send it until then
	at         time.Time // of the last report
	interval   time.Duration
}

// told returns how many requests contend for the server's places, 0 where they
// aren't dealt out.
func (d *dealing) told() int {
	if !d.limited {
		return 0
	}
	return int(d.contending)
}

// deal draws the instance's part of the places that a server has until the next
// report: those free now and those that will free. Of all that wait, each
// instance gets places in proportion to its own; since that is mostly less than
// one, it is drawn, so that the instances together send as many as there is room
// for.
func (s *serverState) deal(now time.Time, rng *rand.Rand) {
	d := &s.dealing
	d.residents = len(s.residents)
	d.limited = d.contending > 0 && d.instances > s.Slots && !s.fast() // what waits for a fast one is gone by the next report
	if !d.limited {
		return
	}
	own := s.wanted(now)
	places := max(float64(s.Slots)-s.load(now)+s.frees(d.interval), 0)
	if max(d.contending, own) <= places {
		d.limited = false
		return
	}
	share := places * own / d.contending
	d.places = int(math.Floor(share + rng.Float64()))
}

// wanted returns how many of this instance's requests want what the server serves
// within Horizon, each counted in equal parts at all that serve it.
func (s *serverState) wanted(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.residents {
		sum += r.target.wanted(now) / float64(len(r.target.replicas))
	}
	return sum
}

// wanted returns how many requests for the target wait, or will come within Horizon.
func (t *targetState) wanted(now time.Time) float64 {
	return float64(t.queue.len()) + t.arrivals.rate(now)*Horizon.Seconds()
}

// Spread deals out what is wanted of targets, in equal parts, over the servers
// that serve them.
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
	a.count = a.count*math.Exp(-now.Sub(a.at).Seconds()/arrivalsMemory.Seconds()) + 1
	a.at = now
}

// rate returns arrivals a second.
func (a *arrivals) rate(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.at).Seconds()/arrivalsMemory.Seconds()) / arrivalsMemory.Seconds()
}

// frees estimates how often a slot of a full server frees within a time.
func (s *serverState) frees(within time.Duration) float64 {
	held := unknownService
	if s.pool.held.warm() {
		held = s.pool.held.mean
	}
	return float64(s.Slots) * within.Seconds() / max(held, leastHeld)
}

// contended takes in how many requests of all instances wait for what the server
// serves, and deals anew.
func (s *serverState) contended(now time.Time, waiting int, rng *rand.Rand) {
	d := &s.dealing
	if !d.at.IsZero() {
		d.interval = min(now.Sub(d.at), mostInterval)
	}
	d.at, d.contending = now, float64(waiting)
	s.deal(now, rng)
}
