package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/config"
	"greengageferry/infra"
)

// planSim simulates failure domains whose engines carry out moves at once and release
// the memory of dropped items one plan later.
type planSim struct {
	t          require.TestingT
	now        time.Time
	conf       *config.Config
	domains    []string
	servers    map[string][]PlanServer
	planners   map[string]*Planner
	stores     map[string]infra.StoreLimits
	demand     map[string]Demand
	idleDomain string // domain whose planner doesn't run
	storeDown  bool   // whether the weight store is down
	loads      int
}

func newPlanSim(t require.TestingT, conf *config.Config, servers int) *planSim {
	p := &planSim{t: t, now: simStart, conf: conf, domains: conf.Pools["pool"].FailureDomains, servers: map[string][]PlanServer{}, planners: map[string]*Planner{}}
	for _, d := range p.domains {
		p.planners[d] = NewPlanner()
		for i := range servers {
			p.servers[d] = append(p.servers[d], PlanServer{ID: fmt.Sprint(d, "-", i), Pool: "pool", MemoryMiB: simMemory, Slots: simSlots, Reachable: true,
				AssignedAt: map[infra.Key]time.Time{}})
		}
	}
	return p
}

// step advances the time, plans once in each domain and carries out the moves.
func (p *planSim) step(by time.Duration) (moves int) {
	p.now = p.now.Add(by)
	for _, d := range p.domains {
		servers := p.servers[d]
		for i := range servers {
			servers[i].Lingering = nil
			servers[i].Ready = slices.Clone(servers[i].Assigned)
		}
		if d == p.idleDomain {
			continue
		}
		for _, m := range p.planners[d].Plan(PlanInput{Now: p.now, Domain: d, Config: p.conf, Servers: servers, Demand: p.demand,
			OtherDomainReplicas: p.otherDomainReplicas(d), Domains: p.domains, Stores: p.stores, StoreDown: p.storeDown}) {
			moves++
			p.apply(&servers[slices.IndexFunc(servers, func(s PlanServer) bool { return s.ID == m.Server })], m)
		}
	}
	return moves
}

func (p *planSim) apply(s *PlanServer, m Move) {
	for _, drop := range m.Drop {
		s.Assigned = slices.DeleteFunc(s.Assigned, func(i infra.Item) bool { return i == drop })
		s.Ready = slices.DeleteFunc(s.Ready, func(i infra.Item) bool { return i == drop })
		s.Lingering = append(s.Lingering, drop)
	}
	for _, add := range m.Add {
		s.Assigned = append(s.Assigned, add)
		s.AssignedAt[add.Key()] = p.now
		p.loads++
		require.True(p.t, !s.Leaving)
		if add.Adapter != "" {
			require.True(p.t, slices.ContainsFunc(s.Assigned, func(i infra.Item) bool { return i.Model == add.Model && i.Adapter == "" }), "an adapter needs its model on the same server")
		}
	}
	require.LessOrEqual(p.t, occupiedMiB(*s), s.MemoryMiB, "memory, lingering items included: %v on %v", m, s)
}

func (p *planSim) otherDomainReplicas(domain string) map[string]int {
	n := map[string]int{}
	for d, servers := range p.servers {
		if d != domain {
			for _, s := range servers {
				for _, i := range s.Ready {
					n[nameOfItem(i)]++
				}
			}
		}
	}
	return n
}

// ready returns the number of servers that have the name ready.
func (p *planSim) ready(name string) int { return p.otherDomainReplicas("")[name] }

func (p *planSim) forEachName(check func(name string)) {
	for _, name := range append(sortedNames(p.conf.Models), sortedNames(p.conf.Adapters)...) {
		check(name)
	}
}

