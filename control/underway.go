package control

import (
	"sync"
	"time"

	"greengageferry/infra"
)

// inFlightOrders tracks the orders that this instance has sent, or is about to
// send, and that may still take effect. It is shared by the goroutines that send
// orders and those that call Controller.Applied; the mutex is held only for map
// operations.
//
// An order is begun before its sender checks that its assignment is still the
// newest. So once Applied has returned an offset, no order of an older assignment
// from this instance can arrive: one begun earlier would have lowered the offset,
// and one begun later is dropped by the check.
type inFlightOrders struct {
	lateOrderWindow time.Duration // how long after its call an unanswered order may still arrive

	mu     sync.Mutex
	lastID int
	orders map[int]inFlightOrder
}

type inFlightOrder struct {
	assignment infra.Offset
	expiresAt  time.Time // end of its lateOrderWindow; zero: its call is running
}

func newInFlightOrders(lateOrderWindow time.Duration) *inFlightOrders {
	return &inFlightOrders{lateOrderWindow: lateOrderWindow, orders: map[int]inFlightOrder{}}
}

// begin adds an order of the assignment and returns its id.
func (u *inFlightOrders) begin(assignment infra.Offset) (id int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastID++
	u.orders[u.lastID] = inFlightOrder{assignment: assignment}
	return u.lastID
}

// end handles the end of an order's call. Without an answer the order stays in
// flight for the lateOrderWindow.
func (u *inFlightOrders) end(now time.Time, id int, answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if answered {
		delete(u.orders, id)
		return
	}
	o := u.orders[id]
	o.expiresAt = now.Add(u.lateOrderWindow)
	u.orders[id] = o
}

// lowestAssignment returns the lowest assignment that has an order in flight, but
// at most limit. It removes orders whose lateOrderWindow has ended.
func (u *inFlightOrders) lowestAssignment(now time.Time, limit infra.Offset) infra.Offset {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, o := range u.orders {
		if !o.expiresAt.IsZero() && !now.Before(o.expiresAt) {
			delete(u.orders, id)
			continue
		}
		limit = min(limit, o.assignment)
	}
	return limit
}

// idle reports whether no order is in flight.
func (u *inFlightOrders) idle(now time.Time) bool {
	u.lowestAssignment(now, 0)
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.orders) == 0
}
