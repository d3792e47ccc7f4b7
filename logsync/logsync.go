// Package logsync reads and writes the streams of the platform's log. A
// Follower replays one stream into a state machine and publishes immutable
// views of its state. A Writer appends records at the rate that a Budget
// allows, and its retries never put a record on the log twice. A Checkpointer
// writes a stream's state back to the stream before its records age out, and a
// Judge validates the configuration changes on the config stream.
//
// Followers, writers, checkpointers and judges are background tasks; package
// supervise runs them.
package logsync

import (
	"context"

	"greengageferry/infra"
	"greengageferry/record"
)

// Appender appends records to the log. Writer implements it.
type Appender interface {
	// Append sets the origin and sequence number of each record, appends the
	// records to the stream in order, and returns the offset of the first. If
	// the answer to an append is lost, Append searches the log for its records
	// before sending them again, so that they appear once. After an error with
	// infra.EffectNone, the records are not on the log and will not appear.
	// After one with infra.EffectUnknown, ctx ended before this was known, and
	// the records may still appear.
	Append(ctx context.Context, stream string, records ...*record.Record) (infra.Offset, error)
}

// StateSource fetches a stream's state from a peer, so that an instance can
// start while the log is down. Package peer implements it.
type StateSource interface {
	// State returns the newest checkpoint among those of the peers that were
	// asked. The checkpoint covers at least the offset atLeast; if there is no
	// such checkpoint, State returns an error.
	State(ctx context.Context, stream string, atLeast infra.Offset) (*record.Checkpoint, error)
}
