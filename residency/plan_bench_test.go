package residency

import (
	"fmt"
	"testing"
	"time"

	"greengageferry/topology"
)

// crowded is a deployment with three models on each engine, nearly twice as many
// models as engines, and demand on a ninth of the models.
func crowded(b testing.TB, engines int) *world {
	models := engines * 444 / 240
	w := newWorld(b, engines, models, 0)
	w.service.Engine.Slots, w.service.Engine.LoadsPerSecond = 12, 0.15*float64(engines)
	for i := range w.service.Engine.Models {
		if i%9 == 0 {
			w.service.Engine.Models[i].Adapters = 24
		}
	}
	for i := range engines {
		for n := range 3 {
			w.place(fmt.Sprint("m", (3*i+n)%models), i)
		}
	}
	w.moveDemand(0)
	return w
}

// moveDemand has every ninth model asked for, from one on.
func (w *world) moveDemand(from int) {
	clear(w.asked)
	models := len(w.service.Engine.Models)
	for i := from; i < models; i += 9 {
		name := fmt.Sprint("m", i)
		w.ask(name, 24, 4)
		for n := 1; n <= w.service.Engine.Models[i].Adapters; n++ {
			w.asked[topology.TargetName("llm", name, topology.AdapterName(n))] = Asked{InFlight: 1}
		}
	}
}

// BenchmarkPlan plans while demand that has just moved is followed.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{30, 100, 240} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			var spent time.Duration
			plans := 0
			for range b.N {
				w := crowded(b, engines)
				w.run(3 * time.Second)
				w.moveDemand(4)
				for range 30 {
					w.step()
					begun := time.Now()
					w.p.Plan(w.now)
					spent += time.Since(begun)
					plans++
				}
			}
			b.ReportMetric(float64(spent.Microseconds())/float64(plans), "µs/plan")
		})
	}
}
