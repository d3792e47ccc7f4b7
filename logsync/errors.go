package logsync

import (
	"fmt"

	"greengageferry/infra"
)

// BehindError says that a follower had not read far enough in time.
type BehindError struct {
	Stream string
	Wanted infra.Offset
	Offset infra.Offset // last applied
	Err    error        // why the wait ended
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("stream %s: offset %d wanted, at %d: %v", e.Stream, e.Wanted, e.Offset, e.Err)
}

// Unwrap returns why the wait ended.
func (e *BehindError) Unwrap() error { return e.Err }

// GapError says that the log answered a read with records missing.
type GapError struct {
	Stream string
	Offset infra.Offset // last applied
	Oldest infra.Offset // the next record that came
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: after offset %d came %d", e.Stream, e.Offset, e.Oldest)
}

// NoStateError says that records aged out, or the log is down, and neither a
// checkpoint nor a peer makes up for it.
type NoStateError struct {
	Stream  string
	AtLeast infra.Offset // what a state would have to cover
	Err     error        // the peers' failure; nil: there are none to ask
}

// Error implements error.
func (e *NoStateError) Error() string {
	return fmt.Sprintf("stream %s: no state that covers offset %d: %v", e.Stream, e.AtLeast, e.Err)
}

// Unwrap returns the peers' failure.
func (e *NoStateError) Unwrap() error { return e.Err }
