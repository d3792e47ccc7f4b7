package decide

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Simulations of 75 instances that choose among engines of different speeds. An instance gets an answer
// of each engine only once in several seconds, too rarely to learn the engine's speed alone.

var unevenSpeeds = []float64{0.7, 0.7, 1.6}

func unevenContention(speeds []float64, seed uint64) contentionSettings {
	return contentionSettings{instances: 75, load: 0.8, speeds: speeds, seed: seed}
}

// shares returns the work that each engine started, relative to its share by speed.
func (r *contentionResult) shares(speeds []float64) []float64 {
	sum := time.Duration(0)
	for _, work := range r.workByEngine {
		sum += work
	}
	var out []float64
	for i, work := range r.workByEngine {
		out = append(out, work.Seconds()*float64(len(r.workByEngine))/sum.Seconds()/speeds[i%len(speeds)])
	}
	return out
}

// Engines of speeds 0.7, 0.7 and 1.6 have the same total capacity as even ones, so they must serve about
// as many requests in time, each engine near its share by speed.
func TestUnevenServersServeAsMuchAsEvenOnes(t *testing.T) {
	t.Parallel()
	even, uneven, slow := 0.0, 0.0, 0.0
	seeds := []uint64{31, 32, 33}
	for _, seed := range seeds {
		r, s := simulateContention(unevenContention(nil, seed)), simulateContention(unevenContention(unevenSpeeds, seed))
		shares := s.shares(unevenSpeeds)
		t.Logf("seed %d, even: %v; uneven: %v, busiest %.2f", seed, r, s, slices.Max(shares))
		even += r.worth()
		uneven += s.worth()
		for i, share := range shares {
			if unevenSpeeds[i%len(unevenSpeeds)] < 1 {
				slow += share / float64(len(seeds)*contentionEngines*2/3)
			}
		}
	}
	t.Logf("worth %.3f of the even servers', slow ones %.2f of their share", uneven/even, slow)
	require.Greater(t, uneven/even, 0.98)
	require.Less(t, slow, 1.07)
}

// No server carries more than 1.3 times its share by capacity, in work: a short request is no full one.
func TestBusiestServerKeepsToItsShare(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{31, 32, 33, 34, 35, 36} {
		r := simulateContention(unevenContention(unevenSpeeds, seed))
		busiest := slices.Max(r.shares(unevenSpeeds))
		t.Logf("seed %d: the busiest server carries %.2f of its share", seed, busiest)
		require.LessOrEqual(t, busiest, 1.3)
	}
}

// Servers of equal speed are estimated at speed 1, and their targets don't count as uneven.
func TestEvenServersAreServedAsBefore(t *testing.T) {
	t.Parallel()
	c := runContention(unevenContention(nil, 31))
	differing := 0
	for _, s := range c.speeds.Speeds() {
		if s.Speed != 1 {
			differing++
		}
	}
	require.LessOrEqual(t, differing, contentionEngines/20)
	uneven := 0
	for _, target := range c.schedulers[0].fleet.sortedTargets {
		if target.uneven {
			uneven++
		}
	}
	require.LessOrEqual(t, uneven, 1)
}

// An engine's speed falls to a third while it runs requests. All instances use the lower speed soon after
// recentSpeedAnswers answers.
func TestServerThatSlowsIsFoundByAllInstances(t *testing.T) {
	t.Parallel()
	for _, speeds := range [][]float64{nil, unevenSpeeds} {
		c := newContentionSim(unevenContention(speeds, 31))
		slow := c.engines[1]
		var enough, found time.Time
		var watch func()
		watch = func() {
			if enough.IsZero() && slow.answers >= recentSpeedAnswers {
				enough = c.now
			}
			if found.IsZero() && c.highestSpeed(slow.id) < 0.7*slow.speed*3 {
				found = c.now
			}
			c.after(10*time.Millisecond, watch)
		}
		c.after(contentionEnd/2, func() {
			slow.speed, slow.slowed = slow.speed/3, c.now
			watch()
		})
		c.run()
		require.False(t, enough.IsZero())
		require.False(t, found.IsZero())
		t.Logf("%v after %d slow answers", found.Sub(enough), recentSpeedAnswers)
		require.Less(t, found.Sub(enough), 2*time.Second)
	}
}

// highestSpeed returns the highest speed that any instance takes the server to have.
func (c *contentionSim) highestSpeed(server string) float64 {
	highest := 0.0
	for _, s := range c.schedulers {
		highest = max(highest, s.fleet.servers[server].speed())
	}
	return highest
}
