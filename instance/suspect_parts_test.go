package instance

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/quarantine"
	"greengageferry/relay"
)

var (
	firstPart    = quarantine.NewPartFingerprint("first")
	crashingPart = quarantine.NewPartFingerprint("crashing")
)

// partSizes are the numbers of instances that are simulated.
var partSizes = []int{4, 72, 295}

// sendPart sends a request with the parts through an instance, of which the last crashes servers.
// It reports whether a server crashed.
func (w *crashWorld) sendPart(n int, parts ...quarantine.Fingerprint) bool {
	i := w.instances[w.rng.IntN(len(w.instances))]
	request := quarantine.NewFingerprint(fmt.Append(nil, "request", n))
	verdict := i.suspects.Verdict(request, parts)
	if !i.suspects.permits(verdict) {
		return false
	}
	time.Sleep(50 * time.Millisecond) // the run
	i.suspects.ReportCrash(relay.CrashReport{Request: request, Parts: parts, Trials: verdict.Trials, Crash: w.crash(w.rng.IntN(len(w.servers)), false)})
	return true
}

// permits reports whether a request with the verdict may run.
func (s *suspects) permits(v relay.Verdict) bool {
	refused := func(part quarantine.Fingerprint) bool { return !s.PermitRun(context.Background(), part) }
	return !v.Quarantined && !slices.ContainsFunc(v.Trials, refused)
}

// completeSound has a sound request with the first part complete at some instance. It reports
// whether the request is let through.
func (w *crashWorld) completeSound() bool {
	return w.complete(firstPart, quarantine.NewPartFingerprint(fmt.Sprint("session", w.rng.IntN(8))))
}

// complete has a request with the parts complete at some instance. It reports whether the request is
// let through.
func (w *crashWorld) complete(parts ...quarantine.Fingerprint) bool {
	i := w.instances[w.rng.IntN(len(w.instances))]
	if !i.suspects.permits(i.suspects.Verdict(quarantine.Fingerprint{9}, parts)) {
		return false
	}
	if i.suspects.Active() {
		i.suspects.ReportCompleted(parts...)
	}
	return true
}

func TestPartOfPromptsThatCrashesServersIsRefusedByAllInstances(t *testing.T) {
	t.Parallel()
	for n, size := range partSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runCrashes(t, size, uint64(n)+1, func(t *testing.T, w *crashWorld) {
				crashes, later, sent, let := 0, 0, 0, 0
				var fifth time.Time
				for n := range 100 {
					if w.sendPart(n, firstPart, quarantine.NewPartFingerprint(fmt.Sprint("session", n%8)), crashingPart) {
						crashes++
						if crashes == 5 {
							fifth = time.Now()
						} else if !fifth.IsZero() && time.Since(fifth) > 3*time.Second {
							later++
						}
					}
					for range 5 {
						time.Sleep(60 * time.Millisecond)
						sent++
						if w.completeSound() {
							let++
						}
					}
				}
				t.Logf("%d crashes, %d later; %d of %d sound requests let through", crashes, later, let, sent)
				require.GreaterOrEqual(t, crashes, 4)
				require.LessOrEqual(t, crashes, 8)
				require.LessOrEqual(t, later, 3)
				require.Equal(t, sent, let)
			})
		})
	}
}

// Servers end for other reasons, many at once, again and again, while sound requests complete on
// the others.
func TestWavesOfOtherCrashesCondemnNoPart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		size := partSizes[seed%2]
		t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
			runCrashes(t, size, seed+10, func(t *testing.T, w *crashWorld) {
				for wave := range 8 {
					for at := range 3 + w.rng.IntN(10) {
						crash := w.crash(at, false)
						for range 3 {
							i := w.instances[w.rng.IntN(len(w.instances))]
							parts := []quarantine.Fingerprint{firstPart, quarantine.NewPartFingerprint(fmt.Sprint("session", w.rng.IntN(8)))}
							i.suspects.ReportCrash(relay.CrashReport{Request: quarantine.NewFingerprint(fmt.Append(nil, wave, at)), Parts: parts, Crash: crash})
						}
					}
					for range 4 + w.rng.IntN(10) {
						time.Sleep(50 * time.Millisecond)
						require.True(t, w.completeSound(), "wave %d", wave)
					}
				}
				for _, i := range w.instances {
					_, quarantined := i.suspects.counts()
					require.Zero(t, quarantined)
				}
			})
		})
	}
}

// With no server left a part that everybody uses may be condemned. The first request that a server
// answers again clears it, at all instances.
func TestPartCondemnedInAnOutageIsClearedByATrial(t *testing.T) {
	runCrashes(t, 9, 1, func(t *testing.T, w *crashWorld) {
		for n := range 6 {
			w.sendPart(n, firstPart)
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		require.False(t, w.completeSound(), "it is condemned, and no trial is due")
		time.Sleep(2 * time.Second)
		require.True(t, w.completeSound(), "the trial")
		time.Sleep(time.Second)
		for range 50 {
			require.True(t, w.completeSound())
		}
	})
}

// Two parts that always come together may be condemned together. A trial clears both.
func TestPartsCondemnedTogetherAreClearedByATrial(t *testing.T) {
	second := quarantine.NewPartFingerprint("second")
	runCrashes(t, 9, 1, func(t *testing.T, w *crashWorld) {
		for n := range 6 {
			w.sendPart(n, firstPart, second)
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		require.False(t, w.complete(firstPart, second), "they are condemned, and no trial is due")
		time.Sleep(2 * time.Second)
		require.True(t, w.complete(firstPart, second), "the trial")
		time.Sleep(time.Second)
		for range 50 {
			require.True(t, w.complete(firstPart, second))
		}
	})
}

// If one of two condemned parts still crashes servers, they are tried together as rarely as one.
func TestPartsThatStillCrashServersTogetherAreTriedRarely(t *testing.T) {
	runCrashes(t, 9, 1, func(t *testing.T, w *crashWorld) {
		crashes := 0
		for n := range 600 { // two minutes
			if w.sendPart(n, firstPart, crashingPart) {
				crashes++
			}
			time.Sleep(200 * time.Millisecond)
		}
		t.Logf("%d crashes in two minutes", crashes)
		require.LessOrEqual(t, crashes, 8)
	})
}

// A part that still crashes servers is tried less and less often.
func TestPartThatStillCrashesServersIsTriedRarely(t *testing.T) {
	runCrashes(t, 9, 1, func(t *testing.T, w *crashWorld) {
		crashes := 0
		for n := range 600 { // two minutes
			if w.sendPart(n, crashingPart) {
				crashes++
			}
			time.Sleep(200 * time.Millisecond)
		}
		t.Logf("%d crashes in two minutes", crashes)
		require.LessOrEqual(t, crashes, 8)
	})
}
