package residency

import (
	"maps"
	"slices"
	"time"

	"greengageferry/topology"
)

const (
	// replicaBatchShare is the share of a server's batch that one model's requests may
	// take before another replica helps at all; below it a server isn't busy.
	replicaBatchShare = 0.12
	// replicaWorkShare is the share of a server's time that a model's work may take
	// before another replica helps.
	replicaWorkShare = 0.45
	// serverShareSlack is how many servers a model may get for each server that its
	// share of the pool's total demand amounts to. All models on a server share its
	// batch, so the sums of all servers must come out equal: with 1 that needs a
	// perfect fit, and with more than 2 the servers run out of memory for models.
	serverShareSlack = 1.5
	// evictionMargin bounds the demand of each remaining replica of a model that loses
	// one, relative to the demand per replica of the model that replaces it, when no
	// model has more replicas than desired. Without a margin, noise in the counts would
	// move models back and forth.
	evictionMargin = 0.4
	// minDrainTime is how long a model drains after all instances have been told,
	// before it is unloaded: instances have to process the answer, and requests already
	// sent have to arrive. Requests that reach the server later are refused, and most
	// of them may not be sent to another server. maxDrainTime bounds the wait for an
	// instance that doesn't report.
	minDrainTime = 100 * time.Millisecond
	maxDrainTime = 1100 * time.Millisecond
	// maxDrainingShare is the share of a pool's servers that may be replacing a model
	// at once; they serve less meanwhile.
	maxDrainingShare = 0.4
	// rareDemand is the demand, in concurrent requests, below which a model's last
	// replica may be evicted for an overloaded model: one whose demand exceeds
	// overloadShare of a batch for each of its replicas.
	rareDemand    = 1.5
	overloadShare = 0.7
	// unloadHoldoff is how long a new lease holder unloads nothing. Until then it has
	// not received reports from all instances, and every model seems idle.
	unloadHoldoff = 1200 * time.Millisecond
	// demandPerCopy is the demand, in concurrent requests, for which an adapter gets
	// one more copy if adapter slots are free.
	demandPerCopy = 1.0
	// rateLimitShare is the share of a server's rate limit up to which models that only
	// this server holds are left to it; requests don't arrive evenly.
	rateLimitShare = 0.6
	// loadBurst is how many loads from the weight store may start at once. At high
	// rates, the loads of loadBurstTime are added: the platform allows three loads and
	// a tenth of five seconds' worth.
	loadBurst     = 3.0
	loadBurstTime = 400 * time.Millisecond
	// loadRateShare is the share of the weight store's rate that is used. The platform
	// counts a load when it starts, which may be later than it was ordered.
	loadRateShare = 0.9
	// maxStateQueries bounds the state queries in one round; a new holder queries each
	// server once.
	maxStateQueries = 32
	// stateRetryDelay is the wait before the state of a server that didn't report it is
	// queried again.
	stateRetryDelay = time.Second
)

// Planner decides which orders to send. It does no I/O, and its decisions depend only
// on its inputs. It is not safe for concurrent use.
type Planner struct {
	servers   map[string]*server
	config    *topology.Config
	demand    *DemandTracker
	budgets   map[string]*loadBudget // by service
	limits    map[string]float64     // requests per second, by server that states a rate limit
	startedAt time.Time              // when the first plan was made
	shortages []Shortage             // of the newest plan
	// unservedSince is since when requests have waited for a model that no server serves, by
	// target.
	unservedSince map[string]time.Time
}

// loadBudget is a token bucket for the loads from the weight store of one service.
type loadBudget struct {
	tokens        float64
	overdueTokens float64 // loads of overdue models that may precede others; see overdueLoadShare
	refilledAt    time.Time
}

