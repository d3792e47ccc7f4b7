package topology

import (
	"maps"
	"slices"
	"time"
)

// Fleet holds the list of backend servers. It is updated from changes in the store or
// from another instance's deltas. A server whose entry disappears just after a store
// outage stays in the list, without an entry: an instance that takes over the list goes on
// reading after the removal, and must know of it. The Fleet is not safe for concurrent use.
type Fleet struct {
	servers map[string]Server
	// keptUntil holds the servers without an entry that this instance still uses, with the
	// end of their entryRestoreWindow. It isn't part of the list that instances share: an
	// instance that has reached the store all the while doesn't use such servers.
	keptUntil        map[string]time.Time
	storeRecoveredAt time.Time // when the store last became available again
	digest           uint64    // of the current list
	steps            []step    // the newest ones, oldest first
	ids              []string  // of the servers, sorted; nil: outdated
}

// step is a change of the list, with the digest of the list after the change.
type step struct {
	delta       Delta
	digestAfter uint64
}

const (
	// entryRestoreWindow is how long after a store outage servers without an entry are
	// kept. Entries that expired during the outage are written again within about two
	// seconds if their servers are alive. The window starts when the store becomes
	// available and not when an entry is removed: a server that shuts down in the
	// window would otherwise be used for two more seconds, which is too long.
	entryRestoreWindow = 2100 * time.Millisecond
	// maxStartLead is how long after the reader's time a server may have started by its entry. Clocks
	// differ by less. An entry with a later start isn't the server's own, and would hide its own ones.
	maxStartLead = 24 * time.Hour
	// minKeptSteps is how many steps are kept at least for instances that are behind, and
	// half of how many are kept at most. It covers some seconds while every adapter of a
	// large fleet is loaded.
	minKeptSteps = 2048
)

// NewFleet returns a fleet without servers.
func NewFleet() *Fleet {
	return &Fleet{servers: map[string]Server{}, keptUntil: map[string]time.Time{}}
}

// StoreRecovered records that the store is available again after an outage.
func (f *Fleet) StoreRecovered(now time.Time) { f.storeRecoveredAt = now }

// ApplyChanges applies changes of entries, and reports whether the list changed. A mere
// heartbeat does not change the list.
func (f *Fleet) ApplyChanges(now time.Time, changes []ServerChange) bool {
	changed := false
	for _, c := range changes {
		if c.ID == "" {
			continue
		}
		if c.Server == nil || c.Server.Born.After(now.Add(maxStartLead)) {
			changed = f.removeEntry(now, c.ID) || changed
			continue
		}
		old, known := f.servers[c.ID]
		if known && c.Server.Born.Before(old.Born) {
			continue // an outdated entry of an earlier start
		}
		if known && old.Leaving && !c.Server.Leaving && c.Server.Born.Equal(old.Born) {
			// The entry predates the start of leaving, as after the store was restored from an
			// older copy. Within one start a server never stops leaving.
			next := *c.Server
			next.Leaving = true
			c.Server = &next
		}
		switch {
		case !known:
			f.applyDelta(Delta{ID: c.ID, Server: c.Server})
			changed = true
		case !old.Equal(c.Server):
			f.applyDelta(newDelta(&old, c.Server))
			changed = true
		}
		f.servers[c.ID] = *c.Server
	}
	return changed
}

// applyDelta applies a delta and records the step.
func (f *Fleet) applyDelta(d Delta) {
	old, known := f.servers[d.ID]
	if known {
		f.digest -= old.digest()
	}
	if !known || d.Gone {
		f.ids = nil
	}
	if !d.NoEntry && (d.Server == nil || !d.Server.NoEntry) {
		delete(f.keptUntil, d.ID)
	}
	if d.Gone {
		delete(f.servers, d.ID)
	} else {
		next := d.apply(&old)
		f.servers[d.ID] = next
		f.digest += next.digest()
	}
	f.steps = append(f.steps, step{d, f.digest})
	if len(f.steps) >= 2*minKeptSteps {
		f.steps = slices.Clone(f.steps[minKeptSteps:])
	}
}

// Digest returns a hash of the list. Two instances with the same digest have the same
// list, apart from heartbeats.
func (f *Fleet) Digest() uint64 { return f.digest }

// DeltasSince returns the deltas from the list with the digest to the current list. It
// returns false if the steps since that list are not kept.
func (f *Fleet) DeltasSince(digest uint64) ([]Delta, bool) {
	if digest == f.digest {
		return nil, true
	}
	for n := len(f.steps) - 1; n >= 0; n-- {
		if f.steps[n].digestAfter != digest {
			continue
		}
		var out []Delta
		for _, s := range f.steps[n+1:] {
			out = append(out, s.delta)
		}
		return out, true
	}
	return nil, false
}

