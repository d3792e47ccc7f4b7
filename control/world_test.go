package control

import (
	"cmp"
	"context"
	"expvar"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/replay"
)

const testDomain = "hall"

// node is one entry instance with its Controller.
type node struct {
	id     string
	f      *follower
	c      *Controller
	w      *world
	cancel context.CancelFunc
	done   chan error

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil: not paused
}

// The node is its own client of the engines: what a paused process had in hand
// goes out when it goes on, however long that was.
func (n *node) Status(ctx context.Context, addr string) (infra.ServerStatus, error) {
	n.wait()
	return n.w.servers.status(addr)
}

func (n *node) Order(ctx context.Context, addr string, o infra.Order) error {
	if n.w.onOrder != nil {
		n.w.onOrder(n, o)
	}
	send := func() error {
		n.wait()
		return n.w.servers.order(ctx, addr, o)
	}
	if n.w.around != nil {
		return n.w.around(n, send)
	}
	return send()
}

func (n *node) Generate(context.Context, string, infra.GenerateRequest) (infra.Stream, error) {
	panic("not used")
}
func (n *node) Cancel(context.Context, string, string) error { panic("not used") }
func (n *node) CacheEvents(context.Context, string, uint64) ([]infra.CacheEvent, error) {
	panic("not used")
}

func (n *node) wait() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// pause stops what leaves and what reaches the process.
func (n *node) pause() {
	n.f.setCut(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	close(n.paused)
	n.paused = nil
	n.mu.Unlock()
	n.f.setCut(false)
}

// world is a failure domain with its log, servers and entry instances.
type world struct {
	t       *testing.T
	log     *fakeLog
	servers *fakeServers
	cfg     *config.Config
	nodes   []*node
	limits  Limits
	asks    func(w *world, id string) (infra.Offset, error)
	onOrder func(n *node, o infra.Order) // directly before an order leaves a node; may pause it
	around  func(n *node, send func() error) error

	mu       sync.Mutex
	want     func(in decide.PlanInput) []decide.Move
	unlisted map[string]bool
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, log: &fakeLog{}, servers: newServers(), cfg: testConfig(), unlisted: map[string]bool{},
		want: func(decide.PlanInput) []decide.Move { return nil },
		asks: (*world).ask,
	}
}

func testConfig() *config.Config {
	m := func(mib int64) config.Model {
		return config.Model{Owner: "p", Version: "1", Pools: []string{"strict", "loose"}, MiB: mib}
	}
	return &config.Config{
		Partners: map[string]config.Partner{"p": {}},
		Pools:    map[string]config.Pool{"strict": {Owner: "p", Slots: 4}, "loose": {Owner: "p", Slots: 4, IgnoresFence: true}},
		Models:   map[string]config.Model{"a": m(6), "b": m(6), "c": m(6)},
		Adapters: map[string]config.Adapter{},
	}
}

func (w *world) Limits(context.Context, string) (infra.StoreLimits, error) {
	return infra.StoreLimits{LoadsPerSecond: 10, ConcurrentLoads: 10}, nil
}

func (w *world) Demand(context.Context) (map[string]decide.Demand, map[string]infra.Load) {
	return nil, nil
}

// Applied asks the node as a peer would.
func (w *world) Applied(_ context.Context, i infra.Instance) (infra.Offset, error) {
	return w.asks(w, i.ID)
}

func (w *world) ask(id string) (infra.Offset, error) {
	for _, n := range w.nodes {
		n.mu.Lock()
		paused := n.paused != nil
		n.mu.Unlock()
		if n.id == id && !paused {
			return n.c.Applied(), nil
		}
	}
	return 0, &infra.Error{Op: "peer.applied", Reason: infra.ReasonUnreachable, Effect: infra.EffectNone}
}

func (w *world) Plan(in decide.PlanInput) []decide.Move {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.want(in)
}

func (w *world) plan(want func(in decide.PlanInput) []decide.Move) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.want = want
}

