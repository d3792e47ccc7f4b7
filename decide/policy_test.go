package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The seeds that the constants were tuned on, and those that they weren't.
var (
	tunedSeeds   = []uint64{1, 2}
	untunedSeeds = []uint64{101, 102}
)

// BenchmarkPolicy runs the experiment: this policy and the baselines on each
// scenario and size, tuned and untuned seeds apart.
func BenchmarkPolicy(b *testing.B) {
	for _, z := range []size{flightKitchen, instituto, twoYears} {
		for _, sc := range scenarios {
			for _, p := range append(append([]policy{ownPolicy}, ablations...), baselines...) {
				for kind, seeds := range map[string][]uint64{"tuned": tunedSeeds, "untuned": untunedSeeds} {
					b.Run(fmt.Sprintf("%s/%s/%s/%s", z.name, sc.name, kind, p.name), func(b *testing.B) {
						for range b.N {
							reportPolicy(b, z, sc, p, seeds)
						}
					})
				}
			}
		}
	}
}

func reportPolicy(b *testing.B, z size, sc scenario, p policy, seeds []uint64) {
	length := time.Hour
	if z.models > 100 {
		length = 5 * time.Minute
	}
	var sum result
	var wait, refusal float64
	owner, guest := 0.0, 0.0
	for _, seed := range seeds {
		r := simulate(z, sc, p, seed, length)
		sum.asked += r.asked
		sum.met += r.met
		sum.refused += r.refused
		sum.moves += r.moves
		sum.accelerators = r.accelerators
		wait = max(wait, p99(r.waits))
		refusal = max(refusal, p99(r.refusals))
		owner += r.of("owner") / float64(len(seeds))
		guest += r.of("guest") / float64(len(seeds))
	}
	b.ReportMetric(100*sum.attainment(), "%met")
	b.ReportMetric(100*sum.attainment()/float64(sum.accelerators), "%met/accelerator")
	b.ReportMetric(float64(sum.moves)/float64(len(seeds)), "moves")
	b.ReportMetric(wait, "p99-wait-s")
	b.ReportMetric(refusal, "p99-refusal-s")
	b.ReportMetric(100*float64(sum.refused)/float64(sum.asked), "%refused")
	b.ReportMetric(100*owner, "%owner")
	b.ReportMetric(100*guest, "%guest")
}

// bound is a regression bound on a deterministic figure.
type bound struct {
	scenario string
	ratio    float64 // least attainment against the best baseline's
}

var bounds = []bound{
	{"steady", 0.99},
	{"saturation", 1.3},
	{"skew", 1},
}

func TestPolicyAgainstBaselines(t *testing.T) {
	for _, b := range bounds {
		t.Run(b.scenario, func(t *testing.T) {
			sc := scenarios[slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == b.scenario })]
			own := simulate(small, sc, ownPolicy, untunedSeeds[0], 5*time.Minute)
			best := 0.0
			for _, p := range baselines {
				r := simulate(small, sc, p, untunedSeeds[0], 5*time.Minute)
				best = max(best, r.attainment())
			}
			require.GreaterOrEqual(t, own.attainment(), b.ratio*best)
		})
	}
}

// A slot frees after a waiting request's time is up, and before the tick that
// refuses it. How long the target takes isn't known yet.
func TestARequestWhoseTimeIsUpIsNotDispatchedWhenASlotFrees(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	require.Equal(t, ActionDispatch, s.Submit(simStart, newTestRequest("first", "am", time.Minute))[0].Action)
	for n := 0; s.Queued() == 0; n++ { // the server's own short queue fills first
		s.Submit(simStart, newTestRequest(fmt.Sprint("late", n), "am", time.Second))
	}
	for _, d := range s.Cancel(simStart.Add(time.Second), "first") {
		require.NotEqual(t, ActionDispatch, d.Action, "%s", d.Request)
	}
}
