// Package instance runs one instance of the system on the users' platform: it
// follows the operators' configuration and the servers' entries, relays
// callers' requests, and takes its part in deciding what the servers hold.
package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/relay"
	"greengageferry/residency"
	"greengageferry/supervise"
	"greengageferry/topology"
)

// Options is what an Instance is built from. All must be set.
type Options struct {
	Node    *topology.Node
	Source  topology.Source
	Headers relay.Headers
	Group   residency.Group
	Orderer residency.Orderer
	Clock   residency.Clock
	Log     logrus.FieldLogger
	Rand    *rand.Rand
}

// Instance is one instance of the system.
type Instance struct {
	opts    Options
	node    atomic.Pointer[topology.Node] // the newest settings
	log     logrus.FieldLogger
	relay   *relay.Relay
	metrics *metrics
	front   *front
	servers *serverList

	lease      *residency.Lease
	controller *residency.Controller

	mu           sync.Mutex
	view         topology.View           // its parts are replaced, never changed
	listed       []topology.Server       // the servers as their entries describe them
	leaving      topology.LeavingServers // the servers that said so in their answers
	storeDown    bool
	storeAt      time.Time          // when the store last answered
	storeTriedAt time.Time          // when it last didn't
	orderedAt    time.Time          // when a lease holder last said that it may order
	told         told               // by the lease holder or a candidate
	configRead   context.CancelFunc // ends the read of configurations under way; nil: none is
	configReadAt time.Time          // when it began
	// configConfirmedAt is when the store last confirmed, to this instance or to one
	// that reported it, that the configuration in force was the newest; zero: never.
	configConfirmedAt time.Time
	era               int64         // newest known era of the store, 0: none
	eraWarned         int64         // the known era when a missing or older one was last logged
	changed           chan struct{} // readable after the view changed; bears at most one signal
	limits            chan topology.Limits
}

// New returns an instance that does nothing yet.
func New(o Options) *Instance {
	m := newMetrics()
	i := &Instance{
		opts: o, log: o.Log, metrics: m,
		changed: make(chan struct{}, 1),
		limits:  make(chan topology.Limits, 1),
		servers: newServerList(),
	}
	i.relay = relay.New(relay.Options{Headers: o.Headers, Log: o.Log, Metrics: m, Rand: o.Rand, OnLeaving: i.addLeavingServer})
	i.front = newFront(i)
	i.node.Store(o.Node)
	i.view.Expected = true
	i.view.Nodes = map[string]int{o.Node.Domain: assumedInstances}
	for _, domain := range o.Node.Domains {
		i.view.Nodes[domain] = assumedInstances
	}
	i.lease = residency.NewLease(o.Group, memberName(o.Node, time.Now()), o.Node.LeaseTTL, o.Clock, o.Log)
	// Else a read that the store left unanswered, as it answered others, hides a
	// configuration until its timeout of 4.8 s.
	i.lease.OnRecovery(func() { i.restartConfigRead(0) })
	i.lease.OnEra(func(era int64) { i.observeEra(era, "store") })
	i.believe()
	i.controller = residency.NewController(residency.Options{
		Holder: o.Node.Name, Lease: i.lease, Orderer: o.Orderer, View: i.currentView, CountOrder: m.ordered, Spread: i.relay.Spread, Log: o.Log,
	})
	return i
}

// SetNode takes newer settings. The instance's name and its addresses stay what
// they were at its start.
func (i *Instance) SetNode(n *topology.Node) {
	i.node.Store(n)
	i.log.Info("settings read again")
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rebuild()
}

// assumedInstances is how many instances each failure domain is taken to have
// until the lease holder says so.
const assumedInstances = 3

func (i *Instance) currentView() topology.View {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view
}

// holdLease is the duty that takes part in who may order, once the instance
// knows what it would order about.
func (i *Instance) holdLease(ctx context.Context) error {
	for !i.ready() {
		if !supervise.Pause(ctx, readyPoll) {
			return nil
		}
	}
	return i.lease.Run(ctx)
}

// readyPoll is how often the instance looks whether it is ready.
const readyPoll = 200 * time.Millisecond

// Run runs the instance until ctx ends, and then lets what is in hand end.
func (i *Instance) Run(ctx context.Context) error {
	// The duties outlive ctx: while requests end, they still need the view.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := i.front
	if err := front.listen(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		done <- supervise.Run(inner, supervise.Options{Log: i.log},
			supervise.Duty{Name: "config", Run: i.followConfig},
			supervise.Duty{Name: "servers", Run: i.followServers},
			supervise.Duty{Name: "routing", Run: i.route},
			supervise.Duty{Name: "lease", Run: i.holdLease},
			supervise.Duty{Name: "orders", Run: i.controller.Run},
			supervise.Duty{Name: "sync", Run: newSyncer(i).run},
			supervise.Duty{Name: "peers", Run: i.servePeers},
			supervise.Duty{Name: "callers", Run: front.serve},
			supervise.Duty{Name: "health", Run: front.serveHealth},
			supervise.Duty{Name: "metrics", Run: front.serveMetrics},
		)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	front.drain()
	stop()
	return <-done
}

// setConfig takes a configuration in force, unless a newer one already is.
func (i *Instance) setConfig(c *topology.Config) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if old := i.view.Config; old != nil && c.Version <= old.Version {
		return
	}
	first := i.view.Config == nil
	i.view.Config = c
	i.view.Index = topology.NewIndex(c.Routes)
	i.log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes), "services": len(c.Services)}).Info("configuration in force")
	i.rebuild()
	if first {
		i.told.confirmedAt = time.Now() // the read that just completed confirms it as another instance would
		i.limits <- c.Limits
	}
}

