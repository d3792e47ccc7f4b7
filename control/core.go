package control

import (
	"expvar"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/rendezvous"
	"greengageferry/replay"
)

// appendRetry is the pause after an append that failed: the appender itself
// waits for the log, so it is only against a tight loop.
const appendRetry = 500 * time.Millisecond

// poll asks for a server's status.
type poll struct {
	server string
	addr   string
}

// orderOut is an order to send.
type orderOut struct {
	server   string
	addr     string
	order    infra.Order
	underLog bool // sent by the lease's holder; otherwise a restoring while the log is down
	ignores  bool // the engine ignores fencing numbers
}

// ask is a question to an orderer how far it has applied.
type ask struct {
	instance infra.Instance
	joined   infra.Offset // the join that the answer is of
}

// actions are what core wants done now.
type actions struct {
	lease   *LeaseAppend
	member  []*record.Record // one batch: the own leave and join
	records []*record.Record // one batch: assignments and what was seen of servers
	polls   []poll
	orders  []orderOut
	asks    []ask    // orderers to ask how far they have applied
	gather  []string // partners: demand and store limits are wanted
}

// core decides for one entry instance about its failure domain's lease,
// assignments and orders. It does no I/O and reads no clock; it has one owner.
type core struct {
	self    string
	domain  string
	l       Limits
	log     logrus.FieldLogger
	metrics *expvar.Map
	rng     *rand.Rand
	planner Planner

	lease   *LeaseKeeper
	member  membership
	pace    *pacer
	view    *replay.ControlView
	others  map[string]*replay.ControlView
	list    *fleet.List
	cfg     *config.Config
	entries []string         // from the list: the domain's live entry instances
	engines []infra.Instance // from the list: the domain's model engines
	down    bool             // the log can't be read

	listedAt time.Time // when this instance last saw itself on the list
	idle     bool      // no own order is under way
	applied  infra.Offset

	servers  map[string]*server
	missing  map[string]time.Time // servers that own dispatches found without an assigned item
	said     map[string]confirmation
	asked    map[string]time.Time // when an orderer was last asked
	unlisted map[string]time.Time // orderers: off the list since

	held      infra.Offset // the lease whose holder the servers were looked at as
	appending bool         // a batch of records is under way
	settled   infra.Offset // no new batch before this was read
	retryAt   time.Time
	gathered  gathered
	gatherAt  time.Time
	gathering bool
	planAt    time.Time
	ready     bool // gathered at least once
}

func newCore(o Options, now time.Time) *core {
	l := o.Limits.withDefaults()
	return &core{
		self: o.Instance, domain: o.FailureDomain, l: l,
		log: o.Log, metrics: o.Metrics, rng: o.Random, planner: o.Planner,
		lease: NewLeaseKeeper(LeaseOptions{
			Holder: o.Instance, Duration: l.Lease, RateBound: l.RateBound, Stagger: l.ClaimStagger, Retry: appendRetry,
		}),
		member:   membership{instance: o.Instance, started: now, late: l.OrderLate},
		pace:     newPacer(),
		servers:  map[string]*server{},
		missing:  map[string]time.Time{},
		said:     map[string]confirmation{},
		asked:    map[string]time.Time{},
		unlisted: map[string]time.Time{},
	}
}

// inputs are what core reads at each step.
type inputs struct {
	view    *replay.ControlView
	others  map[string]*replay.ControlView
	list    *fleet.List
	cfg     *config.Config
	down    bool
	idle    bool         // no own order is under way
	applied infra.Offset // the own word on Applied
}

// step takes in the inputs and returns what to do now.
func (c *core) step(now time.Time, in inputs) actions {
	c.observe(now, in)
	var a actions
	if c.view == nil || c.list == nil {
		return a
	}
	rank, live := c.rank("lease")
	if next, ok := c.lease.Next(now, live, rank); ok {
		a.lease = &next
	}
	c.forgetMissing(now)
	a.member = c.member.next(now, c.view, c.shouldOrder(), c.idle)
	if c.lease.Holds(now, c.l.OrderFlight) {
		c.takeOver()
		c.hold(now, &a)
		return a
	}
	c.held = 0
	if c.down {
		c.restore(now, &a)
	}
	return a
}

