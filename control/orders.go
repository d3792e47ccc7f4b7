package control

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/infra"
)

// dueOrder is an order that may be sent to a server now.
type dueOrder struct {
	target   *server
	needed   neededOrder
	unfenced bool // the engine ignores fencing tokens
	rank     int
}

// The ranks of orders, in sending order: fences and unloads, which cost the
// weight stores no load; loads of a target's first replica; other loads.
const (
	rankNoLoad = iota
	rankFirstReplica
	rankMoreReplicas
)

// addDueOrders adds the orders that are due on the servers to the actions, by
// rank, with loads within the stores' limits. If all servers of a domain restart
// empty, there are more loads than its share of a store allows for minutes; the
// ranks keep some models' second replicas from loading before the only replicas
// of others.
func (c *core) addDueOrders(now time.Time, a *actions, byHolder bool, serverIDs []string) {
	if !c.member.mayOrder(c.view) {
		return
	}
	due := c.dueOrders(now, serverIDs)
	if len(due) == 0 {
		return
	}
	loadsInProgress := c.loadsInProgress(now)
	for _, d := range due {
		kind := d.needed.order.Kind
		if !byHolder && kind == infra.OrderUnload {
			continue // restoring only loads; it never unloads
		}
		if kind == infra.OrderLoad && !c.reserveLoad(now, d.needed.order.Item, loadsInProgress) {
			continue
		}
		c.recordSent(now, d.target, d.needed)
		a.orders = append(a.orders, outgoingOrder{server: d.target.id, addr: d.target.addr, order: d.needed.order, byHolder: byHolder, unfenced: d.unfenced})
		c.logOrder(d.target, d.needed, byHolder)
	}
}

func (c *core) dueOrders(now time.Time, serverIDs []string) []dueOrder {
	var out []dueOrder
	for _, id := range serverIDs {
		target, want := c.servers[id], c.view.Servers[id]
		if target == nil || want == nil || target.addr == "" || target.failures > 0 {
			continue
		}
		unfenced := c.ignoresFence(want.Pool)
		for _, needed := range reconcile(now, c.limits, target, want, unfenced) {
			out = append(out, dueOrder{target: target, needed: needed, unfenced: unfenced})
		}
	}
	if len(out) > 1 {
		rankOrders(out, c.readyNames())
	}
	return out
}

// rankOrders sets the orders' ranks and sorts by them. ready has the target names
// that are served; rankOrders adds those that the orders load.
func rankOrders(orders []dueOrder, ready map[string]bool) {
	for i, d := range orders {
		name := targetName(d.needed.order.Item)
		switch {
		case d.needed.order.Kind != infra.OrderLoad:
			orders[i].rank = rankNoLoad
		case ready[name]:
			orders[i].rank = rankMoreReplicas
		default:
			orders[i].rank = rankFirstReplica
			ready[name] = true
		}
	}
	slices.SortStableFunc(orders, func(a, b dueOrder) int { return cmp.Compare(a.rank, b.rank) })
}

// readyNames returns the target names that the domain serves.
func (c *core) readyNames() map[string]bool {
	out := map[string]bool{}
	for _, s := range c.view.Servers {
		for _, i := range s.Ready {
			out[targetName(i)] = true
		}
	}
	return out
}

// reserveLoad reports whether the item may be loaded within its store's limits,
// and counts the load if so.
func (c *core) reserveLoad(now time.Time, i infra.Item, inProgress map[string]int) bool {
	partner := c.owner(i)
	if !c.limiter.allow(now, partner, inProgress[partner]) {
		c.increment("loads_paced")
		return false
	}
	inProgress[partner]++
	return true
}

// loadsInProgress counts the loads in progress, by partner: those that a status
// shows, and those ordered that no status shows yet. An ordered load that is due
// again counts as lost.
func (c *core) loadsInProgress(now time.Time) map[string]int {
	out := map[string]int{}
	for _, s := range c.servers {
		if s.status == nil {
			continue
		}
		for _, r := range s.status.Items {
			if r.State == infra.ItemLoading {
				out[c.owner(r.Item)]++
			}
		}
		for key, o := range s.sent {
			if key.kind == infra.OrderLoad && !s.isDue(now, c.limits, key) {
				out[c.owner(o.item)]++
			}
		}
	}
	return out
}

// owner returns the partner whose store an item is loaded from.
func (c *core) owner(i infra.Item) string {
	if c.cfg == nil {
		return ""
	}
	if i.Adapter != "" {
		return c.cfg.Adapters[i.Adapter].Owner
	}
	return c.cfg.Models[i.Model].Owner
}

func (c *core) recordSent(now time.Time, s *server, needed neededOrder) {
	key := orderKey{kind: needed.order.Kind, item: needed.order.Item.Key()}
	tries := s.sent[key].tries + 1
	s.sent[key] = sentOrder{item: needed.order.Item, fence: infra.Offset(needed.order.Fence), at: now, tries: tries}
}
