package logsync

import (
	"fmt"

	"greengageferry/infra"
)

// BehindError reports that a follower did not reach an offset in time.
type BehindError struct {
	Stream string
	Wanted infra.Offset // the offset to reach
	Offset infra.Offset // the last applied offset
	Err    error        // why the wait ended
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("stream %s: offset %d wanted, at %d: %v", e.Stream, e.Wanted, e.Offset, e.Err)
}

// Unwrap returns the reason why the wait ended.
func (e *BehindError) Unwrap() error { return e.Err }

// GapError reports that the log skipped records in its answer to a read.
type GapError struct {
	Stream     string
	Offset     infra.Offset // last applied
	NextOffset infra.Offset // the offset of the record that was read next
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: records missing between offsets %d and %d", e.Stream, e.Offset, e.NextOffset)
}

// NoStateError reports that records have aged out or the log is down, and that
// neither a checkpoint on the log nor a peer provides the missing state.
type NoStateError struct {
	Stream  string
	AtLeast infra.Offset // the offset that the state must cover
	Err     error        // why the peers did not provide it; nil: no peers are configured
}

// Error implements error.
func (e *NoStateError) Error() string {
	return fmt.Sprintf("stream %s: no state that covers offset %d: %v", e.Stream, e.AtLeast, e.Err)
}

// Unwrap returns the error from the peers.
func (e *NoStateError) Unwrap() error { return e.Err }