func TestEachNameGetsOneReplicaThenASecondInAnotherDomain(t *testing.T) {
	p := newPlanSim(t, small.config(), 4)
	p.step(time.Second)
	p.forEachName(func(name string) { require.LessOrEqual(t, p.ready(name), 1, "two domains both placed %s first", name) })
	for range 10 {
		p.step(time.Second)
	}
	p.forEachName(func(name string) {
		require.Equal(t, 2, p.ready(name), name)
		for _, d := range p.domains {
			require.Equal(t, 1, p.otherDomainReplicas(d)[name], "%s: one replica in each domain", name)
		}
	})
	require.Zero(t, p.step(time.Second), "moves without a cause")
}

func TestOtherDomainsPlaceModelsOfAHomeThatDoesNotPlan(t *testing.T) {
	p := newPlanSim(t, small.config(), 4)
	p.idleDomain = "d0"
	p.step(time.Second)
	missing := 0
	p.forEachName(func(name string) { missing += 1 - min(p.ready(name), 1) })
	require.Positive(t, missing, "other domains must give the home time first")
	for range 4 {
		p.step(homeTakeoverDelay / 2)
	}
	p.forEachName(func(name string) { require.Positive(t, p.ready(name), name) })
}

func TestReplicasOnLeavingAndUnreachableServersAreReplaced(t *testing.T) {
	p := newPlanSim(t, small.config(), 4)
	for range 10 {
		p.step(time.Second)
	}
	p.servers["d0"][0].Leaving = true
	p.servers["d1"][0].Reachable = false
	lost := slices.Clone(p.servers["d1"][0].Assigned)
	require.Zero(t, len(p.planners["d1"].Plan(PlanInput{Now: p.now, Domain: "d1", Config: p.conf, Servers: p.servers["d1"], OtherDomainReplicas: p.otherDomainReplicas("d1"), Domains: p.domains})),
		"a short network failure must not cause loads")
	for range 10 {
		p.step(unreachableGrace / 4)
	}
	p.servers["d1"][0].Assigned, p.servers["d0"][0].Assigned = nil, nil
	p.step(time.Second)
	for _, i := range lost {
		require.Positive(t, p.ready(nameOfItem(i)))
	}
}

func TestNewVersionIsReadyBeforeTheOldIsDropped(t *testing.T) {
	for _, servers := range []int{4, 3} { // with and without room beside the old version
		p := newPlanSim(t, small.config(), servers)
		for range 40 {
			p.step(time.Second)
		}
		before := p.loads
		next := small.config()
		for name, m := range next.Models {
			m.Version = "2"
			next.Models[name] = m
		}
		p.conf = next
		for range 60 {
			p.step(time.Second)
			p.forEachName(func(name string) { require.Positive(t, p.ready(name), "%s with %d servers", name, servers) })
		}
		for _, d := range p.domains {
			for _, s := range p.servers[d] {
				for _, i := range s.Assigned {
					require.True(t, i.Adapter != "" || i.Version == "2", "%v with %d servers", i, servers)
				}
			}
		}
		require.Less(t, p.loads-before, 5*len(next.Models))
	}
}

func TestLoadsStayWithinStoreLimits(t *testing.T) {
	p := newPlanSim(t, small.config(), 4)
	p.stores = map[string]infra.StoreLimits{"owner": {LoadsPerSecond: 1, ConcurrentLoads: 2}, "guest": {LoadsPerSecond: 1, ConcurrentLoads: 2}}
	p.storeDown = true
	p.step(time.Second)
	require.Zero(t, p.loads, "the store is down")
	p.storeDown = false
	for i := range 10 {
		p.step(time.Second)
		require.LessOrEqual(t, p.loads, 2*2*(i+1), "at most one load in flight per partner and domain")
		require.LessOrEqual(t, float64(p.loads), 2*(float64(i+1)+loadBurstSeconds+1))
	}
}

