package replay

import (
	"cmp"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// DedupWindow is the number of offsets after its newest record for which an
// origin is remembered. A duplicate comes from a writer that lost the answer to
// an append, so it follows within seconds. A stream has at most a few hundred
// records a second, so 4096 records span well over ten seconds. The window also
// bounds memory: it can't contain more origins than records.
const DedupWindow = 4096

// originMark is the high-water mark of one origin.
type originMark struct {
	sequence   uint64       // highest sequence read
	lastOffset infra.Offset // offset of the newest record, duplicates included
}

// dedup detects duplicate records by origin. The sequences of one writer in a
// stream ascend without gaps, so one high-water mark for each origin is enough.
// Whether an origin is still remembered depends only on offsets, not on when
// sweep ran.
type dedup map[string]originMark

// markSeen updates the origin's mark and reports whether the record is new. A
// record without an origin or sequence is always new.
func (o dedup) markSeen(offset infra.Offset, origin string, sequence uint64) bool {
	if origin == "" || sequence == 0 {
		return true
	}
	mark, known := o[origin]
	if known && mark.retained(offset) && sequence <= mark.sequence {
		mark.lastOffset = offset
		o[origin] = mark
		return false
	}
	o[origin] = originMark{sequence: sequence, lastOffset: offset}
	if offset%DedupWindow == 0 {
		o.sweep(offset)
	}
	return true
}

// retained reports whether the origin is still remembered at offset.
func (m originMark) retained(offset infra.Offset) bool {
	return offset-m.lastOffset < DedupWindow
}

// sweep deletes the marks of origins that are no longer remembered.
func (o dedup) sweep(offset infra.Offset) {
	for origin, mark := range o {
		if !mark.retained(offset) {
			delete(o, origin)
		}
	}
}

// marks returns the marks of the remembered origins, sorted by origin.
func (o dedup) marks(offset infra.Offset) []*record.OriginMark {
	var out []*record.OriginMark
	for origin, mark := range o {
		if mark.retained(offset) {
			out = append(out, &record.OriginMark{Origin: origin, Sequence: mark.sequence, Last: uint64(mark.lastOffset)})
		}
	}
	slices.SortFunc(out, func(a, b *record.OriginMark) int { return cmp.Compare(a.Origin, b.Origin) })
	return out
}

func (o dedup) restore(marks []*record.OriginMark) {
	clear(o)
	for _, m := range marks {
		o[m.GetOrigin()] = originMark{sequence: m.GetSequence(), lastOffset: infra.Offset(m.GetLast())}
	}
}