// List is read anew at each call, as a watcher would once a second.
func (w *world) List() *fleet.List {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []infra.Instance
	for _, n := range w.nodes {
		if !w.unlisted[n.id] {
			out = append(out, infra.Instance{ID: n.id, Role: infra.RoleEntry, State: infra.StateLive, FailureDomain: testDomain})
		}
	}
	for _, e := range w.servers.byAddr {
		if w.unlisted[e.id] {
			continue
		}
		pool := "strict"
		if e.ignores {
			pool = "loose"
		}
		out = append(out, infra.Instance{ID: e.id, Role: infra.RoleEngine, State: infra.StateLive, FailureDomain: testDomain, Pool: pool, Addr: e.addr, MemoryMiB: e.memory})
	}
	return fleet.NewList(time.Now(), out)
}

func (w *world) unlist(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unlisted[id] = true
}

// start starts entry instances with the ids.
func (w *world) start(ids ...string) {
	var started []*node
	for _, id := range ids {
		n := &node{id: id, w: w, f: w.log.follower(), done: make(chan error, 1)}
		n.f.origin = id
		w.nodes = append(w.nodes, n)
		started = append(started, n)
	}
	for i, n := range started {
		log := logrus.New()
		log.SetOutput(io.Discard)
		if testing.Verbose() {
			log.SetOutput(w.t.Output())
		}
		n.c = New(Options{
			Instance: n.id, FailureDomain: testDomain, Engine: n, Appender: n.f, Views: n.f,
			Others: func() map[string]*replay.ControlView { return nil },
			Config: w.config,
			Lists:  w, Store: w, Planner: w, Demand: w, Applied: w,
			Random: rand.New(rand.NewPCG(uint64(i), 1)),
			Limits: w.limits,
			Log:    log.WithField("instance", n.id), Metrics: new(expvar.Map),
		})
	}
	for _, n := range started {
		ctx, cancel := context.WithCancel(w.t.Context())
		n.cancel = cancel
		go func() { n.done <- n.c.Run(ctx) }()
	}
}

// stop shuts every node down and waits for it.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.cancel()
	}
	for _, n := range w.nodes {
		if err := <-n.done; err != nil {
			w.t.Error(err)
		}
	}
	time.Sleep(time.Minute) // late orders and timers end
}

// holder returns the node that holds the lease, or nil.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.c.Holds() {
			return n
		}
	}
	return nil
}

// settle lets the time pass and everything that is due in it happen.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// place returns a planner that wants exactly the models on the server, and
// adds each once there is memory for it.
func place(server string, models ...string) func(in decide.PlanInput) []decide.Move {
	return func(in decide.PlanInput) []decide.Move {
		for _, s := range in.Servers {
			if s.ID == server {
				return []decide.Move{moveTo(in, s, models)}
			}
		}
		return nil
	}
}

func moveTo(in decide.PlanInput, s decide.PlanServer, models []string) decide.Move {
	m := decide.Move{Server: s.ID, Reason: "test"}
	free := s.MemoryMiB - mib(s.Assigned, s.Lingering)
	var wanted []infra.Item
	for _, name := range models {
		wanted = append(wanted, infra.Item{Model: name, Version: cmp.Or(in.Config.Models[name].Version, "1"), MiB: 6})
	}
	for _, i := range s.Assigned {
		if !holds(wanted, i.Key()) {
			m.Drop = append(m.Drop, i)
		}
	}
	for _, i := range wanted {
		switch {
		case holds(s.Assigned, i.Key()):
		case holds(s.Lingering, i.Key()):
			m.Add = append(m.Add, i)
		case i.MiB <= free:
			m.Add = append(m.Add, i)
			free -= i.MiB
		}
	}
	return m
}

// holders counts the nodes that take themselves for the lease's holder.
func (w *world) holders() int {
	n := 0
	for _, node := range w.nodes {
		if node.c.Holds() {
			n++
		}
	}
	return n
}

func (w *world) setConfig(cfg *config.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg = cfg
}

func (w *world) config() *config.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg
}