// ApplyDeltas applies another instance's deltas, and reports whether the result is the
// list with the digest. If not, the list must be read from the store.
func (f *Fleet) ApplyDeltas(now time.Time, steps []Delta, digest uint64) bool {
	for _, d := range steps {
		_, known := f.servers[d.ID]
		if !known && d.Server == nil {
			continue
		}
		if d.NoEntry {
			f.keepForRestore(now, d.ID)
		}
		f.applyDelta(d)
	}
	return f.digest == digest
}

// All returns deltas that describe the whole list.
func (f *Fleet) All() []Delta {
	out := make([]Delta, 0, len(f.servers))
	for _, id := range f.IDs() {
		s := f.servers[id]
		out = append(out, Delta{ID: id, Server: &s})
	}
	return out
}

// ApplyAll replaces the list by another instance's, described by All, and reports whether
// the result is the list with the digest.
func (f *Fleet) ApplyAll(now time.Time, all []Delta, digest uint64) bool {
	listed := map[string]bool{}
	for _, d := range all {
		listed[d.ID] = true
	}
	for _, id := range slices.Clone(f.IDs()) {
		if !listed[id] {
			f.applyDelta(Delta{ID: id, Gone: true})
		}
	}
	for _, d := range all {
		old, known := f.servers[d.ID]
		if d.Server == nil || known && old.Equal(d.Server) {
			continue
		}
		if d.Server.NoEntry {
			f.keepForRestore(now, d.ID)
		}
		f.applyDelta(d)
	}
	return f.digest == digest
}

// Reset replaces all entries by the newest entry of each server, and reports whether the
// list changed.
func (f *Fleet) Reset(now time.Time, entries []ServerChange) bool {
	listed := map[string]bool{}
	for _, c := range entries {
		listed[c.ID] = true
	}
	changed := f.ApplyChanges(now, entries)
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if !listed[id] {
			changed = f.removeEntry(now, id) || changed
		}
	}
	return changed
}

// removeEntry handles the removal of a server's entry, and reports whether the servers to
// use changed. The server is removed at once or, if the entry may only have expired during
// a store outage, marked as one without an entry.
func (f *Fleet) removeEntry(now time.Time, id string) bool {
	s, known := f.servers[id]
	if !known || s.NoEntry {
		return false
	}
	if f.keepForRestore(now, id) {
		f.applyDelta(Delta{ID: id, NoEntry: true})
		return false
	}
	f.applyDelta(Delta{ID: id, Gone: true})
	return true
}

// keepForRestore keeps a server in use until the end of entryRestoreWindow, and reports
// whether that is still to come.
func (f *Fleet) keepForRestore(now time.Time, id string) bool {
	until := f.storeRecoveredAt.Add(entryRestoreWindow)
	if f.storeRecoveredAt.IsZero() || !now.Before(until) {
		return false
	}
	f.keptUntil[id] = until
	return true
}

// ExpireKept ends the use of the servers that were kept without an entry and whose time
// is over, and reports whether there were any. They stay in the list.
func (f *Fleet) ExpireKept(now time.Time) bool {
	before := len(f.keptUntil)
	maps.DeleteFunc(f.keptUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(f.keptUntil) < before
}

// NextExpiry returns when the first of the servers that are kept without an entry has been
// kept long enough; zero: there are none.
func (f *Fleet) NextExpiry() time.Time {
	var next time.Time
	for _, until := range f.keptUntil {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// RemoveExpired removes the servers without an entry that are not kept any more, and
// reports whether there were any. Only an instance that reads the store does so: others
// must keep the list of the instance that they get theirs from.
func (f *Fleet) RemoveExpired(now time.Time) bool {
	f.ExpireKept(now)
	changed := false
	for _, id := range f.IDs() {
		_, kept := f.keptUntil[id]
		if s := f.servers[id]; s.NoEntry && !kept {
			f.applyDelta(Delta{ID: id, Gone: true})
			changed = true
		}
	}
	return changed
}

// Kept returns the sorted ids of the servers that are used without an entry.
func (f *Fleet) Kept() []string { return slices.Sorted(maps.Keys(f.keptUntil)) }

// IDs returns the sorted ids of the servers in the list, including those without an
// entry. The slice must not be modified.
func (f *Fleet) IDs() []string {
	if f.ids == nil {
		f.ids = slices.Sorted(maps.Keys(f.servers))
	}
	return f.ids
}

// Servers returns the servers to use, sorted by id.
func (f *Fleet) Servers() []Server {
	out := make([]Server, 0, len(f.servers))
	for _, id := range f.IDs() {
		s := f.servers[id]
		if _, kept := f.keptUntil[id]; kept || !s.NoEntry {
			out = append(out, s)
		}
	}
	return out
}
