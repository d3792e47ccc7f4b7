package decide

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays of 75 instances that choose among engines of different speeds, each of which answers
// any one instance once in several seconds.

var unevenSpeeds = []float64{0.7, 0.7, 1.6}

func unevenContention(speeds []float64, seed uint64) contention {
	return contention{instances: 75, load: 0.8, speeds: speeds, seed: seed}
}

// busiest returns the most requests that an engine started against its share by speed.
func (r *contentionResult) busiest(speeds []float64) float64 {
	sum, most := 0, 0.0
	for _, n := range r.byEngine {
		sum += n
	}
	for i, n := range r.byEngine {
		share := float64(sum) * speeds[i%len(speeds)] / float64(len(r.byEngine))
		most = max(most, float64(n)/share)
	}
	return most
}

// Engines of speeds 0.7, 0.7 and 1.6 have as much room as even ones. With speeds that each
// instance learned alone they served 0.92 as much in time.
func TestUnevenServersServeAsMuchAsEvenOnes(t *testing.T) {
	even, uneven, busiest := 0.0, 0.0, 0.0
	seeds := []uint64{31, 32, 33}
	for _, seed := range seeds {
		r, s := simulateContention(unevenContention(nil, seed)), simulateContention(unevenContention(unevenSpeeds, seed))
		t.Logf("seed %d, even: %v; uneven: %v, busiest %.2f, of the even ones %.2f", seed, r, s, s.busiest(unevenSpeeds), r.busiest([]float64{1}))
		even += r.worth()
		uneven += s.worth()
		busiest += s.busiest(unevenSpeeds) / float64(len(seeds))
	}
	require.Greater(t, uneven/even, 0.98)
	t.Logf("worth %.3f of the even servers', busiest %.2f", uneven/even, busiest)
}

// An engine slows to a third while requests run. Half of its newest answers show it then.
func TestServerThatSlowsIsFoundByAllInstances(t *testing.T) {
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