func (i *Instance) setServers(servers []topology.Server) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listed = servers
	i.updateServers(time.Now())
}

// addLeavingServer records that a server's answer said that it is leaving. This instance
// sends it no new requests from then on, and reports it in the next Sync.
func (i *Instance) addLeavingServer(s topology.ServerStart) {
	i.addLeavingServers([]topology.ServerStart{s})
}

// addLeavingServers records servers whose answers, to this or another instance, said
// that they are leaving.
func (i *Instance) addLeavingServers(servers []topology.ServerStart) {
	i.mu.Lock()
	defer i.mu.Unlock()
	added, now := false, time.Now()
	for _, s := range servers {
		added = i.leaving.Add(now, s) || added
	}
	if added {
		i.updateServers(now)
	}
}

// leavingServers returns the listed servers whose answers said that they are leaving.
func (i *Instance) leavingServers() []topology.ServerStart {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving.Listed(i.listed)
}

// updateServers updates the view's servers from the list and from what is known of
// leaving servers. The lock is held.
func (i *Instance) updateServers(now time.Time) {
	servers := i.leaving.Mark(now, i.listed)
	i.logServers(servers)
	i.view.Servers = servers
	i.rebuild()
}

// logServers writes a line for each server that came, went or began to leave.
// The lock is held.
func (i *Instance) logServers(servers []topology.Server) {
	old := make(map[string]*topology.Server, len(i.view.Servers))
	for n := range i.view.Servers {
		old[i.view.Servers[n].ID] = &i.view.Servers[n]
	}
	for n := range servers {
		s := &servers[n]
		was := old[s.ID]
		delete(old, s.ID)
		if was != nil && was.Leaving == s.Leaving && was.Born.Equal(s.Born) {
			continue
		}
		i.log.WithFields(logrus.Fields{
			"server": s.ID, "service": s.Service, "addr": s.Addr, "domain": s.Domain, "leaving": s.Leaving, "models": len(s.Models),
			"started_ms": ageMs(s.Born),
		}).Info("server listed")
	}
	for id, was := range old {
		i.log.WithFields(logrus.Fields{"server": id, "started_ms": ageMs(was.Born)}).Info("server gone")
	}
}

// rebuild hands the view on. The lock is held: a view is never replaced by an older one.
func (i *Instance) rebuild() {
	select {
	case i.changed <- struct{}{}:
	default: // the routing is about to look anyway
	}
}

// route is the duty that hands new views to the relay.
func (i *Instance) route(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.changed:
		}
		v := i.currentView()
		i.relay.SetView(&v, topology.BuildTable(i.opts.Node.Domain, &v, i.retryPolicy(&v)))
	}
}

// The parts of the retries that the platform allows over all instances which
// one instance takes for itself: less than its share, since it can't know what
// the others spend.
const (
	retryRatioPart   = 0.7 // of the ratio
	retryReservePart = 0.4 // of its share of the reserve, at once
	retryTricklePart = 0.4 // of its share of the reserve, over a window
)

// retryPolicy returns this instance's part of the retries. Where nobody has counted
// the instances yet, it is that of one of as many as there may be: after all were
// killed that lasts for seconds, in which all of them repeat.
func (i *Instance) retryPolicy(v *topology.View) decide.RetryPolicy {
	n := i.node.Load()
	instances := v.Instances()
	if !v.Counted {
		instances = decide.MostInstances
	}
	share := n.RetryReserve / float64(max(instances, 1))
	return decide.RetryPolicy{
		Share:        n.RetryRatio * retryRatioPart,
		Reserve:      max(share*retryReservePart, 1),
		Trickle:      share * retryTricklePart / max(n.RetryWindow.Seconds(), 1),
		CountRefused: true,
	}
}

// storeFailed notes that the store did not answer a read.
func (i *Instance) storeFailed(read string, err error) {
	i.metrics.storeFailures.Inc()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.storeTriedAt = time.Now()
	if !i.storeDown {
		i.storeDown = true
		i.log.WithFields(logrus.Fields{"read": read, "last_answer_ms": ageMs(i.storeAt), "error": err}).Warn("store lost")
	}
}

func (i *Instance) storeAnswered() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeDown {
		i.storeDown = false
		i.log.WithField("last_answer_ms", ageMs(i.storeAt)).Info("store regained")
	}
	i.storeAt = time.Now()
}

// ageMs returns how long ago something was, in milliseconds, -1 if it never was.
func ageMs(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// configVersion returns the version of the configuration in force, 0 before the first.
func (i *Instance) configVersion() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.view.Config == nil {
		return 0
	}
	return i.view.Config.Version
}

func (i *Instance) storeIsDown() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.storeDown
}

// ready says whether the instance can serve: it knows a configuration and servers.
func (i *Instance) ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Config != nil && len(i.view.Servers) > 0
}
