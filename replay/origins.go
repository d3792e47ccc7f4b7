package replay

import (
	"cmp"
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// OriginDistance is how many offsets after its newest record an origin is
// remembered. A repeat comes from a writer that lost an answer, so it follows
// within seconds: at a whole stream's few hundred records a second at most,
// 4,096 records are well over ten. It bounds the memory too: a stream can't
// have more origins than that within the distance.
const OriginDistance = 4096

type originMark struct {
	sequence uint64
	last     infra.Offset
}

// origins finds repeated records: a writer's sequences grow without gaps in a
// stream, so one high-water mark for each origin is enough. Whether an origin
// is still remembered depends on offsets alone, never on when it was swept.
type origins map[string]originMark

// see notes a record and says whether it is new. A record without an id always is.
func (o origins) see(offset infra.Offset, origin string, sequence uint64) bool {
	if origin == "" || sequence == 0 {
		return true
	}
	mark, known := o[origin]
	if known && mark.live(offset) && sequence <= mark.sequence {
		mark.last = offset
		o[origin] = mark
		return false
	}
	o[origin] = originMark{sequence: sequence, last: offset}
	if offset%OriginDistance == 0 {
		o.sweep(offset)
	}
	return true
}

func (m originMark) live(offset infra.Offset) bool {
	return offset-m.last < OriginDistance
}

// sweep frees the memory of origins that are no longer live.
func (o origins) sweep(offset infra.Offset) {
	for origin, mark := range o {
		if !mark.live(offset) {
			delete(o, origin)
		}
	}
}

// marks returns the live origins, sorted.
func (o origins) marks(offset infra.Offset) []*record.OriginMark {
	var out []*record.OriginMark
	for origin, mark := range o {
		if mark.live(offset) {
			out = append(out, &record.OriginMark{Origin: origin, Sequence: mark.sequence, Last: uint64(mark.last)})
		}
	}
	slices.SortFunc(out, func(a, b *record.OriginMark) int { return cmp.Compare(a.Origin, b.Origin) })
	return out
}

func (o origins) restore(marks []*record.OriginMark) {
	clear(o)
	for _, m := range marks {
		o[m.GetOrigin()] = originMark{sequence: m.GetSequence(), last: infra.Offset(m.GetLast())}
	}
}
