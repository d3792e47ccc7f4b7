package claims

import "fmt"

// Error says why a claim has no standing. Its verdict is NotKept or Uncertain.
type Error struct {
	Shard   uint32
	Verdict Verdict
	Err     error // the last cause
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("claim on shard %d %s: %v", e.Shard, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotReadyError says that a batcher hasn't yet read all that its shard's stream
// remembers: it can't tell whether a key is taken.
type NotReadyError struct{ Shard uint32 }

// Error implements error.
func (e *NotReadyError) Error() string { return fmt.Sprintf("shard %d isn't read yet", e.Shard) }

// FullError says that a shard remembers as many claims as an instance may hold.
type FullError struct {
	Shard  uint32
	Claims int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("shard %d remembers %d claims", e.Shard, e.Claims)
}

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Taken:
		return "taken"
	case Conflict:
		return "conflict"
	case NotKept:
		return "not_kept"
	case Uncertain:
		return "uncertain"
	}
	return "none"
}
