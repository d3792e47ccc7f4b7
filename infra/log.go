package infra

import (
	"context"
	"time"
)

// Offset is a record's place in its stream. The first record of a stream has
// offset 1; zero means "before the first".
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	Data   []byte // an encoded record.Record; opaque to the log
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record // ascending, without gaps; may be empty
	Oldest  Offset   // the oldest offset that the stream still keeps (Next if it keeps none)
	Next    Offset   // the offset that the next append will get
}

// Log is the platform's append-only log service. Streams are independent: an
// order holds within one stream only.
type Log interface {
	// Append adds the records in order, as one unit, and returns the offset of
	// the first. On an error with EffectUnknown they may be on the log.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)

	// Read returns up to max records with offsets of at least from. If there
	// are none it waits up to wait for one to arrive. A from older than the
	// oldest kept record gives ReasonOutOfRange together with a Batch whose
	// Oldest and Next are set.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error)
}

// The names of the log's streams.
const (
	StreamConfig     = "config"     // which file versions are in force
	StreamQuarantine = "quarantine" // fingerprints of requests that crash backend servers
)

// ControlStream names the stream of a failure domain's lease and assignments.
func ControlStream(domain string) string { return "control/" + domain }
