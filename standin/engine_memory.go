package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageferry/platform"
)

// reloadPause is how long a load waits after the store failed it.
const reloadPause = time.Second

// residentItem is an item that takes memory.
type residentItem struct {
	item  platform.Item
	state platform.ItemState
	users int // requests that run on it
	stop  context.CancelFunc
}

// residents lists the items, sorted. The caller holds mu.
func (e *Engine) residents() []platform.ResidentItem {
	var list []platform.ResidentItem
	for _, r := range e.items {
		list = append(list, platform.ResidentItem{Item: r.item, State: r.state})
	}
	slices.SortFunc(list, func(a, b platform.ResidentItem) int {
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

// order implements platform.Engine's Order for one server.
func (e *Engine) order(ctx context.Context, order platform.Order) error {
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
func (e *Engine) carryOut(order platform.Order) error {
	const op = "engine.order"
	if !e.options.IgnoresFence {
		if order.Fence < e.fence {
			return refusal(op, e.options.ID, platform.ReasonStaleFence)
		}
		e.fence = order.Fence
	}
	switch order.Kind {
	case platform.OrderFence:
		return nil
	case platform.OrderLoad:
		return e.beginLoad(order.Item)
	case platform.OrderUnload:
		e.beginUnload(order.Item.Key())
		return nil
	}
	return refusal(op, e.options.ID, platform.ReasonBadRequest)
}

// beginLoad gives the item its memory, or refuses it. The caller holds mu.
func (e *Engine) beginLoad(item platform.Item) error {
	const op = "engine.order"
	if r := e.items[item.Key()]; r != nil {
		if r.state == platform.ItemUnloading {
			return refusal(op, e.options.ID, platform.ReasonOverloaded)
		}
		return nil
	}
	if used := e.used(); used+item.MiB > e.options.MemoryMiB {
		e.truth.violated(ViolationOvercommit, fmt.Sprintf("load of %v (%d MiB) with %d of %d MiB taken", item.Key(), item.MiB, used, e.options.MemoryMiB))
		return refusal(op, e.options.ID, platform.ReasonNoMemory)
	}
	ctx, stop := context.WithCancel(e.boot)
	r := &residentItem{item: item, state: platform.ItemLoading, stop: stop}
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
	if ctx.Err() == nil && r.state == platform.ItemLoading {
		r.state = platform.ItemReady
		e.truth.loaded()
	}
}

// beginUnload starts to drop an item. Its memory is taken until the requests
// that run on it have ended and the unloading is done. The caller holds mu.
func (e *Engine) beginUnload(key platform.Key) {
	r := e.items[key]
	if r == nil || r.state == platform.ItemUnloading {
		return
	}
	r.stop()
	r.state = platform.ItemUnloading
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
func (e *Engine) ready(req platform.GenerateRequest) ([]*residentItem, bool) {
	if req.Adapter == "" {
		r := e.items[platform.Key{Model: req.Model, Version: req.Version}]
		return []*residentItem{r}, r != nil && r.state == platform.ItemReady
	}
	adapter := e.items[platform.Key{Model: req.Model, Adapter: req.Adapter, Version: req.Version}]
	if adapter == nil || adapter.state != platform.ItemReady {
		return nil, false
	}
	for key, r := range e.items {
		if key.Model == req.Model && key.Adapter == "" && r.state == platform.ItemReady {
			return []*residentItem{adapter, r}, true
		}
	}
	return nil, false
}

// release ends a request's use of its items. The caller holds mu.
func (e *Engine) release(items []*residentItem) {
	for _, r := range items {
		r.users--
		if r.users == 0 && r.state == platform.ItemUnloading {
			e.finishUnload(r)
		}
	}
}
