// Package entry is an entry instance: it wires the duties together, supervises
// them, and ends them in order. Every instance runs the same; which one holds a
// lease or leads a shard follows from the log and the platform's list.
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

// Platform is what the platform gives, as clients.
type Platform struct {
	Log       infra.Log
	Instances infra.Instances
	Store     infra.WeightStore
	Engine    infra.Engine
	Services  infra.Services
}

// Options are what an Instance needs.
type Options struct {
	Settings *settings.Settings
	Platform Platform // zero: HTTP clients for the settings' addresses
	Version  string   // the program's, for verdicts and status
	Log      logrus.FieldLogger
	Rand     *rand.Rand // nil: seeded at random
	Dial     Dial       // how it reaches peers, and the platform unless Platform is set; nil: TCP
}

// Instance is an entry instance.
type Instance struct {
	opts    Options
	log     logrus.FieldLogger
	metrics *expvar.Map
	leaving atomic.Bool

	watcher       *fleet.Watcher
	writer        *logsync.Writer
	config        *logsync.Follower[replay.ConfigView]
	quarantined   *logsync.Follower[replay.QuarantineView]
	configuration *configuration
	domains       *domains
	routing       *routing
	table         atomic.Pointer[decide.Table]
	quarantine    *quarantine
	caller        *caller.Server
	meter         *demand.Meter
	loads         *demand.Loads
	collector     *demand.Collector
	peers         *peer.Client
	peerTraffic   *traffic.Counters
	states        *peer.StateFetcher
	missing       *missing
	hints         *hints
	batchers      *claims.Batchers
	claimer       *claims.Client
	controller    atomic.Pointer[control.Controller]

	listeners map[string]*listener
}

// New takes the instance's addresses and wires its duties. Run starts them.
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
	i.wireMissing()
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

// listen takes the instance's three addresses.
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
		_ = l.net.Close() // nothing was served on it
	}
}

// CallersAddr, PeersAddr and OperatorsAddr return the addresses that were
// taken, as IP:port.
func (i *Instance) CallersAddr() string { return i.listeners["callers"].addr() }

// PeersAddr returns the peers' address.
func (i *Instance) PeersAddr() string { return i.listeners["peers"].addr() }

// OperatorsAddr returns the operators' address.
func (i *Instance) OperatorsAddr() string { return i.listeners["operators"].addr() }

// domainOf returns a listed instance's failure domain, or "" for one that has gone.
func (i *Instance) domainOf(id string) string {
	listed, _ := i.watcher.List().Get(id)
	return listed.FailureDomain
}

// Ready says whether callers may be sent here.
func (i *Instance) Ready() bool { return len(i.notReady()) == 0 }
