package soak

import (
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

// The size of the world: the least that has two failure domains with a choice
// in each.
const (
	instancesPerDomain = 2
	enginesPerDomain   = 2
	desksPerDomain     = 1
	// heartbeatEvery is how often servers write their entries, and lapseAfter how
	// long after the last one the platform drops an entry.
	heartbeatEvery = 400 * time.Millisecond
	lapseAfter     = 1500 * time.Millisecond
	streamEvents   = 10
	eventPause     = 10 * time.Millisecond
	serverSlots    = 8
	modelLoad      = 200 * time.Millisecond
)

// place is an address at which a server is served, and the link to it.
type place struct {
	link   *Proxy
	domain string
	home   string // the service that it belongs to, whatever faults put there
	http   *http.Server

	server atomic.Pointer[standin.Server]
	down   atomic.Bool
	opts   standin.ServerOptions // of the server there now; World.mu guards it
}

// World is everything around the callers: the store, the servers, the instances
// and the links between them.
type World struct {
	Store     *standin.Store
	Instances []*Process
	History   *History

	dir       string
	places    []*place
	storeHTTP *http.Server

	mu      sync.Mutex
	version int // of the newest configuration
	serial  int // of the newest server
	probes  atomic.Int64
	group   sync.WaitGroup
	stop    context.CancelFunc
}

// options of a World.
type worldOptions struct {
	Binary string // the program
	Run    int    // tells apart worlds that run at once
}

// newWorld starts the store, the servers and the instances.
func newWorld(o worldOptions) (_ *World, err error) {
	w := &World{Store: &standin.Store{}, History: newHistory()}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	defer func() {
		if err != nil {
			w.Close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "soak-"); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Configure(); err != nil {
		return nil, err
	}
	domains := []string{"east", "west"}
	for _, d := range domains {
		for range enginesPerDomain {
			if err := w.addPlace(d, standin.ServiceEngines); err != nil {
				return nil, err
			}
		}
		for range desksPerDomain {
			if err := w.addPlace(d, standin.ServicePlain); err != nil {
				return nil, err
			}
		}
	}
	w.group.Go(func() { w.heartbeats(ctx) })
	addr, err := w.serveStore()
	if err != nil {
		return nil, err
	}
	for n := range instancesPerDomain * len(domains) {
		p, err := newProcess(processOptions{
			Binary: o.Binary, Dir: w.dir, IP: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, o.Run%250, n+1),
			Name: fmt.Sprint("front-", n), Domain: domains[n%len(domains)], Domains: domains, StoreAddr: addr,
		})
		if err != nil {
			return nil, err
		}
		w.Instances = append(w.Instances, p)
	}
	for _, p := range w.Instances {
		if err := p.Start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// serveStore opens the store's address. Instances reach each other by the links
// that it names.
func (w *World) serveStore() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	w.storeHTTP = &http.Server{Handler: standin.RewriteMemberAddrs(w.Store, w.peerLinks), ReadHeaderTimeout: time.Second}
	w.group.Go(func() { _ = w.storeHTTP.Serve(l) }) // ends when it is closed
	return l.Addr().String(), nil
}

func (w *World) peerLinks() map[string]string {
	links := map[string]string{}
	for _, p := range w.Instances {
		links[p.Node.PeerAddr] = p.Peers.Addr
	}
	return links
}

// addPlace opens an address with a server of a service.
func (w *World) addPlace(domain, service string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	p := &place{domain: domain, home: service}
	p.http = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		p.server.Load().ServeHTTP(rw, r)
	})}
	w.group.Go(func() { _ = p.http.Serve(l) }) // ends when it is closed
	if p.link, err = NewProxy(l.Addr().String()); err != nil {
		return err
	}
	w.places = append(w.places, p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startServer(p, "", service)
	return nil
}

