package entry

import (
	"sort"
	"time"

	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/logsync"
)

// Status is what one instance sees, as its operators' address gives it.
type Status struct {
	Version       string          `json:"version"`
	Instance      string          `json:"instance"`
	Region        string          `json:"region"`
	FailureDomain string          `json:"failure_domain"`
	Ready         bool            `json:"ready"`
	NotReady      []string        `json:"not_ready,omitempty"` // why it isn't
	ConfigOffset  uint64          `json:"config_offset"`       // verdict that is in force; 0: none
	Streams       []StreamStatus  `json:"streams"`
	List          ListStatus      `json:"list"`
	Leases        []LeaseStatus   `json:"leases"`
	Servers       []ServerStatus  `json:"servers"`
	Targets       []TargetStatus  `json:"targets"`
	Suspects      []SuspectStatus `json:"suspects,omitempty"`
}

// SuspectStatus is a request during which backend servers died lately.
type SuspectStatus struct {
	Fingerprint string   `json:"fingerprint"` // what a lift names
	Servers     []string `json:"servers"`     // that died
	Quarantined bool     `json:"quarantined"`
}

// StreamStatus is how far a stream of the log was read.
type StreamStatus struct {
	Stream   string `json:"stream"`
	Offset   uint64 `json:"offset"`
	Behind   uint64 `json:"behind"`    // records known to be there and not applied yet
	AgeMS    int64  `json:"age_ms"`    // since the log last answered; -1: never
	FromPeer bool   `json:"from_peer"` // the state came from a peer, and the log was not read since
}

// ListStatus is what the platform's list says.
type ListStatus struct {
	AgeMS   int64 `json:"age_ms"` // -1: never read
	Entries int   `json:"entries"`
	Servers int   `json:"servers"`
}

// LeaseStatus is a failure domain's placement lease.
type LeaseStatus struct {
	FailureDomain string `json:"failure_domain"`
	Lease         uint64 `json:"lease"` // the claim's offset; 0: none
	Holder        string `json:"holder"`
	Orderers      int    `json:"orderers"`
}

// ServerStatus is what the log says of a backend server that runs a model engine.
type ServerStatus struct {
	Server        string   `json:"server"`
	FailureDomain string   `json:"failure_domain"`
	Listed        string   `json:"listed"` // its state on the list; empty: not there
	Assignment    uint64   `json:"assignment"`
	MemoryMiB     int64    `json:"memory_mib"`
	AssignedMiB   int64    `json:"assigned_mib"`
	LingeringMiB  int64    `json:"lingering_mib"`
	Assigned      []string `json:"assigned"`
	Ready         []string `json:"ready"`
	Lingering     []string `json:"lingering,omitempty"`
}

// TargetStatus is how many replicas a model, adapter or service has.
type TargetStatus struct {
	Target   string `json:"target"`
	Partner  string `json:"partner"`
	Replicas int    `json:"replicas"`
	Domains  int    `json:"failure_domains"` // in how many
}

// Status gathers what the instance sees.
func (i *Instance) Status() Status {
	reasons := i.notReady()
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
	if current := i.configuration.current.Load(); current != nil {
		s.ConfigOffset = current.changed
	}
	s.Streams = i.streamStatus()
	s.addControl(i)
	s.Suspects = i.quarantine.status()
	return s
}

func (i *Instance) streamStatus() []StreamStatus {
	streams := []StreamStatus{
		streamStatus(i.config.Stream(), i.config.Status()),
		streamStatus(i.quarantined.Stream(), i.quarantined.Status()),
	}
	for _, follower := range *i.domains.followers.Load() {
		streams = append(streams, streamStatus(follower.Stream(), follower.Status()))
	}
	sort.Slice(streams, func(a, b int) bool { return streams[a].Stream < streams[b].Stream })
	return streams
}

func streamStatus(stream string, s logsync.Status) StreamStatus {
	out := StreamStatus{Stream: stream, Offset: uint64(s.Offset), AgeMS: age(s.LastRead), FromPeer: s.FromPeer}
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
	return ListStatus{AgeMS: age(list.ReadAt), Entries: len(list.Entries("")), Servers: len(servers)}
}

// addControl adds what the control streams say.
func (s *Status) addControl(i *Instance) {
	list := i.watcher.List()
	for domain, view := range i.domains.views() {
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
				AssignedMiB:   sum(server.Assigned),
				LingeringMiB:  sum(server.Lingering),
				Assigned:      names(server.Assigned),
				Ready:         names(server.Ready),
				Lingering:     names(server.Lingering),
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
		in := map[string]bool{}
		for _, r := range target.Replicas {
			in[t.Servers[r.Server].FailureDomain] = true
		}
		out = append(out, TargetStatus{Target: target.Name, Partner: target.Partner, Replicas: len(target.Replicas), Domains: len(in)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Target < out[b].Target })
	return out
}

// names gives items as name@version, an adapter by its own name.
func names(items []infra.Item) []string {
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

func sum(items []infra.Item) int64 {
	var mib int64
	for _, item := range items {
		mib += item.MiB
	}
	return mib
}

// age returns the milliseconds since then, or -1 for the zero time.
func age(then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return time.Since(then).Milliseconds()
}
