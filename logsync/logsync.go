// Package logsync keeps an instance in step with the platform's log: a
// Follower reads one stream into a replay machine, and a Writer appends within
// the instance's part of the log's budget, never twice.
package logsync

import (
	"context"

	"greengageferry/infra"
	"greengageferry/record"
)

// Appender puts records on the log. Writer implements it.
type Appender interface {
	// Append gives each record this writer's origin and next sequence, puts
	// them on the stream in order, and returns the offset of the first. An
	// append whose answer was lost is looked for on the log before it is sent
	// again, so that it is there once. On an error with infra.EffectNone
	// nothing is on the log and nothing will be; on one with
	// infra.EffectUnknown that could not be found out before ctx ended, and
	// the records may yet be found there.
	Append(ctx context.Context, stream string, records ...*record.Record) (infra.Offset, error)
}

// StateSource gives a stream's state from a peer, for a start while the log is
// down. The peer package implements it.
type StateSource interface {
	// State returns the newest checkpoint that any reachable peer has, covering
	// at least atLeast, or an error.
	State(ctx context.Context, stream string, atLeast infra.Offset) (*record.Checkpoint, error)
}
