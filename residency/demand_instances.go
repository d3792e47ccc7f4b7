package residency

import (
	"maps"
	"slices"
	"time"

	"greengageferry/gateway"
)

// ListeningSince returns since when instances have reported to this one without a long gap.
func (d *DemandTracker) ListeningSince() time.Time { return d.listeningSince }

// CountedAll reports whether each live instance that reaches this one has had the time to
// report to it. Until then the count of instances has only begun, and who divides something
// by it takes several times its share.
func (d *DemandTracker) CountedAll(now time.Time) bool {
	return !d.listeningSince.IsZero() && now.Sub(d.listeningSince) >= instanceTimeout
}

// Instances returns the number of live instances in each failure domain.
func (d *DemandTracker) Instances() map[string]int {
	out := map[string]int{}
	for _, i := range d.instances {
		out[i.member.Domain]++
	}
	return out
}

// AllReportedSince reports whether every live instance has reported after the given
// time, and so has received what the lease holder knew then.
func (d *DemandTracker) AllReportedSince(since time.Time) bool {
	for _, i := range d.instances {
		if !i.reportedAt.After(since) {
			return false
		}
	}
	return true
}

// Version returns the newest version of the configuration in force at any live
// instance.
func (d *DemandTracker) Version() int64 {
	newest := int64(0)
	for _, i := range d.instances {
		newest = max(newest, i.version)
	}
	return newest
}

// Candidates returns the instances that should compete for the lease.
func (d *DemandTracker) Candidates() Candidates {
	members := make([]Member, 0, len(d.instances))
	for _, i := range d.instances {
		members = append(members, i.member)
	}
	return chooseCandidates(members)
}

// Gateways returns the instances that may be gateways.
func (d *DemandTracker) Gateways() gateway.Members {
	members := make([]gateway.Member, 0, len(d.instances))
	for _, i := range d.instances {
		members = append(members, gateway.Member{Domain: i.member.Domain, Addr: i.member.Addr})
	}
	return gateway.ChooseMembers(members)
}

// Positions returns each live instance's index in the list of all, from 0.
func (d *DemandTracker) Positions() map[string]int {
	out := make(map[string]int, len(d.instances))
	for n, name := range slices.Sorted(maps.Keys(d.instances)) {
		out[name] = n
	}
	return out
}

// InstanceAddrs returns the addresses of the live instances for other instances.
func (d *DemandTracker) InstanceAddrs() []string {
	out := make([]string, 0, len(d.instances))
	for _, i := range d.instances {
		out = append(out, i.member.Addr)
	}
	return out
}
