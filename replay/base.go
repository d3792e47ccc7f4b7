package replay

import (
	"greengageferry/infra"
	"greengageferry/record"
)

// Kind is the field name of a record's body in record.proto, or KindUnknown.
type Kind string

// KindUnknown is the kind of a record without a body, or with one that this
// program doesn't know.
const KindUnknown Kind = "unknown"

// Count counts the records of one kind by result.
type Count struct {
	Applied    uint64 // took effect; checkpoints count here too
	NoEffect   uint64 // not allowed by the state at their offset
	Duplicate  uint64 // already read with the same origin and sequence
	Unexpected uint64 // of a kind that belongs to another stream or is unknown
}

// machineBase is the part that all machines share: the offset, the detection of
// duplicate records, and the counters.
type machineBase struct {
	offset infra.Offset
	dedup  dedup
	counts map[Kind]Count
}

func newMachineBase() machineBase {
	return machineBase{dedup: dedup{}, counts: map[Kind]Count{}}
}

// Offset returns the offset of the record last applied.
func (b *machineBase) Offset() infra.Offset { return b.offset }

// Counts returns a copy of the counters by kind. The counters aren't part of the
// replicated state: readers that started at different offsets count differently.
func (b *machineBase) Counts() map[Kind]Count {
	out := make(map[Kind]Count, len(b.counts))
	for k, c := range b.counts {
		out[k] = c
	}
	return out
}

// accept advances to offset and reports whether the record must be applied. It
// returns false for an offset already applied and for a duplicate record.
func (b *machineBase) accept(offset infra.Offset, r *record.Record) bool {
	if !b.advance(offset) {
		return false
	}
	if b.dedup.markSeen(offset, r.GetOrigin(), r.GetSequence()) {
		return true
	}
	c := b.counts[recordKind(r)]
	c.Duplicate++
	b.counts[recordKind(r)] = c
	return false
}

// advance moves on to offset. It returns false if offset was already applied.
func (b *machineBase) advance(offset infra.Offset) bool {
	if offset <= b.offset {
		return false
	}
	b.offset = offset
	return true
}

// applyResult is the result of applying one record.
type applyResult int

const (
	applied applyResult = iota
	noEffect
	unexpected
)

// countRecord counts the result of applying the record.
func (b *machineBase) countRecord(r *record.Record, v applyResult) {
	kind := recordKind(r)
	c := b.counts[kind]
	switch v {
	case applied:
		c.Applied++
	case noEffect:
		c.NoEffect++
	case unexpected:
		c.Unexpected++
	}
	b.counts[kind] = c
}

// restore sets the offset and the duplicate detection from a checkpoint.
func (b *machineBase) restore(c *record.Checkpoint) {
	b.offset = infra.Offset(c.GetCovers())
	b.dedup.restore(c.GetOrigins())
}

// newCheckpoint returns a checkpoint with all fields but State set.
func (b *machineBase) newCheckpoint() *record.Checkpoint {
	return &record.Checkpoint{
		Covers:  uint64(b.offset),
		Version: CheckpointVersion,
		Origins: b.dedup.marks(b.offset),
	}
}

// checkRestore returns an error if the checkpoint may not replace the current
// state. stateKnown says whether the checkpoint has this machine's kind of state.
func (b *machineBase) checkRestore(c *record.Checkpoint, stateKnown bool) error {
	switch {
	case !stateKnown || c.GetVersion() > CheckpointVersion:
		return &UnsupportedCheckpointError{Version: c.GetVersion()}
	case infra.Offset(c.GetCovers()) < b.offset:
		return &StaleCheckpointError{Covers: infra.Offset(c.GetCovers()), Offset: b.offset}
	}
	return nil
}

var bodyOneof = (&record.Record{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// recordKind returns the kind of the record.
func recordKind(r *record.Record) Kind {
	if r == nil {
		return KindUnknown
	}
	field := r.ProtoReflect().WhichOneof(bodyOneof)
	if field == nil {
		return KindUnknown
	}
	return Kind(field.Name())
}
