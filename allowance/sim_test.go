package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"greengageferry/topology"
)

// simBounds are the bounds of the deployment that named allowances first.
var simBounds = topology.AllowanceBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 17000}

const simAccount = "acct"

// simStep is the step of time; events happen at the next one.
const simStep = 10 * time.Millisecond

// sim replays one account's requests at many instances, with the messages between them and
// the lease holder lost, late and doubled, and with instances cut off and killed.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	limit     topology.Allowance
	accounts  *topology.Accounts
	instances []*simInstance
	holders   []*simHolder // the newest last
	events    []simEvent   // in order of time
	newTerm   int64
	draws     int
	syncs     int
	noDraws   bool          // requests don't ask the lease holder
	latency   time.Duration // one way, at most
	loss      float64       // fraction of messages lost
	double    float64       // fraction of messages that come twice

	used    []simUse // what ran
	refused int
	judged  int // requests within the allowance, of which refused are a part

	central   float64 // level of one bucket of the rate and the burst, which says what is within the allowance
	centralAt time.Time
}

type simUse struct {
	at    time.Time
	units float64
}

type simInstance struct {
	name     string
	meter    *Meter
	starts   int64
	cut      bool // from lease holders outside its part
	down     bool
	nextSync time.Time
}

type simHolder struct {
	allocator *Allocator
	until     time.Time // when it learns that it lost the lease; zero: it holds it
	down      bool
}

type simEvent struct {
	at time.Time
	do func()
}

func newSim(seed uint64, n int, limit topology.Allowance) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), limit: limit, latency: 20 * time.Millisecond}
	s.setLimit(limit)
	for i := range n {
		x := &simInstance{name: fmt.Sprint("i", i)}
		s.instances = append(s.instances, x)
		s.restart(x)
	}
	s.elect()
	return s
}

func (s *sim) setLimit(limit topology.Allowance) {
	s.limit = limit
	x, err := topology.NewAccounts([]topology.Account{{Name: simAccount, Allowance: limit}})
	if err != nil {
		panic(err) // the test names only valid accounts
	}
	s.accounts = x
}

// restart starts an instance anew, with nothing remembered.
func (s *sim) restart(x *simInstance) {
	x.starts++
	x.down = false
	x.meter = NewMeter(s.now.Add(time.Duration(x.starts)), rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	x.meter.SetBounds(simBounds)
	x.nextSync = s.now.Add(time.Duration(s.rng.Float64() * float64(s.syncInterval())))
}

func (s *sim) syncInterval() time.Duration {
	return min(max(time.Duration(len(s.instances))*6*time.Millisecond, 200*time.Millisecond), 500*time.Millisecond)
}

// elect makes a new lease holder. The one before goes on for up to a lease's time.
func (s *sim) elect() {
	for _, h := range s.holders {
		if h.until.IsZero() {
			h.until = s.now.Add(time.Duration(s.rng.Float64() * float64(1200*time.Millisecond)))
		}
	}
	s.newTerm++
	s.holders = append(s.holders, &simHolder{allocator: NewAllocator(s.now, s.newTerm, len(s.instances))})
}

// holder returns the holder that the instance reaches, nil if there is none.
func (s *sim) holder(x *simInstance) *simHolder {
	if x.cut {
		return nil
	}
	var reachable []*simHolder
	for _, h := range s.holders {
		if !h.down && (h.until.IsZero() || s.now.Before(h.until)) {
			reachable = append(reachable, h)
		}
	}
	if len(reachable) == 0 {
		return nil
	}
	return reachable[s.rng.IntN(len(reachable))] // some still know the one before
}

func (s *sim) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), do})
	sort.SliceStable(s.events, func(i, j int) bool { return s.events[i].at.Before(s.events[j].at) })
}

func (s *sim) delay() time.Duration { return time.Duration(s.rng.Float64() * float64(s.latency)) }

