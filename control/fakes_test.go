package control

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/platform"
	"greengageferry/record"
	"greengageferry/replay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testDomain = "hall"

// fakeLog is one control stream, with every follower of it.
type fakeLog struct {
	mu        sync.Mutex
	records   []*record.Record
	down      bool
	followers []*follower
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.spread()
}

// spread lets each follower that isn't cut off read to the end. The caller holds mu.
func (l *fakeLog) spread() {
	for _, f := range l.followers {
		if l.down || f.cut {
			continue
		}
		for int(f.machine.Offset()) < len(l.records) {
			next := f.machine.Offset() + 1
			f.machine.Apply(next, l.records[next-1])
		}
		f.view = f.machine.View()
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}
}

func (l *fakeLog) follower() *follower {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &follower{log: l, machine: replay.NewControl(), changed: make(chan struct{}, 1)}
	l.followers = append(l.followers, f)
	l.spread()
	return f
}

// follower is one instance's connection to the log: its Views and Appender.
type follower struct {
	log        *fakeLog
	machine    *replay.Control
	view       *replay.ControlView
	changed    chan struct{}
	cut        bool
	origin     string
	sequence   uint64
	loseAnswer bool // of the next append
}

func (f *follower) View() *replay.ControlView {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	return f.view
}

func (f *follower) Changed() <-chan struct{} { return f.changed }

func (f *follower) Down() bool {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	return f.log.down || f.cut
}

func (f *follower) setCut(cut bool) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.cut = cut
	f.log.spread()
}

func (f *follower) Append(ctx context.Context, _ string, records ...*record.Record) (platform.Offset, error) {
	if f.Down() {
		<-ctx.Done()
		return 0, &platform.Error{Op: "log.append", Reason: platform.ReasonTimeout, Effect: platform.EffectNone}
	}
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	for _, r := range records {
		f.sequence++
		r.Origin, r.Sequence = f.origin, f.sequence
	}
	first := platform.Offset(len(f.log.records) + 1)
	f.log.records = append(f.log.records, records...)
	f.log.spread()
	if f.loseAnswer {
		f.loseAnswer = false
		return 0, &platform.Error{Op: "log.append", Reason: platform.ReasonTimeout}
	}
	return first, nil
}

// fakeEngine is a backend server that checks nothing but the fencing number,
// and keeps the truth about its memory.
type fakeEngine struct {
	id, addr string
	ignores  bool
	memory   int64

	boot  int
	dead  bool
	fence uint64
	items map[platform.Key]platform.ResidentItem
}

// fault says what becomes of an order on its way.
type fault int

const (
	faultNone   fault = iota
	faultLost         // never arrives
	faultLate         // arrives after its call was given up
	faultDouble       // arrives now and once more later
	faultAnswer       // arrives, but its answer is lost
)

// fakeServers are the domain's engines and the network to them.
type fakeServers struct {
	mu         sync.Mutex
	byAddr     map[string]*fakeEngine
	loadTime   time.Duration
	unloadTime time.Duration
	lateness   time.Duration
	fault      func(o platform.Order) fault
	orders     []platform.Order
	over       []string // every overcommitment
	loads      int
}

func newServers() *fakeServers {
	return &fakeServers{
		byAddr: map[string]*fakeEngine{}, loadTime: 2 * time.Second, unloadTime: time.Second, lateness: 10 * time.Second,
		fault: func(platform.Order) fault { return faultNone },
	}
}

func (s *fakeServers) add(id string, memory int64, ignores bool) *fakeEngine {
	e := &fakeEngine{id: id, addr: "10.0.0.1:" + id, memory: memory, ignores: ignores, items: map[platform.Key]platform.ResidentItem{}}
	s.byAddr[e.addr] = e
	return e
}

func (s *fakeServers) restart(e *fakeEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.boot++
	clear(e.items)
}

func (s *fakeServers) setDead(e *fakeEngine, dead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.dead = dead
}

func (s *fakeServers) resident(e *fakeEngine) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, r := range e.items {
		if r.State == platform.ItemReady {
			out = append(out, itemName(r.Item))
		}
	}
	slices.Sort(out)
	return out
}

func (s *fakeServers) violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.over)
}

func (s *fakeServers) status(addr string) (platform.ServerStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byAddr[addr]
	if e == nil || e.dead {
		return platform.ServerStatus{}, &platform.Error{Op: "engine.status", Addr: addr, Reason: platform.ReasonUnreachable, Effect: platform.EffectNone}
	}
	st := platform.ServerStatus{ID: e.id, Boot: fmt.Sprint("boot", e.boot), MemoryMiB: e.memory, Items: slices.Collect(maps.Values(e.items))}
	if !e.ignores {
		st.Fence = e.fence
	}
	slices.SortFunc(st.Items, func(a, b platform.ResidentItem) int {
		return int(int64(len(itemName(a.Item))) - int64(len(itemName(b.Item))))
	})
	return st, nil
}

