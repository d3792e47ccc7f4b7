// Package instance runs one instance of the system on the users' platform.
//
// An Instance follows the operators' configuration and the backend servers' entries in
// the platform's store, relays callers' requests, and competes for the lease whose holder
// decides which models the servers hold. The syncer reports demand, load and server state
// to the lease holder and applies its summary of all instances. The holderLocator decides
// which instance to report to. The learner asks other instances while nothing confirms what
// this one knows. The serverList is read from the store or copied from another instance.
// The frontend serves callers, health checks and metrics.
package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/netconn"
	"greengageferry/relay"
	"greengageferry/residency"
	"greengageferry/supervise"
	"greengageferry/topology"
)

// Options configures an Instance. All fields must be set unless noted otherwise.
type Options struct {
	Node    *topology.Node
	Source  topology.Source
	Headers relay.Headers
	Group   residency.Group
	Counts  CountStore
	// Quarantines may be nil: quarantines end with the last instance that knows of them.
	Quarantines QuarantineStore
	Orderer     residency.Orderer
	Clock       residency.Clock
	Log         logrus.FieldLogger
	Rand        *rand.Rand
	Dial        netconn.DialFunc // opens connections to servers for callers' requests; nil: netconn.Dial
}

// Instance is one instance of the system. Create it with New and start it with Run.
type Instance struct {
	opts     Options
	node     atomic.Pointer[topology.Node] // the newest settings; opts.Node has those from the start
	log      logrus.FieldLogger
	relay    *relay.Relay
	metrics  *metrics
	frontend *frontend
	servers  *serverList
	delay    schedDelay

	allowances *allowances
	suspects   *suspects
	origins    *origins
	forwards   *relay.ForwardServer // serves other instances

	lease      *residency.Lease
	controller *residency.Controller

	savedInstances atomic.Int64 // number of instances that the store had kept; 0: not known

	mu                sync.Mutex
	view              topology.View           // its fields are replaced, never modified in place
	listed            []topology.Server       // the servers as described by their entries
	leaving           topology.LeavingServers // the servers whose answers or entries said that they are leaving
	storeDown         bool
	storeAnsweredAt   time.Time            // when the store last answered
	storeFailedAt     time.Time            // when the store last failed to answer
	orderingAt        time.Time            // when a lease holder last reported that it may order
	peerStatus        peerStatus           // last reported by the lease holder or a candidate
	peers             []string             // addresses of the candidates, as last reported by the lease holder
	candidates        residency.Candidates // of which peers are the addresses
	otherPeers        []string             // addresses of further instances, none of peers; see notePeers
	cancelConfigRead  context.CancelFunc   // cancels the configuration read in progress; nil: none
	configReadBeganAt time.Time            // when the configuration read in progress began
	// configConfirmedAt is when the store last confirmed, to this instance or to one that
	// reported it, that the configuration in force was the newest; zero: never.
	configConfirmedAt time.Time
	loggedGap         configGap            // last logged, see noteConfigBehind
	gapReports        int                  // reports of loggedGap
	era               int64                // newest known era of the store, 0: none
	eraWarned         int64                // the known era when a missing or older one was last logged
	viewChanged       chan struct{}        // signaled after the view changed; buffers one signal
	limits            chan topology.Limits // those of the first configuration, for the frontend
}