func TestDemandAddsReplicasAndNoiseDoesNot(t *testing.T) {
	p := newPlanSim(t, small.config(), 4)
	for range 10 {
		p.step(time.Second)
	}
	p.now = p.now.Add(2 * minResidence)
	noise := rand.New(rand.NewPCG(1, 1))
	for range 600 {
		p.demand = map[string]Demand{"m001": {RequestsPerSecond: 5 * noise.Float64()}, "m002": {RequestsPerSecond: 1, RefusedPerSecond: 0.005 * noise.Float64()}}
		require.Zero(t, p.step(time.Second))
	}
	p.demand = map[string]Demand{"m001": {RequestsPerSecond: 10, RefusedPerSecond: 4}}
	for range 60 {
		p.step(time.Second)
	}
	require.Greater(t, p.ready("m001"), 2)
	p.demand = nil
	grown := p.ready("m001")
	for range 600 {
		require.Zero(t, p.step(time.Second), "replicas stay until their memory is needed")
	}
	require.Equal(t, grown, p.ready("m001"))
}

// TestRandomChangesKeepMemoryBoundsLentPartsAndAvailability plans through random demand
// and version changes. It checks that no server's memory and no lent part is exceeded and
// that every name has a ready replica.
func TestRandomChangesKeepMemoryBoundsLentPartsAndAvailability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlanSim(t, small.config(), 3)
		for range 20 {
			p.step(time.Second)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.demand = map[string]Demand{}
			for range 3 {
				name := rapid.SampledFrom(sortedNames(p.conf.Models)).Draw(t, "model")
				p.demand[name] = Demand{RequestsPerSecond: 9, RefusedPerSecond: rapid.Float64Range(0, 9).Draw(t, "refused")}
			}
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				next := *p.conf
				next.Models = map[string]config.Model{}
				for _, name := range sortedNames(p.conf.Models) {
					m := p.conf.Models[name]
					m.Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version"))
					next.Models[name] = m
				}
				p.conf = &next
			}
			p.step(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			p.forEachName(func(name string) { require.Positive(t, p.ready(name), name) })
			for _, d := range p.domains {
				borrowed := int64(0)
				for _, s := range p.servers[d] {
					for _, i := range s.Assigned {
						if p.conf.Models[i.Model].Owner == "guest" {
							borrowed += i.MiB
						}
					}
				}
				require.LessOrEqual(t, borrowed, 3*int64(p.conf.Pools["pool"].Lent*simMemory))
			}
		}
	})
}

func TestHomesFollowCapacityAndAreStable(t *testing.T) {
	c := twoYears.config()
	pool := c.Pools["pool"]
	pool.FailureDomains = []string{"a", "b", "c"}
	c.Pools["pool"] = pool
	moved, count := 0, map[string]int{}
	for name := range c.Models {
		h := rankHomeDomains(c, name, pool.FailureDomains)
		count[h[0]]++
		if without := rankHomeDomains(c, name, []string{"a", "b"}); h[0] != "c" && without[0] != h[0] {
			moved++
		}
	}
	require.Zero(t, moved, "the loss of a domain must not change other domains' homes")
	for d, n := range count {
		require.InDelta(t, len(c.Models)/3, n, 60, d)
	}
}

// BenchmarkPlan measures one plan for a domain of the two-years size, from an empty state
// and from a settled state with demand.
func BenchmarkPlan(b *testing.B) {
	conf := twoYears.config()
	for _, kind := range []string{"empty", "settled"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				p := newPlanSim(b, conf, 211)
				steps := 0
				if kind == "settled" {
					steps = 4
					p.demand = map[string]Demand{}
					for i, name := range sortedNames(conf.Models) {
						p.demand[name] = Demand{RequestsPerSecond: 1, RefusedPerSecond: float64(i%3) / 10}
					}
				}
				for range steps {
					p.step(time.Second)
				}
				in := PlanInput{Now: p.now.Add(time.Minute), Domain: "d0", Config: conf, Servers: p.servers["d0"], Demand: p.demand, Domains: p.domains}
				b.StartTimer()
				p.planners["d0"].Plan(in)
			}
		})
	}
}
