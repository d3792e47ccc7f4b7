package relay

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
)

// orderFault says how an event's id doesn't follow the ones before.
type orderFault string

// The faults of an event's id.
const (
	orderRight    orderFault = ""
	orderRepeated orderFault = "repeated" // the id of the event before
	orderBack     orderFault = "back"     // lower than that, or one that came earlier
	orderSkipped  orderFault = "skipped"  // more than one higher: ids increase, but need not be consecutive
	orderUnlike   orderFault = "unlike"   // a number after one that is none, or the reverse
)

// maxOtherIDs bounds the ids that are no numbers of which a stream remembers that it had them.
const maxOtherIDs = 1024

// eventOrder follows the ids of a stream's events, over all answers that bring it.
type eventOrder struct {
	newest  eventID
	known   bool            // there is a newest id
	decimal eventID         // the newest that is a number
	counts  bool            // there is one
	others  map[string]bool // ids that are no numbers, the first maxOtherIDs

	consecutive int // pairs of ids within one server's run of which the second is one higher
	skips       int // such pairs of which it is more than that
}

// orderAfter returns the order of a stream that goes on after the event with the id, "" if it begins.
func orderAfter(id string) eventOrder {
	var o eventOrder
	if id != "" {
		o.set(parseEventID(id))
	}
	return o
}

// set makes an id the newest one.
func (o *eventOrder) set(id eventID) {
	o.newest, o.known = id, true
	if id.kind == idDecimal {
		o.decimal, o.counts = id, true
		return
	}
	if o.others == nil {
		o.others = map[string]bool{}
	}
	if len(o.others) < maxOtherIDs {
		o.others[id.text] = true
	}
}

// check says how an id fails to follow the ones before.
func (o *eventOrder) check(id eventID) orderFault {
	switch {
	case o.known && id.text == o.newest.text:
		return orderRepeated
	case o.others[id.text]:
		return orderBack
	case o.known && id.kind != o.newest.kind:
		return orderUnlike
	case !o.counts || id.kind != idDecimal:
		return orderRight
	}
	switch id.compare(o.decimal) {
	case 0:
		return orderRepeated
	case -1:
		return orderBack
	}
	if !id.follows(o.decimal) {
		return orderSkipped
	}
	return orderRight
}

// take makes the id of an event that is passed on the newest one. inRun says that the same server
// sent the one before.
func (o *eventOrder) take(id eventID, inRun bool) {
	if inRun && o.counts && id.kind == idDecimal {
		if id.follows(o.decimal) {
			o.consecutive++
		} else {
			o.skips++
		}
	}
	o.set(id)
}

// The places of events whose ids are out of order.
const (
	inRun        = "run"        // within what one server sent
	atResumption = "resumption" // the first event of a server at which the stream goes on
)

// DisorderedError reports that a server sent an event that can't follow those before it.
type DisorderedError struct {
	Event string // id
	After string // id of the event before
	Fault string // "repeated", "back", "skipped" or "unlike"
	Place string // "run" or "resumption"
}

// Error implements error.
func (e *DisorderedError) Error() string {
	return "event " + e.Event + " after event " + e.After + " is out of order: " + e.Fault + " in a " + e.Place
}

// isDisordered reports whether an error is a *DisorderedError.
func isDisordered(err error) bool {
	var e *DisorderedError
	return errors.As(err, &e)
}

// isDisorderedAt reports whether an error is a *DisorderedError at a place.
func isDisorderedAt(err error, place string) bool {
	var e *DisorderedError
	return errors.As(err, &e) && e.Place == place
}

// checkOrder takes the id of an event that has arrived. It counts whether the id is out of order, and
// returns a *DisorderedError if the event must not be passed on.
func (c *call) checkOrder(s decide.Server, text string) error {
	id, order := parseEventID(text), &c.stream.order
	place := inRun
	if c.stream.resuming {
		place = atResumption
	}
	fault := order.check(id)
	e := &DisorderedError{text, order.newest.text, string(fault), place}
	if fault != orderRight {
		c.noteDisorder(s, e)
	}
	if c.rejects(fault, place, text) {
		return e
	}
	order.take(id, place == inRun)
	c.stream.resuming = false
	return nil
}

// rejects reports whether an event with the id must not be passed on.
func (c *call) rejects(fault orderFault, place, id string) bool {
	switch fault {
	case orderRepeated, orderBack:
		return true
	case orderUnlike:
		return c.stream.started && place == atResumption
	case orderSkipped:
		return place == atResumption && c.lostEvent(id)
	}
	return false
}

// lostEvent reports whether an id that doesn't directly follow, where the stream goes on at another
// server, shows that events are lost: the service numbers its events one by one, and no other server
// went on with the same id.
func (c *call) lostEvent(id string) bool {
	again := c.stream.skippedTo == id
	c.stream.skippedTo = id
	return !again && c.relay.numbering.consecutive(c.service.Name, c.stream.order)
}

// noteDisorder counts an event that is out of order, and logs the first of the call. One server may
// number its events as it likes, as long as ids increase.
func (c *call) noteDisorder(s decide.Server, e *DisorderedError) {
	c.relay.opts.Metrics.CountEventOrder(e.Place, e.Fault)
	if c.stream.disorderLogged || e.Place == inRun && e.Fault == string(orderSkipped) {
		return
	}
	c.stream.disorderLogged = true
	c.relay.opts.Log.WithFields(logrus.Fields{
		"request": c.headers.ID, "resumes": c.headers.Resumes, "server": s.ID, "server_start": s.Start,
		"fault": e.Fault, "place": e.Place, "event": e.Event, "event_before": e.After,
	}).Warn("stream event out of order")
}
