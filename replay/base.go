package replay

import (
	"greengageferry/infra"
	"greengageferry/record"
)

// Kind is the name of a record's body in record.proto, or KindUnknown.
type Kind string

// KindUnknown is a record whose body this program doesn't know, or that bears none.
const KindUnknown Kind = "unknown"

// Count says what became of the records of one kind.
type Count struct {
	Applied  uint64 // changed the state, or may have
	Void     uint64 // had no effect at their place on the log
	Repeated uint64 // were read before under the same origin and sequence
	Foreign  uint64 // belong to another stream, or aren't known
}

// base is what all machines share: the offset, the repeats and the counters.
type base struct {
	offset  infra.Offset
	origins origins
	counts  map[Kind]Count
}

func newBase() base {
	return base{origins: origins{}, counts: map[Kind]Count{}}
}

// Offset returns the offset last applied.
func (b *base) Offset() infra.Offset { return b.offset }

// Counts returns a copy of the counters by kind. They are no part of the
// state: two readers that began at different places count differently.
func (b *base) Counts() map[Kind]Count {
	out := make(map[Kind]Count, len(b.counts))
	for k, c := range b.counts {
		out[k] = c
	}
	return out
}

// begin steps past the record at offset and says whether it is to be looked at.
func (b *base) begin(offset infra.Offset, r *record.Record) bool {
	if !b.advance(offset) {
		return false
	}
	if b.origins.see(offset, r.GetOrigin(), r.GetSequence()) {
		return true
	}
	c := b.counts[kindOf(r)]
	c.Repeated++
	b.counts[kindOf(r)] = c
	return false
}

// advance steps to the offset and says whether it is a new one.
func (b *base) advance(offset infra.Offset) bool {
	if offset <= b.offset {
		return false
	}
	b.offset = offset
	return true
}

// verdict is what a machine made of one record.
type verdict int

const (
	applied verdict = iota
	void
	foreign
)

func (b *base) count(r *record.Record, v verdict) {
	kind := kindOf(r)
	c := b.counts[kind]
	switch v {
	case applied:
		c.Applied++
	case void:
		c.Void++
	case foreign:
		c.Foreign++
	}
	b.counts[kind] = c
}

// restore takes over what a checkpoint says of the offset and the origins.
func (b *base) restore(c *record.Checkpoint) {
	b.offset = infra.Offset(c.GetCovers())
	b.origins.restore(c.GetOrigins())
}

// checkpoint returns a checkpoint that lacks only its state.
func (b *base) checkpoint() *record.Checkpoint {
	return &record.Checkpoint{
		Covers:  uint64(b.offset),
		Version: CheckpointVersion,
		Origins: b.origins.marks(b.offset),
	}
}

// admissible says whether the checkpoint may replace a state at the offset.
func (b *base) admissible(c *record.Checkpoint, stateKnown bool) error {
	switch {
	case !stateKnown || c.GetVersion() > CheckpointVersion:
		return &CheckpointKindError{Version: c.GetVersion()}
	case infra.Offset(c.GetCovers()) < b.offset:
		return &StaleCheckpointError{Covers: infra.Offset(c.GetCovers()), Offset: b.offset}
	}
	return nil
}

var bodyOneof = (&record.Record{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

func kindOf(r *record.Record) Kind {
	if r == nil {
		return KindUnknown
	}
	field := r.ProtoReflect().WhichOneof(bodyOneof)
	if field == nil {
		return KindUnknown
	}
	return Kind(field.Name())
}
