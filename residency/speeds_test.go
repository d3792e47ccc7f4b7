package residency

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
)

// speedReport is a report of one answer of each server, with the given seconds per token.
func speedReport(instance string, perToken map[string]float64) InstanceReport {
	r := InstanceReport{Instance: instance}
	for server, seconds := range perToken {
		r.Speeds = append(r.Speeds, decide.SpeedSample{Server: server, Start: "a", Pool: "p", Model: "m", Count: 1, LogSum: math.Log(seconds)})
	}
	return r
}

// unevenServers returns the seconds per token of that many servers, every third of which is
// fast.
func unevenServers(n int) map[string]float64 {
	out := map[string]float64{}
	for i := range n {
		out[fmt.Sprintf("s%04d", i)] = []float64{0.014, 0.014, 0.006}[i%3]
	}
	return out
}

// learnSpeeds lets 40 instances report one answer of each server within a second, and returns the time
// after it.
func learnSpeeds(d *DemandTracker, now time.Time, servers map[string]float64) time.Time {
	for n := range 40 {
		now = now.Add(25 * time.Millisecond)
		name := fmt.Sprint("i", n)
		d.HandleReport(now, speedReport(name, servers))
		d.Speeds(now, name)
	}
	return now
}

// Each instance alone has one answer of each server, too few for an estimate.
func TestSpeedsOfAllInstancesAreTold(t *testing.T) {
	d := NewDemandTracker()
	now := learnSpeeds(d, start, unevenServers(9))
	told := d.Speeds(now.Add(speedFitInterval), "i0")
	require.Len(t, told, 9)
	for _, s := range told {
		require.InEpsilon(t, 40, s.Count, 0.15, "each answer counts once")
		require.InEpsilon(t, s.Speed, d.Speed(s.Server, s.Start), 1e-9)
	}
	require.InDelta(t, 0.65, d.Speed("s0000", "a"), 0.05)
	require.InDelta(t, 1.6, d.Speed("s0002", "a"), 0.15)
	require.Equal(t, 1.0, d.Speed("s0000", "b"), "another start")
}

// The speeds of even servers are not sent.
func TestSpeedsOfEvenServersAreNotTold(t *testing.T) {
	d := NewDemandTracker()
	even := map[string]float64{"a": 0.01, "b": 0.01, "c": 0.01}
	now := learnSpeeds(d, start, even)
	require.Empty(t, d.Speeds(now, "i0"))
	require.Empty(t, d.TakeSpeedChanges())
}

// What an answer holds is bounded, and every server's speed is sent well before it expires.
func TestSpeedsAreToldInTurn(t *testing.T) {
	d := NewDemandTracker()
	now := learnSpeeds(d, start, unevenServers(300))
	require.LessOrEqual(t, len(d.Speeds(now, "i0")), 16+maxChangesSent, "while all are new")
	now = now.Add(2 * speedRepeatTime)
	seen := map[string]bool{}
	for range speedRounds {
		told := d.Speeds(now, "i0")
		require.LessOrEqual(t, len(told), 16)
		for _, s := range told {
			seen[s.Server] = true
		}
		d.Speeds(now, "i1") // its parts are counted separately
		now = now.Add(500 * time.Millisecond)
	}
	require.Len(t, seen, 300)
}

// A changed speed is sent in the next answer to each instance, and logged.
func TestChangedSpeedIsToldAtOnce(t *testing.T) {
	d := NewDemandTracker()
	servers := unevenServers(300)
	now := learnSpeeds(d, start, servers).Add(2 * speedRepeatTime)
	d.Speeds(now, "i0")
	d.TakeSpeedChanges()
	servers["s0007"] *= 3
	now = learnSpeeds(d, now, servers)
	for _, instance := range []string{"i0", "i1", "new"} {
		told := d.Speeds(now, instance)
		require.LessOrEqual(t, len(told), 17)
		require.Contains(t, serversOf(told), "s0007")
	}
	changes := d.TakeSpeedChanges()
	require.NotEmpty(t, changes)
	require.Equal(t, "s0007", changes[0].Server)
	require.InDelta(t, 0.65, changes[0].Before, 0.1)
	require.Less(t, changes[0].Speed, 0.5)
}

func serversOf(speeds []decide.ServerSpeed) []string {
	var out []string
	for _, s := range speeds {
		out = append(out, s.Server)
	}
	return out
}

// A report that is lost loses its own samples only.
func TestLostReportLosesItsOwnSamplesOnly(t *testing.T) {
	d := NewDemandTracker()
	now := start
	for n := range 40 {
		now = now.Add(25 * time.Millisecond)
		if n%2 == 0 {
			d.HandleReport(now, speedReport(fmt.Sprint("i", n), unevenServers(9)))
		}
		d.Speeds(now, "i0")
	}
	told := d.Speeds(now.Add(speedFitInterval), "i0")
	require.Len(t, told, 9)
	require.InEpsilon(t, 20, told[0].Count, 0.15)
	require.InDelta(t, 0.65, told[0].Speed, 0.06)
}

// Logged changes are bounded, also when all speeds become known at once.
func TestSpeedChangesAreBounded(t *testing.T) {
	d := NewDemandTracker()
	learnSpeeds(d, start, unevenServers(300))
	require.Len(t, d.TakeSpeedChanges(), maxSpeedChanges)
	require.Empty(t, d.TakeSpeedChanges())
}

// Instances that are gone leave no state behind.
func TestTurnsOfGoneInstancesAreDropped(t *testing.T) {
	d := NewDemandTracker()
	now := learnSpeeds(d, start, unevenServers(9))
	for n := range 200 {
		d.Speeds(now, fmt.Sprint("gone", n))
	}
	require.LessOrEqual(t, len(d.speeds.next), 2*40+1)
}

// A server that gets few requests is still sent, and isn't logged as new with each answer.
func TestServerWithFewAnswersIsStillTold(t *testing.T) {
	d := NewDemandTracker()
	now := learnSpeeds(d, start, unevenServers(9))
	d.TakeSpeedChanges()
	now = now.Add(30 * time.Second)
	require.Contains(t, serversOf(d.Speeds(now, "i0")), "s0002")
	require.Equal(t, 1.0, d.Speed("s0002", "a"), "two answers' weight is too little")
	now = now.Add(time.Minute)
	require.Empty(t, d.Speeds(now, "i0"), "without any answer it is forgotten")
	require.Empty(t, d.TakeSpeedChanges())
}
