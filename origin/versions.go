package origin

import (
	"maps"
	"slices"
	"time"
)

// versions holds which versions of one thing servers have, or had lately.
type versions[V comparable] struct {
	listed  map[V]time.Time // by version: since when one of its servers is listed
	goneAt  map[V]time.Time // by version: when the last of its servers was no longer listed
	notedAt map[V]time.Time // by version that was first seen in an answer: when
}

func newVersions[V comparable]() *versions[V] {
	return &versions[V]{listed: map[V]time.Time{}, goneAt: map[V]time.Time{}, notedAt: map[V]time.Time{}}
}

// add records that a version is listed.
func (s *versions[V]) add(now time.Time, v V) {
	if _, known := s.listed[v]; !known {
		s.listed[v] = now
		delete(s.goneAt, v)
		delete(s.notedAt, v)
	}
}

// retain records that no other versions are listed than those for which listed returns true, and
// forgets those that are gone for longer than a lifetime.
func (s *versions[V]) retain(now time.Time, lifetime time.Duration, listed func(V) bool) {
	for v := range s.listed {
		if !listed(v) {
			s.goneAt[v] = now
			delete(s.listed, v)
		}
	}
	expired := func(_ V, at time.Time) bool { return now.Sub(at) > lifetime }
	maps.DeleteFunc(s.goneAt, expired)
	maps.DeleteFunc(s.notedAt, expired)
}

// note records that a server answered with a version, and reports whether that wasn't known. It may
// be one that is listed as unknown.
func (s *versions[V]) note(now time.Time, v V) bool {
	var unknown V
	if _, listed := s.listed[unknown]; listed {
		return false
	}
	_, listed := s.listed[v]
	_, gone := s.goneAt[v]
	_, noted := s.notedAt[v]
	if listed || gone || noted {
		return false
	}
	s.notedAt[v] = now
	return true
}

// lately returns the versions that are listed or were within a lifetime, in no order.
func (s *versions[V]) lately(now time.Time, lifetime time.Duration) []V {
	var out []V
	for v := range s.listed {
		out = append(out, v)
	}
	for _, past := range []map[V]time.Time{s.goneAt, s.notedAt} {
		for v, at := range past {
			if now.Sub(at) <= lifetime && !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

// settled returns the one listed version that isn't new, if another one is. An unknown version,
// the zero V, isn't returned.
func (s *versions[V]) settled(now time.Time) (version V, ok bool) {
	settled, unsettled := 0, 0
	for v, since := range s.listed {
		if now.Sub(since) <= MaxListAge {
			unsettled++
			continue
		}
		version = v
		settled++
	}
	for v, at := range s.notedAt {
		if _, listed := s.listed[v]; !listed && now.Sub(at) <= MaxListAge {
			unsettled++
		}
	}
	var unknown V
	if settled != 1 || unsettled == 0 || version == unknown {
		return unknown, false
	}
	return version, true
}

// empty reports whether nothing is known of any version.
func (s *versions[V]) empty() bool {
	return len(s.listed) == 0 && len(s.goneAt) == 0 && len(s.notedAt) == 0
}