// New returns an instance that does nothing until Run is called.
func New(o Options) *Instance {
	m := newMetrics()
	i := &Instance{
		opts: o, log: o.Log, metrics: m,
		viewChanged: make(chan struct{}, 1),
		limits:      make(chan topology.Limits, 1),
		servers:     newServerList(o.Log),
		delay:       schedDelay{log: o.Log},
	}
	i.allowances = newAllowances(i)
	i.allowances.meter.SetBounds(o.Node.Allowances)
	i.suspects = newSuspects(i)
	i.origins = newOrigins(i)
	i.relay = relay.New(relay.Options{
		Headers: o.Headers, Log: o.Log, Metrics: m, Rand: o.Rand, Dial: o.Dial, Peers: i.knownPeers, Addr: o.Node.PeerAddr,
		OnLeaving: i.addLeavingServer, Trust: i.configTrust, Allowances: i.allowances, Quarantine: i.suspects, Origins: i.origins,
	})
	i.forwards = i.relay.NewForwardServer(exchange.NewExchangeServer(exchangeServer{i}))
	i.relay.SetMemoryLimit(heldLimit(o.Node))
	i.frontend = newFrontend(i)
	i.node.Store(o.Node)
	i.view.LoadOnDemand = true
	i.view.InstancesByDomain = map[string]int{o.Node.Domain: assumedInstancesPerDomain}
	for _, domain := range o.Node.Domains {
		i.view.InstancesByDomain[domain] = assumedInstancesPerDomain
	}
	i.lease = residency.NewLease(o.Group, memberName(o.Node, time.Now()), o.Node.LeaseTTL, o.Clock, o.Log)
	// The store may leave a read unanswered while it answers others. Without a restart
	// such a read hides a new configuration until its timeout of 4.8 s.
	i.lease.OnRecovery(func() { i.restartConfigRead(0) })
	i.lease.OnEra(func(era int64) { i.observeEra(era, "store") })
	i.lease.OnPreviousHolder(newTokenClient(i).ask)
	i.registerGauges()
	i.controller = residency.NewController(residency.Options{
		Holder: o.Node.Name, Lease: i.lease, Orderer: o.Orderer, View: i.currentView, CountOrder: m.countOrder, Spread: i.relay.Spread, Log: o.Log,
	})
	return i
}

// SetNode replaces the settings. The instance's name and addresses stay as they were at
// startup.
func (i *Instance) SetNode(n *topology.Node) {
	i.node.Store(n)
	i.allowances.meter.SetBounds(n.Allowances)
	i.relay.SetMemoryLimit(heldLimit(n))
	i.log.Info("settings read again")
	i.mu.Lock()
	defer i.mu.Unlock()
	i.signalViewChanged()
}

// heldMemoryFraction is the fraction of an instance's memory that requests in hand may take. The
// rest is for its other state, for garbage and for the program itself.
const heldMemoryFraction = 0.3

// heldLimit returns how many bytes requests in hand may take; 0: no limit.
func heldLimit(n *topology.Node) int64 {
	return int64(float64(n.MemoryMB) * heldMemoryFraction * (1 << 20))
}

// assumedInstancesPerDomain is the assumed number of instances in each failure domain
// until the lease holder reports the actual number.
const assumedInstancesPerDomain = 3

func (i *Instance) currentView() topology.View {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view
}

// runLease is the duty that competes for the lease, and renews it, once the instance has
// a configuration and servers to decide about.
func (i *Instance) runLease(ctx context.Context) error {
	for !i.ready() {
		if !supervise.Pause(ctx, readyPollInterval) {
			return nil
		}
	}
	return i.lease.Run(ctx)
}

// readyPollInterval is how often runLease checks whether the instance is ready.
const readyPollInterval = 200 * time.Millisecond

// Run runs the instance until ctx ends, and then drains the requests in flight.
func (i *Instance) Run(ctx context.Context) error {
	// The duties outlive ctx, because requests that are being drained need the view.
	dutyCtx, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	frontend := i.frontend
	if err := frontend.listen(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		done <- supervise.Run(dutyCtx, supervise.Options{Log: i.log},
			supervise.Duty{Name: "config", Run: i.followConfig},
			supervise.Duty{Name: "servers", Run: i.followServers},
			supervise.Duty{Name: "routing", Run: i.updateRouting},
			supervise.Duty{Name: "lease", Run: i.runLease},
			supervise.Duty{Name: "terms", Run: i.lease.RunTerms},
			supervise.Duty{Name: "orders", Run: i.controller.Run},
			supervise.Duty{Name: "sync", Run: newSyncer(i).run},
			supervise.Duty{Name: "learn", Run: newLearner(i).run},
			supervise.Duty{Name: "suspects", Run: i.suspects.run},
			supervise.Duty{Name: "condemned", Run: i.suspects.condemn},
			supervise.Duty{Name: "origins", Run: i.origins.run},
			supervise.Duty{Name: "quarantines", Run: i.suspects.keep},
			supervise.Duty{Name: "paths", Run: i.relay.ProbePaths},
			supervise.Duty{Name: "count", Run: i.keepCount},
			supervise.Duty{Name: "scheduling delay", Run: i.delay.run},
			supervise.Duty{Name: "peers", Run: i.servePeers},
			supervise.Duty{Name: "callers", Run: frontend.serveCallers},
			supervise.Duty{Name: "health", Run: frontend.serveHealth},
			supervise.Duty{Name: "metrics", Run: frontend.serveMetrics},
		)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	frontend.drain()
	stopDuties()
	return <-done
}

// setConfig puts a configuration in force unless its version isn't newer than the current
// one.
func (i *Instance) setConfig(c *topology.Config) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if old := i.view.Config; old != nil && c.Version <= old.Version {
		return
	}
	i.origins.setConfig(c)
	first := i.view.Config == nil
	i.view.Config = c
	i.view.Index = topology.NewIndex(c.Routes)
	i.log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes), "services": len(c.Services)}).Info("configuration in force")
	i.signalViewChanged()
	if first {
		i.peerStatus.confirmedAt = time.Now() // the completed read confirms the version as a peer's report would
		i.limits <- c.Limits
	}
}

