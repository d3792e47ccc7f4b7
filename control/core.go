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

// appendRetryDelay is the pause after a failed append. The appender itself
// waits for the log, so the pause only prevents a tight loop.
const appendRetryDelay = 500 * time.Millisecond

// poll is a request for a server's status.
type poll struct {
	server string
	addr   string
}

// outgoingOrder is an order to send to a server.
type outgoingOrder struct {
	server   string
	addr     string
	order    infra.Order
	byHolder bool // sent by the lease holder; otherwise sent to restore a server while the log is down
	unfenced bool // the engine ignores fencing tokens
}

// query asks an orderer for the offset up to which it has applied the control
// stream (see Controller.Applied).
type query struct {
	instance   infra.Instance
	joinOffset infra.Offset // of the orderer's join; the answer is valid only for this join
}

// actions are the operations that a step of core requests.
type actions struct {
	lease           *LeaseAppend
	member          []*record.Record // one batch: this instance's leave and join as an orderer
	records         []*record.Record // one batch: assignments, or observations of servers and orderers
	polls           []poll
	orders          []outgoingOrder
	queries         []query  // to orderers, for their applied offsets
	collectPartners []string // partners whose store limits to collect, along with demand; nil: collect nothing
}

// core is the state machine behind a Controller: for one entry instance it
// decides on the failure domain's lease, assignments and orders. It does no I/O,
// reads no clock and is used by a single goroutine.
type core struct {
	self    string
	domain  string
	limits  Limits
	log     logrus.FieldLogger
	metrics *expvar.Map
	rng     *rand.Rand
	planner Planner

	lease      *LeaseKeeper
	member     membership
	limiter    *loadLimiter
	view       *replay.ControlView
	otherViews map[string]*replay.ControlView
	list       *fleet.List
	cfg        *config.Config
	entryIDs   []string         // the domain's live entry instances, from the platform's list
	engines    []infra.Instance // the domain's backend servers, from the platform's list
	logDown    bool             // the log can't be read now

	listedAt time.Time // when this instance last saw itself on the list
	idle     bool      // none of this instance's orders is in flight
	applied  infra.Offset

	servers        map[string]*server
	missingReports map[string]time.Time // by server: when ReportMissing was last called for it
	confirmations  map[string]confirmation
	queriedAt      map[string]time.Time // by orderer: when it was last queried
	unlistedSince  map[string]time.Time // by orderer: when it was first seen off the list

	takenOverLease infra.Offset // the lease for which takeOver last ran; 0: not the holder
	appending      bool         // an append of actions.records is in flight
	awaitedOffset  infra.Offset // no new batch is appended until the view reaches this offset
	retryAt        time.Time
	planData       planData
	collectAt      time.Time
	collecting     bool
	planAt         time.Time
	planDataReady  bool // planData was collected at least once
}

func newCore(o Options, now time.Time) *core {
	limits := o.Limits.withDefaults()
	return &core{
		self: o.Instance, domain: o.FailureDomain, limits: limits,
		log: o.Log, metrics: o.Metrics, rng: o.Random, planner: o.Planner,
		lease: NewLeaseKeeper(LeaseOptions{
			Holder: o.Instance, Duration: limits.Lease, MaxClockDrift: limits.MaxClockDrift, Stagger: limits.ClaimStagger, RetryDelay: appendRetryDelay,
		}),
		member:         membership{instance: o.Instance, started: now, lateOrderWindow: limits.LateOrderWindow},
		limiter:        newLoadLimiter(),
		servers:        map[string]*server{},
		missingReports: map[string]time.Time{},
		confirmations:  map[string]confirmation{},
		queriedAt:      map[string]time.Time{},
		unlistedSince:  map[string]time.Time{},
	}
}

// inputs are the data that core reads at each step.
type inputs struct {
	view       *replay.ControlView
	otherViews map[string]*replay.ControlView
	list       *fleet.List
	cfg        *config.Config
	logDown    bool
	idle       bool         // none of this instance's orders is in flight
	applied    infra.Offset // the result of Controller.Applied
}