// refill adds the tokens that have accrued at the given rate.
func (b *loadBudget) refill(now time.Time, loadsPerSecond float64) {
	if !b.refilledAt.IsZero() {
		elapsed := now.Sub(b.refilledAt).Seconds()
		b.overdueTokens = min(b.overdueTokens+elapsed*loadsPerSecond*overdueLoadShare, overdueBurst)
		b.tokens = min(b.tokens+elapsed*loadsPerSecond*loadRateShare, loadBurst+loadsPerSecond*loadBurstTime.Seconds())
	}
	b.refilledAt = now
}

// NewPlanner returns a planner for a new lease. Its load budget starts empty, since the
// previous holder may have just spent it.
func NewPlanner(demand *DemandTracker) *Planner {
	return &Planner{servers: map[string]*server{}, demand: demand, budgets: map[string]*loadBudget{}, unservedSince: map[string]time.Time{}}
}

// SetRateLimits sets the rate limits that servers state, in requests per second by
// server.
func (p *Planner) SetRateLimits(limits map[string]float64) { p.limits = limits }

// Update sets the current view of the deployment.
func (p *Planner) Update(now time.Time, v *topology.View) {
	if p.config != v.Config {
		p.config = v.Config
		p.demand.SetDecayTime(decayTimeFor(v.Config))
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

// decayTimeFor returns the time constant with which past demand decays: an idle replica
// is worth keeping for somewhat longer than loading it again would take.
func decayTimeFor(c *topology.Config) time.Duration {
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
	return min(max(longest*3/2, minDecayTime), maxDecayTime)
}

// Plan returns the orders to send now, at most one for each server. Each must be
// followed by a call of HandleOrderResult.
func (p *Planner) Plan(now time.Time) []Order {
	if p.config == nil {
		return nil
	}
	p.demand.Update(now)
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.shortages = p.shortages[:0]
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
		s.callInFlight, s.orderInFlight = true, &o
	}
	return out
}

// HandleOrderResult processes the outcome of an order. Without a result, mayExecute
// says whether the server may still execute the order.
func (p *Planner) HandleOrderResult(now time.Time, o Order, r Result, mayExecute bool) {
	s := p.servers[o.Server]
	if s == nil {
		return
	}
	void := s.endCall()
	switch {
	case void:
		s.orderFailed(now, o, mayExecute)
	case r == Accepted || r == AlreadyApplied && o.Adapter != "" && o.Unload: // unloading an unused adapter takes no time
		s.orderAccepted(now, o, p.completionTimeout(s, o))
	default:
		s.orderFailed(now, o, mayExecute)
	}
}

// StateQueries returns the servers whose state must be queried, as orders without a
// model. Each must be followed by a call of HandleReport or HandleReportFailure.
func (p *Planner) StateQueries(now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		if len(out) < maxStateQueries && p.config != nil && p.config.Services[s.Service].Engine != nil && s.needsStateQuery(now) {
			s.callInFlight = true
			out = append(out, Order{Server: id, Addr: s.Addr})
		}
	}
	return out
}

// HandleReport processes the state that a server reports.
func (p *Planner) HandleReport(now time.Time, id string, st State) {
	if s := p.servers[id]; s != nil {
		s.handleState(now, st)
	}
}

// HandleReportFailure records that a server didn't report its state.
func (p *Planner) HandleReportFailure(now time.Time, id string) {
	if s := p.servers[id]; s != nil {
		s.endCall()
		s.idleUntil = now.Add(stateRetryDelay)
	}
}

// completionTimeout returns how long to wait until an accepted order for a model is
// executed.
func (p *Planner) completionTimeout(s *server, o Order) time.Duration {
	if o.Unload {
		return unloadTimeout
	}
	service := p.config.Services[s.Service]
	if service.Engine == nil {
		return 0
	}
	for _, m := range service.Engine.Models {
		if m.Name == o.Model {
			return loadTimeoutFactor * m.LoadTime
		}
	}
	return 0
}

// Held returns how the models and adapters held by servers differ from the servers'
// entries.
func (p *Planner) Held() topology.HeldList {
	var out []topology.Held
	for _, s := range p.servers {
		out = append(out, s.heldChanges()...)
	}
	return topology.NewHeldList(out)
}
