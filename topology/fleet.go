package topology

import (
	"maps"
	"slices"
	"time"
)

// Fleet holds the backend servers as the store's changes tell of them. It is
// not safe for concurrent use.
type Fleet struct {
	servers map[string]Server
	leaving map[string]time.Time // servers whose entry went, and until when they are kept
	outage  time.Time            // when the store last came back
}

const (
	// lapsed is how long after the store came back a server is kept whose entry
	// went: entries that ran out while the store was away are written again
	// within two seconds if their servers live.
	lapsed = 2 * time.Second
	// afterOutage is how long after the store's return entries may still run
	// out for its absence.
	afterOutage = 2 * time.Second
)

// NewFleet returns a fleet without servers.
func NewFleet() *Fleet {
	return &Fleet{servers: map[string]Server{}, leaving: map[string]time.Time{}}
}

// StoreBack is told that the store answers again after it didn't.
func (f *Fleet) StoreBack(now time.Time) { f.outage = now }

// Apply takes in changes of entries, and says whether anything but the servers'
// heartbeats changed.
func (f *Fleet) Apply(now time.Time, changes []ServerChange) bool {
	changed := false
	for _, c := range changes {
		if c.ID == "" {
			continue
		}
		if c.Server == nil {
			changed = f.gone(now, c.ID) || changed
			continue
		}
		delete(f.leaving, c.ID)
		old, known := f.servers[c.ID]
		if known && c.Server.Born.Before(old.Born) {
			continue // an entry of an earlier start that came late
		}
		f.servers[c.ID] = *c.Server
		changed = changed || !known || !old.Equal(c.Server)
	}
	return changed
}

// Reset replaces all entries by the newest of each server.
func (f *Fleet) Reset(now time.Time, entries []ServerChange) bool {
	listed := map[string]bool{}
	for _, c := range entries {
		listed[c.ID] = true
	}
	changed := f.Apply(now, entries)
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if !listed[id] {
			changed = f.gone(now, id) || changed
		}
	}
	return changed
}

// gone takes a server out whose entry went, later if its entry may only have
// run out while the store was away.
func (f *Fleet) gone(now time.Time, id string) bool {
	if _, known := f.servers[id]; !known {
		return false
	}
	if !f.outage.IsZero() && now.Sub(f.outage) < afterOutage {
		if _, waits := f.leaving[id]; !waits {
			f.leaving[id] = now.Add(lapsed)
		}
		return false
	}
	delete(f.servers, id)
	delete(f.leaving, id)
	return true
}

// Expire takes out the servers that were kept long enough.
func (f *Fleet) Expire(now time.Time) bool {
	changed := false
	for id, until := range f.leaving {
		if !now.Before(until) {
			delete(f.servers, id)
			delete(f.leaving, id)
			changed = true
		}
	}
	return changed
}

// Servers returns the servers by id.
func (f *Fleet) Servers() []Server {
	out := make([]Server, 0, len(f.servers))
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		out = append(out, f.servers[id])
	}
	return out
}
