package residency

import (
	"maps"
	"slices"
	"time"

	"greengageferry/topology"
)

const (
	// replicaFill is the part of a server's batch that one model's requests may
	// take before another replica helps at all: below it a server isn't busy.
	replicaFill = 0.12
	// busyPart is how much of a server the work that a model asks for may take
	// before another replica helps. With replicaFill, from 0.6 and 0.20 to 0.45 and
	// 0.12, it raised what was served of 60 played days of moving demand from 70 to
	// 72 in 100 by worth.
	busyPart = 0.45
	// shareSlack is how many servers a model gets for each server's worth of the
	// pool's whole demand that it has. All models of a server share its batch, so
	// what counts is that each server's sum can be made equal: with 1 that needs
	// a perfect fit, and with more than 2 the places run out.
	shareSlack = 1.5
	// spareMargin is how much less demand each of a model's replicas must have,
	// after one of them is gone, than each replica of the model that gets its
	// place, where no model has more than it wants: a noisy count mustn't move
	// models back and forth.
	spareMargin = 0.4
	// retireLeast is how long after all instances have been told that a model goes
	// it is unloaded: they have to take the word in, and what they sent before
	// has to arrive. Requests that reach the server later are refused, and most
	// may be sent to no other. retireMost bounds the wait for an instance that is
	// silent.
	retireLeast = 100 * time.Millisecond
	retireMost  = 1100 * time.Millisecond
	// maxRetiring is the part of a pool's servers that may be exchanging a model
	// at once: meanwhile they serve less.
	maxRetiring = 0.4
	// rareLevel is the demand, in requests at once, below which a model's last
	// replica may be moved for a model that overflows its servers: with more than
	// overflow of a batch for each of its replicas.
	rareLevel = 1.5
	overflow  = 0.7
	// learning is how long a new lease holder unloads nothing: until then it has
	// not heard from all instances what is asked for, and everything seems idle.
	learning = 1200 * time.Millisecond
	// copyLevel is the demand, in requests at once, for which an adapter gets
	// one more copy where places are free.
	copyLevel = 1.0
	// limitPart is the part of a server's rate limit up to which the models that only
	// it holds are left to it: requests don't come evenly.
	limitPart = 0.6
	// loadBurst is how many loads from the weight store may begin at once, and
	// burstTime the time whose loads may come on top where the rate is high: the
	// platform allows three, and a tenth of five seconds' worth.
	loadBurst = 3.0
	burstTime = 400 * time.Millisecond
	// loadPart is the part of the weight store's rate that is used: the platform
	// judges loads when they begin, which may be later than ordered.
	loadPart = 0.9
	// maxQuestions bounds the questions for servers' states at once: a new holder
	// asks each server once.
	maxQuestions = 32
	// askAgain is when a server that didn't say its state is asked again.
	askAgain = time.Second
)

// Planner decides about orders. It does no I/O, and its answer is a function of
// what it was told. It is not safe for concurrent use.
type Planner struct {
	servers map[string]*server
	config  *topology.Config
	demand  *Demand
	budgets map[string]*loadBudget // by service
	limits  map[string]float64     // requests a second, by server that names a rate limit
	begun   time.Time              // when the first plan was made
	lacking []Lack                 // of the last plan
}

// loadBudget is how many loads from the weight store may begin now, for one
// service.
type loadBudget struct {
	tokens float64
	filled time.Time
}

// fill gives the budget its due at a rate of loads a second.
func (b *loadBudget) fill(now time.Time, rate float64) {
	if !b.filled.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*rate*loadPart, loadBurst+rate*burstTime.Seconds())
	}
	b.filled = now
}

// NewPlanner returns a planner for a new lease: it begins without loads to
// spend, since the holder before may just have spent them.
func NewPlanner(demand *Demand) *Planner {
	return &Planner{servers: map[string]*server{}, demand: demand, budgets: map[string]*loadBudget{}}
}

