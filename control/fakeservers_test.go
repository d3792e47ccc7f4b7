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

// fakeEngine is a backend server that checks only the fencing token and loads
// items whether they fit or not.
type fakeEngine struct {
	id, addr  string
	unfenced  bool // ignores fencing tokens
	memoryMiB int64

	boot  int
	dead  bool
	fence uint64
	items map[infra.Key]infra.ResidentItem
}

// fault is what the network does to an order.
type fault int

const (
	faultNone       fault = iota
	faultLost             // never arrives
	faultLate             // arrives after its call timed out
	faultDuplicated       // arrives at once and again a second later
	faultAnswerLost       // arrives, but its answer is lost
)

// fakeServers holds the domain's backend servers and simulates the network to them.
type fakeServers struct {
	mu          sync.Mutex
	byAddr      map[string]*fakeEngine
	loadTime    time.Duration
	unloadTime  time.Duration
	lateDelay   time.Duration
	fault       func(o infra.Order) fault
	orders      []infra.Order
	overcommits []string // descriptions of all overcommitments
	loads       int
}

func newFakeServers() *fakeServers {
	return &fakeServers{
		byAddr: map[string]*fakeEngine{}, loadTime: 2 * time.Second, unloadTime: time.Second, lateDelay: 10 * time.Second,
		fault: func(infra.Order) fault { return faultNone },
	}
}

func (s *fakeServers) add(id string, memoryMiB int64, unfenced bool) *fakeEngine {
	e := &fakeEngine{id: id, addr: "10.0.0.1:" + id, memoryMiB: memoryMiB, unfenced: unfenced, items: map[infra.Key]infra.ResidentItem{}}
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

func (s *fakeServers) overcommitments() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.overcommits)
}

func (s *fakeServers) status(addr string) (infra.ServerStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byAddr[addr]
	if e == nil || e.dead {
		return infra.ServerStatus{}, &infra.Error{Op: "engine.status", Addr: addr, Reason: infra.ReasonUnreachable, Effect: infra.EffectNone}
	}
	st := infra.ServerStatus{ID: e.id, Boot: fmt.Sprint("boot", e.boot), MemoryMiB: e.memoryMiB, Items: slices.Collect(maps.Values(e.items))}
	if !e.unfenced {
		st.Fence = e.fence
	}
	slices.SortFunc(st.Items, func(a, b infra.ResidentItem) int {
		return int(int64(len(itemName(a.Item))) - int64(len(itemName(b.Item))))
	})
	return st, nil
}

// order delivers an order with the fault that s.fault returns for it.
func (s *fakeServers) order(ctx context.Context, addr string, o infra.Order) error {
	s.mu.Lock()
	faultKind := s.fault(o)
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	lost := &infra.Error{Op: "engine.order", Addr: addr, Reason: infra.ReasonTimeout}
	switch faultKind {
	case faultLost:
		<-ctx.Done()
		return lost
	case faultLate:
		time.AfterFunc(s.lateDelay, func() { _ = s.arrive(addr, o) })
		<-ctx.Done()
		return lost
	case faultAnswerLost:
		_ = s.arrive(addr, o)
		<-ctx.Done()
		return lost
	case faultDuplicated:
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
	case !e.unfenced && o.Fence < e.fence:
		return none(infra.ReasonStaleFence)
	}
	e.fence = max(e.fence, o.Fence)
	resident, there := e.items[o.Item.Key()]
	switch {
	case o.Kind == infra.OrderLoad && !there:
		s.load(e, o.Item)
	case o.Kind == infra.OrderUnload && there && resident.State != infra.ItemUnloading:
		s.startTransition(e, o.Item, infra.ItemUnloading, s.unloadTime, func() { delete(e.items, o.Item.Key()) })
	}
	return nil
}

// load starts a load and records an overcommitment if the item doesn't fit. The
// caller holds mu.
func (s *fakeServers) load(e *fakeEngine, i infra.Item) {
	s.loads++
	ready := infra.ResidentItem{Item: i, State: infra.ItemReady}
	s.startTransition(e, i, infra.ItemLoading, s.loadTime, func() { e.items[i.Key()] = ready })
	usedMiB := int64(0)
	for _, r := range e.items {
		usedMiB += r.MiB
	}
	if usedMiB > e.memoryMiB {
		s.overcommits = append(s.overcommits, fmt.Sprintf("%s: %d of %d MiB with %s", e.id, usedMiB, e.memoryMiB, itemName(i)))
	}
}

// startTransition sets an item's state and calls end after the given time, unless
// the server restarted or the state changed. The caller holds mu.
func (s *fakeServers) startTransition(e *fakeEngine, i infra.Item, state infra.ItemState, after time.Duration, end func()) {
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
