package topology

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// Held is what a server holds beyond its entry, or must not be used there for any
// more though its entry shows it.
type Held struct {
	Server, Model, Adapter string // no adapter: the model with all its adapters
	Dropped                bool   // it must not be used there any more
}

func (h Held) compare(o Held) int {
	dropped := func(h Held) int {
		if h.Dropped {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(h.Server, o.Server), cmp.Compare(h.Model, o.Model),
		cmp.Compare(h.Adapter, o.Adapter), cmp.Compare(dropped(h), dropped(o)))
}

// HeldList is a list of what servers hold, in order, without repeats.
type HeldList []Held

// NewHeldList returns the list of them.
func NewHeldList(held []Held) HeldList {
	l := slices.Clone(held)
	slices.SortFunc(l, Held.compare)
	return slices.Compact(l)
}

// Equal says whether two lists are the same.
func (l HeldList) Equal(o HeldList) bool { return slices.Equal(l, o) }

// Digest identifies the list in every process.
func (l HeldList) Digest() uint64 {
	h := fnv.New64a()
	for _, x := range l {
		for _, text := range []string{x.Server, x.Model, x.Adapter, strconv.FormatBool(x.Dropped)} {
			_, _ = h.Write([]byte(text)) // a hash never fails
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// Change returns the list without some, and with others.
func (l HeldList) Change(lost, added HeldList) HeldList {
	return NewHeldList(append(slices.Clone(l.without(lost)), added...))
}

// without returns what isn't in the other list.
func (l HeldList) without(o HeldList) HeldList {
	var out HeldList
	for _, h := range l {
		if _, found := slices.BinarySearchFunc(o, h, Held.compare); !found {
			out = append(out, h)
		}
	}
	return out
}

// heldKept is how many lists a HeldHistory keeps: orders change the list some
// twenty times a second after a start, and instances ask twice a second.
const heldHistorySize = 64

// HeldHistory keeps the newest lists, so that an instance is told only how the
// newest differs from the one that it knows. The zero value is ready. It is not
// safe for concurrent use.
type HeldHistory struct {
	lists   []HeldList
	digests []uint64
}

// Add adds a list, unless it is the newest already.
func (h *HeldHistory) Add(l HeldList) {
	digest := l.Digest()
	if n := len(h.digests); n > 0 && h.digests[n-1] == digest {
		return
	}
	h.lists, h.digests = append(h.lists, l), append(h.digests, digest)
	if len(h.lists) > heldHistorySize {
		h.lists, h.digests = slices.Clone(h.lists[1:]), slices.Clone(h.digests[1:])
	}
}

// Newest returns the newest list.
func (h *HeldHistory) Newest() HeldList {
	if len(h.lists) == 0 {
		return nil
	}
	return h.lists[len(h.lists)-1]
}

// Since returns how the newest list differs from the one with a digest. It
// returns false where that one isn't kept.
func (h *HeldHistory) Since(digest uint64) (lost, added HeldList, ok bool) {
	at := slices.Index(h.digests, digest)
	if at < 0 {
		return nil, nil, false
	}
	old, now := h.lists[at], h.lists[len(h.lists)-1]
	return old.without(now), now.without(old), true
}
