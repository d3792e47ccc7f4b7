package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageferry/infra"
)

// reloadPause is how long a load waits after the store failed it.
const reloadPause = time.Second

// residentItem is an item that takes memory.
type residentItem struct {
	item  infra.Item
	state infra.ItemState
	users int // requests that run on it
	stop  context.CancelFunc
}

// residents lists the items, sorted. The caller holds mu.
func (e *Engine) residents() []infra.ResidentItem {
	var list []infra.ResidentItem
	for _, r := range e.items {
		list = append(list, infra.ResidentItem{Item: r.item, State: r.state})
	}
	slices.SortFunc(list, func(a, b infra.ResidentItem) int {
		return strings.Compare(fmt.Sprint(a.Key()), fmt.Sprint(b.Key()))
	})
	return list
}

// used returns the memory that is taken, in MiB. The caller holds mu.
func (e *Engine) used() int64 {
	var used int64
	for _, r := range e.items {
		used += r.item.MiB
	}
	return used
}

// order implements infra.Engine's Order for one server.
func (e *Engine) order(ctx context.Context, order infra.Order) error {
	const op = "engine.order"
	return e.Faults.do(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.down(op); err != nil {
			return err
		}
		err := e.carryOut(order)
		e.truth.ordered(order, err)
		return err
	})
}

// carryOut does an order. The caller holds mu.
func (e *Engine) carryOut(order infra.Order) error {
	const op = "engine.order"
	if !e.options.IgnoresFence {
		if order.Fence < e.fence {
			return refusal(op, e.options.ID, infra.ReasonStaleFence)
		}
		e.fence = order.Fence
	}
	switch order.Kind {
	case infra.OrderFence:
		return nil
	case infra.OrderLoad:
		return e.beginLoad(order.Item)
	case infra.OrderUnload:
		e.beginUnload(order.Item.Key())
		return nil
	}
	return refusal(op, e.options.ID, infra.ReasonBadRequest)
}

// beginLoad gives the item its memory, or refuses it. The caller holds mu.
func (e *Engine) beginLoad(item infra.Item) error {
	const op = "engine.order"
	if r := e.items[item.Key()]; r != nil {
		if r.state == infra.ItemUnloading {
			return refusal(op, e.options.ID, infra.ReasonOverloaded)
		}
		return nil
	}
	if used := e.used(); used+item.MiB > e.options.MemoryMiB {
		e.truth.violated(ViolationOvercommit, fmt.Sprintf("load of %v (%d MiB) with %d of %d MiB taken", item.Key(), item.MiB, used, e.options.MemoryMiB))
		return refusal(op, e.options.ID, infra.ReasonNoMemory)
	}
	ctx, stop := context.WithCancel(e.boot)
	r := &residentItem{item: item, state: infra.ItemLoading, stop: stop}
	e.items[item.Key()] = r
	e.truth.peak(e.used())
	e.loads.Go(func() { e.runLoad(ctx, r) })
	return nil
}

// runLoad fetches an item's weights until that works or ctx ends.
func (e *Engine) runLoad(ctx context.Context, r *residentItem) {
	for e.options.Store != nil {
		if e.options.Store.Fetch(ctx, e.options.Partner, r.item.MiB) == nil {
			break
		}
		if sleep(ctx, reloadPause) != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil && r.state == infra.ItemLoading {
		r.state = infra.ItemReady
		e.truth.loaded()
	}
}

// beginUnload starts to drop an item. Its memory is taken until the requests
// that run on it have ended and the unloading is done. The caller holds mu.
func (e *Engine) beginUnload(key infra.Key) {
	r := e.items[key]
	if r == nil || r.state == infra.ItemUnloading {
		return
	}
	r.stop()
	r.state = infra.ItemUnloading
	e.truth.unloaded()
	if r.users == 0 {
		e.finishUnload(r)
	}
}

// finishUnload frees an item's memory after the time that it takes. The caller
// holds mu.
func (e *Engine) finishUnload(r *residentItem) {
	boot := e.boot
	time.AfterFunc(e.options.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if boot.Err() == nil {
			delete(e.items, r.item.Key())
		}
	})
}

// ready returns the items that a request needs if all can serve. The caller
// holds mu.
func (e *Engine) ready(req infra.GenerateRequest) ([]*residentItem, bool) {
	if req.Adapter == "" {
		r := e.items[infra.Key{Model: req.Model, Version: req.Version}]
		return []*residentItem{r}, r != nil && r.state == infra.ItemReady
	}
	adapter := e.items[infra.Key{Model: req.Model, Adapter: req.Adapter, Version: req.Version}]
	if adapter == nil || adapter.state != infra.ItemReady {
		return nil, false
	}
	for key, r := range e.items {
		if key.Model == req.Model && key.Adapter == "" && r.state == infra.ItemReady {
			return []*residentItem{adapter, r}, true
		}
	}
	return nil, false
}

// release ends a request's use of its items. The caller holds mu.
func (e *Engine) release(items []*residentItem) {
	for _, r := range items {
		r.users--
		if r.users == 0 && r.state == infra.ItemUnloading {
			e.finishUnload(r)
		}
	}
}
