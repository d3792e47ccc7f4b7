package infra

import (
	"context"
	"time"
)

// Offset is the position of a record in its stream. The first record has offset 1; zero is
// the position before the first record.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	Data   []byte // an encoded record.Record; opaque to the log
}

// Batch is the result of a read.
type Batch struct {
	Records []Record // in ascending order of offsets, without gaps; may be empty
	Oldest  Offset   // the oldest retained offset (Next if no record is retained)
	Next    Offset   // the offset of the next record to be appended
}

// Log is the platform's append-only log service. Records are ordered only within their
// stream.
type Log interface {
	// Append appends the records atomically, in order, and returns the offset of the
	// first. On an error with EffectUnknown the records may be on the log.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)

	// Read returns up to max records with offsets of at least from. If there are none, it
	// waits up to wait for one. If from is older than the oldest retained record, it
	// returns an *Error with ReasonOutOfRange and a Batch with Oldest and Next set.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error)
}

// The names of the log's streams.
const (
	StreamConfig     = "config"     // changes of configuration files and their verdicts
	StreamQuarantine = "quarantine" // fingerprints of requests that crashed backend servers
)

// ControlStream returns the name of the stream of a failure domain's lease and assignments.
func ControlStream(domain string) string { return "control/" + domain }
