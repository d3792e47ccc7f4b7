package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// schedulerWithSpeeds returns a scheduler with reported speeds of two servers: 0.5 of s0 and 1.5 of s1.
func schedulerWithSpeeds() *Scheduler {
	s := testScheduler(testTable(2, 4, 1, "am"))
	s.UpdateSpeeds(simStart, []ServerSpeed{{Server: "s0", Speed: 0.5, Count: 50}, {Server: "s1", Speed: 1.5, Count: 50}})
	return s
}

func TestSamplesAreTakenOnce(t *testing.T) {
	s := testScheduler(testTable(1, 4, 1, "am"))
	warmUp(s, "am")
	samples := s.TakeSpeedSamples()
	require.Len(t, samples, 1)
	require.Equal(t, SpeedSample{Server: "s0", Pool: "p", Model: "am", Count: 5, LogSum: samples[0].LogSum}, samples[0])
	require.Empty(t, s.TakeSpeedSamples())
}

func TestShortAnswersAreNoSamples(t *testing.T) {
	s := testScheduler(testTable(1, 4, 1, "am"))
	d := s.Submit(simStart, newTestRequest("r", "am", time.Minute))[0]
	s.Ended(simStart.Add(time.Second), "r", d.Server.ID, Outcome{Complete: true, FirstToken: 100 * time.Millisecond, Total: time.Second, Tokens: minSpeedTokens - 1})
	require.Empty(t, s.TakeSpeedSamples())
}

// An attempt that took longer than expected when it was abandoned counts as a sample. Otherwise a
// server that lets slow attempts hang would have samples of quick ones only.
func TestAbandonedAttemptIsASample(t *testing.T) {
	s := testScheduler(testTable(1, 4, 1, "am"))
	warmUp(s, "am")
	s.TakeSpeedSamples()
	at := simStart.Add(time.Second)
	s.Submit(at, newTestRequest("r", "am", time.Minute))
	s.Cancel(at.Add(10*time.Second), "r")
	require.Len(t, s.TakeSpeedSamples(), 1)
	s.Submit(at, newTestRequest("r", "am", time.Minute))
	s.Cancel(at.Add(100*time.Millisecond), "r")
	require.Empty(t, s.TakeSpeedSamples(), "it took no longer than others")
}

func TestSharedSpeedIsUsed(t *testing.T) {
	s := schedulerWithSpeeds()
	slow, fast := s.fleet.servers["s0"], s.fleet.servers["s1"]
	require.Equal(t, 2.0, slow.relativeSlowdown())
	require.Equal(t, 2.0, slow.slowdownAmong(s.fleet.targets["am"]))
	require.InDelta(t, 3, fast.expectedReleases(time.Second)/slow.expectedReleases(time.Second), 0.001)
	require.Equal(t, map[string]float64{"s0": 2, "s1": 6}, s.SpreadOverServers(map[string]float64{"am": 8}))
	slowest, fastest := s.SpeedRange()
	require.Equal(t, []float64{0.5, 1.5}, []float64{slowest, fastest})
}

// The usual times of a target whose only server is slow contain the slowdown. If it counted again,
// requests would be refused that can complete in time.
func TestOnlyServerIsNotSlowForItsTarget(t *testing.T) {
	s := testScheduler(testTable(1, 4, 1, "am"))
	warmUp(s, "am")
	s.UpdateSpeeds(simStart, []ServerSpeed{{Server: "s0", Speed: 0.4, Count: 50}})
	at := simStart.Add(time.Second)
	r := newTestRequest("r", "am", time.Minute)
	r.Arrived, r.Deadline = at, at.Add(1500*time.Millisecond)
	require.Equal(t, ActionDispatch, s.Submit(at, r)[0].Action)
}

// An instance uses its own slowdown of a server if it has more answers than the shared speed.
func TestOwnAnswersCountMoreThanFewShared(t *testing.T) {
	s := testScheduler(testTable(1, 4, 1, "am"))
	warmUp(s, "am")
	s.UpdateSpeeds(simStart, []ServerSpeed{{Server: "s0", Speed: 0.5, Count: 3}})
	require.Equal(t, 1.0, s.fleet.servers["s0"].relativeSlowdown())
}

// Without reports of a lease holder an instance uses its own slowdowns again.
func TestSharedSpeedsEndWithoutLeaseHolder(t *testing.T) {
	s := schedulerWithSpeeds()
	s.Submit(simStart.Add(speedsTTL), newTestRequest("a", "am", time.Minute))
	require.Equal(t, 2.0, s.fleet.servers["s0"].relativeSlowdown())
	s.Submit(simStart.Add(speedsTTL+time.Millisecond), newTestRequest("b", "am", time.Minute))
	require.Equal(t, 1.0, s.fleet.servers["s0"].relativeSlowdown())
	require.False(t, s.fleet.targets["am"].uneven)
}

// A new lease holder doesn't know a server's speed yet, so its reports don't name the server.
func TestSharedSpeedEndsIfNoLongerTold(t *testing.T) {
	s := schedulerWithSpeeds()
	for now := simStart; now.Before(simStart.Add(serverSpeedTTL)); now = now.Add(time.Second) {
		s.UpdateSpeeds(now, nil)
		require.Equal(t, 2.0, s.fleet.servers["s0"].relativeSlowdown())
	}
	s.UpdateSpeeds(simStart.Add(serverSpeedTTL+time.Second), nil)
	require.Equal(t, 1.0, s.fleet.servers["s0"].relativeSlowdown())
}

func TestSharedSpeedIsOfOneStart(t *testing.T) {
	table := testTable(2, 4, 1, "am")
	table.Servers[0].Start = "a"
	s := testScheduler(table)
	s.UpdateSpeeds(simStart, []ServerSpeed{{Server: "s0", Start: "other", Speed: 0.5, Count: 50}})
	require.Equal(t, 1.0, s.fleet.servers["s0"].speed())
	s.UpdateSpeeds(simStart, []ServerSpeed{{Server: "s0", Start: "a", Speed: 0.5, Count: 50}})
	require.Equal(t, 0.5, s.fleet.servers["s0"].speed())
	restarted := testTable(2, 4, 1, "am")
	restarted.Servers[0].Start = "b"
	s.SetTable(simStart, restarted)
	require.Equal(t, 1.0, s.fleet.servers["s0"].speed())
}

// The own failure domain is preferred, but not while its slow servers are fuller than faster ones of
// other domains.
func TestRequestsLeaveTheirDomainForFasterServers(t *testing.T) {
	send := func(speeds []ServerSpeed) map[string]int {
		table := testTable(4, 8, 1, "am")
		for i := range table.Servers {
			table.Servers[i].FailureDomain = fmt.Sprint("d", i/2)
		}
		s := testScheduler(table)
		s.UpdateSpeeds(simStart, speeds)
		byDomain := map[string]int{}
		for n := range 8 {
			d := s.Submit(simStart, newTestRequest(fmt.Sprint(n), "am", time.Minute))[0]
			byDomain[d.Server.FailureDomain]++
		}
		return byDomain
	}
	require.Equal(t, map[string]int{"d0": 8}, send(nil), "all alike")
	uneven := []ServerSpeed{{Server: "s0", Speed: 0.5, Count: 50}, {Server: "s1", Speed: 0.5, Count: 50}, {Server: "s2", Speed: 1.5, Count: 50}, {Server: "s3", Speed: 1.5, Count: 50}}
	require.Greater(t, send(uneven)["d1"], 4)
}
