package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/topology"
)

// fault makes something fail in a sim, and may mend it later.
type fault func(t *rapid.T, s *sim)

// someInstances draws a part of the instances.
func someInstances(t *rapid.T, s *sim) []*simInstance {
	n := rapid.IntRange(1, len(s.instances)).Draw(t, "instances")
	first := rapid.IntRange(0, len(s.instances)-n).Draw(t, "first")
	return s.instances[first : first+n]
}

func drawDuration(t *rapid.T, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, "for"))
}

var faults = map[string]fault{
	"cut": func(t *rapid.T, s *sim) {
		cut := someInstances(t, s)
		for _, x := range cut {
			x.cut = true
		}
		s.after(drawDuration(t, 10*time.Second), func() {
			for _, x := range cut {
				x.cut = false
			}
		})
	},
	"kill": func(t *rapid.T, s *sim) {
		killed := someInstances(t, s)
		for _, x := range killed {
			x.down = true
		}
		s.after(drawDuration(t, 4*time.Second), func() {
			for _, x := range killed {
				if x.down {
					s.restart(x)
				}
			}
		})
	},
	"lose the holder": func(t *rapid.T, s *sim) {
		for _, h := range s.holders {
			h.down = true
		}
		s.after(drawDuration(t, 6*time.Second), s.elect)
	},
	"elect another holder": func(_ *rapid.T, s *sim) { s.elect() },
	"lose messages": func(t *rapid.T, s *sim) {
		s.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
		s.double = rapid.Float64Range(0, 0.5).Draw(t, "double")
		s.after(drawDuration(t, 10*time.Second), func() { s.loss, s.double = 0, 0 })
	},
	"delay messages": func(t *rapid.T, s *sim) {
		before := s.latency
		s.latency = drawDuration(t, 400*time.Millisecond)
		s.after(drawDuration(t, 5*time.Second), func() { s.latency = before })
	},
	"kill everything": func(t *rapid.T, s *sim) {
		for _, h := range s.holders {
			h.down = true
		}
		for _, x := range s.instances {
			s.restart(x)
		}
		s.after(drawDuration(t, 6*time.Second), s.elect)
	},
}

// TestAllowanceIsKeptUnderFailures: whatever fails, no more is used in any window than is
// allowed.
func TestAllowanceIsKeptUnderFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{4200, 50_000, 400_000}).Draw(t, "rate")
		n := rapid.SampledFrom([]int{4, 9, 40}).Draw(t, "instances in all")
		s := newSim(rapid.Uint64().Draw(t, "seed"), n, topology.Allowance{PerSecond: rate, Burst: rate, Unit: topology.UnitTokens})
		cost := exponentialCost(s.rng, meanRequest)
		demand := 0.5
		for range 20 {
			if rapid.Bool().Draw(t, "fails") {
				name := rapid.SampledFrom([]string{"cut", "kill", "lose the holder", "elect another holder", "lose messages", "delay messages", "kill everything"}).Draw(t, "fault")
				faults[name](t, s)
			}
			if rapid.IntRange(0, 4).Draw(t, "demand moves") == 0 {
				demand = rapid.SampledFrom([]float64{0.3, 0.55, 1, 2, 4, 8}).Draw(t, "demand")
			}
			s.run(time.Second, cost, equally(demand*rate, n))
		}
		most, _ := s.mostInWindow()
		require.LessOrEqual(t, most, allowed(s.limit))
	})
}