// startServer starts a server at a place: with an id that it had, or a new one.
// It holds nothing. The lock is held.
func (w *World) startServer(p *place, id, service string) {
	if id == "" {
		w.serial++
		id = fmt.Sprintf("%s-%d", service, w.serial)
	}
	p.opts = standin.ServerOptions{
		ID: id, Service: service, Addr: p.link.Addr, Domain: p.domain, Slots: serverSlots,
		LoadTime: modelLoad, StreamEvents: streamEvents, EventInterval: eventPause, Observer: w.History,
	}
	p.server.Store(standin.NewServer(w.Store, p.opts))
	p.down.Store(false)
	p.link.Set(LinkState{})
}

// Crash ends a place's server without a word.
func (w *World) Crash(p *place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.down.Store(true)
	p.server.Load().Stop()
	p.link.Set(LinkState{Refuse: true})
}

// Revive starts a crashed server again, empty: under its id, or where reuse is
// set, as a server of the other service at the same address.
func (w *World) Revive(p *place, reuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !p.down.Load() {
		return
	}
	id, service := p.opts.ID, p.opts.Service
	if reuse {
		p.server.Load().Remove()
		id, service = "", standin.OtherService(service)
	}
	w.startServer(p, id, service)
}

// restore gives a place back to its service, where faults that overlapped left
// the other one's server there: else a service could be left with one server, and
// refuse rightly while that leaves.
func (w *World) restore(p *place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.opts.Service == p.home {
		return
	}
	p.server.Load().Remove()
	p.link.Reset()
	w.startServer(p, "", p.home)
}

// Replace has a place's server leave in order, and starts a new one once it has
// had time for what it had in hand.
func (w *World) Replace(p *place, after time.Duration) {
	server := p.server.Load()
	server.Drain()
	time.Sleep(after)
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.down.Load() || p.server.Load() != server {
		return // it crashed meanwhile
	}
	server.Remove()
	p.link.Reset()
	w.startServer(p, "", p.opts.Service)
}

// Configure puts the next version of the configuration in force.
func (w *World) Configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.History.configured(w.version)
	return w.Store.PutConfig(standin.Config(w.version))
}

// RewriteConfig writes the newest configuration again, as the operator does after the store
// is restored from an older copy.
func (w *World) RewriteConfig() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Store.PutConfig(standin.Config(w.version))
}

// Version returns the version of the newest configuration.
func (w *World) Version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// heartbeats writes the entries of the servers that run.
func (w *World) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	gone := map[*place]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range w.places {
				w.heartbeat(p, gone, now)
			}
		}
	}
}

// heartbeat writes one server's entry, or drops it once it has lapsed.
func (w *World) heartbeat(p *place, gone map[*place]time.Time, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !p.down.Load() {
		delete(gone, p)
		p.server.Load().Heartbeat()
		return
	}
	since, ok := gone[p]
	if !ok {
		gone[p] = now
	} else if now.Sub(since) > lapseAfter {
		p.server.Load().Remove()
	}
}

// Heal ends every fault: links pass, programs run, servers are up.
func (w *World) Heal() error {
	w.Store.SetDown(false)
	w.Store.SetLoseJoinResponses(false)
	for _, p := range w.places {
		w.Revive(p, false)
		w.restore(p)
		p.link.Set(LinkState{})
	}
	for _, p := range w.Instances {
		for _, link := range p.links() {
			link.Set(LinkState{})
		}
	}
	w.History.healed()
	for _, p := range w.Instances {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// serverIDAt returns the id of the server at a place.
func (w *World) serverIDAt(p *place) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p.opts.ID
}

// anyPlace returns a place that the seed picks.
func (w *World) anyPlace(rng *rand.Rand) *place { return w.places[rng.IntN(len(w.places))] }

// Close ends everything.
func (w *World) Close() {
	w.stop()
	for _, p := range w.Instances {
		p.Close()
	}
	for _, p := range w.places {
		_ = p.http.Close() // nothing is lost by it
		p.link.Close()
	}
	if w.storeHTTP != nil {
		_ = w.storeHTTP.Close() // the same
	}
	w.group.Wait()
}
