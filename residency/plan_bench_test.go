package residency

import (
	"fmt"
	"testing"
	"time"

	"greengageferry/topology"
)

// newCrowdedSimulation returns a simulation with three models on each server and demand for a
// ninth of the models.
func newCrowdedSimulation(b testing.TB, servers, models int) *simulation {
	w := newSimulation(b, servers, models, 0)
	w.service.Engine.Slots, w.service.Engine.LoadsPerSecond = 12, 0.15*float64(servers)
	for i := range w.service.Engine.Models {
		if i%9 == 0 {
			w.service.Engine.Models[i].Adapters = 24
		}
	}
	for i := range servers {
		for n := range 3 {
			w.placeModel(fmt.Sprint("m", (3*i+n)%models), i)
		}
	}
	w.moveDemand(0)
	return w
}

// moveDemand moves the demand to every ninth model, starting at the given one.
func (w *simulation) moveDemand(from int) {
	clear(w.demand)
	models := len(w.service.Engine.Models)
	for i := from; i < models; i += 9 {
		name := fmt.Sprint("m", i)
		w.setDemand(name, 24, 4)
		for n := 1; n <= w.service.Engine.Models[i].Adapters; n++ {
			w.demand[topology.TargetName("llm", name, topology.AdapterName(n))] = TargetDemand{InFlight: 1}
		}
	}
}

// BenchmarkPlan measures planning after demand has just moved.
func BenchmarkPlan(b *testing.B) {
	for _, servers := range []int{30, 100, 240} {
		b.Run(fmt.Sprint("engines=", servers), func(b *testing.B) {
			var spent time.Duration
			plans := 0
			for range b.N {
				w := newCrowdedSimulation(b, servers, servers*444/240)
				w.run(3 * time.Second)
				w.moveDemand(4)
				for range 30 {
					w.step()
					begun := time.Now()
					w.planner.Plan(w.now)
					spent += time.Since(begun)
					plans++
				}
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(plans), "µs/plan")
		})
	}
}

// BenchmarkPlanAtDesignSize measures planning at the size to design for, with demand for all
// models, a ninth of them hot, once with requests of one rank and once of two.
func BenchmarkPlanAtDesignSize(b *testing.B) {
	const servers, models = 1900, 870
	for _, ranks := range []int{1, 2} {
		b.Run(fmt.Sprint("ranks=", ranks), func(b *testing.B) {
			w := newCrowdedSimulation(b, servers, models)
			w.run(time.Second)
			w.moveDemand(4)
			for m := range models {
				name := topology.TargetName("llm", fmt.Sprint("m", m), "")
				a := w.demand[name]
				if a.InFlight == 0 {
					a.InFlight, a.Waiting = 2, 1
				}
				rank := (m % 9 % 2) * (ranks - 1)
				a.ByRank[rank] = RankDemand{Waiting: a.Waiting, InFlight: a.InFlight, Goal: time.Second}
				w.demand[name] = a
			}
			w.run(2 * time.Second)
			b.ResetTimer()
			spent := time.Duration(0)
			for range b.N {
				w.step()
				begun := time.Now()
				w.planner.Plan(w.now)
				spent += time.Since(begun)
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "µs/plan")
		})
	}
}
