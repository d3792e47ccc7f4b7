// Package entry implements an entry instance, the process that takes in requests. An
// Instance creates the components of the other packages, runs them as supervised duties
// (long-running goroutines, see package supervise) and shuts them down in order. All
// instances run the same duties; the log and the platform's instance list decide which one
// holds a failure domain's lease or writes a shard's claims.
package entry

import (
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"greengageferry/caller"
	"greengageferry/claims"
	"greengageferry/control"
	"greengageferry/decide"
	"greengageferry/demand"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/peer"
	"greengageferry/replay"
	"greengageferry/settings"
	"greengageferry/traffic"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Log       infra.Log
	Instances infra.Instances
	Store     infra.WeightStore
	Engine    infra.Engine
	Services  infra.Services
}

// Options configures an Instance. Settings and Log are required.
type Options struct {
	Settings *settings.Settings
	Platform Platform // zero: HTTP clients for the addresses in Settings
	Version  string   // program version, for configuration verdicts and the status
	Log      logrus.FieldLogger
	Rand     *rand.Rand // nil: seeded at random
	Dial     Dial       // connects to peers, and to the platform unless Platform is set; nil: TCP
}

// Instance is an entry instance.
type Instance struct {
	opts         Options
	log          logrus.FieldLogger
	metrics      *expvar.Map
	shuttingDown atomic.Bool

	watcher          *fleet.Watcher
	writer           *logsync.Writer
	configStream     *logsync.Follower[replay.ConfigView]
	quarantineStream *logsync.Follower[replay.QuarantineView]
	configTracker    *configTracker
	controlFollowers *controlFollowers
	tableBuilder     *tableBuilder
	table            atomic.Pointer[decide.Table]
	quarantine       *logQuarantine
	caller           *caller.Server
	meter            *demand.Meter
	loads            *demand.Loads
	collector        *demand.Collector
	peers            *peer.Client
	peerTraffic      *traffic.Counters
	states           *peer.StateFetcher
	missingReports   *missingReports
	cachePoller      *cachePoller
	batchers         *claims.Batchers
	claimer          *claims.Client
	controller       atomic.Pointer[control.Controller]

	listeners map[string]*listener
}

// New creates the instance's components and listens on its addresses. Run starts the
// duties.
func New(opts Options) (*Instance, error) {
	i := &Instance{
		opts:    opts,
		log:     opts.Log.WithField("instance", opts.Settings.Instance.ID),
		metrics: new(expvar.Map),
	}
	if opts.Platform == (Platform{}) {
		i.opts.Platform = httpPlatform(opts.Settings, opts.Dial)
	}
	i.wireList()
	i.wirePeers()
	i.wireStreams()
	i.wireClaims()
	i.wireDemand()
	i.wireMissingReports()
	if err := i.wireCaller(); err != nil {
		return nil, err
	}
	i.wireRouting()
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

// listen opens the listeners for callers, peers and operators.
func (i *Instance) listen() error {
	s := i.opts.Settings.Listen
	addresses := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", s.Callers.String(), i.caller.Handler()},
		{"peers", s.Peers.String(), i.peersHandler()},
		{"operators", s.Operators.String(), i.operatorsHandler()},
	}
	i.listeners = map[string]*listener{}
	for _, a := range addresses {
		l, err := listen(a.name, a.addr, a.handler)
		if err != nil {
			return err
		}
		i.listeners[a.name] = l
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		_ = l.net.Close() // nothing has been served on the listener
	}
}

// CallersAddr returns the address that callers send requests to, as IP:port.
func (i *Instance) CallersAddr() string { return i.listeners["callers"].addr() }

// PeersAddr returns the address for other instances, as IP:port.
func (i *Instance) PeersAddr() string { return i.listeners["peers"].addr() }

// OperatorsAddr returns the address for operators, as IP:port.
func (i *Instance) OperatorsAddr() string { return i.listeners["operators"].addr() }

// domainOf returns the failure domain of an instance, or "" if the list does not have the
// instance.
func (i *Instance) domainOf(id string) string {
	listed, _ := i.watcher.List().Get(id)
	return listed.FailureDomain
}

// Ready reports whether a load balancer may send callers to this instance.
func (i *Instance) Ready() bool { return len(i.notReadyReasons()) == 0 }
