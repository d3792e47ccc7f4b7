package control

import (
	"sync"
	"time"

	"greengageferry/infra"
)

// underWay knows the orders that this instance has sent, or is about to send,
// and that may still take effect. It is shared by the goroutines that send
// orders and those that answer Applied; the mutex is held for map operations
// only.
//
// An order is begun before the sender looks whether its assignment is still
// the newest. So once an instance has answered Applied with an offset, no
// order of an older assignment of its can arrive any more: one begun earlier
// is counted, and one begun later is dropped.
type underWay struct {
	late time.Duration // how long an order without an answer may yet arrive

	mu     sync.Mutex
	next   int
	orders map[int]orderUnderWay
}

type orderUnderWay struct {
	assignment infra.Offset
	until      time.Time // zero: its call has not ended
}

func newUnderWay(late time.Duration) *underWay {
	return &underWay{late: late, orders: map[int]orderUnderWay{}}
}

// begin notes an order of the assignment.
func (u *underWay) begin(assignment infra.Offset) (id int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	u.orders[u.next] = orderUnderWay{assignment: assignment}
	return u.next
}

// end notes the end of an order's call. Without an answer the order stays
// under way for the time that it may be late.
func (u *underWay) end(now time.Time, id int, answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if answered {
		delete(u.orders, id)
		return
	}
	o := u.orders[id]
	o.until = now.Add(u.late)
	u.orders[id] = o
}

// floor returns the smallest assignment that has an order under way, but at
// most the offset given. Orders that can't be late any more are forgotten.
func (u *underWay) floor(now time.Time, offset infra.Offset) infra.Offset {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, o := range u.orders {
		if !o.until.IsZero() && !now.Before(o.until) {
			delete(u.orders, id)
			continue
		}
		offset = min(offset, o.assignment)
	}
	return offset
}

// idle says whether no order is under way.
func (u *underWay) idle(now time.Time) bool {
	u.floor(now, 0)
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.orders) == 0
}
