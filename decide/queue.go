package decide

import (
	"cmp"
	"container/heap"
	"slices"
)

const (
	// priorityHeadStart is what one step of priority is worth in the queue:
	// about an interactive deadline, so that a planner's order goes before a
	// batch of ordinary ones that came earlier.
	priorityHeadStart = 10.0 // seconds
	// turns is the cycle of dequeues in which each class goes first once at
	// least: a flood of high priorities slows the others down and never stops
	// them.
	turns = 4
)

// The classes of a queue, in the order in which they go on most turns.
const (
	prioritized = iota
	ordinary
	suspected // only beside requests that aren't suspects: it mustn't hold up the others
	// tooLate is for requests that can't make their goal any more. In overload
	// each one that went before a later one would make that one late as well, and
	// in the end all would be; so they get what the others leave.
	tooLate
	classes
)

// turnOrder is the order of the classes on each turn.
var turnOrder = [turns][classes]int{
	{prioritized, ordinary, suspected, tooLate},
	{suspected, prioritized, ordinary, tooLate},
	{prioritized, ordinary, suspected, tooLate},
	{ordinary, prioritized, suspected, tooLate},
}

// queue holds the requests that wait for one target, those that have to start
// first in front. It is bounded by deadlines, since what can't make its own is
// refused, and by Limits.Queued over all queues.
type queue struct {
	heaps [classes]flightHeap
	turn  int
}

func (q *queue) len() int {
	n := 0
	for i := range q.heaps {
		n += len(q.heaps[i])
	}
	return n
}

func (q *queue) push(f *flight) {
	f.class = classOf(f)
	heap.Push(&q.heaps[f.class], f)
}

// head returns the i-th request to try for a slot, or nil.
func (q *queue) head(i int) *flight {
	h := q.heaps[turnOrder[q.turn%turns][i]]
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// take removes a request that got a slot.
func (q *queue) take(f *flight) {
	q.turn++
	q.remove(f)
}

func (q *queue) remove(f *flight) { heap.Remove(&q.heaps[f.class], f.place) }

// last returns a request that would go among the last, or nil.
func (q *queue) last() *flight {
	for _, class := range [classes]int{tooLate, ordinary, prioritized, suspected} {
		if h := q.heaps[class]; len(h) > 0 {
			return h[len(h)-1]
		}
	}
	return nil
}

// ahead counts the waiting requests that go before f.
func (q *queue) ahead(f *flight) int {
	n := q.heaps[prioritized].before(f)
	if classOf(f) == tooLate {
		return len(q.heaps[prioritized]) + len(q.heaps[ordinary]) + q.heaps[tooLate].before(f)
	}
	if classOf(f) == ordinary {
		n = len(q.heaps[prioritized]) + q.heaps[ordinary].before(f)
	}
	return n
}

// sorted appends the waiting requests in the order in which they go.
func (q *queue) sorted(to []*flight) []*flight {
	for class := range q.heaps {
		begin := len(to)
		to = append(to, q.heaps[class]...)
		slices.SortFunc(to[begin:], func(a, b *flight) int { return cmp.Compare(a.order, b.order) })
	}
	return to
}

func classOf(f *flight) int {
	switch {
	case f.missed:
		return tooLate
	case f.Suspect:
		return suspected
	case f.Priority > 0:
		return prioritized
	}
	return ordinary
}

// flightHeap is a heap of requests by their order.
type flightHeap []*flight

func (h flightHeap) before(f *flight) int {
	n := 0
	for _, x := range h {
		if x.order <= f.order {
			n++
		}
	}
	return n
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h flightHeap) Len() int           { return len(h) }
func (h flightHeap) Less(i, j int) bool { return h[i].order < h[j].order }
func (h flightHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *flightHeap) Push(x any) {
	f := x.(*flight)
	f.place = len(*h)
	*h = append(*h, f)
}

func (h *flightHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.place = -1
	return f
}
