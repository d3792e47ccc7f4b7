package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"greengageferry/infra"
)

// fakeEngine is a backend server that checks nothing but the fencing number,
// and keeps the truth about its memory.
type fakeEngine struct {
	id, addr string
	ignores  bool
	memory   int64

	boot  int
	dead  bool
	fence uint64
	items map[infra.Key]infra.ResidentItem
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
	fault      func(o infra.Order) fault
	orders     []infra.Order
	over       []string // every overcommitment
	loads      int
}

func newServers() *fakeServers {
	return &fakeServers{
		byAddr: map[string]*fakeEngine{}, loadTime: 2 * time.Second, unloadTime: time.Second, lateness: 10 * time.Second,
		fault: func(infra.Order) fault { return faultNone },
	}
}

func (s *fakeServers) add(id string, memory int64, ignores bool) *fakeEngine {
	e := &fakeEngine{id: id, addr: "10.0.0.1:" + id, memory: memory, ignores: ignores, items: map[infra.Key]infra.ResidentItem{}}
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
		if r.State == infra.ItemReady {
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

func (s *fakeServers) status(addr string) (infra.ServerStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byAddr[addr]
	if e == nil || e.dead {
		return infra.ServerStatus{}, &infra.Error{Op: "engine.status", Addr: addr, Reason: infra.ReasonUnreachable, Effect: infra.EffectNone}
	}
	st := infra.ServerStatus{ID: e.id, Boot: fmt.Sprint("boot", e.boot), MemoryMiB: e.memory, Items: slices.Collect(maps.Values(e.items))}
	if !e.ignores {
		st.Fence = e.fence
	}
	slices.SortFunc(st.Items, func(a, b infra.ResidentItem) int {
		return int(int64(len(itemName(a.Item))) - int64(len(itemName(b.Item))))
	})
	return st, nil
}

// order brings an order through the network's faults.
func (s *fakeServers) order(ctx context.Context, addr string, o infra.Order) error {
	s.mu.Lock()
	f := s.fault(o)
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	lost := &infra.Error{Op: "engine.order", Addr: addr, Reason: infra.ReasonTimeout}
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

func (s *fakeServers) arrive(addr string, o infra.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byAddr[addr]
	none := func(r infra.Reason) error {
		return &infra.Error{Op: "engine.order", Addr: addr, Reason: r, Effect: infra.EffectNone}
	}
	switch {
	case e == nil || e.dead:
		return none(infra.ReasonUnreachable)
	case !e.ignores && o.Fence < e.fence:
		return none(infra.ReasonStaleFence)
	}
	e.fence = max(e.fence, o.Fence)
	resident, there := e.items[o.Item.Key()]
	switch {
	case o.Kind == infra.OrderLoad && !there:
		s.load(e, o.Item)
	case o.Kind == infra.OrderUnload && there && resident.State != infra.ItemUnloading:
		s.turn(e, o.Item, infra.ItemUnloading, s.unloadTime, func() { delete(e.items, o.Item.Key()) })
	}
	return nil
}

// load starts a load, whether it fits or not. The caller holds mu.
func (s *fakeServers) load(e *fakeEngine, i infra.Item) {
	s.loads++
	ready := infra.ResidentItem{Item: i, State: infra.ItemReady}
	s.turn(e, i, infra.ItemLoading, s.loadTime, func() { e.items[i.Key()] = ready })
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
func (s *fakeServers) turn(e *fakeEngine, i infra.Item, state infra.ItemState, after time.Duration, end func()) {
	e.items[i.Key()] = infra.ResidentItem{Item: i, State: state}
	boot := e.boot
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e.boot == boot && e.items[i.Key()].State == state {
			end()
		}
	})
}
