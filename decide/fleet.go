package decide

import (
	"slices"
	"strings"
	"time"

	"greengageferry/infra"
)

// serverState is what an instance knows of a backend server beyond the table.
type serverState struct {
	Server
	listed    bool
	noQueue   bool       // see Table.NoServerQueue
	own       int        // this instance's requests there: exact
	unread    int        // prompt tokens of those that have no first token yet
	suspects  int        // of these, requests that may crash a server
	residents []resident // what can be served there
	pool      *poolState

	part         float64 // this instance's part of the slots if all instances ask for them
	window       float64 // how many requests this instance may have there now
	report       infra.Load
	reportedAt   time.Time
	ownThen      int     // own when the report was made
	unreadThen   int     // unread when the report was made
	others       float64 // mean of the other instances' requests there
	othersUnread float64 // mean of the other instances' unread prompt tokens there

	errors   average // part of its answers that were its own failures
	speed    average // its time for a piece of work against what the target usually takes
	failures int     // in a row
	refusals int     // in a row
	lacks    int     // targets that it said it lacks, in a row
	retryAt  time.Time
	pausedTo time.Time // latest end of the pauses that it asked for; see Failure.RetryAfter

	quota      quota
	rateLimit  limitState
	domain     *domainState
	emptyStart string    // the start that lost what it held
	emptyTo    time.Time // until then it is taken to hold nothing
}

// poolState is what an instance knows of a pool.
type poolState struct {
	speed    float64 // mean of its servers' speed
	engine   enginePerformance
	slots    int // of one of its servers
	service  serviceTimes
	budget   retryBudget
	held     average // seconds that an attempt held its slot, however it ended
	total    int     // this instance's requests there
	inFlight []int   // this instance's requests there, by partnerState.index
}

// holdTime returns the seconds that an attempt holds its slot in the mean, or what
// stands in for them until enough have.
func (p *poolState) holdTime() float64 {
	if p.held.warm() {
		return p.held.mean
	}
	return defaultServiceTime
}

// resident is a target that a server can serve.
type resident struct {
	target  *targetState
	replica int // index into target.replicas
}

// partnerState is what an instance knows of a partner.
type partnerState struct {
	index  int
	weight float64 // its part of contended capacity
	queued int
}

// replicaState is a replica with what was learned on the way there.
type replicaState struct {
	server    *serverState
	version   string
	unreadyTo time.Time // it said that it doesn't have the target
	bounces   int       // in a row
}

// targetState is what an instance knows of a target.
type targetState struct {
	*Target
	partner  *partnerState
	pool     *poolState     // nil: not known
	replicas []replicaState // own failure domain's first
	near     int            // how many of them are in the own failure domain
	queue    queue
	inFlight int
	service  serviceTimes
	arrivals arrivals
	returns  returns
}

// fleet holds the states that outlive a table.
type fleet struct {
	servers  map[string]*serverState
	targets  map[string]*targetState
	ordered  []*targetState // by name, so that equal inputs give equal decisions
	pools    map[string]*poolState
	partners map[string]*partnerState
	everyone []*partnerState // the partners, by index
	domains  map[string]*domainState
}

func newFleet() fleet {
	return fleet{
		servers:  map[string]*serverState{},
		targets:  map[string]*targetState{},
		pools:    map[string]*poolState{},
		partners: map[string]*partnerState{},
		domains:  map[string]*domainState{},
	}
}

// set takes in a table and returns the targets that it no longer has.
func (f *fleet) set(now time.Time, t *Table) (gone []*targetState) {
	listed := f.setServers(now, t)
	for _, p := range f.pools {
		p.budget.setPolicy(t.Retry)
	}
	f.ordered = f.ordered[:0]
	for _, name := range sortedNames(t.Targets) {
		f.ordered = append(f.ordered, f.setTarget(t, t.Targets[name], listed))
	}
	for name, ts := range f.targets {
		if t.Targets[name] == nil {
			gone = append(gone, ts)
			delete(f.targets, name)
		}
	}
	slices.SortFunc(gone, func(a, b *targetState) int { return strings.Compare(a.Name, b.Name) })
	return gone
}

func (f *fleet) setServers(now time.Time, t *Table) []*serverState {
	for _, s := range f.servers {
		s.listed = false
		s.residents = s.residents[:0]
	}
	instances := CountInstances(t.Entries)
	listed := make([]*serverState, len(t.Servers))
	for i, srv := range t.Servers {
		s := f.servers[srv.ID]
		if s == nil {
			s = &serverState{}
			f.servers[srv.ID] = s
		}
		if s.Start != srv.Start {
			s.rateLimit, s.pausedTo = limitState{}, time.Time{} // a restart resets both
		}
		s.Server, s.listed, s.noQueue = srv, true, t.NoServerQueue
		s.Slots = max(s.Slots, 1)
		s.pool, s.domain = f.pool(srv.Pool), f.domain(srv.FailureDomain)
		s.pool.slots = s.Slots
		s.setFairShare(t.Entries[srv.FailureDomain])
		s.quota.instances = instances
		listed[i] = s
	}
	for id, s := range f.servers {
		// A pause also applies to a server that is listed again before it ends.
		if !s.listed && s.own == 0 && !now.Before(s.pausedTo) {
			delete(f.servers, id)
		}
	}
	return listed
}

