package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/platform/standin"
)

// The size of the deployment: the smallest with two failure domains and a choice of
// instances and model servers in each.
const (
	instancesPerDomain     = 2
	engineServersPerDomain = 2
	plainServersPerDomain  = 1
	// heartbeatInterval is how often servers write their entries. The platform removes an
	// entry entryTTL after it stopped being written.
	heartbeatInterval = 400 * time.Millisecond
	entryTTL          = 1500 * time.Millisecond
	eventsPerStream   = 10
	eventInterval     = 10 * time.Millisecond
	serverSlots       = 8
	unframedShare     = 0.3 // of streams: without a length and chunks
	modelLoadTime     = 200 * time.Millisecond
)

// endpoint is an address that serves one server at a time, and the link to the address.
type endpoint struct {
	link        *Proxy
	domain      string
	slow        bool   // servers of models that run here take slowFactor times as long; guarded by Deployment.mu
	version     string // of the software of the servers that start here; guarded by Deployment.mu
	homeService string // the service it belongs to; faults may put a server of the other one there
	http        *http.Server

	server atomic.Pointer[standin.Server]
	down   atomic.Bool
	opts   standin.ServerOptions // of the current server; guarded by Deployment.mu
}

// Deployment consists of the store, the servers, the instances and the links between them.
// Callers use it from outside.
type Deployment struct {
	Store     *standin.Store
	Instances []*Process
	History   *History

	dir        string
	contention *contention // nil: none
	weights    *standin.Weights
	endpoints  []*endpoint
	storeHTTP  *http.Server

	mu            sync.Mutex
	configVersion int // version of the newest configuration
	serverCount   int // number of server ids given out
	probeCount    atomic.Int64
	accountTurn   atomic.Int64
	crashes       atomic.Int64    // by requests that crash servers
	brittle       standin.Brittle // of the plain servers; guarded by mu
	restartDelay  atomic.Int64    // nanoseconds until a server that crashed by a request starts again

	streamFaults activeStreamFaults
	refusals     copiedRefusals

	group sync.WaitGroup
	stop  context.CancelFunc
}

// deploymentOptions configures a Deployment.
type deploymentOptions struct {
	Binary      string // path of the executable
	OtherBinary string // path of the executable of every second instance; empty: Binary
	Run         int    // sets the addresses; concurrent deployments need different values modulo 250
	Engines     int    // servers of models in each failure domain; 0: engineServersPerDomain
	Instances   int    // in each failure domain; 0: instancesPerDomain
	Contention  *contention
	Weights     *standin.Weights // of the models; not nil: all servers have one software version
}

// newDeployment starts the store, the servers and the instances.
func newDeployment(o deploymentOptions) (_ *Deployment, err error) {
	d := &Deployment{Store: &standin.Store{}, History: newHistory(), contention: o.Contention, weights: o.Weights}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	if d.dir, err = os.MkdirTemp("", "soak-"); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := d.WriteNextConfig(); err != nil {
		return nil, err
	}
	domains := []string{"east", "west"}
	for _, domain := range domains {
		if err := d.addServers(o, domain); err != nil {
			return nil, err
		}
	}
	d.group.Go(func() { d.heartbeats(ctx) })
	addr, err := d.serveStore()
	if err != nil {
		return nil, err
	}
	if err := d.startInstances(o, domains, addr); err != nil {
		return nil, err
	}
	return d, nil
}

// addServers adds the servers of a failure domain.
func (d *Deployment) addServers(o deploymentOptions, domain string) error {
	for range cmp.Or(o.Engines, engineServersPerDomain) {
		if err := d.addEndpoint(domain, standin.ServiceEngines); err != nil {
			return err
		}
	}
	for range plainServersPerDomain {
		if err := d.addEndpoint(domain, standin.ServicePlain); err != nil {
			return err
		}
	}
	return nil
}

// startInstances starts the instances of all failure domains.
func (d *Deployment) startInstances(o deploymentOptions, domains []string, storeAddr string) error {
	for n := range cmp.Or(o.Instances, instancesPerDomain) * len(domains) {
		binary := o.Binary
		if o.OtherBinary != "" && n%2 == 1 {
			binary = o.OtherBinary
		}
		p, err := newProcess(processOptions{
			Binary: binary, Dir: d.dir, IP: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, o.Run%250, n+1),
			Name: fmt.Sprint("front-", n), Domain: domains[n%len(domains)], Domains: domains, StoreAddr: storeAddr,
		})
		if err != nil {
			return err
		}
		d.mu.Lock() // the store serves already, also who used its port before
		d.Instances = append(d.Instances, p)
		d.mu.Unlock()
	}
	for _, p := range d.Instances {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// serveStore serves the store and returns its address. In place of the instances' peer
// addresses, the store returns those of the links to the instances.
func (d *Deployment) serveStore() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	d.storeHTTP = &http.Server{Handler: standin.RewriteMemberAddrs(d.Store, d.peerLinkAddrs), ReadHeaderTimeout: time.Second}
	d.group.Go(func() { _ = d.storeHTTP.Serve(l) }) // ends when it is closed
	return l.Addr().String(), nil
}

