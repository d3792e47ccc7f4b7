package claims

import "fmt"

// Error reports a failed claim. Its verdict is NotKept or Uncertain.
type Error struct {
	Shard   uint32
	Verdict Verdict
	Err     error // error of the batcher asked last
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("claim on shard %d %s: %v", e.Shard, e.Verdict, e.Err)
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// NotReadyError reports that a batcher hasn't yet read all unexpired claims of its
// shard and so can't tell whether a key is held.
type NotReadyError struct{ Shard uint32 }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("shard %d isn't read yet", e.Shard)
}

// FullError reports that a shard has reached MaxClaimsPerShard.
type FullError struct {
	Shard  uint32
	Claims int // claims in the shard
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("shard %d remembers %d claims", e.Shard, e.Claims)
}

// String returns the verdict's name for logs.
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