// order brings an order through the network's faults.
func (s *fakeServers) order(ctx context.Context, addr string, o platform.Order) error {
	s.mu.Lock()
	f := s.fault(o)
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	lost := &platform.Error{Op: "engine.order", Addr: addr, Reason: platform.ReasonTimeout}
	switch f {
	case faultLost:
		<-ctx.Done()
		return lost
	case faultLate:
		time.AfterFunc(s.lateness, func() { _ = s.arrive(addr, o) })
		<-ctx.Done()
		return lost
	case faultAnswer:
		_ = s.arrive(addr, o)
		<-ctx.Done()
		return lost
	case faultDouble:
		time.AfterFunc(time.Second, func() { _ = s.arrive(addr, o) })
	}
	return s.arrive(addr, o)
}

func (s *fakeServers) arrive(addr string, o platform.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byAddr[addr]
	none := func(r platform.Reason) error {
		return &platform.Error{Op: "engine.order", Addr: addr, Reason: r, Effect: platform.EffectNone}
	}
	switch {
	case e == nil || e.dead:
		return none(platform.ReasonUnreachable)
	case !e.ignores && o.Fence < e.fence:
		return none(platform.ReasonStaleFence)
	}
	e.fence = max(e.fence, o.Fence)
	resident, there := e.items[o.Item.Key()]
	switch {
	case o.Kind == platform.OrderLoad && !there:
		s.load(e, o.Item)
	case o.Kind == platform.OrderUnload && there && resident.State != platform.ItemUnloading:
		s.turn(e, o.Item, platform.ItemUnloading, s.unloadTime, func() { delete(e.items, o.Item.Key()) })
	}
	return nil
}

// load starts a load, whether it fits or not. The caller holds mu.
func (s *fakeServers) load(e *fakeEngine, i platform.Item) {
	s.loads++
	ready := platform.ResidentItem{Item: i, State: platform.ItemReady}
	s.turn(e, i, platform.ItemLoading, s.loadTime, func() { e.items[i.Key()] = ready })
	taken := int64(0)
	for _, r := range e.items {
		taken += r.MiB
	}
	if taken > e.memory {
		s.over = append(s.over, fmt.Sprintf("%s: %d of %d MiB with %s", e.id, taken, e.memory, itemName(i)))
	}
}

// turn gives an item a state, and ends it after the time unless the server
// restarted or the item turned again. The caller holds mu.
func (s *fakeServers) turn(e *fakeEngine, i platform.Item, state platform.ItemState, after time.Duration, end func()) {
	e.items[i.Key()] = platform.ResidentItem{Item: i, State: state}
	boot := e.boot
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e.boot == boot && e.items[i.Key()].State == state {
			end()
		}
	})
}

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
func (n *node) Status(ctx context.Context, addr string) (platform.ServerStatus, error) {
	n.wait()
	return n.w.servers.status(addr)
}

func (n *node) Order(ctx context.Context, addr string, o platform.Order) error {
	if n.w.onOrder != nil {
		n.w.onOrder(n, o)
	}
	n.wait()
	return n.w.servers.order(ctx, addr, o)
}

func (n *node) Generate(context.Context, string, platform.GenerateRequest) (platform.Stream, error) {
	panic("not used")
}
func (n *node) Cancel(context.Context, string, string) error { panic("not used") }
func (n *node) CacheEvents(context.Context, string, uint64) ([]platform.CacheEvent, error) {
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
	asks    func(w *world, id string) (platform.Offset, error)
	onOrder func(n *node, o platform.Order) // directly before an order leaves a node; may pause it

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

func (w *world) Limits(context.Context, string) (platform.StoreLimits, error) {
	return platform.StoreLimits{LoadsPerSecond: 10, ConcurrentLoads: 10}, nil
}

func (w *world) Demand(context.Context) map[string]decide.Demand { return nil }

// Applied asks the node as a peer would.
func (w *world) Applied(_ context.Context, i platform.Instance) (platform.Offset, error) {
	return w.asks(w, i.ID)
}

func (w *world) ask(id string) (platform.Offset, error) {
	for _, n := range w.nodes {
		n.mu.Lock()
		paused := n.paused != nil
		n.mu.Unlock()
		if n.id == id && !paused {
			return n.c.Applied(), nil
		}
	}
	return 0, &platform.Error{Op: "peer.applied", Reason: platform.ReasonUnreachable, Effect: platform.EffectNone}
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
	var out []platform.Instance
	for _, n := range w.nodes {
		if !w.unlisted[n.id] {
			out = append(out, platform.Instance{ID: n.id, Role: platform.RoleEntry, State: platform.StateLive, FailureDomain: testDomain})
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
		out = append(out, platform.Instance{ID: e.id, Role: platform.RoleEngine, State: platform.StateLive, FailureDomain: testDomain, Pool: pool, Addr: e.addr, MemoryMiB: e.memory})
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
	var wanted []platform.Item
	for _, name := range models {
		wanted = append(wanted, platform.Item{Model: name, Version: cmp.Or(in.Config.Models[name].Version, "1"), MiB: 6})
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

func (f *follower) loseNextAnswer() {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.loseAnswer = true
}

func (l *fakeLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
