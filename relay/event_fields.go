package relay

import "bytes"

// maxFieldBytes is the longest line of an event that is read: a field's name and a number.
const maxFieldBytes = 128

// eventScanner finds the lines of a stream's events as its bytes arrive. Lines end with CRLF, LF
// or CR.
type eventScanner struct {
	begun   []byte // the received part of a line, its first maxFieldBytes at most
	endedCR bool   // the newest byte was the CR that ended a line
}

// scan calls line for each line that ends in data, with its first maxFieldBytes and the position
// in data behind it, until line returns false. An empty line ends an event. The line is valid
// until line returns.
func (s *eventScanner) scan(data []byte, line func(text []byte, end int) bool) {
	at := 0
	if s.endedCR && len(data) > 0 && data[0] == '\n' {
		at = 1
	}
	if len(data) > 0 {
		s.endedCR = false
	}
	for at < len(data) {
		length := lineLength(data[at:])
		if length < 0 {
			s.begun = appendField(s.begun, data[at:])
			return
		}
		s.begun = appendField(s.begun, data[at:at+length])
		at = s.skipLineBreak(data, at+length)
		more := line(s.begun, at)
		s.begun = s.begun[:0]
		if !more {
			return
		}
	}
}

// lineLength returns the length of the line at the beginning of data, -1 if it doesn't end there.
func lineLength(data []byte) int {
	lf := bytes.IndexByte(data, '\n')
	if lf < 0 {
		return bytes.IndexByte(data, '\r')
	}
	if cr := bytes.IndexByte(data[:lf], '\r'); cr >= 0 {
		return cr
	}
	return lf
}

// skipLineBreak returns the position behind the line break at a position.
func (s *eventScanner) skipLineBreak(data []byte, at int) int {
	if data[at] == '\n' {
		return at + 1
	}
	s.endedCR = at+1 == len(data)
	if !s.endedCR && data[at+1] == '\n' {
		return at + 2
	}
	return at + 1
}

// appendField appends more of a line to its begun part, up to maxFieldBytes.
func appendField(begun, more []byte) []byte {
	return append(begun, more[:min(len(more), max(maxFieldBytes-len(begun), 0))]...)
}

// beginsEvent reports whether the received part of an event has, or begins with, a field that makes it
// one: a comment, or what is left of a line break, does not.
func beginsEvent(part []byte) bool {
	part = bytes.TrimLeft(part, "\r\n")
	return bytes.HasPrefix(part, []byte("id")) || bytes.HasPrefix(part, []byte("data"))
}

// fieldValue returns the value of the field that a line holds, and whether it has that name.
func fieldValue(line []byte, name string) (string, bool) {
	got, value, _ := bytes.Cut(line, []byte(":")) // without a colon the value is empty
	if string(got) != name {
		return "", false
	}
	return string(bytes.TrimSpace(value)), true
}
