package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/quarantine"
	"greengageferry/relay"
)

// Guards against a server that breaks connections making each instance report to each other
// one: all calls about a change grow with the instances, and a single crash that may be a reset
// is no news to all.
func TestReportsOfCrashesDoNotGrowWithTheSquareOfTheInstances(t *testing.T) {
	const changes = 3
	for _, size := range []int{9, 66} {
		runCrashes(t, size, 2, func(t *testing.T, w *crashWorld) {
			for n, i := range w.instances { // each loses another request to the same reset
				i.suspects.ReportCrash(relay.CrashReport{Request: quarantine.NewFingerprint(fmt.Append(nil, n)), Crash: w.crash(0, false)})
			}
			time.Sleep(reportTimeout)
			require.LessOrEqual(t, int(w.crashCalls.Swap(0)), 2*size)
			f := quarantine.Fingerprint{1}
			for n := range changes - 1 {
				w.instances[n].suspects.ReportCrash(relay.CrashReport{Request: f, Crash: w.crash(1, n > 0)})
				time.Sleep(reportTimeout)
			}
			w.instances[changes].suspects.ReportCompleted(f)
			time.Sleep(reportTimeout)
			require.LessOrEqual(t, int(w.crashCalls.Load()), changes*3*size)
		})
	}
}

// Guards against instances that the store refuses telling each other, in each call, all crashes
// that both know.
func TestCallsBetweenInstancesDoNotRepeatCrashesThatBothKnow(t *testing.T) {
	runCrashes(t, 9, 2, func(t *testing.T, w *crashWorld) {
		w.mu.Lock()
		for n := range w.refusals {
			w.refusals[n] = refused
		}
		w.mu.Unlock()
		bytesPerCall := func() float64 {
			w.stateCalls.Store(0)
			w.stateBytes.Store(0)
			time.Sleep(spreadBound)
			require.Positive(t, w.stateCalls.Load())
			return float64(w.stateBytes.Load()) / float64(w.stateCalls.Load())
		}
		time.Sleep(spreadBound)
		before := bytesPerCall()
		for n := range 40 { // a server breaks connections of requests that were sent again
			f := quarantine.NewFingerprint(fmt.Append(nil, n))
			for range 2 {
				w.instances[n%len(w.instances)].suspects.ReportCrash(relay.CrashReport{Request: f, Crash: w.crash(n%simServers, false)})
				time.Sleep(simRestartTime)
			}
		}
		time.Sleep(spreadBound)
		require.Less(t, bytesPerCall(), 2*before)
	})
}

// Guards against instances telling each crash to all others, each of them to all others again, where
// the lease holder's answers come late.
func TestReportsOfCrashesDoNotFloodInstancesWhoseAnswersAreLate(t *testing.T) {
	const changes, few = 10, 9
	for _, size := range []int{few, 66} {
		runCrashes(t, size, 2, func(t *testing.T, w *crashWorld) {
			w.late.Store(int64(2 * reportTimeout))
			for n := range changes {
				w.instances[n%size].suspects.ReportCrash(relay.CrashReport{Request: quarantine.NewFingerprint(fmt.Append(nil, n/2)), Crash: w.crash(n, false)})
				time.Sleep(reportTimeout)
			}
			time.Sleep(time.Second)
			require.LessOrEqual(t, int(w.crashCalls.Load()), changes*(few-1)*size, "an instance among many sends no more than one of a few that tells all")
		})
	}
}

// Guards against a request being known to crash servers to some instances only, where no report
// reaches the lease holder in time.
func TestRepeatedCrashesAreKnownToAllThoughAnswersAreLate(t *testing.T) {
	runCrashes(t, 66, 2, func(t *testing.T, w *crashWorld) {
		w.late.Store(int64(2 * reportTimeout))
		f := quarantine.Fingerprint{1}
		for n := range maxCrashedServers {
			w.instances[20*n].suspects.ReportCrash(relay.CrashReport{Request: f, Crash: w.crash(n, n > 0)})
			time.Sleep(reportTimeout)
		}
		time.Sleep(spreadBound)
		for n, i := range w.instances {
			require.True(t, i.suspects.Verdict(f, nil).Quarantined, "instance %d", n)
		}
	})
}

// Guards against the first crash of a request being known to few instances, where no report reaches
// the lease holder in time: the next one would count as the first again.
func TestFirstCrashIsKnownToNearlyAllThoughAnswersAreLate(t *testing.T) {
	runCrashes(t, 66, 2, func(t *testing.T, w *crashWorld) {
		w.late.Store(int64(2 * reportTimeout))
		f := quarantine.Fingerprint{1}
		w.instances[7].suspects.ReportCrash(relay.CrashReport{Request: f, Crash: w.crash(0, false)})
		time.Sleep(spreadBound)
		known := 0
		for _, i := range w.instances {
			known += i.suspects.Verdict(f, nil).Crashes
		}
		require.GreaterOrEqual(t, known, len(w.instances)*9/10)
	})
}
