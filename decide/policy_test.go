package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tunedSeeds are the seeds that the constants were tuned on, untunedSeeds others.
var (
	tunedSeeds   = []uint64{1, 2}
	untunedSeeds = []uint64{101, 102}
)

// BenchmarkPolicy runs the experiment: this policy, its ablations and the baselines in
// each scenario and size, separately for tuned and untuned seeds.
func BenchmarkPolicy(b *testing.B) {
	for _, z := range []deploymentSize{flightKitchen, instituto, twoYears} {
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

func reportPolicy(b *testing.B, z deploymentSize, sc scenario, p policy, seeds []uint64) {
	length := time.Hour
	if z.models > 100 {
		length = 5 * time.Minute
	}
	var sum result
	var wait, refusal float64
	owner, guest := 0.0, 0.0
	for _, seed := range seeds {
		r := simulate(z, sc, p, seed, length)
		sum.requests += r.requests
		sum.met += r.met
		sum.refused += r.refused
		sum.moves += r.moves
		sum.accelerators = r.accelerators
		wait = max(wait, p99(r.waits))
		refusal = max(refusal, p99(r.refusals))
		owner += r.partnerAttainment("owner") / float64(len(seeds))
		guest += r.partnerAttainment("guest") / float64(len(seeds))
	}
	b.ReportMetric(100*sum.attainment(), "%met")
	b.ReportMetric(100*sum.attainment()/float64(sum.accelerators), "%met/accelerator")
	b.ReportMetric(float64(sum.moves)/float64(len(seeds)), "moves")
	b.ReportMetric(wait, "p99-wait-s")
	b.ReportMetric(refusal, "p99-refusal-s")
	b.ReportMetric(100*float64(sum.refused)/float64(sum.requests), "%refused")
	b.ReportMetric(100*owner, "%owner")
	b.ReportMetric(100*guest, "%guest")
}

// regressionBound is a lower bound on the attainment in a scenario, which is deterministic.
type regressionBound struct {
	scenario string
	ratio    float64 // least attainment, relative to the best baseline's
}

var regressionBounds = []regressionBound{
	{"steady", 0.99},
	{"saturation", 1.3},
	{"skew", 1},
}

func TestPolicyAgainstBaselines(t *testing.T) {
	for _, b := range regressionBounds {
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

// A slot becomes free after a queued request's deadline has passed, before the tick that
// refuses the request. The target's service time isn't known yet.
func TestExpiredRequestIsNotDispatchedWhenASlotFrees(t *testing.T) {
	s := testScheduler(testTable(1, 1, 1, "am"))
	require.Equal(t, ActionDispatch, s.Submit(simStart, newTestRequest("first", "am", time.Minute))[0].Action)
	for n := 0; s.Queued() == 0; n++ { // the server's own short queue fills first
		s.Submit(simStart, newTestRequest(fmt.Sprint("late", n), "am", time.Second))
	}
	for _, d := range s.Cancel(simStart.Add(time.Second), "first") {
		require.NotEqual(t, ActionDispatch, d.Action, "%s", d.Request)
	}
}
