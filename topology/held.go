package topology

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// Held is a difference between what a server holds and what its entry shows: a model or
// adapter that it holds although the entry lacks it or, if Dropped is set, one that must
// no longer be used there although the entry shows it.
type Held struct {
	Server, Model, Adapter string // empty Adapter: the model; if dropped, with all its adapters
	Dropped                bool   // must no longer be used there
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

// HeldList is a sorted list without duplicates.
type HeldList []Held

// NewHeldList returns the sorted list of the given differences.
func NewHeldList(held []Held) HeldList {
	l := slices.Clone(held)
	slices.SortFunc(l, Held.compare)
	return slices.Compact(l)
}

// Equal reports whether two lists are the same.
func (l HeldList) Equal(o HeldList) bool { return slices.Equal(l, o) }

// Digest returns a hash of the list that is the same in every process.
func (l HeldList) Digest() uint64 {
	h := fnv.New64a()
	for _, x := range l {
		for _, text := range []string{x.Server, x.Model, x.Adapter, strconv.FormatBool(x.Dropped)} {
			_, _ = h.Write([]byte(text)) // a hash.Hash never returns an error
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// Change returns the list without the lost and with the added elements.
func (l HeldList) Change(lost, added HeldList) HeldList {
	return NewHeldList(append(slices.Clone(l.without(lost)), added...))
}

// without returns the elements that are not in the other list.
func (l HeldList) without(o HeldList) HeldList {
	var out HeldList
	for _, h := range l {
		if _, found := slices.BinarySearchFunc(o, h, Held.compare); !found {
			out = append(out, h)
		}
	}
	return out
}

// heldHistorySize is how many lists a HeldHistory keeps. After a start, orders change the
// list some twenty times a second, and instances ask for changes twice a second.
const heldHistorySize = 64

// HeldHistory keeps the newest lists, so that an instance can be sent only the difference
// between the newest list and the one that it has. The zero value is ready to use. It is
// not safe for concurrent use.
type HeldHistory struct {
	lists   []HeldList
	digests []uint64
}

// Add adds a list, unless it equals the newest one.
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

// Since returns the difference between the newest list and the one with the digest. It
// returns false if that list is not kept.
func (h *HeldHistory) Since(digest uint64) (lost, added HeldList, ok bool) {
	at := slices.Index(h.digests, digest)
	if at < 0 {
		return nil, nil, false
	}
	old, now := h.lists[at], h.lists[len(h.lists)-1]
	return old.without(now), now.without(old), true
}
