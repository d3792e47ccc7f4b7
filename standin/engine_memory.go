package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageferry/infra"
)

// fetchRetryDelay is the delay before a failed fetch from the store is retried.
const fetchRetryDelay = time.Second

// residentItem is an item that occupies memory.
type residentItem struct {
	item       infra.Item
	state      infra.ItemState
	users      int // queued and running requests that use the item
	cancelLoad context.CancelFunc
}

// residentItems returns the items in memory, sorted by key. The caller holds mu.
func (e *Engine) residentItems() []infra.ResidentItem {
	var list []infra.ResidentItem
	for _, r := range e.items {
		list = append(list, infra.ResidentItem{Item: r.item, State: r.state})
	}
	slices.SortFunc(list, func(a, b infra.ResidentItem) int {
		return strings.Compare(fmt.Sprint(a.Key()), fmt.Sprint(b.Key()))
	})
	return list
}

// usedMiB returns the memory in use, in MiB. The caller holds mu.
func (e *Engine) usedMiB() int64 {
	var usedMiB int64
	for _, r := range e.items {
		usedMiB += r.item.MiB
	}
	return usedMiB
}

// order implements infra.Engine's Order for one server.
func (e *Engine) order(ctx context.Context, order infra.Order) error {
	const op = "engine.order"
	return e.Faults.inject(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.checkUp(op); err != nil {
			return err
		}
		err := e.executeOrder(order)
		e.truth.addOrder(order, err)
		return err
	})
}

// executeOrder executes an order unless its fencing number is stale. The caller
// holds mu.
func (e *Engine) executeOrder(order infra.Order) error {
	const op = "engine.order"
	if !e.options.IgnoresFence {
		if order.Fence < e.fence {
			return refusalError(op, e.options.ID, infra.ReasonStaleFence)
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
	return refusalError(op, e.options.ID, infra.ReasonBadRequest)
}

// beginLoad reserves the item's memory and starts to load it, or refuses if the
// item does not fit. The caller holds mu.
func (e *Engine) beginLoad(item infra.Item) error {
	const op = "engine.order"
	if r := e.items[item.Key()]; r != nil {
		if r.state == infra.ItemUnloading {
			return refusalError(op, e.options.ID, infra.ReasonOverloaded)
		}
		return nil
	}
	if usedMiB := e.usedMiB(); usedMiB+item.MiB > e.options.MemoryMiB {
		e.truth.addViolation(ViolationOvercommit, fmt.Sprintf("load of %v (%d MiB) with %d of %d MiB taken", item.Key(), item.MiB, usedMiB, e.options.MemoryMiB))
		return refusalError(op, e.options.ID, infra.ReasonNoMemory)
	}
	ctx, cancelLoad := context.WithCancel(e.processCtx)
	r := &residentItem{item: item, state: infra.ItemLoading, cancelLoad: cancelLoad}
	e.items[item.Key()] = r
	e.truth.updatePeak(e.usedMiB())
	e.loadTasks.Go(func() { e.runLoad(ctx, r) })
	return nil
}

// runLoad fetches the item's weights, retrying until the fetch succeeds or ctx ends.
func (e *Engine) runLoad(ctx context.Context, r *residentItem) {
	for e.options.Store != nil {
		if e.options.Store.Fetch(ctx, e.options.Partner, r.item.MiB) == nil {
			break
		}
		if sleep(ctx, fetchRetryDelay) != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil && r.state == infra.ItemLoading {
		r.state = infra.ItemReady
		e.truth.countLoad()
	}
}

// beginUnload starts to unload an item. The item occupies its memory until the
// requests that use it have ended and UnloadTime has passed. The caller holds mu.
func (e *Engine) beginUnload(key infra.Key) {
	r := e.items[key]
	if r == nil || r.state == infra.ItemUnloading {
		return
	}
	r.cancelLoad()
	r.state = infra.ItemUnloading
	e.truth.countUnload()
	if r.users == 0 {
		e.finishUnload(r)
	}
}

// finishUnload frees the item's memory after UnloadTime. The caller holds mu.
func (e *Engine) finishUnload(r *residentItem) {
	processCtx := e.processCtx
	time.AfterFunc(e.options.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if processCtx.Err() == nil {
			delete(e.items, r.item.Key())
		}
	})
}

// readyItems returns the items that a request needs and whether all are ready. An
// adapter needs any ready version of its model. The caller holds mu.
func (e *Engine) readyItems(req infra.GenerateRequest) ([]*residentItem, bool) {
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

// release ends a request's use of its items, and finishes an unload that waited
// for the request. The caller holds mu.
func (e *Engine) release(items []*residentItem) {
	for _, r := range items {
		r.users--
		if r.users == 0 && r.state == infra.ItemUnloading {
			e.finishUnload(r)
		}
	}
}
