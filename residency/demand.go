package residency

import (
	"maps"
	"math"
	"slices"
	"time"

	"greengageferry/decide"
	"greengageferry/topology"
)

const (
	// leastMemory and mostMemory bound how long a target's past demand counts.
	// Demand moves to other models within some five seconds; a replica that goes
	// idle is given this long before its place is another's.
	leastMemory = 2 * time.Second
	mostMemory  = 4 * time.Second
	// rateMemory is how long a request counts toward its target's rate.
	rateMemory = 3 * time.Second
	// workMemory is how long a request counts toward the work that its target
	// asks for.
	workMemory = 2 * time.Second
	// usualHold stands in for the time that a request holds its place until it
	// is known, in seconds.
	usualHold = 1.0
	// holdMemory is how long that time is remembered.
	holdMemory = 10 * time.Second
	// ratePart is the part of a target's rate, by the mean time that requests
	// hold a place, that counts as demand whatever is in flight: a target whose
	// requests are refused has little in flight, and must not lose its replicas
	// for that.
	ratePart = 0.7
	// forgottenDemand is the demand, in requests at once, below which a target
	// counts as not asked for.
	forgottenDemand = 0.02
)

// Asked is what instances said was asked of a target.
type Asked struct {
	Requests int           // since they last said so
	Waiting  int           // now
	InFlight int           // now
	Work     time.Duration // of a whole server, that the requests take; 0: not known
}

// Load is what a server has in flight.
type Load struct {
	InFlight int // requests
	Unread   int // prompt tokens of those that have no first token yet
	// Contending is how many requests of all instances, this one included, want
	// what the server serves, in equal parts at all that serve it.
	Contending int
}

// Demand follows what is asked for, over all instances. It is not safe for
// concurrent use.
type Demand struct {
	targets   map[string]*targetDemand
	instances map[string]*instanceDemand
	memory    time.Duration
	hold      float64 // seconds that a request holds its place, over all targets
	begun     time.Time
	updated   time.Time
}

// Word is what an instance says to the lease holder.
type Word struct {
	Instance  string
	Domain    string                 // its failure domain
	Addr      string                 // IP:port for other instances
	Cores     float64                // of processor that it may use
	Asked     map[string]Asked       // by target
	Loads     map[string]Load        // by server
	StoreDown bool                   // it doesn't reach the platform's store
	Version   int64                  // of the configuration in force there
	Leaving   []topology.ServerStart // servers whose answers said that they are leaving

	Rates []decide.RateReport // of servers that name a rate limit

	HeldDigest uint64 // of what it knows that servers hold beyond their entries
	Candidates uint64 // digest of the candidates that it knows
	Stands     bool   // it takes part in who may order
}

// instanceDemand is what one instance last said.
type instanceDemand struct {
	at      time.Time
	member  Member
	asked   map[string]Asked
	loads   map[string]Load
	cutOff  bool  // it didn't reach the platform's store
	version int64 // of the configuration in force there
}

// targetDemand is a target's demand, over all instances.
type targetDemand struct {
	level   float64 // requests at once, at servers or waiting: rises at once, and falls slowly
	waiting int
	arrived float64   // requests, those of rateMemory ago weighing 1/e
	work    float64   // seconds of a whole server that requests took, those of workMemory ago weighing 1/e
	last    time.Time // when it was last asked for
}

// NewDemand returns a demand without any target.
func NewDemand() *Demand {
	return &Demand{targets: map[string]*targetDemand{}, instances: map[string]*instanceDemand{}, memory: mostMemory, hold: usualHold}
}

// SetMemory sets how long a target's past demand counts.
func (d *Demand) SetMemory(m time.Duration) { d.memory = m }

// instanceGone is how long after its last word an instance counts as gone: five
// of its words.
const instanceGone = 2500 * time.Millisecond