func (f *fleet) setTarget(t *Table, target *Target, listed []*serverState) *targetState {
	ts := f.targets[target.Name]
	if ts == nil {
		ts = &targetState{}
		f.targets[target.Name] = ts
	}
	ts.Target = target
	ts.partner = f.partner(target.Partner)
	if target.Pool != "" {
		ts.pool = f.pool(target.Pool)
	}
	ts.partner.weight = weightOf(t, target.Partner)
	old := ts.replicas
	ts.replicas = make([]replicaState, 0, len(target.Replicas))
	for _, near := range []bool{true, false} {
		for _, r := range target.Replicas {
			if s := listed[r.Server]; (s.FailureDomain == t.OwnDomain) == near {
				s.residents = append(s.residents, resident{ts, len(ts.replicas)})
				ts.replicas = append(ts.replicas, keepBounces(old, s, r.Version))
			}
		}
		if near {
			ts.near = len(ts.replicas)
		}
	}
	return ts
}

// keepBounces returns the replica's state, with what was learned of it before.
func keepBounces(old []replicaState, s *serverState, version string) replicaState {
	for i := range old {
		if old[i].server == s && old[i].version == version {
			return old[i]
		}
	}
	return replicaState{server: s, version: version}
}

func (f *fleet) pool(name string) *poolState {
	p := f.pools[name]
	if p == nil {
		p = &poolState{speed: 1, budget: newRetryBudget()}
		f.pools[name] = p
	}
	return p
}

func (f *fleet) partner(name string) *partnerState {
	p := f.partners[name]
	if p == nil {
		p = &partnerState{index: len(f.partners), weight: 1}
		f.partners[name] = p
		f.everyone = append(f.everyone, p)
	}
	return p
}

// share returns how much of the pool the partner has through this instance, by
// its weight.
func (p *poolState) share(partner *partnerState) float64 {
	if partner.index >= len(p.inFlight) {
		return 0
	}
	return float64(p.inFlight[partner.index]) / partner.weight
}

// standing is how a partner's part of a pool compares with the others'.
type standing int

// The standings. A partner that nobody contends with is even.
const (
	under standing = iota - 1
	even
	over
)

// standing compares the partner's part of the pool, by its weight, with those of
// the other partners that ask for something there.
func (p *poolState) standing(all []*partnerState, partner *partnerState) standing {
	mine := p.share(partner)
	st := even
	for _, other := range all {
		theirs := p.share(other)
		switch {
		case other == partner || theirs == 0 && other.queued == 0:
		case theirs < mine:
			return over
		case theirs > mine:
			st = under
		}
	}
	return st
}

func (p *poolState) count(partner *partnerState, n int) {
	for partner.index >= len(p.inFlight) {
		p.inFlight = append(p.inFlight, 0)
	}
	p.inFlight[partner.index] += n
	p.total += n
}

func weightOf(t *Table, partner string) float64 {
	if w := t.Weights[partner]; w > 0 {
		return w
	}
	return 1
}

// replica returns the target's state at a server, or nil.
func (t *targetState) replica(s *serverState) *replicaState {
	for i := range t.replicas {
		if t.replicas[i].server == s {
			return &t.replicas[i]
		}
	}
	return nil
}

// available reports whether the server is neither paused nor in backoff after failures.
func (s *serverState) available(now time.Time) bool {
	return !now.Before(s.retryAt) && !now.Before(s.pausedTo)
}

// pauseFor pauses requests to the server for d. It never shortens a pause.
func (s *serverState) pauseFor(now time.Time, d time.Duration) {
	if to := now.Add(d); to.After(s.pausedTo) {
		s.pausedTo = to
	}
}

// remainingPause returns the seconds until the first pause of the target's servers ends,
// 0 unless all of them are paused. Unlisted and leaving servers don't count.
func (t *targetState) remainingPause(now time.Time) float64 {
	least := 0.0
	for i := range t.replicas {
		s := t.replicas[i].server
		if !s.listed || s.Leaving {
			continue
		}
		left := s.pausedTo.Sub(now).Seconds()
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// backIn returns the seconds until some replica may be tried again, if none can
// be used now; a long time where none is known to come back.
func (t *targetState) backIn(now time.Time) float64 {
	back := maxRetryAfter.Seconds()
	for i := range t.replicas {
		r := &t.replicas[i]
		if r.server.listed && !r.server.Leaving {
			back = min(back, max(r.unreadyTo.Sub(now), r.server.retryAt.Sub(now), r.server.pausedTo.Sub(now), 0).Seconds())
		}
	}
	return back
}
