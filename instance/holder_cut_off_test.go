package instance

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
	"greengageferry/residency"
)

// noOrderer is an Orderer whose servers answer nothing.
type noOrderer struct{}

func (noOrderer) Order(context.Context, residency.Order) (residency.Result, error) {
	return 0, &infra.Error{Op: "order", Reason: infra.ReasonUnreachable}
}

func (noOrderer) State(context.Context, string, string) (residency.State, error) {
	return residency.State{}, &infra.Error{Op: "state", Reason: infra.ReasonUnreachable}
}

// holderWorld is a spreadWorld whose instances' times of ordering are recorded.
type holderWorld struct {
	*spreadWorld
	t       *testing.T
	duties  sync.WaitGroup
	stop    map[int]context.CancelFunc
	ordered map[int][]time.Time // by instance: when it might order
}

func newHolderWorld(t *testing.T, instances int) *holderWorld {
	w := &holderWorld{spreadWorld: newSpreadWorld(1, instances), t: t, stop: map[int]context.CancelFunc{}, ordered: map[int][]time.Time{}}
	t.Cleanup(w.duties.Wait)
	return w
}

// run starts an instance; stop ends it.
func (w *holderWorld) run(n int) {
	ctx, cancel := context.WithCancel(w.t.Context())
	w.stop[n] = cancel
	w.startInstance(ctx, n, &w.duties)
	w.duties.Go(func() { _ = w.instances[n].controller.Run(ctx) }) // returns nil once ctx ends
}

// settle starts all instances and waits until one of them has ordered for a while. It returns that
// one's index.
func (w *holderWorld) settle() int {
	for n := range w.instances {
		w.run(n)
	}
	w.wait(15 * time.Second)
	return w.holder()
}

// wait lets the time pass and records who might order.
func (w *holderWorld) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for n := range w.stop {
			i := w.instances[n]
			i.mu.Lock()
			at := i.orderingAt
			i.mu.Unlock()
			if last := w.ordered[n]; i.lease.Holds() && !at.IsZero() && (len(last) == 0 || at.After(last[len(last)-1])) {
				w.ordered[n] = append(last, at)
			}
		}
	}
}

// holder returns the index of the instance that the store names as the lease holder.
func (w *holderWorld) holder() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, i := range w.instances {
		if strings.HasPrefix(w.owner, i.opts.Node.Name+"|") {
			return n
		}
	}
	return -1
}

// cutOff cuts an instance off from the store and from all other instances, or ends that.
func (w *holderWorld) cutOff(n int, off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals[n] = served
	if off {
		w.refusals[n] = ignored
	}
	for other := range w.instances {
		w.cut[[2]int{n, other}] = off && other != n
	}
}

// requireHandOver checks that one instance stopped before the other began to order, and that the
// other did begin.
func (w *holderWorld) requireHandOver(from, to int, since time.Time) {
	before, after := w.ordered[from], w.ordered[to]
	for len(after) > 0 && after[0].Before(since) {
		after = after[1:]
	}
	require.NotEmpty(w.t, after, "the new holder orders")
	require.NotEmpty(w.t, before, "the earlier holder ordered")
	require.Less(w.t, before[len(before)-1], after[0], "the earlier holder orders no more once the new one does")
}

// Guards against two instances that order at a time: the lease holder, alone and cut off, extended its
// lease though an instance that was added meanwhile had won it.
func TestHolderCutOffFromTheStoreStopsBeforeAnAddedInstanceOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHolderWorld(t, 3)
		w.run(0)
		w.wait(15 * time.Second)
		w.cutOff(0, true)
		since := time.Now()
		w.wait(time.Second)
		w.run(1)
		w.run(2)
		w.wait(20 * time.Second)
		w.requireHandOver(0, w.holder(), since)
		w.cutOff(0, false)
		w.wait(5 * time.Second)
		w.requireHandOver(0, w.holder(), since)
	})
}

// Guards against the same with an instance that the holder had forgotten, since it had been cut off
// for longer than instances are remembered.
func TestHolderCutOffFromTheStoreStopsBeforeAReturningInstanceOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHolderWorld(t, 2)
		holder := w.settle()
		w.cutOff(1-holder, true)
		w.wait(10 * time.Second)
		w.cutOff(1-holder, false)
		w.cutOff(holder, true)
		since := time.Now()
		w.wait(20 * time.Second)
		w.requireHandOver(holder, 1-holder, since)
	})
}

// Guards against the same with a holder that is cut off just after it has won, before the other
// instances have reported to it.
func TestNewHolderCutOffFromTheStoreStopsBeforeTheNextOrders(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHolderWorld(t, 3)
				first := w.settle()
				w.stop[first]()
				w.cutOff(first, true)
				for w.holder() == first || w.holder() < 0 {
					w.wait(20 * time.Millisecond)
				}
				second := w.holder()
				w.wait(delay)
				w.cutOff(second, true)
				since := time.Now()
				w.wait(20 * time.Second)
				third := 3 - first - second
				if len(w.ordered[second]) == 0 {
					w.ordered[second] = []time.Time{since} // it had no time to order
				}
				w.requireHandOver(second, third, since)
			})
		})
	}
}

// The lease is extended while the store answers nobody, so that models can still be loaded.
func TestHolderExtendsItsLeaseWhileTheStoreAnswersNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHolderWorld(t, 3)
		holder := w.settle()
		var since time.Time
		for n := range 3 { // the instances notice it one after the other
			since = time.Now()
			w.refusals[n] = refused
			w.wait(700 * time.Millisecond)
		}
		w.wait(7 * time.Second)
		ordered := w.ordered[holder]
		require.Greater(t, ordered[len(ordered)-1].Sub(since), 7*time.Second)
		for n := 1; n < len(ordered); n++ {
			if ordered[n].After(since) {
				require.Less(t, ordered[n].Sub(ordered[n-1]), 2*time.Second, "without a pause longer than until all have noticed")
			}
		}
		w.wait(4 * time.Second)
		ordered = w.ordered[holder]
		require.Less(t, ordered[len(ordered)-1].Sub(since), 10*time.Second, "it stops in the end, since one that it doesn't know may win")
	})
}
