package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"greengageferry/topology"
)

// The sizes of deployments: a small one, the one that named allowances first, the large one
// and the one to design for.
var simSizes = []int{9, 69, 295, 370}

const meanRequest = 1500.0 // tokens

// equally spreads a rate over all instances.
func equally(rate float64, n int) func(int) float64 {
	return func(int) float64 { return rate / float64(n) }
}

// inOneDomain spreads a rate over the first quarter of the instances.
func inOneDomain(rate float64, n int) func(int) float64 {
	part := max(n/4, 1)
	return func(i int) float64 {
		if i < part {
			return rate / float64(part)
		}
		return 0
	}
}

type simResult struct {
	contendedUse float64 // used of what the rate allows, while twice as much is asked for
	refusedBelow float64 // fraction of the requests within the allowance that are refused, while half of the rate is asked for
	window       float64 // most used in a window, of what is allowed
	draws        float64 // a second
}

// play asks for half of the rate for 12 s, then jumps to the given multiple of it for 40 s.
func (s *sim) play(spread func(rate float64, n int) func(int) float64, x float64) simResult {
	n := len(s.instances)
	cost := exponentialCost(s.rng, meanRequest)
	s.run(4*time.Second, cost, spread(s.limit.PerSecond/2, n))
	s.judged, s.refused, s.draws = 0, 0, 0
	s.run(8*time.Second, cost, spread(s.limit.PerSecond/2, n))
	var out simResult
	out.refusedBelow = float64(s.refused) / float64(max(s.judged, 1))
	out.draws = float64(s.draws) / 8
	s.run(8*time.Second, cost, spread(x*s.limit.PerSecond, n))
	_, before := s.mostInWindow()
	s.run(32*time.Second, cost, spread(x*s.limit.PerSecond, n))
	most, total := s.mostInWindow()
	out.contendedUse = (total - before) / (32 * s.limit.PerSecond)
	out.window = most / allowed(s.limit)
	return out
}

// TestAllowanceIsUsedAndKept plays one account at each size: evenly spread and in one
// failure domain only, with a demand that jumps to 2 and to 8 times the rate.
func TestAllowanceIsUsedAndKept(t *testing.T) {
	spreads := map[string]func(float64, int) func(int) float64{"even": equally, "one domain": inOneDomain}
	for _, n := range simSizes {
		for _, rate := range []float64{4200, 50_000, 400_000} {
			for _, x := range []float64{2, 8} {
				for name, spread := range spreads {
					t.Run(fmt.Sprint(n, " instances, ", rate, " a second x", x, ", ", name), func(t *testing.T) {
						t.Parallel()
						s := newSim(1, n, topology.Allowance{PerSecond: rate, Burst: rate, Unit: topology.UnitTokens})
						r := s.play(spread, x)
						t.Logf("used %.3f of the rate, refused below it %.4f, window %.2f, draws %.0f/s", r.contendedUse, r.refusedBelow, r.window, r.draws)
						assert.LessOrEqual(t, r.window, 1.0)
						assert.GreaterOrEqual(t, r.contendedUse, 0.95)
						assert.LessOrEqual(t, r.refusedBelow, 0.001)
					})
				}
			}
		}
	}
}
