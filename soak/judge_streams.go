package soak

import (
	"slices"
	"strconv"

	"greengageferry/platform/standin"
)

// lastEvent returns the number of the last event that the caller of a stream has, after this answer.
func (r *Result) lastEvent() int {
	if events, _ := r.events(); len(events) > 0 {
		return events[len(events)-1].id
	}
	return r.resumesAfter()
}

// checkStream checks that an answer goes on right after the event that its caller had, with no event
// missing, repeated or from another stream, and that one that ends normally has the last event. Since
// callers take a stream up after the last event they have, that holds over all their tries, too.
//
// A server's own fault counts if it reaches the caller, except where no instance can tell:
//   - Ids need only increase. One that is left out where a stream goes on shows a lost event only to
//     an instance that has seen in this answer that the stream's ids are consecutive.
//     Servers leave none out within a run, where nobody could tell.
//   - A stream without a length or chunks that can't be resumed ends with its connection. If a server
//     that goes on closes that in good order too soon, nothing shows it. Servers here only do that by
//     ending, after which their addresses refuse connections.
func (c *checker) checkStream(r *Result) {
	events, rest := r.events()
	last, known, leftOut := r.resumesAfter(), 0, false
	if last > 0 {
		known = 1
	}
	for _, e := range events {
		if e.id > last+1 && known < 2 && !leftOut && c.wentOnAfter(r, last) {
			leftOut = true
			c.history.gapsNotTold++
		} else if e.id != last+1 {
			c.violated("stream events arrive in order and without gaps", "%s: event %d follows event %d in the answer after event %d", r.Ask.ID, e.id, last, r.resumesAfter())
			return
		}
		if want := standin.EventData(e.id, e.version); e.data != want {
			c.violated("stream events arrive in order and without gaps", "%s: event %d is %+v", r.Ask.ID, e.id, e)
			return
		}
		last = e.id
		known++
	}
	if r.Err == nil && (last != eventsPerStream || rest != "") {
		c.violated("a stream that ends normally is complete", "%s ended after event %d, then %q", r.Ask.ID, last, rest)
	}
}

// wentOnAfter reports whether a server was asked to go on with a stream after an event.
func (c *checker) wentOnAfter(r *Result, event int) bool {
	return slices.ContainsFunc(c.runsByID[r.Ask.ID], func(a standin.Arrival) bool { return a.Ask.LastEvent == strconv.Itoa(event) })
}