// SetRateLimits takes in the requests a second that servers which name a rate limit
// take, by server.
func (p *Planner) SetRateLimits(limits map[string]float64) { p.limits = limits }

// Update takes in the deployment as it is now.
func (p *Planner) Update(now time.Time, v *topology.View) {
	if p.config != v.Config {
		p.config = v.Config
		p.demand.SetMemory(memoryFor(v.Config))
	}
	listed := map[string]bool{}
	for _, e := range v.Servers {
		listed[e.ID] = true
		s := p.servers[e.ID]
		if s == nil {
			s = &server{Server: e, entry: e}
			p.servers[e.ID] = s
		}
		s.update(now, e)
	}
	for id := range p.servers {
		if !listed[id] {
			delete(p.servers, id)
		}
	}
}

// memoryFor returns how long past demand counts: a replica that goes idle is worth
// keeping for as long as loading it again would take, and a bit more.
func memoryFor(c *topology.Config) time.Duration {
	longest := time.Duration(0)
	if c != nil {
		for _, s := range c.Services {
			if s.Engine == nil {
				continue
			}
			for _, m := range s.Engine.Models {
				longest = max(longest, m.LoadTime)
			}
		}
	}
	return min(max(longest*3/2, leastMemory), mostMemory)
}

// Plan returns the orders to send now, at most one for each server. Each has to
// be answered by Done.
func (p *Planner) Plan(now time.Time) []Order {
	if p.config == nil {
		return nil
	}
	p.demand.Update(now)
	if p.begun.IsZero() {
		p.begun = now
	}
	p.lacking = p.lacking[:0]
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(p.config.Services)) {
		service := p.config.Services[name]
		if service.Engine == nil {
			continue
		}
		w := p.pool(now, &service)
		out = append(out, w.planAdapters()...)
		out = append(out, w.planModels()...)
	}
	for _, o := range out {
		s := p.servers[o.Server]
		s.sending, s.pending = true, &o
	}
	return out
}

// Done takes in how an order went: its result, or none and whether it may yet
// be carried out.
func (p *Planner) Done(now time.Time, o Order, r Result, mayHappen bool) {
	s := p.servers[o.Server]
	if s == nil {
		return
	}
	s.sending, s.pending = false, nil
	switch {
	case r == Accepted || r == AlreadySo && o.Adapter != "" && o.Unload: // an unused adapter goes at once
		s.accepted(now, o, p.patience(s, o))
	default:
		s.refused(now, o, mayHappen)
	}
}

// Unsure returns the servers, as orders without a model, whose state isn't
// known and has to be asked for. Each has to be answered by Said or Silent.
func (p *Planner) Unsure(now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		if len(out) < maxQuestions && p.config != nil && p.config.Services[s.Service].Engine != nil && s.unsure(now) {
			s.sending = true
			out = append(out, Order{Server: id, Addr: s.Addr})
		}
	}
	return out
}

// Said takes in a server's state.
func (p *Planner) Said(now time.Time, id string, st State) {
	if s := p.servers[id]; s != nil {
		s.said(now, st)
	}
}

// Silent takes in that a server did not say its state.
func (p *Planner) Silent(now time.Time, id string) {
	if s := p.servers[id]; s != nil {
		s.sending, s.quiet = false, now.Add(askAgain)
	}
}

// patience returns how long an accepted order for a model is waited for.
func (p *Planner) patience(s *server, o Order) time.Duration {
	if o.Unload {
		return unloadPatience
	}
	service := p.config.Services[s.Service]
	if service.Engine == nil {
		return 0
	}
	for _, m := range service.Engine.Models {
		if m.Name == o.Model {
			return loadPatience * m.LoadTime
		}
	}
	return 0
}

// Held returns how what servers hold differs from their entries.
func (p *Planner) Held() topology.HeldList {
	var out []topology.Held
	for _, s := range p.servers {
		out = append(out, s.beyond()...)
	}
	return topology.NewHeldList(out)
}
