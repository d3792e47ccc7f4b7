package decide

import (
	"cmp"
	"container/heap"
	"slices"
)

const (
	// priorityHeadStart is the head start in the queue for each step of priority. It is
	// about the deadline of an interactive request, so that one urgent request is served
	// before a batch of normal ones that arrived earlier.
	priorityHeadStart = 10.0 // seconds
	// dequeueCycle is the number of dequeues in which each class is served first at least
	// once, so that a flood of high-priority requests can delay the other classes but not
	// starve them.
	dequeueCycle = 4
)

// Queue classes, in their order of service on most turns.
const (
	prioritized = iota
	ordinary
	suspect // separate, so that a suspect that waits for a server without suspects doesn't block other requests
	// tooLate holds requests that can't meet their first-token goal any more. In overload
	// each of them that was served before a later request would make that one late as
	// well, until all were late. So they only get the capacity that the other classes
	// leave.
	tooLate
	classCount
)

// Targets with room by rank have one queue class per rank, ordered by what a slot is worth to the
// requests, and the class of suspects.
const (
	firstRankClass = classCount         // class of rank 0; those of the other ranks follow
	heapCount      = classCount + Ranks // number of all classes
)

// classOrder is the order of the classes on each turn.
var classOrder = [dequeueCycle][classCount]int{
	{prioritized, ordinary, suspect, tooLate},
	{suspect, prioritized, ordinary, tooLate},
	{prioritized, ordinary, suspect, tooLate},
	{ordinary, prioritized, suspect, tooLate},
}

// queue holds the waiting requests of one target, earliest latest start first. Its size is
// bounded by deadlines, since requests that can't meet theirs are refused, and by
// maxQueued over all queues.
type queue struct {
	heaps [heapCount]requestHeap
	turn  int
}

func (q *queue) len() int {
	n := 0
	for i := range q.heaps {
		n += len(q.heaps[i])
	}
	return n
}

func (q *queue) push(req *requestState) {
	req.class = classOf(req)
	req.target.pool.countQueued(req, 1)
	heap.Push(&q.heaps[req.class], req)
}

// heads appends the first request of each class, in the order of service on the current turn:
// first those of the rank classes, by what a slot is worth to them.
func (q *queue) heads(to []*requestState) []*requestState {
	for class := firstRankClass; class < heapCount; class++ {
		to = q.appendHead(to, class)
	}
	slices.SortFunc(to, compareKeys)
	for _, class := range classOrder[q.turn%dequeueCycle] {
		to = q.appendHead(to, class)
	}
	return to
}

func (q *queue) appendHead(to []*requestState, class int) []*requestState {
	if h := q.heaps[class]; len(h) > 0 {
		return append(to, h[0])
	}
	return to
}

// lenOfRank returns the number of queued requests of a rank, without suspects, of a target with room
// by rank.
func (q *queue) lenOfRank(rank int) int { return len(q.heaps[firstRankClass+rank]) }

// dequeue removes a request that got a slot and advances the turn.
func (q *queue) dequeue(req *requestState) {
	q.turn++
	q.remove(req)
}

func (q *queue) remove(req *requestState) {
	req.target.pool.countQueued(req, -1)
	heap.Remove(&q.heaps[req.class], req.heapIndex)
}

// lowest returns the last element of the least urgent class that isn't empty, or nil. In a
// heap that is one of the last to be served, not necessarily the very last. Among rank classes it is
// the one to which a slot is worth least.
func (q *queue) lowest() *requestState {
	var last *requestState
	for _, h := range q.heaps[firstRankClass:] {
		if len(h) > 0 && (last == nil || h[len(h)-1].queueKey > last.queueKey) {
			last = h[len(h)-1]
		}
	}
	if last != nil {
		return last
	}
	for _, class := range [classCount]int{tooLate, ordinary, prioritized, suspect} {
		if h := q.heaps[class]; len(h) > 0 {
			return h[len(h)-1]
		}
	}
	return nil
}

// countAhead returns the number of queued requests that are served before req.
func (q *queue) countAhead(req *requestState) int {
	if classOf(req) >= firstRankClass {
		n := 0
		for class := firstRankClass; class < heapCount; class++ {
			n += q.heaps[class].countBefore(req)
		}
		return n
	}
	n := q.heaps[prioritized].countBefore(req)
	if classOf(req) == tooLate {
		return len(q.heaps[prioritized]) + len(q.heaps[ordinary]) + q.heaps[tooLate].countBefore(req)
	}
	if classOf(req) == ordinary {
		n = len(q.heaps[prioritized]) + q.heaps[ordinary].countBefore(req)
	}
	return n
}

// sorted appends the queued requests in their order of service.
func (q *queue) sorted(to []*requestState) []*requestState {
	for class := range classCount {
		begin := len(to)
		to = append(to, q.heaps[class]...)
		slices.SortFunc(to[begin:], compareKeys)
	}
	begin := len(to)
	for _, h := range q.heaps[firstRankClass:] {
		to = append(to, h...)
	}
	slices.SortFunc(to[begin:], compareKeys)
	return to
}

// compareKeys orders requests by their queue keys.
func compareKeys(a, b *requestState) int { return cmp.Compare(a.queueKey, b.queueKey) }

// classOf returns the request's queue class.
func classOf(req *requestState) int {
	switch {
	case req.target.roomByRank && req.Suspect:
		return suspect
	case req.target.roomByRank:
		return firstRankClass + RankIndex(req.Rank)
	case req.goalMissed:
		return tooLate
	case req.Suspect:
		return suspect
	case req.Priority > 0:
		return prioritized
	}
	return ordinary
}

// requestHeap is a min-heap of requests by queueKey.
type requestHeap []*requestState

func (h requestHeap) countBefore(req *requestState) int {
	n := 0
	for _, x := range h {
		if x.queueKey <= req.queueKey {
			n++
		}
	}
	return n
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].queueKey < h[j].queueKey }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *requestHeap) Push(x any) {
	req := x.(*requestState)
	req.heapIndex = len(*h)
	*h = append(*h, req)
}

func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	req := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	req.heapIndex = -1
	return req
}