// Said takes in what an instance says.
func (d *Demand) Said(now time.Time, w Word) {
	member := Member{Name: w.Instance, Domain: w.Domain, Addr: w.Addr, Cores: w.Cores}
	d.instances[w.Instance] = &instanceDemand{at: now, member: member, asked: w.Asked, loads: w.Loads, cutOff: w.StoreDown, version: w.Version}
	for name, a := range w.Asked {
		if a.Requests > 0 || a.Waiting > 0 {
			t := d.target(name)
			t.last = now
			t.arrived += float64(a.Requests)
			t.work += a.Work.Seconds()
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
	if d.begun.IsZero() {
		d.begun, d.updated = now, now
	}
	passed := now.Sub(d.updated).Seconds()
	d.updated = now
	d.learnHold(now, sums, passed)
	keep := math.Exp(-passed / d.memory.Seconds())
	keepWork := math.Exp(-passed / workMemory.Seconds())
	keepRate := math.Exp(-passed / rateMemory.Seconds())
	for name, t := range d.targets {
		sum := sums[name]
		t.waiting = sum.Waiting
		t.arrived *= keepRate
		t.work *= keepWork
		current := max(float64(sum.Waiting+sum.InFlight), t.arrived/d.window(now)*d.hold*ratePart)
		t.level = max(current, t.level*keep+current*(1-keep))
		if t.level < forgottenDemand && now.Sub(t.last) > d.memory {
			delete(d.targets, name)
		}
	}
}

// window returns the seconds that the counts of requests stand for: rateMemory,
// and less while that has not passed yet. A new lease holder would take the few
// requests it was told of for a low rate, their holding time for several times
// what it is, and every model for one that lacks replicas.
func (d *Demand) window(now time.Time) float64 {
	age := max(now.Sub(d.begun), leastWindow)
	return rateMemory.Seconds() * (1 - math.Exp(-age.Seconds()/rateMemory.Seconds()))
}

// leastWindow is the shortest time for which a rate is worked out: one word of
// each instance.
const leastWindow = time.Second

// learnHold takes in how long requests hold a place: those that do, by the rate
// at which they come.
func (d *Demand) learnHold(now time.Time, sums map[string]Asked, passed float64) {
	held, arrived := 0.0, 0.0
	for _, s := range sums {
		held += float64(s.InFlight)
	}
	for _, t := range d.targets {
		arrived += t.arrived
	}
	if arrived < 1 || held < 1 || now.Sub(d.begun) < leastWindow {
		return
	}
	keep := math.Exp(-passed / holdMemory.Seconds())
	d.hold = d.hold*keep + held/(arrived/d.window(now))*(1-keep)
}

// Level returns how many requests at once a target has lately had, waiting ones
// included.
func (d *Demand) Level(target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.level
	}
	return 0
}

// Rate returns how many requests a second a target was lately asked for.
func (d *Demand) Rate(now time.Time, target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.arrived / d.window(now)
	}
	return 0
}

// Work returns how many servers a target lately kept busy, or would have.
func (d *Demand) Work(target string) float64 {
	if t := d.targets[target]; t != nil {
		return t.work / workMemory.Seconds()
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
		out[i.member.Domain]++
	}
	return out
}

// AllSaid says whether every live instance has spoken since a time, and so has
// been told what the lease holder knew then.
func (d *Demand) AllSaid(since time.Time) bool {
	for _, i := range d.instances {
		if !i.at.After(since) {
			return false
		}
	}
	return true
}

// Version returns the newest version of the configuration that a live instance
// has in force.
func (d *Demand) Version() int64 {
	newest := int64(0)
	for _, i := range d.instances {
		newest = max(newest, i.version)
	}
	return newest
}

// Candidates returns the instances that should take part in who may order.
func (d *Demand) Candidates() Candidates {
	members := make([]Member, 0, len(d.instances))
	for _, i := range d.instances {
		members = append(members, i.member)
	}
	return chooseCandidates(members)
}

// Positions returns each live instance's place among all, from 0.
func (d *Demand) Positions() map[string]int {
	out := make(map[string]int, len(d.instances))
	for n, name := range slices.Sorted(maps.Keys(d.instances)) {
		out[name] = n
	}
	return out
}

// Names returns the live instances.
func (d *Demand) Names() []string { return slices.Collect(maps.Keys(d.instances)) }

// wordAge is how old an instance's word may be to be trusted that it doesn't
// reach the store: less than a new lease holder waits before its first order,
// and more than the time between two words.
const wordAge = 800 * time.Millisecond

// CutOff says whether each of the instances has just said that it doesn't reach
// the store. One that is silent may reach it.
func (d *Demand) CutOff(now time.Time, names []string) bool {
	for _, name := range names {
		i := d.instances[name]
		if i == nil || !i.cutOff || now.Sub(i.at) > wordAge {
			return false
		}
	}
	return len(names) > 0
}

// Wanted returns how many requests wait for each target over all instances, or
// will come within a time.
func (d *Demand) Wanted(now time.Time, within time.Duration) map[string]float64 {
	out := make(map[string]float64, len(d.targets))
	for name := range d.targets {
		out[name] = d.Rate(now, name) * within.Seconds()
	}
	for _, i := range d.instances {
		for name, a := range i.asked {
			out[name] += float64(a.Waiting)
		}
	}
	return out
}

// Loads is what servers have in flight over all instances, at a moment.
type Loads struct {
	sum  map[string]Load            // by server
	said map[string]map[string]Load // what each instance's part of it is

	contending map[string]float64 // by server
}

// Loads returns what servers have in flight now, beside what wants them.
func (d *Demand) Loads(contending map[string]float64) Loads {
	out := Loads{contending: contending, sum: map[string]Load{}, said: make(map[string]map[string]Load, len(d.instances))}
	for name, i := range d.instances {
		out.said[name] = i.loads
		for server, l := range i.loads {
			sum := out.sum[server]
			sum.InFlight += l.InFlight
			sum.Unread += l.Unread
			out.sum[server] = sum
		}
	}
	return out
}

// Others returns what the instances beside one have, by server. That one knows
// its own exactly, and the sum holds what it said some time ago: taken off where
// it is now, its own changes since would count as the others'.
func (l Loads) Others(instance string) map[string]Load {
	own := l.said[instance]
	out := make(map[string]Load, len(l.sum))
	for server, sum := range l.sum {
		part := own[server]
		out[server] = Load{InFlight: sum.InFlight - part.InFlight, Unread: sum.Unread - part.Unread}
	}
	for server, n := range l.contending {
		load := out[server]
		load.Contending = int(n + 0.5)
		out[server] = load
	}
	return out
}