func (i *Instance) setServers(servers []topology.Server) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listed = servers
	i.updateServers(time.Now())
}

// addLeavingServer records a server whose answer said that it is leaving. This instance
// sends it no new requests from then on, and reports it in the next Sync call.
func (i *Instance) addLeavingServer(s topology.ServerStart) {
	i.addLeavingServers([]topology.ServerStart{s})
}

// addLeavingServers records servers whose answers, to this or another instance, said that
// they are leaving.
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

// updateServers recomputes the view's servers from the listed and the leaving servers.
// The caller must hold mu.
func (i *Instance) updateServers(now time.Time) {
	i.leaving.AddListed(now, i.listed)
	servers := i.leaving.Mark(now, i.listed)
	i.logServerChanges(servers)
	i.view.Servers = servers
	i.view.Versions = i.origins.setServers(now, servers)
	i.view.Weights = i.origins.severalWeights(now)
	i.signalViewChanged()
}

// logServerChanges logs each server that was listed, restarted, started or stopped
// leaving, or is no longer listed. The caller must hold mu.
func (i *Instance) logServerChanges(servers []topology.Server) {
	old := make(map[string]*topology.Server, len(i.view.Servers))
	for n := range i.view.Servers {
		old[i.view.Servers[n].ID] = &i.view.Servers[n]
	}
	for n := range servers {
		s := &servers[n]
		previous := old[s.ID]
		delete(old, s.ID)
		if previous != nil && previous.Leaving == s.Leaving && previous.Born.Equal(s.Born) {
			continue
		}
		i.log.WithFields(logrus.Fields{
			"server": s.ID, "service": s.Service, "addr": s.Addr, "domain": s.Domain, "leaving": s.Leaving, "models": len(s.Models),
			"started_ms": ageMs(s.Born), "version": s.SoftwareVersion,
		}).Info("server listed")
	}
	for id, previous := range old {
		i.log.WithFields(logrus.Fields{"server": id, "started_ms": ageMs(previous.Born)}).Info("server gone")
	}
}

// signalViewChanged wakes updateRouting. The caller must hold mu, so that a newer view is
// never replaced by an older one.
func (i *Instance) signalViewChanged() {
	select {
	case i.viewChanged <- struct{}{}:
	default: // a signal is already pending
	}
}

// updateRouting is the duty that passes new views and routing tables to the relay.
func (i *Instance) updateRouting(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.viewChanged:
		}
		v := i.currentView()
		i.relay.SetView(&v, topology.BuildTable(i.opts.Node.Domain, &v, i.retryPolicy(&v)))
	}
}

// retryPolicy returns this instance's share of the retries that the platform allows all
// instances together. After all instances were killed, their number stays unknown for seconds
// in which all of them retry, unless the store has kept it.
func (i *Instance) retryPolicy(v *topology.View) decide.RetryPolicy {
	n := i.node.Load()
	count := decide.InstanceCount{Instances: int(i.savedInstances.Load()), Position: -1}
	if v.InstancesKnown {
		count = decide.InstanceCount{Instances: v.Instances(), Position: v.Position}
	}
	return decide.SharedRetries{Ratio: n.RetryRatio, Reserve: n.RetryReserve, Window: n.RetryWindow}.Policy(count)
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (i *Instance) configVersion() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.view.Config == nil {
		return 0
	}
	return i.view.Config.Version
}

// ready reports whether the instance can serve: it has a configuration and lists servers.
func (i *Instance) ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view.Config != nil && len(i.view.Servers) > 0
}
