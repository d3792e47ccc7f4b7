// Package origin knows at which software version streams began, and which version of their model's
// weights wrote their newest events. What servers of two software versions write doesn't fit
// together, so a stream goes on only at the version that began it, and the version of the weights
// may not go back, through whichever instance its caller takes it up again. docs/design/0018 tells
// how instances share what they know. The package does no I/O and reads no clock.
package origin

import (
	"maps"
	"slices"
	"time"

	"greengageferry/topology"
)

// MaxListAge is the age of the list of servers up to which it shows all versions at which other
// instances may have begun a stream: they learn of a new server at about the same time.
const MaxListAge = 3 * time.Second

// History holds which software versions served each service lately, and which versions of the
// weights were served of each model. It is not safe for concurrent use.
type History struct {
	lifetime     time.Duration // how long a stream lives at most, over all tries of its caller
	watchedSince time.Time     // from when on no version can have been missed
	services     map[string]*versions[string]
	models       map[Model]*versions[int64]
}

// Model identifies a model of a service.
type Model struct{ Service, Name string }

// NewHistory returns the history of an instance that has just started.
func NewHistory(lifetime time.Duration) *History {
	return &History{lifetime: lifetime, services: map[string]*versions[string]{}, models: map[Model]*versions[int64]{}}
}

// SetLifetime sets how long a stream lives at most.
func (h *History) SetLifetime(d time.Duration) { h.lifetime = d }

// Update records the listed servers.
func (h *History) Update(now time.Time, servers []topology.Server) {
	type serviceVersion struct{ service, version string }
	type modelVersion struct {
		model   Model
		version int64
	}
	software, weights := map[serviceVersion]bool{}, map[modelVersion]bool{}
	for i := range servers {
		s := &servers[i]
		software[serviceVersion{s.Service, s.SoftwareVersion}] = true
		for n := range s.Models {
			weights[modelVersion{Model{s.Service, s.Models[n].Name}, s.Models[n].Version}] = true
		}
	}
	for l := range software {
		entry(h.services, l.service).add(now, l.version)
	}
	for l := range weights {
		entry(h.models, l.model).add(now, l.version)
	}
	for name, s := range h.services {
		s.retain(now, h.lifetime, func(v string) bool { return software[serviceVersion{name, v}] })
	}
	for model, s := range h.models {
		s.retain(now, h.lifetime, func(v int64) bool { return weights[modelVersion{model, v}] })
	}
	maps.DeleteFunc(h.models, func(_ Model, s *versions[int64]) bool { return s.empty() })
}

// entry returns the versions under a key, which it adds if there are none.
func entry[K, V comparable](all map[K]*versions[V], key K) *versions[V] {
	s := all[key]
	if s == nil {
		s = newVersions[V]()
		all[key] = s
	}
	return s
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

// watched reports whether no version can have been missed within a stream's lifetime.
func (h *History) watched(now time.Time) bool {
	return !h.watchedSince.IsZero() && now.Sub(h.watchedSince) >= h.lifetime
}

// Only returns the one software version at which any living stream of the service can have
// begun. It returns false if there may be several, or if that isn't known.
func (h *History) Only(now time.Time, service string) (version string, ok bool) {
	if !h.watched(now) {
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
	return s.settled(now)
}

// Versions returns the software versions at which living streams of the service can have begun,
// as far as this instance has seen, in no order. An unknown one is "".
func (h *History) Versions(now time.Time, service string) []string {
	s := h.services[service]
	if s == nil {
		return nil
	}
	return s.lately(now, h.lifetime)
}

// OneOfWeights reports whether one version of a model's weights at most, which may be an unknown
// one, can have written events of living streams. It returns that version, 0 if it isn't known.
func (h *History) OneOfWeights(now time.Time, m Model) (version int64, ok bool) {
	if !h.watched(now) {
		return 0, false
	}
	switch versions := h.Weights(now, m); len(versions) {
	case 0:
		return 0, true
	case 1:
		return versions[0], true
	}
	return 0, false
}

// SettledWeights is as Settled for the versions of a model's weights.
func (h *History) SettledWeights(now time.Time, m Model) (version int64, ok bool) {
	s := h.models[m]
	if s == nil {
		return 0, false
	}
	return s.settled(now)
}

// Weights returns the versions of a model's weights that can have written events of living streams,
// as far as this instance has seen, in no order. An unknown one is 0.
func (h *History) Weights(now time.Time, m Model) []int64 {
	s := h.models[m]
	if s == nil {
		return nil
	}
	return s.lately(now, h.lifetime)
}

// SeveralWeights returns the versions of the weights of each model that has several, in ascending
// order.
func (h *History) SeveralWeights(now time.Time) map[Model][]int64 {
	out := map[Model][]int64{}
	for m, s := range h.models {
		if len(s.listed)+len(s.goneAt)+len(s.notedAt) < 2 {
			continue
		}
		if versions := s.lately(now, h.lifetime); len(versions) > 1 {
			slices.Sort(versions)
			out[m] = versions
		}
	}
	return out
}

// NoteWeights records that a server answered with a version of a model's weights, and reports
// whether that wasn't known: servers take a new one before their entries show it.
func (h *History) NoteWeights(now time.Time, m Model, version int64) bool {
	if version == 0 || m.Name == "" {
		return false
	}
	return entry(h.models, m).note(now, version)
}
