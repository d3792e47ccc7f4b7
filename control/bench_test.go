package control

import (
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

type emptyPlanner struct{}

func (emptyPlanner) Plan(decide.PlanInput) []decide.Move { return nil }

// quietDomain returns the lease holder's core in a domain with the given number
// of servers, each in sync with an assignment of 20 items.
func quietDomain(servers int) (*core, inputs, time.Time) {
	now := time.Unix(0, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := newCore(Options{
		Instance: "n1", FailureDomain: testDomain, Planner: emptyPlanner{}, Log: log, Metrics: new(expvar.Map), Random: rand.New(rand.NewPCG(1, 1)),
	}, now)
	machine := replay.NewControl()
	list := []infra.Instance{{ID: "n1", Role: infra.RoleEntry, State: infra.StateLive, FailureDomain: testDomain}}
	var statuses []infra.ServerStatus
	apply := func(r *record.Record) { machine.Apply(machine.Offset()+1, r) }
	apply(&record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{Holder: "n1", DurationMs: 8000}}})
	for i := range servers {
		id := fmt.Sprint("s", i)
		st := infra.ServerStatus{ID: id, Boot: "b", Fence: 1 << 40}
		var items []infra.Item
		for m := range 20 {
			item := infra.Item{Model: fmt.Sprint("model-", (i*7+m*41)%870), Version: "1", MiB: 1}
			items = append(items, item)
			st.Items = append(st.Items, infra.ResidentItem{Item: item, State: infra.ItemReady})
		}
		statuses = append(statuses, st)
		list = append(list, infra.Instance{ID: id, Role: infra.RoleEngine, State: infra.StateLive, FailureDomain: testDomain, Pool: "strict", Addr: "10.0.0.1:" + id})
		apply(&record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{Lease: 1, Server: id, MemoryMib: 100, Items: replay.ItemRecords(items)}}})
		apply(&record.Record{Body: &record.Record_Readiness{Readiness: &record.Readiness{Lease: 1, Server: id, Boot: "b", Items: replay.ItemRecords(items)}}})
	}
	apply(&record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: "n1"}}})
	c.member.joinOffset = machine.Offset()
	in := inputs{view: machine.View(), list: fleet.NewList(now, list), cfg: testConfig(), idle: true}
	c.lease.Observe(now, 0, replay.Lease{})
	c.lease.Next(now, true, 0)
	c.lease.AppendDone(now, 1)
	c.step(now, in)
	for _, st := range statuses {
		pollDone{server: st.ID, askedAt: now, status: st}.apply(c, now)
	}
	return c, in, now
}

// BenchmarkHolderStep measures a step of the lease holder while all servers are in
// sync. A holder makes four a second, and one for each change of the view.
func BenchmarkHolderStep(b *testing.B) {
	for _, servers := range []int{53, 211, 844} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c, in, now := quietDomain(servers)
			if len(c.step(now, in).orders) > 0 || !c.lease.Holds(now, 0) {
				b.Fatal("the servers are not in sync")
			}
			for b.Loop() {
				c.step(now, in)
			}
		})
	}
}

// BenchmarkFollowerStep measures a step of an instance without the lease.
func BenchmarkFollowerStep(b *testing.B) {
	for _, servers := range []int{53, 211, 844} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c, in, now := quietDomain(servers)
			c.lease = NewLeaseKeeper(LeaseOptions{Holder: "n2"})
			for b.Loop() {
				c.step(now, in)
			}
		})
	}
}
