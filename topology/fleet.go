package topology

import (
	"maps"
	"slices"
	"time"
)

// Fleet holds the backend servers as the store's changes tell of them, or
// another instance's steps. It is not safe for concurrent use.
type Fleet struct {
	servers          map[string]Server
	pendingRemoval   map[string]time.Time // servers whose entry went, and until when they are kept
	storeRecoveredAt time.Time            // when the store last came back
	digest           uint64               // of the list as it is
	steps            []step               // the newest
	ids              []string             // of the servers, in order; nil: to be listed anew
}

// step is one step of the list, with the digest of the list after it.
type step struct {
	delta       Delta
	digestAfter uint64
}

const (
	// lapsed is how long after the store came back a server is kept whose entry
	// went: entries that ran out while the store was away are written again
	// within about two seconds if their servers live. Counted from the store's return and
	// not from when the entry went: one that leaves meanwhile would be used for two
	// seconds more, longer than a server that leaves may be.
	entryRestoreWindow = 2100 * time.Millisecond
	// fleetSteps is how many steps are kept for instances that are behind: some
	// seconds' worth while every adapter of a large fleet is loaded.
	minKeptSteps = 2048
)

// NewFleet returns a fleet without servers.
func NewFleet() *Fleet {
	return &Fleet{servers: map[string]Server{}, pendingRemoval: map[string]time.Time{}}
}

// StoreBack is told that the store answers again after it didn't.
func (f *Fleet) StoreRecovered(now time.Time) { f.storeRecoveredAt = now }

// Apply takes in changes of entries, and says whether anything but the servers'
// heartbeats changed.
func (f *Fleet) ApplyChanges(now time.Time, changes []ServerChange) bool {
	changed := false
	for _, c := range changes {
		if c.ID == "" {
			continue
		}
		if c.Server == nil {
			changed = f.removeEntry(now, c.ID) || changed
			continue
		}
		delete(f.pendingRemoval, c.ID)
		old, known := f.servers[c.ID]
		if known && c.Server.Born.Before(old.Born) {
			continue // an entry of an earlier start that came late
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

// take carries out a step and remembers it.
func (f *Fleet) applyDelta(d Delta) {
	old, known := f.servers[d.ID]
	if known {
		f.digest -= old.digest()
	}
	if !known || d.Gone {
		f.ids = nil
	}
	delete(f.pendingRemoval, d.ID)
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

// Digest identifies the list: two instances with the same digest have the same
// servers, heartbeats apart.
func (f *Fleet) Digest() uint64 { return f.digest }

// Since returns the steps from the list with a digest to the list as it is. It
// returns false where that list isn't among the newest.
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

// Follow carries out another instance's steps, and says whether they led to the
// list with that digest. Where they don't, the list has to be read anew.
func (f *Fleet) ApplyDeltas(steps []Delta, digest uint64) bool {
	for _, d := range steps {
		if _, known := f.servers[d.ID]; known || d.Server != nil {
			f.applyDelta(d)
		}
	}
	return f.digest == digest
}

// Reset replaces all entries by the newest of each server.
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

// gone takes a server out whose entry went, later if its entry may only have
// run out while the store was away.
func (f *Fleet) removeEntry(now time.Time, id string) bool {
	if _, known := f.servers[id]; !known {
		return false
	}
	if until := f.storeRecoveredAt.Add(entryRestoreWindow); !f.storeRecoveredAt.IsZero() && now.Before(until) {
		f.pendingRemoval[id] = until
		return false
	}
	f.applyDelta(Delta{ID: id, Gone: true})
	return true
}

// Expire takes out the servers that were kept long enough.
func (f *Fleet) RemoveExpired(now time.Time) bool {
	changed := false
	for id, until := range f.pendingRemoval {
		if !now.Before(until) {
			f.applyDelta(Delta{ID: id, Gone: true})
			changed = true
		}
	}
	return changed
}

// IDs returns the servers' ids in order. The slice must not be changed.
func (f *Fleet) IDs() []string {
	if f.ids == nil {
		f.ids = slices.Sorted(maps.Keys(f.servers))
	}
	return f.ids
}

// Servers returns the servers by id.
func (f *Fleet) Servers() []Server {
	out := make([]Server, 0, len(f.servers))
	for _, id := range f.IDs() {
		out = append(out, f.servers[id])
	}
	return out
}
