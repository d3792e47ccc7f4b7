package fleet

import (
	"fmt"
	"testing"
	"time"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/replay"
)

// newFleet returns a fleet with the given number of backend servers in nine failure
// domains. The proportions are those of the fleet expected in two years: 870
// models with two replicas each, and 370 entry instances, per 1,900 servers.
func newFleet(servers int) (*config.Config, *List, map[string]*replay.ControlView) {
	cfg := &config.Config{
		Partners: map[string]config.Partner{"p": {Weight: 1}},
		Pools:    map[string]config.Pool{"pool": {Owner: "p", Slots: 16}},
		Models:   map[string]config.Model{},
	}
	models := servers * 870 / 1900
	for m := range models {
		cfg.Models[fmt.Sprintf("model-%d", m)] = config.Model{Owner: "p", Version: "v1"}
	}
	var instances []infra.Instance
	views := map[string]*replay.ControlView{}
	for s := range servers {
		domain := fmt.Sprintf("domain-%d", s%9)
		id := fmt.Sprintf("server-%d", s)
		instances = append(instances, infra.Instance{ID: id, Role: infra.RoleEngine, State: infra.StateLive, FailureDomain: domain, Pool: "pool", Addr: "10.0.0.1:1"})
		if views[domain] == nil {
			views[domain] = &replay.ControlView{Servers: map[string]*replay.Server{}}
		}
		ready := []infra.Item{{Model: fmt.Sprintf("model-%d", s%models), Version: "v1"}}
		views[domain].Servers[id] = &replay.Server{ID: id, Ready: ready}
	}
	for e := range servers * 370 / 1900 {
		instances = append(instances, infra.Instance{ID: fmt.Sprintf("entry-%d", e), Role: infra.RoleEntry, State: infra.StateLive, FailureDomain: fmt.Sprintf("domain-%d", e%9)})
	}
	return cfg, NewList(time.Time{}, instances), views
}

// BenchmarkBuildTable measures a build of the whole table. Instances build the table
// at most four times per second, and only after a change.
func BenchmarkBuildTable(b *testing.B) {
	for _, servers := range []int{475, 950, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cfg, list, views := newFleet(servers)
			b.ReportAllocs()
			for b.Loop() {
				BuildTable("domain-0", cfg, list, views)
			}
		})
	}
}

// BenchmarkReadList measures the indexing of a list that was read.
func BenchmarkReadList(b *testing.B) {
	for _, servers := range []int{475, 950, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			_, list, _ := newFleet(servers)
			b.ReportAllocs()
			for b.Loop() {
				NewList(time.Time{}, list.Instances)
			}
		})
	}
}
