package relay

import (
	"bytes"
	"cmp"

	"greengageferry/decide"
	"greengageferry/topology"
)

// eventState is what the lines of a stream's newest, incomplete event have said so far.
type eventState struct {
	id      string
	hasID   bool
	hasData bool
	weights int64 // version of the model's weights from this event on; 0: unchanged
}

// beginEvents prepares for the events of an answer with the headers.
func (c *call) beginEvents(headers ResponseHeaders) {
	after := ""
	if c.route.Retry == topology.Resumable {
		after = c.headers.LastEventID
	}
	if !c.stream.started {
		c.stream.order = orderAfter(after)
	}
	c.stream.scanner, c.stream.event = eventScanner{}, eventState{}
	c.stream.firstLine = true
	c.stream.resuming = c.stream.started || after != ""
	c.stream.runWeights = headers.WeightVersion
}

// takeEvents takes data of the stream before it is passed on. It returns the part that may be, and
// a *DisorderedError if that ends before an event that is out of order.
func (c *call) takeEvents(s decide.Server, data []byte) ([]byte, error) {
	var err error
	whole := 0 // where the last event ends
	c.stream.scanner.scan(data, func(line []byte, end int) bool {
		if len(line) > 0 {
			c.takeLine(line)
			return true
		}
		if err = c.endEvent(s); err == nil {
			whole = end
		}
		return err == nil
	})
	if err != nil {
		return data[:whole], err
	}
	return data, nil
}

// byteOrderMark may begin a stream and is no part of its first line.
var byteOrderMark = []byte("\ufeff")

// takeLine takes a line of an event.
func (c *call) takeLine(line []byte) {
	if c.stream.firstLine {
		c.stream.firstLine = false
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	event := &c.stream.event
	if id, ok := fieldValue(line, "id"); ok && len(line) < maxFieldBytes {
		event.id, event.hasID = id, id != ""
		return
	}
	if _, ok := fieldValue(line, "data"); ok {
		event.hasData = true
	}
	if version := c.relay.opts.Headers.EventWeightVersion(line); version != 0 {
		event.weights = version
	}
}

// endEvent takes the end of an event. It returns a *DisorderedError if the event must not be passed
// on.
func (c *call) endEvent(s decide.Server) error {
	event := c.stream.event
	c.stream.event = eventState{}
	if event.hasID {
		if err := c.checkOrder(s, event.id); err != nil {
			return err
		}
	}
	c.stream.runWeights = cmp.Or(event.weights, c.stream.runWeights)
	if c.stream.runWeights != 0 {
		c.changeWeights(s, c.stream.runWeights)
	}
	switch {
	case event.hasID:
		c.stream.lastID, c.stream.unnumbered = event.id, false
	case event.hasData:
		c.stream.unnumbered = true
	default:
		return nil // a comment
	}
	c.stream.events++
	return nil
}