// peerLinkAddrs maps the instances' peer addresses to the addresses of their links.
func (d *Deployment) peerLinkAddrs() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := map[string]string{}
	for _, p := range d.Instances {
		links[p.Node.PeerAddr] = p.PeerLink.Addr
	}
	return links
}

// addEndpoint opens an address and starts a server of the given service there.
func (d *Deployment) addEndpoint(domain, service string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	e := &endpoint{domain: domain, homeService: service, version: d.versionOf(len(d.endpoints))}
	e.slow = d.contention != nil && d.contention.slow == len(d.endpoints)
	e.http = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if server := e.server.Load(); !d.refusals.refuses() || !server.RefuseOnce(rw, r) {
			server.ServeHTTP(rw, standin.WithStreamFaults(r, d.streamFaults.draw()))
		}
	})}
	d.group.Go(func() { _ = e.http.Serve(refusalCopier{l.(*net.TCPListener), &d.refusals}) }) // ends when it is closed
	if e.link, err = NewProxy(l.Addr().String()); err != nil {
		return err
	}
	d.endpoints = append(d.endpoints, e)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startServer(e, "", service)
	return nil
}

// startServer starts a server that holds no models at an endpoint, under the given id or a
// new one if id is empty. The caller holds the lock.
func (d *Deployment) startServer(e *endpoint, id, service string) {
	if id == "" {
		d.serverCount++
		id = fmt.Sprintf("%s-%d", service, d.serverCount)
	}
	e.opts = standin.ServerOptions{
		ID: id, Service: service, Addr: e.link.Addr, Domain: e.domain, Slots: serverSlots, Version: e.version,
		LoadTime: modelLoadTime, StreamEvents: eventsPerStream, EventInterval: d.eventInterval(e), Observer: d.History,
		UnframedShare: unframedShare, Weights: d.weights,
	}
	switch {
	case service == standin.ServicePlain:
		e.opts.Brittle = d.brittle
	case d.contention != nil:
		e.opts.Brittle = queueing
	}
	e.opts.Fall = sync.OnceFunc(func() { d.fall(e) })
	e.opts.Crash = sync.OnceFunc(func() { d.crashAndRestart(e) })
	e.server.Store(standin.NewServer(d.Store, e.opts))
	e.down.Store(false)
	e.link.Set(LinkState{})
	if err := e.link.Reopen(); err != nil {
		panic(err) // can't happen: the socket is open and bound
	}
}

// WriteNextConfig writes the next version of the configuration to the store.
func (d *Deployment) WriteNextConfig() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion++
	d.History.addConfigVersion(d.configVersion)
	return d.Store.PutConfig(d.contention.config(d.configVersion))
}

// RewriteConfig writes the newest configuration again, as the operator does after the store
// is restored from an older copy.
func (d *Deployment) RewriteConfig() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Store.PutConfig(d.contention.config(d.configVersion))
}

// ConfigVersion returns the version of the newest configuration.
func (d *Deployment) ConfigVersion() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configVersion
}

// heartbeats writes the entries of running servers and removes expired ones until ctx ends.
func (d *Deployment) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	downSince := map[*endpoint]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, e := range d.endpoints {
				d.heartbeat(e, downSince, now)
			}
		}
	}
}

// heartbeat writes one server's entry, or removes the entry once it has expired. downSince
// holds when each crashed server was first seen down.
func (d *Deployment) heartbeat(e *endpoint, downSince map[*endpoint]time.Time, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !e.down.Load() {
		delete(downSince, e)
		e.server.Load().Heartbeat()
		return
	}
	since, ok := downSince[e]
	if !ok {
		downSince[e] = now
	} else if now.Sub(since) > entryTTL {
		e.server.Load().Remove()
	}
}

// Heal ends all faults: the store and the links work, and all servers and instances run.
func (d *Deployment) Heal() error {
	d.Store.SetDown(false)
	d.Store.SetLoseJoinResponses(false)
	for _, p := range d.endpoints {
		d.Restart(p, false)
		d.restoreService(p)
		p.link.Set(LinkState{})
	}
	for _, p := range d.Instances {
		for _, link := range p.links() {
			link.Set(LinkState{})
		}
	}
	d.History.addHeal()
	for _, p := range d.Instances {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// serverIDAt returns the id of the server at an endpoint.
func (d *Deployment) serverIDAt(e *endpoint) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return e.opts.ID
}

// randomEndpoint returns an endpoint that rng picks.
func (d *Deployment) randomEndpoint(rng *rand.Rand) *endpoint {
	return d.endpoints[rng.IntN(len(d.endpoints))]
}

// Close stops the instances, the servers, the links and the store.
func (d *Deployment) Close() {
	d.stop()
	for _, p := range d.Instances {
		p.Close()
	}
	for _, p := range d.endpoints {
		_ = p.http.Close() // the deployment ends anyway
		p.link.Close()
	}
	if d.storeHTTP != nil {
		_ = d.storeHTTP.Close() // the deployment ends anyway
	}
	d.group.Wait()
}
