package residency

import (
	"math"
	"time"
)

const (
	// demandMemory is how long a target's past demand counts. Demand moves to
	// other models within some five seconds; a replica that goes idle is given
	// this long before its place is another's.
	demandMemory = 8 * time.Second
	// forgottenDemand is the demand, in requests at once, below which a target
	// counts as not asked for.
	forgottenDemand = 0.02
)

// Asked is what instances said was asked of a target.
type Asked struct {
	Requests int // since they last said so
	Waiting  int // now
	InFlight int // now
}

// Demand follows what is asked for, over all instances. It is not safe for
// concurrent use.
type Demand struct {
	targets   map[string]*targetDemand
	instances map[string]*instanceDemand
}

// instanceDemand is what one instance last said.
type instanceDemand struct {
	at     time.Time
	domain string
	asked  map[string]Asked
	loads  map[string]int
}

// targetDemand is a target's demand, over all instances.
type targetDemand struct {
	level   float64 // requests at once, at servers or waiting: rises at once, and falls slowly
	waiting int
	at      time.Time // when level was last brought up to date
	last    time.Time // when it was last asked for
}

// NewDemand returns a demand without any target.
func NewDemand() *Demand {
	return &Demand{targets: map[string]*targetDemand{}, instances: map[string]*instanceDemand{}}
}

// instanceGone is how long after its last word an instance counts as gone: five
// of its words.
const instanceGone = 2500 * time.Millisecond

// Said takes in what an instance says.
func (d *Demand) Said(now time.Time, instance, domain string, asked map[string]Asked, loads map[string]int) {
	d.instances[instance] = &instanceDemand{at: now, domain: domain, asked: asked, loads: loads}
	for name, a := range asked {
		if a.Requests > 0 || a.Waiting > 0 {
			d.target(name).last = now
		}
	}
}

func (d *Demand) target(name string) *targetDemand {
	t := d.targets[name]
	if t == nil {
		t = &targetDemand{}
		d.targets[name] = t
	}
	return t
}

// Update brings all levels up to date.
func (d *Demand) Update(now time.Time) {
	sums := map[string]Asked{}
	for name, i := range d.instances {
		if now.Sub(i.at) > instanceGone {
			delete(d.instances, name)
			continue
		}
		for target, a := range i.asked {
			s := sums[target]
			s.Waiting += a.Waiting
			s.InFlight += a.InFlight
			sums[target] = s
		}
	}
	for name := range sums {
		d.target(name)
	}
	for name, t := range d.targets {
		sum := sums[name]
		t.waiting = sum.Waiting
		current := float64(sum.Waiting + sum.InFlight)
		keep := math.Exp(-now.Sub(t.at).Seconds() / demandMemory.Seconds())
		t.level = max(current, t.level*keep+current*(1-keep))
		t.at = now
		if t.level < forgottenDemand && now.Sub(t.last) > demandMemory {
			delete(d.targets, name)
		}
	}
}

// Level returns how many requests at once a target has lately had, waiting ones
// included.
func (d *Demand) Level(target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.level
	}
	return 0
}

// Waiting returns how many requests wait for a target now.
func (d *Demand) Waiting(target string) int {
	if t := d.targets[target]; t != nil {
		return t.waiting
	}
	return 0
}

// LastAsked returns when a target was last asked for, zero if not lately.
func (d *Demand) LastAsked(target string) time.Time {
	if t := d.targets[target]; t != nil {
		return t.last
	}
	return time.Time{}
}

// Instances returns how many instances live, by failure domain.
func (d *Demand) Instances() map[string]int {
	out := map[string]int{}
	for _, i := range d.instances {
		out[i.domain]++
	}
	return out
}

// Loads returns the requests in flight by server, over all instances.
func (d *Demand) Loads() map[string]int {
	out := map[string]int{}
	for _, i := range d.instances {
		for server, n := range i.loads {
			out[server] += n
		}
	}
	return out
}