// observe takes in what was read since the last step.
func (c *core) observe(now time.Time, in inputs) {
	c.others, c.cfg, c.down = in.others, in.cfg, in.down
	c.idle, c.applied = in.idle, in.applied
	news := in.view != c.view || in.list != c.list
	if in.view != nil && in.view != c.view {
		c.view = in.view
		c.lease.Observe(now, in.view.Offset, in.view.Lease)
		c.observeAssignments(now)
	}
	if in.list != nil && in.list != c.list {
		c.list = in.list
		c.entries = idsOf(in.list.Entries(c.domain))
		c.engines = enginesOf(in.list, c.domain)
		if _, listed := in.list.Get(c.self); listed {
			c.listedAt = in.list.ReadAt
		}
	}
	if news && c.list != nil {
		c.observeList()
	}
}

func (c *core) observeAssignments(now time.Time) {
	for id, want := range c.view.Servers {
		c.server(id).assigned(now, want)
	}
}

// observeList takes in addresses, and since when servers and orderers are off
// the list. A list that isn't read anew says nothing more as time passes.
func (c *core) observeList() {
	for _, line := range c.engines {
		s := c.server(line.ID)
		s.addr, s.leavingListed = line.Addr, line.State != infra.StateLive
	}
	for id, s := range c.servers {
		if _, listed := c.list.Get(id); listed {
			s.missingSince = time.Time{}
			continue
		}
		if s.missingSince.IsZero() {
			s.missingSince = c.list.ReadAt
		}
		if c.view != nil && c.view.Servers[id] == nil {
			delete(c.servers, id)
		}
	}
	if c.view != nil {
		c.observeOrderers()
	}
}

// observeOrderers takes in since when orderers are off the list, and forgets
// what is known of those that have left.
func (c *core) observeOrderers() {
	left := func(instance string) bool {
		_, joined := c.view.Orderers[instance]
		return !joined
	}
	maps.DeleteFunc(c.unlisted, func(instance string, _ time.Time) bool { return left(instance) })
	maps.DeleteFunc(c.asked, func(instance string, _ time.Time) bool { return left(instance) })
	maps.DeleteFunc(c.said, func(instance string, _ confirmation) bool { return left(instance) })
	for instance := range c.view.Orderers {
		if _, listed := c.list.Get(instance); listed {
			delete(c.unlisted, instance)
		} else if _, noted := c.unlisted[instance]; !noted {
			c.unlisted[instance] = c.list.ReadAt
		}
	}
}

func (c *core) server(id string) *server {
	s := c.servers[id]
	if s == nil {
		s = newServer(id)
		c.servers[id] = s
	}
	return s
}

func idsOf(instances []infra.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.ID)
	}
	return out
}

// enginesOf returns a domain's model engines on the list, by id.
func enginesOf(list *fleet.List, domain string) []infra.Instance {
	return list.Select(func(i infra.Instance) bool {
		return i.Role == infra.RoleEngine && i.FailureDomain == domain
	})
}

// rank returns this instance's place for the topic among the domain's live
// entry instances, and whether it is one of them.
func (c *core) rank(topic string) (int, bool) {
	return rendezvous.Rank(topic+"/"+c.domain, c.entries, c.self), slices.Contains(c.entries, c.self)
}

// shouldOrder says whether this instance is one of the domain's few orderers:
// the lease's holder, and the first by rank.
func (c *core) shouldOrder() bool {
	rank, live := c.rank("orderer")
	return live && (rank < c.l.Orderers || c.lease.ID() != 0)
}

func (c *core) ignoresFence(pool string) bool {
	if c.cfg == nil {
		return true // the stricter rule while it isn't known
	}
	p, known := c.cfg.Pools[pool]
	return !known || p.IgnoresFence
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *core) add(metric string) { c.metrics.Add(metric, 1) }
