package relay

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// requestOverhead is the estimated memory of a request in hand without its body, in bytes:
	// the goroutines and buffers of its caller's connection and of the one to its server.
	requestOverhead = 32 << 10
	// memoryRetryAfter is the Retry-After of refusals at the memory limit. It is short, since
	// other instances may have memory left.
	memoryRetryAfter = 500 * time.Millisecond
	// slowCallerGrace is how long after its request's deadline a caller may still read the
	// response.
	slowCallerGrace = 2 * time.Second

	// reasonMemoryFull is the end reason of a request that is refused at the memory limit.
	reasonMemoryFull = "memory_full"
)

// heldMemory counts the bytes that an instance holds for its callers and their servers: bodies of
// requests until these end, buffered responses until they are read, and requestOverhead for each.
// It is safe for concurrent use. The zero value has no limit.
type heldMemory struct {
	limit atomic.Int64 // bytes; 0: none
	bytes atomic.Int64
}

// reserve adds n bytes if they are within the limit, and reports whether it did.
func (m *heldMemory) reserve(n int64) bool {
	limit := m.limit.Load()
	if m.bytes.Add(n) > limit && limit > 0 {
		m.bytes.Add(-n)
		return false
	}
	return true
}

// hold adds n bytes regardless of the limit, for a response, which can't be refused any more.
func (m *heldMemory) hold(n int64) { m.bytes.Add(n) }

// release subtracts n bytes.
func (m *heldMemory) release(n int64) { m.bytes.Add(-n) }

// SetMemoryLimit sets how many bytes all requests in hand together may take; 0: no limit. Requests
// beyond it are refused.
func (r *Relay) SetMemoryLimit(bytes int64) { r.memory.limit.Store(bytes) }

// HeldBytes returns how many bytes all requests in hand together take, by estimate.
func (r *Relay) HeldBytes() int64 { return r.memory.bytes.Load() }

// reserve reserves n bytes for the call, and reports whether they were within the limit.
func (c *call) reserve(n int64) bool {
	if !c.relay.memory.reserve(n) {
		return false
	}
	c.held += n
	return true
}

// hold counts n bytes of a response that the call buffers.
func (c *call) hold(n int64) {
	c.relay.memory.hold(n)
	c.held += n
}

// releaseMemory gives back the call's memory at its end.
func (c *call) releaseMemory() {
	c.relay.memory.release(c.held)
	c.held = 0
}

// memoryFullError reports that there was no memory for a request's body.
type memoryFullError struct{}

// Error implements error.
func (*memoryFullError) Error() string { return "no memory left for the body" }

// reservingReader reads a request's body and reserves memory for it as it arrives.
type reservingReader struct {
	body io.Reader
	call *call
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && !r.call.reserve(int64(n)) {
		return n, &memoryFullError{}
	}
	return n, err
}

// refuseForMemory refuses a request at the memory limit. It closes the connection, since the body
// may be unread.
func (c *call) refuseForMemory() string {
	c.w.Header().Set("Connection", "close")
	return c.refuse(reasonMemoryFull, memoryRetryAfter)
}

// limitWriting bounds how long the caller may take to read the response to a request with the
// deadline. A caller that stops reading would otherwise keep its response in memory forever.
func (c *call) limitWriting(deadline time.Time) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(slowCallerGrace)) // always supported by net/http connections
}
