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

// node is an entry instance with its Controller.
type node struct {
	id         string
	logConn    *follower
	controller *Controller
	cluster    *testCluster
	cancel     context.CancelFunc
	done       chan error

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil: not paused
}

// A node implements infra.Engine for its Controller. The calls of a paused node
// wait until it resumes, however long that takes, and are then sent.

// Status implements infra.Engine.
func (n *node) Status(ctx context.Context, addr string) (infra.ServerStatus, error) {
	n.waitWhilePaused()
	return n.cluster.servers.status(addr)
}

func (n *node) Order(ctx context.Context, addr string, o infra.Order) error {
	if n.cluster.onOrder != nil {
		n.cluster.onOrder(n, o)
	}
	send := func() error {
		n.waitWhilePaused()
		return n.cluster.servers.order(ctx, addr, o)
	}
	if n.cluster.wrapOrder != nil {
		return n.cluster.wrapOrder(n, send)
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

func (n *node) waitWhilePaused() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// pause disconnects the node from the log and holds its calls to the servers.
func (n *node) pause() {
	n.logConn.setDisconnected(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	close(n.paused)
	n.paused = nil
	n.mu.Unlock()
	n.logConn.setDisconnected(false)
}

// testCluster is a failure domain with its log, servers and entry instances.
type testCluster struct {
	t           *testing.T
	log         *fakeLog
	servers     *fakeServers
	cfg         *config.Config
	nodes       []*node
	limits      Limits
	appliedFunc func(w *testCluster, id string) (infra.Offset, error)
	onOrder     func(n *node, o infra.Order) // called directly before a node sends an order; may pause the node
	wrapOrder   func(n *node, send func() error) error

	mu       sync.Mutex
	planFunc func(in decide.PlanInput) []decide.Move
	unlisted map[string]bool
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t: t, log: &fakeLog{}, servers: newFakeServers(), cfg: testConfig(), unlisted: map[string]bool{},
		planFunc:    func(decide.PlanInput) []decide.Move { return nil },
		appliedFunc: (*testCluster).nodeApplied,
	}
}

func testConfig() *config.Config {
	model := func(mib int64) config.Model {
		return config.Model{Owner: "p", Version: "1", Pools: []string{"strict", "loose"}, MiB: mib}
	}
	return &config.Config{
		Partners: map[string]config.Partner{"p": {}},
		Pools:    map[string]config.Pool{"strict": {Owner: "p", Slots: 4}, "loose": {Owner: "p", Slots: 4, IgnoresFence: true}},
		Models:   map[string]config.Model{"a": model(6), "b": model(6), "c": model(6)},
		Adapters: map[string]config.Adapter{},
	}
}

func (cluster *testCluster) Limits(context.Context, string) (infra.StoreLimits, error) {
	return infra.StoreLimits{LoadsPerSecond: 10, ConcurrentLoads: 10}, nil
}

func (cluster *testCluster) Demand(context.Context) (map[string]decide.Demand, map[string]infra.Load) {
	return nil, nil
}

// Applied implements Applied by calling the node's Controller directly.
func (cluster *testCluster) Applied(_ context.Context, i infra.Instance) (infra.Offset, error) {
	return cluster.appliedFunc(cluster, i.ID)
}

func (cluster *testCluster) nodeApplied(id string) (infra.Offset, error) {
	for _, n := range cluster.nodes {
		n.mu.Lock()
		paused := n.paused != nil
		n.mu.Unlock()
		if n.id == id && !paused {
			return n.controller.Applied(), nil
		}
	}
	return 0, &infra.Error{Op: "peer.applied", Reason: infra.ReasonUnreachable, Effect: infra.EffectNone}
}

func (cluster *testCluster) Plan(in decide.PlanInput) []decide.Move {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.planFunc(in)
}

func (cluster *testCluster) setPlan(planFunc func(in decide.PlanInput) []decide.Move) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.planFunc = planFunc
}

// List implements Lists. It returns a new list at each call, where a watcher would
// read one once a second.
func (cluster *testCluster) List() *fleet.List {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	var out []infra.Instance
	for _, n := range cluster.nodes {
		if !cluster.unlisted[n.id] {
			out = append(out, infra.Instance{ID: n.id, Role: infra.RoleEntry, State: infra.StateLive, FailureDomain: testDomain})
		}
	}
	for _, e := range cluster.servers.byAddr {
		if cluster.unlisted[e.id] {
			continue
		}
		pool := "strict"
		if e.unfenced {
			pool = "loose"
		}
		out = append(out, infra.Instance{ID: e.id, Role: infra.RoleEngine, State: infra.StateLive, FailureDomain: testDomain, Pool: pool, Addr: e.addr, MemoryMiB: e.memoryMiB})
	}
	return fleet.NewList(time.Now(), out)
}

func (cluster *testCluster) unlist(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.unlisted[id] = true
}

// start starts entry instances with the given ids.
func (cluster *testCluster) start(ids ...string) {
	var started []*node
	for _, id := range ids {
		n := &node{id: id, cluster: cluster, logConn: cluster.log.follower(), done: make(chan error, 1)}
		n.logConn.origin = id
		cluster.nodes = append(cluster.nodes, n)
		started = append(started, n)
	}
	for i, n := range started {
		log := logrus.New()
		log.SetOutput(io.Discard)
		if testing.Verbose() {
			log.SetOutput(cluster.t.Output())
		}
		n.controller = New(Options{
			Instance: n.id, FailureDomain: testDomain, Engine: n, Appender: n.logConn, Views: n.logConn,
			OtherViews: func() map[string]*replay.ControlView { return nil },
			Config:     cluster.config,
			Lists:      cluster, Store: cluster, Planner: cluster, Demand: cluster, Applied: cluster,
			Random: rand.New(rand.NewPCG(uint64(i), 1)),
			Limits: cluster.limits,
			Log:    log.WithField("instance", n.id), Metrics: new(expvar.Map),
		})
	}
	for _, n := range started {
		ctx, cancel := context.WithCancel(cluster.t.Context())
		n.cancel = cancel
		go func() { n.done <- n.controller.Run(ctx) }()
	}
}

// stop shuts all nodes down and waits until they have stopped.
func (cluster *testCluster) stop() {
	for _, n := range cluster.nodes {
		n.cancel()
	}
	for _, n := range cluster.nodes {
		if err := <-n.done; err != nil {
			cluster.t.Error(err)
		}
	}
	time.Sleep(time.Minute) // so that late orders arrive and timers end
}

// holder returns the node that holds the lease, or nil.
func (cluster *testCluster) holder() *node {
	for _, n := range cluster.nodes {
		if n.controller.HoldsLease() {
			return n
		}
	}
	return nil
}

// advance lets the time pass and waits until all goroutines of the bubble block.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// placeModels returns a plan function that assigns exactly the given models to the
// server, each once there is memory for it.
func placeModels(server string, models ...string) func(in decide.PlanInput) []decide.Move {
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
	free := s.MemoryMiB - totalMiB(s.Assigned, s.Lingering)
	var wanted []infra.Item
	for _, name := range models {
		wanted = append(wanted, infra.Item{Model: name, Version: cmp.Or(in.Config.Models[name].Version, "1"), MiB: 6})
	}
	for _, i := range s.Assigned {
		if !containsItem(wanted, i.Key()) {
			m.Drop = append(m.Drop, i)
		}
	}
	for _, i := range wanted {
		switch {
		case containsItem(s.Assigned, i.Key()):
		case containsItem(s.Lingering, i.Key()):
			m.Add = append(m.Add, i)
		case i.MiB <= free:
			m.Add = append(m.Add, i)
			free -= i.MiB
		}
	}
	return m
}

// holders counts the nodes that consider themselves the lease holder.
func (cluster *testCluster) holders() int {
	n := 0
	for _, node := range cluster.nodes {
		if node.controller.HoldsLease() {
			n++
		}
	}
	return n
}

func (cluster *testCluster) setConfig(cfg *config.Config) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.cfg = cfg
}

func (cluster *testCluster) config() *config.Config {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.cfg
}
