package entry

import (
	"sort"
	"time"

	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/logsync"
)

// Status is an instance's view of the system, as served on PathStatus.
type Status struct {
	Version       string          `json:"version"`
	Instance      string          `json:"instance"`
	Region        string          `json:"region"`
	FailureDomain string          `json:"failure_domain"`
	Ready         bool            `json:"ready"`
	NotReady      []string        `json:"not_ready,omitempty"` // reasons why it is not ready
	ConfigOffset  uint64          `json:"config_offset"`       // log offset of the verdict in force; 0: none
	Streams       []StreamStatus  `json:"streams"`
	List          ListStatus      `json:"list"`
	Leases        []LeaseStatus   `json:"leases"`
	Servers       []ServerStatus  `json:"servers"`
	Targets       []TargetStatus  `json:"targets"`
	Suspects      []SuspectStatus `json:"suspects,omitempty"`
}

// SuspectStatus is a request during which backend servers crashed recently.
type SuspectStatus struct {
	Fingerprint string   `json:"fingerprint"` // in hexadecimal; a lift in the configuration names it
	Servers     []string `json:"servers"`     // ids of the crashed servers
	Quarantined bool     `json:"quarantined"`
}

// StreamStatus is how far the instance has read a stream of the log.
type StreamStatus struct {
	Stream   string `json:"stream"`
	Offset   uint64 `json:"offset"`
	Behind   uint64 `json:"behind"`    // records on the log that are not applied yet
	AgeMS    int64  `json:"age_ms"`    // milliseconds since the last successful read; -1: never
	FromPeer bool   `json:"from_peer"` // the state came from a peer, and the log has not been read since
}

// ListStatus summarizes the platform's instance list.
type ListStatus struct {
	AgeMS   int64 `json:"age_ms"`  // milliseconds since the list was read; -1: never
	Entries int   `json:"entries"` // number of entry instances
	Servers int   `json:"servers"` // number of backend servers
}

// LeaseStatus is a failure domain's placement lease.
type LeaseStatus struct {
	FailureDomain string `json:"failure_domain"`
	Lease         uint64 `json:"lease"` // log offset of the lease's claim; 0: none
	Holder        string `json:"holder"`
	Orderers      int    `json:"orderers"` // instances that may send orders to the servers
}

// ServerStatus is the state on the log of a backend server that runs a model engine.
type ServerStatus struct {
	Server        string   `json:"server"`
	FailureDomain string   `json:"failure_domain"`
	Listed        string   `json:"listed"` // state on the instance list; empty: not listed
	Assignment    uint64   `json:"assignment"`
	MemoryMiB     int64    `json:"memory_mib"`
	AssignedMiB   int64    `json:"assigned_mib"`
	LingeringMiB  int64    `json:"lingering_mib"` // memory of unassigned items that may still be loaded
	Assigned      []string `json:"assigned"`
	Ready         []string `json:"ready"`
	Lingering     []string `json:"lingering,omitempty"`
}

// TargetStatus is the number of ready replicas of a model, adapter or service.
type TargetStatus struct {
	Target   string `json:"target"`
	Partner  string `json:"partner"`
	Replicas int    `json:"replicas"`
	Domains  int    `json:"failure_domains"` // number of failure domains with a replica
}

// Status returns the instance's current view of the system.
func (i *Instance) Status() Status {
	reasons := i.notReadyReasons()
	s := Status{
		Version:       i.opts.Version,
		Instance:      i.opts.Settings.Instance.ID,
		Region:        i.opts.Settings.Instance.Region,
		FailureDomain: i.domain(),
		Ready:         len(reasons) == 0,
		NotReady:      reasons,
		List:          listStatus(i.watcher.List()),
		Targets:       targetStatus(i.table.Load()),
	}
	if current := i.configTracker.current.Load(); current != nil {
		s.ConfigOffset = current.offset
	}
	s.Streams = i.streamStatus()
	s.addControlStatus(i)
	s.Suspects = i.quarantine.status()
	return s
}

func (i *Instance) streamStatus() []StreamStatus {
	streams := []StreamStatus{
		streamStatus(i.configStream.Stream(), i.configStream.Status()),
		streamStatus(i.quarantineStream.Stream(), i.quarantineStream.Status()),
	}
	for _, follower := range *i.controlFollowers.followers.Load() {
		streams = append(streams, streamStatus(follower.Stream(), follower.Status()))
	}
	sort.Slice(streams, func(a, b int) bool { return streams[a].Stream < streams[b].Stream })
	return streams
}

func streamStatus(stream string, s logsync.Status) StreamStatus {
	out := StreamStatus{Stream: stream, Offset: uint64(s.Offset), AgeMS: ageMS(s.LastRead), FromPeer: s.FromPeer}
	if s.Next > s.Offset+1 {
		out.Behind = uint64(s.Next - s.Offset - 1)
	}
	return out
}

func listStatus(list *fleet.List) ListStatus {
	if list == nil {
		return ListStatus{AgeMS: -1}
	}
	servers := list.Select(func(i infra.Instance) bool { return i.Role != infra.RoleEntry })
	return ListStatus{AgeMS: ageMS(list.ReadAt), Entries: len(list.Entries("")), Servers: len(servers)}
}

// addControlStatus adds the leases and servers of the control streams' views.
func (s *Status) addControlStatus(i *Instance) {
	list := i.watcher.List()
	for domain, view := range i.controlFollowers.views() {
		s.Leases = append(s.Leases, LeaseStatus{
			FailureDomain: domain,
			Lease:         uint64(view.Lease.ID),
			Holder:        view.Lease.Holder,
			Orderers:      len(view.Orderers),
		})
		for id, server := range view.Servers {
			listed, _ := list.Get(id)
			s.Servers = append(s.Servers, ServerStatus{
				Server:        id,
				FailureDomain: domain,
				Listed:        string(listed.State),
				Assignment:    uint64(server.Assignment),
				MemoryMiB:     server.MemoryMiB,
				AssignedMiB:   totalMiB(server.Assigned),
				LingeringMiB:  totalMiB(server.Lingering),
				Assigned:      itemNames(server.Assigned),
				Ready:         itemNames(server.Ready),
				Lingering:     itemNames(server.Lingering),
			})
		}
	}
	sort.Slice(s.Leases, func(a, b int) bool { return s.Leases[a].FailureDomain < s.Leases[b].FailureDomain })
	sort.Slice(s.Servers, func(a, b int) bool { return s.Servers[a].Server < s.Servers[b].Server })
}

func targetStatus(t *decide.Table) []TargetStatus {
	if t == nil {
		return nil
	}
	out := make([]TargetStatus, 0, len(t.Targets))
	for _, target := range t.Targets {
		domains := map[string]bool{}
		for _, r := range target.Replicas {
			domains[t.Servers[r.Server].FailureDomain] = true
		}
		out = append(out, TargetStatus{Target: target.Name, Partner: target.Partner, Replicas: len(target.Replicas), Domains: len(domains)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Target < out[b].Target })
	return out
}

// itemNames returns each item as name@version, where an adapter has its own name.
func itemNames(items []infra.Item) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		name := item.Model
		if item.Adapter != "" {
			name = item.Adapter
		}
		out = append(out, name+"@"+item.Version)
	}
	return out
}

func totalMiB(items []infra.Item) int64 {
	var mib int64
	for _, item := range items {
		mib += item.MiB
	}
	return mib
}

// ageMS returns the milliseconds since then, or -1 for the zero time.
func ageMS(then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return time.Since(then).Milliseconds()
}