// step updates the state from the inputs and returns the actions to carry out.
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
	c.expireMissingReports(now)
	a.member = c.member.next(now, c.view, c.shouldOrder(), c.idle)
	if c.lease.Holds(now, c.limits.OrderFlight) {
		c.takeOver()
		c.stepHolder(now, &a)
		return a
	}
	c.takenOverLease = 0
	if c.logDown {
		c.restore(now, &a)
	}
	return a
}

// observe updates the state with the inputs that changed since the last step.
func (c *core) observe(now time.Time, in inputs) {
	c.otherViews, c.cfg, c.logDown = in.otherViews, in.cfg, in.logDown
	c.idle, c.applied = in.idle, in.applied
	changed := in.view != c.view || in.list != c.list
	if in.view != nil && in.view != c.view {
		c.view = in.view
		c.lease.Observe(now, in.view.Offset, in.view.Lease)
		c.observeAssignments(now)
	}
	if in.list != nil && in.list != c.list {
		c.list = in.list
		c.entryIDs = instanceIDs(in.list.Entries(c.domain))
		c.engines = domainEngines(in.list, c.domain)
		if _, listed := in.list.Get(c.self); listed {
			c.listedAt = in.list.ReadAt
		}
	}
	if changed && c.list != nil {
		c.observeList()
	}
}

func (c *core) observeAssignments(now time.Time) {
	for id, want := range c.view.Servers {
		c.server(id).observeAssignment(now, want)
	}
}

// observeList updates addresses and the times since which servers and orderers
// are off the list. These times come from when the list was read, not from the
// clock: while the list isn't read again, nothing counts as absent for longer.
func (c *core) observeList() {
	for _, instance := range c.engines {
		s := c.server(instance.ID)
		s.addr, s.listedAsLeaving = instance.Addr, instance.State != infra.StateLive
	}
	for id, s := range c.servers {
		if _, listed := c.list.Get(id); listed {
			s.unlistedSince = time.Time{}
			continue
		}
		if s.unlistedSince.IsZero() {
			s.unlistedSince = c.list.ReadAt
		}
		if c.view != nil && c.view.Servers[id] == nil {
			delete(c.servers, id)
		}
	}
	if c.view != nil {
		c.observeOrderers()
	}
}

// observeOrderers updates the times since which orderers are off the list and
// discards the state of orderers that have left.
func (c *core) observeOrderers() {
	left := func(instance string) bool {
		_, joined := c.view.Orderers[instance]
		return !joined
	}
	maps.DeleteFunc(c.unlistedSince, func(instance string, _ time.Time) bool { return left(instance) })
	maps.DeleteFunc(c.queriedAt, func(instance string, _ time.Time) bool { return left(instance) })
	maps.DeleteFunc(c.confirmations, func(instance string, _ confirmation) bool { return left(instance) })
	for instance := range c.view.Orderers {
		if _, listed := c.list.Get(instance); listed {
			delete(c.unlistedSince, instance)
		} else if _, known := c.unlistedSince[instance]; !known {
			c.unlistedSince[instance] = c.list.ReadAt
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

func instanceIDs(instances []infra.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.ID)
	}
	return out
}

// domainEngines returns a failure domain's backend servers on the list, by id.
func domainEngines(list *fleet.List, domain string) []infra.Instance {
	return list.Select(func(i infra.Instance) bool {
		return i.Role == infra.RoleEngine && i.FailureDomain == domain
	})
}

// rank returns this instance's rank for the topic among the domain's live entry
// instances (0 is first), and whether it is one of them.
func (c *core) rank(topic string) (int, bool) {
	return rendezvous.Rank(topic+"/"+c.domain, c.entryIDs, c.self), slices.Contains(c.entryIDs, c.self)
}

// shouldOrder reports whether this instance should be an orderer: the lease
// holder and the domain's first Limits.MaxOrderers instances by rank are.
func (c *core) shouldOrder() bool {
	rank, live := c.rank("orderer")
	return live && (rank < c.limits.MaxOrderers || c.lease.ID() != 0)
}

func (c *core) ignoresFence(pool string) bool {
	if c.cfg == nil {
		return true // the stricter rule while the configuration isn't known
	}
	p, known := c.cfg.Pools[pool]
	return !known || p.IgnoresFence
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *core) increment(metric string) { c.metrics.Add(metric, 1) }