// exchange sends a report and applies the answer, if neither is lost. answered is called
// then.
func (s *sim) exchange(x *simInstance, r Report, answered func()) {
	h := s.holder(x)
	if h == nil || s.rng.Float64() < s.loss {
		return
	}
	r.Instance = x.name
	sent, start := s.now, x.starts
	arrive := func() {
		if h.down {
			return
		}
		g := h.allocator.Handle(s.now, simBounds, s.accounts, r)
		if s.rng.Float64() < s.loss {
			return
		}
		s.after(s.delay(), func() {
			if x.starts == start && !x.down {
				x.meter.Apply(sent, g)
				answered()
			}
		})
	}
	s.after(s.delay(), arrive)
	if s.rng.Float64() < s.double {
		s.after(10*s.delay(), arrive)
	}
}

// request sends one request to an instance.
func (s *sim) request(x *simInstance, units float64) {
	if x.down {
		return
	}
	within := s.within(units)
	d := x.meter.Admit(s.now, simAccount, s.limit, units)
	if d.Verdict != DrawFirst || s.noDraws {
		if d.Verdict == DrawFirst {
			d.Verdict = Exceeded
		}
		s.record(d, units, within)
		return
	}
	s.draws++
	start := x.starts
	answered := false
	s.exchange(x, x.meter.ReportAccount(s.now, simAccount, units), func() { answered = true })
	s.after(2*s.latency+3*simStep, func() {
		if x.starts != start || x.down {
			return
		}
		if !answered {
			x.meter.DrawFailed(s.now)
		}
		s.record(x.meter.Redecide(s.now, simAccount, s.limit, units), units, within)
	})
}

// within reports whether a request is within the allowance: whether one central bucket would
// admit it.
func (s *sim) within(units float64) bool {
	s.central = min(s.central+s.limit.PerSecond*s.now.Sub(s.centralAt).Seconds(), s.limit.Burst)
	s.centralAt = s.now
	if s.central < units {
		return false
	}
	s.central -= units
	return true
}

func (s *sim) record(d Decision, units float64, within bool) {
	if within {
		s.judged++
	}
	if d.Verdict == Admitted {
		s.used = append(s.used, simUse{s.now, units})
		return
	}
	if within {
		s.refused++
	}
}

// run advances the time by d. rate returns the units a second that an instance is asked for.
func (s *sim) run(d time.Duration, cost func() float64, rate func(i int) float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.do()
		}
		for i, x := range s.instances {
			if x.down {
				continue
			}
			if !s.now.Before(x.nextSync) {
				s.syncs++
				s.exchange(x, x.meter.Report(s.now, s.accounts), func() {})
				x.nextSync = s.now.Add(s.syncInterval())
			}
			for units := rate(i) * simStep.Seconds(); units > 0; {
				c := cost()
				if s.rng.Float64()*c >= units { // a request that begins in this step
					break
				}
				s.request(x, c)
				units -= c
			}
		}
	}
}

// mostInWindow returns the most units that ran in a window, and the total.
func (s *sim) mostInWindow() (most, total float64) {
	sort.SliceStable(s.used, func(i, j int) bool { return s.used[i].at.Before(s.used[j].at) })
	first, sum := 0, 0.0
	for _, u := range s.used {
		sum += u.units
		total += u.units
		for !s.used[first].at.After(u.at.Add(-simBounds.Window)) {
			sum -= s.used[first].units
			first++
		}
		most = math.Max(most, sum)
	}
	return most, total
}

// allowed returns the most units that may run in a window.
func allowed(a topology.Allowance) float64 {
	return (a.PerSecond*simBounds.Window.Seconds()+a.Burst)*(1+simBounds.Overage) + simBounds.Slack
}

// exponentialCost returns a function that draws requests' units, of the given mean, at most
// four times that.
func exponentialCost(rng *rand.Rand, mean float64) func() float64 {
	return func() float64 { return math.Round(min(50+rng.ExpFloat64()*(mean-50), 4*mean)) }
}
