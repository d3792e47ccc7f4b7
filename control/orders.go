package control

import (
	"cmp"
	"slices"
	"time"

	"greengageferry/infra"
)

// due is an order that is due on a server.
type due struct {
	s       *server
	w       wanted
	ignores bool
	rank    int
}

// The ranks of orders. What frees memory or can wait for nothing costs no load,
// so it goes first; then each model's first replica, then the others.
const (
	rankNoLoad = iota
	rankFirst
	rankMore
)

// orderAll collects the orders that are due on the servers chosen, loads within
// the stores' limits.
//
// The load it is for: a domain whose servers all came back empty, with more
// loads than its part of a store allows for minutes. The harm prevented: second
// replicas of some models loaded before the only ones of others.
func (c *core) orderAll(now time.Time, a *actions, underLog bool, chosen []string) {
	if !c.member.may(c.view) {
		return
	}
	due := c.allDue(now, chosen)
	if len(due) == 0 {
		return
	}
	loading := c.loading(now)
	for _, d := range due {
		kind := d.w.order.Kind
		if !underLog && kind == infra.OrderUnload {
			continue // a restoring brings back, and takes nothing away
		}
		if kind == infra.OrderLoad && !c.mayLoad(now, d.w.order.Item, loading) {
			continue
		}
		c.note(now, d.s, d.w)
		a.orders = append(a.orders, orderOut{server: d.s.id, addr: d.s.addr, order: d.w.order, underLog: underLog, ignores: d.ignores})
		c.logOrder(d.s, d.w, underLog)
	}
}

func (c *core) allDue(now time.Time, chosen []string) []due {
	var out []due
	for _, id := range chosen {
		s, want := c.servers[id], c.view.Servers[id]
		if s == nil || want == nil || s.addr == "" || s.failures > 0 {
			continue
		}
		ignores := c.ignoresFence(want.Pool)
		for _, w := range reconcile(now, c.l, s, want, ignores) {
			out = append(out, due{s: s, w: w, ignores: ignores})
		}
	}
	if len(out) > 1 {
		rankOrders(out, c.readyNames())
	}
	return out
}

// rankOrders sorts the orders by rank; ready has the names that are served, and
// gets those that are now going to be.
func rankOrders(orders []due, ready map[string]bool) {
	for i, d := range orders {
		name := nameOf(d.w.order.Item)
		switch {
		case d.w.order.Kind != infra.OrderLoad:
			orders[i].rank = rankNoLoad
		case ready[name]:
			orders[i].rank = rankMore
		default:
			orders[i].rank = rankFirst
			ready[name] = true
		}
	}
	slices.SortStableFunc(orders, func(a, b due) int { return cmp.Compare(a.rank, b.rank) })
}

// readyNames returns what the domain serves, by name.
func (c *core) readyNames() map[string]bool {
	out := map[string]bool{}
	for _, s := range c.view.Servers {
		for _, i := range s.Ready {
			out[nameOf(i)] = true
		}
	}
	return out
}

func (c *core) mayLoad(now time.Time, i infra.Item, loading map[string]int) bool {
	partner := c.owner(i)
	if !c.pace.take(now, partner, loading[partner]) {
		c.add("loads_paced")
		return false
	}
	loading[partner]++
	return true
}

// loading counts the loads under way by partner: those that a status shows,
// and those ordered that none shows yet. One that had its time to show counts
// as lost: it is due again.
func (c *core) loading(now time.Time) map[string]int {
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
			if key.kind == infra.OrderLoad && !s.due(now, c.l, key) {
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

func (c *core) note(now time.Time, s *server, w wanted) {
	key := orderKey{kind: w.order.Kind, item: w.order.Item.Key()}
	tries := s.sent[key].tries + 1
	s.sent[key] = sentOrder{item: w.order.Item, fence: infra.Offset(w.order.Fence), at: now, tries: tries}
}
