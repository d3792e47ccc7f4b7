// Package respbody decides whether the body of an HTTP response is complete, and records how
// it is framed and how it ends. All that read the answers of servers read them through it.
//
// A body without a length and without chunks ends with its connection, so its end looks the
// same whether the server had finished or its process died. Only its content can tell: a
// stream of server-sent events is cut where it ends inside an event. It is never guessed that a
// stream is complete which ended with its connection before its first event.
package respbody

import (
	"io"
	"mime"
	"net/http"
	"strconv"
)

// Framing is how the end of a body is marked.
type Framing string

// The framings of HTTP/1.
const (
	ByLength     Framing = "length"     // Content-Length, or no body at all
	ByChunks     Framing = "chunks"     // Transfer-Encoding: chunked
	ByConnection Framing = "connection" // the connection's end is the body's end
)

// End is how a body ended.
type End string

// The ends of bodies.
const (
	Open        End = "open"         // it has not ended yet
	Whole       End = "whole"        // by its framing and, for a stream of events, after an event
	InsideEvent End = "inside_event" // a stream of events ended inside one of them
	NoEvent     End = "no_event"     // a stream of events ended with its connection before the first one
	Failed      End = "failed"       // a read returned an error
)

// contentTypeEvents is the media type of a stream of server-sent events.
const contentTypeEvents = "text/event-stream"

// TruncatedError is returned by Body.Read in place of io.EOF if the body isn't complete though
// its framing says so.
type TruncatedError struct {
	Framing Framing
	End     End
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return "the answer is truncated: its end, by " + string(e.Framing) + ", is " + string(e.End)
}

// MaxEventBytes is how many bytes a stream of server-sent events may bring without ending an event:
// many times an engine's largest event.
const MaxEventBytes = 64 << 10

// EventTooLargeError reports that a server sent more than Limit bytes without ending an event.
type EventTooLargeError struct{ Limit int }

// Error implements error.
func (e *EventTooLargeError) Error() string {
	return "an event exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

// Body is the body of a response. It is not safe for concurrent use.
type Body struct {
	io.ReadCloser
	framing Framing
	events  bool // it is a stream of server-sent events
	end     End
	tail    eventTail
	unended int // bytes since the last event's end
}

// Watch replaces the response's body by a Body and returns that. A body that is a Body already
// is returned as it is.
func Watch(res *http.Response) *Body {
	if b, ok := res.Body.(*Body); ok {
		return b
	}
	b := &Body{ReadCloser: res.Body, framing: framingOf(res), events: isEventStream(res.Header), end: Open}
	res.Body = b
	return b
}

func framingOf(res *http.Response) Framing {
	switch {
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		return ByLength
	case len(res.TransferEncoding) > 0:
		return ByChunks
	}
	return ByConnection
}

// isEventStream reports whether a response's headers announce a stream of events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == contentTypeEvents
}

// ExpectEvents sets that the body is a stream of events, whatever its Content-Type.
func (b *Body) ExpectEvents() { b.events = true }

// Events reports whether the body is a stream of events.
func (b *Body) Events() bool { return b.events }

// SetFraming sets how the server framed the body, if another instance that received it from the
// server has framed it anew.
func (b *Body) SetFraming(f Framing) { b.framing = f }

// Framing returns how the server framed the body.
func (b *Body) Framing() Framing { return b.framing }

// End returns how the body ended.
func (b *Body) End() End { return b.end }

// Read implements io.Reader. It returns io.EOF only if the body is complete, and else the
// error of the connection, a *TruncatedError or an *EventTooLargeError.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.events {
		b.addEvents(p[:n])
	}
	switch {
	case b.unended > MaxEventBytes:
		b.end = Failed
		return n, &EventTooLargeError{MaxEventBytes}
	case err == io.EOF:
		if b.end = b.endAtEOF(); b.end != Whole {
			return n, &TruncatedError{b.framing, b.end}
		}
	case err != nil:
		b.end = Failed
	}
	return n, err
}

// addEvents handles bytes of a stream of events.
func (b *Body) addEvents(p []byte) {
	end := b.tail.endOfLastEvent(p)
	b.tail.add(p)
	if end > 0 {
		b.unended = 0
	}
	b.unended += len(p) - end
}

// endAtEOF returns how a body ended whose framing says that it is complete.
func (b *Body) endAtEOF() End {
	switch {
	case !b.events:
		return Whole
	case b.tail.size == 0 && b.framing == ByConnection:
		return NoEvent
	case !b.tail.afterEvent():
		return InsideEvent
	}
	return Whole
}
