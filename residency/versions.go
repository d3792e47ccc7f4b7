package residency

import (
	"slices"

	"greengageferry/topology"
)

// planVersions orders a first replica of each model, on servers of a software version, for which
// streams wait there that can't go on at servers of another one.
func (w *pool) planVersions() []Order {
	var out []Order
	for _, m := range w.modelList {
		for _, version := range m.versions {
			if !w.waitsAt(m, version) || m.hasReplicaAt(version) {
				continue
			}
			first := *m // as if there were no replica, since none is of use
			first.replicas, first.desired = nil, 1
			o, _ := w.addReplica(&first, version)
			m.replicas = append(m.replicas, first.replicas...)
			if o != nil {
				out = append(out, *o)
			}
		}
	}
	return out
}

// waitsAt reports whether requests wait for the model or one of its adapters at servers of a
// software version.
func (w *pool) waitsAt(m *model, version string) bool {
	for n := 0; n <= m.Adapters; n++ {
		if w.p.demand.Waiting(topology.VersionTarget(w.targetName(m.Name, n), version)) > 0 {
			return true
		}
	}
	return false
}

// hasReplicaAt reports whether a server of the software version holds the model or will.
func (m *model) hasReplicaAt(version string) bool {
	return slices.ContainsFunc(m.replicas, func(s *server) bool { return s.SoftwareVersion == version })
}

// keepsVersion reports whether a server's replica of the model is the only one at its software
// version, and streams go on there.
func (w *pool) keepsVersion(m *model, s *server) bool {
	if !slices.Contains(m.versions, s.SoftwareVersion) {
		return false
	}
	return !slices.ContainsFunc(m.replicas, func(x *server) bool { return x != s && x.SoftwareVersion == s.SoftwareVersion })
}
