// Package origin knows at which software version streams began. What servers of two versions
// write doesn't fit together, so a stream goes on only at the version that began it, through
// whichever instance its caller takes it up again. docs/design/0018 tells how instances share
// what they know. The package does no I/O and reads no clock.
package origin

import (
	"time"

	"greengageferry/topology"
)

// MaxListAge is the age of the list of servers up to which it shows all versions at which other
// instances may have begun a stream: they learn of a new server at about the same time.
const MaxListAge = 3 * time.Second

// History holds which software versions served each service lately. It is not safe for
// concurrent use.
type History struct {
	lifetime     time.Duration // how long a stream lives at most, over all tries of its caller
	watchedSince time.Time     // from when on no version can have been missed
	services     map[string]*serviceHistory
}

// serviceHistory holds the software versions of one service's servers.
type serviceHistory struct {
	listed map[string]time.Time // by version: since when one of its servers is listed
	goneAt map[string]time.Time // by version: when the last of its servers was no longer listed
}

// NewHistory returns the history of an instance that has just started.
func NewHistory(lifetime time.Duration) *History {
	return &History{lifetime: lifetime, services: map[string]*serviceHistory{}}
}

// SetLifetime sets how long a stream lives at most.
func (h *History) SetLifetime(d time.Duration) { h.lifetime = d }

// Update records the listed servers.
func (h *History) Update(now time.Time, servers []topology.Server) {
	listed := map[string]map[string]bool{}
	for i := range servers {
		s := &servers[i]
		if listed[s.Service] == nil {
			listed[s.Service] = map[string]bool{}
		}
		listed[s.Service][s.SoftwareVersion] = true
	}
	for name := range listed {
		if h.services[name] == nil {
			h.services[name] = &serviceHistory{listed: map[string]time.Time{}, goneAt: map[string]time.Time{}}
		}
	}
	for name, s := range h.services {
		s.update(now, h.lifetime, listed[name])
	}
}

func (s *serviceHistory) update(now time.Time, lifetime time.Duration, listed map[string]bool) {
	for v := range s.listed {
		if !listed[v] {
			s.goneAt[v] = now
			delete(s.listed, v)
		}
	}
	for v := range listed {
		if _, known := s.listed[v]; !known {
			s.listed[v] = now
		}
	}
	for v, at := range s.goneAt {
		if listed[v] || now.Sub(at) > lifetime {
			delete(s.goneAt, v)
		}
	}
}

// Watch records that the list of servers was last confirmed at asOf. While it is older than
// MaxListAge, versions may come and go unseen.
func (h *History) Watch(now, asOf time.Time) {
	if now.Sub(asOf) > MaxListAge {
		h.watchedSince = time.Time{}
	} else if h.watchedSince.IsZero() {
		h.watchedSince = now
	}
}

// Only returns the one software version at which any living stream of the service can have
// begun. It returns false if there may be several, or if that isn't known.
func (h *History) Only(now time.Time, service string) (version string, ok bool) {
	if h.watchedSince.IsZero() || now.Sub(h.watchedSince) < h.lifetime {
		return "", false
	}
	versions := h.Versions(now, service)
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// Settled returns the software version at which new streams of the service should begin while
// another one is so new that other instances may not have it in their lists yet. It returns false
// if all listed versions are new, or none is, or several aren't.
func (h *History) Settled(now time.Time, service string) (version string, ok bool) {
	s := h.services[service]
	if s == nil {
		return "", false
	}
	settled, unsettled := 0, 0
	for v, since := range s.listed {
		if now.Sub(since) <= MaxListAge {
			unsettled++
			continue
		}
		version = v
		settled++
	}
	if settled != 1 || unsettled == 0 || version == "" {
		return "", false
	}
	return version, true
}

// Versions returns the software versions at which living streams of the service can have begun,
// as far as this instance has seen, in no order. An unknown one is "".
func (h *History) Versions(now time.Time, service string) []string {
	s := h.services[service]
	if s == nil {
		return nil
	}
	var out []string
	for v := range s.listed {
		out = append(out, v)
	}
	for v, at := range s.goneAt {
		if now.Sub(at) <= h.lifetime {
			out = append(out, v)
		}
	}
	return out
}
