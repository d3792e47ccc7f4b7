package respbody

// maxTail is how many bytes at the end of a stream decide whether it ends after an event: a
// line break and a blank line, of two bytes each at most.
const maxTail = 4

// eventTail holds the newest bytes of a stream of server-sent events.
type eventTail struct {
	bytes [maxTail]byte // the last min(size, maxTail) bytes, at the end of the array
	size  int64         // bytes of the whole stream
}

// add appends bytes of the stream.
func (t *eventTail) add(p []byte) {
	t.size += int64(len(p))
	if len(p) > maxTail {
		p = p[len(p)-maxTail:]
	}
	copy(t.bytes[:], t.bytes[len(p):])
	copy(t.bytes[maxTail-len(p):], p)
}

// afterEvent reports whether the stream ends after an event, that is with a blank line, or is
// empty. Lines end with CRLF, LF or CR.
func (t *eventTail) afterEvent() bool {
	rest := t.newest()
	if len(rest) == 0 {
		return true
	}
	rest, ok := cutLineBreak(rest)
	if !ok {
		return false
	}
	if len(rest) == 0 {
		return true
	}
	_, ok = cutLineBreak(rest)
	return ok
}

// newest returns the newest bytes of the stream.
func (t *eventTail) newest() []byte { return t.bytes[maxTail-min(t.size, maxTail):] }

// endOfLastEvent returns where the last event ends that ends in p, the next bytes of the stream, 0 if
// none does.
func (t *eventTail) endOfLastEvent(p []byte) int {
	end := EndOfLastEvent(p, 0)
	if rest, _ := cutLineBreak(p[:end]); len(rest) > 0 {
		return end
	}
	// The line break at the beginning of p ends an event only after another one.
	var joined [2 * maxTail]byte
	before := t.newest()
	if EndOfLastEvent(append(append(joined[:0], before...), p[:end]...), len(before)) > 0 {
		return end
	}
	return 0
}

// EndOfLastEvent returns where the last event ends that ends in data after the first from bytes, 0 if
// none does.
func EndOfLastEvent(data []byte, from int) int {
	for end := len(data); end > from; end-- {
		rest, ok := cutLineBreak(data[:end])
		if !ok {
			continue
		}
		if _, ok := cutLineBreak(rest); ok || len(rest) == 0 {
			return end
		}
	}
	return 0
}

// cutLineBreak removes the line break at the end of b, and reports whether there is one.
func cutLineBreak(b []byte) ([]byte, bool) {
	n := len(b)
	switch {
	case n >= 2 && b[n-2] == '\r' && b[n-1] == '\n':
		return b[:n-2], true
	case n >= 1 && (b[n-1] == '\n' || b[n-1] == '\r'):
		return b[:n-1], true
	}
	return b, false
}
