package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

var start = time.Unix(1000, 0)

func crash(server string) Crash { return Crash{Server: server, At: start} }

func TestRuleCountsCrashesThatStand(t *testing.T) {
	rule := Rule{Crashes: 3, Repeat: true}
	different := Rule{Crashes: 3, Repeat: true, DifferentServers: true}
	repeat := Crash{Server: "c", At: start, Repeat: true}
	void := Crash{Server: "c", At: start, Repeat: true, Void: true}
	for name, c := range map[string]struct {
		crashes                  []Crash
		want, wantWhereDifferent bool
	}{
		"three, one of them a repeat":    {[]Crash{crash("a"), crash("b"), repeat}, true, true},
		"three at once":                  {[]Crash{crash("a"), crash("b"), crash("d")}, false, false},
		"two":                            {[]Crash{crash("a"), repeat}, false, false},
		"three starts of one server":     {[]Crash{repeat, {Server: "c", Boot: "2", At: start}, {Server: "c", Boot: "3", At: start}}, true, false},
		"the third is void":              {[]Crash{crash("a"), crash("b"), void}, false, false},
		"the first is too long ago":      {[]Crash{{Server: "a", At: start.Add(-time.Second)}, crash("b"), repeat}, false, false},
		"the third of four is void":      {[]Crash{crash("a"), crash("b"), void, {Server: "d", At: start, Repeat: true}}, true, true},
		"no crash":                       {nil, false, false},
		"one, which was a repeat itself": {[]Crash{repeat}, false, false},
	} {
		require.Equal(t, c.want, rule.Quarantines(c.crashes, start), name)
		require.Equal(t, c.wantWhereDifferent, different.Quarantines(c.crashes, start), name)
	}
}

// connCrash is the crash of server a at a time in milliseconds, seen on a connection that was
// opened at another.
func connCrash(openedMS, atMS int) Crash {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	return Crash{Server: "a", Boot: fmt.Sprint(openedMS, "-", atMS), Opened: at(openedMS), At: at(atMS)}
}

func TestCrashesAreToldApartByTheirConnections(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []Crash
		want    int
	}{
		"seen by two instances at once":                  {[]Crash{connCrash(0, 1000), connCrash(500, 1001)}, 1},
		"a request over a connection that was dead":      {[]Crash{connCrash(0, 1000), connCrash(0, 1040)}, 1},
		"back after 5 ms":                                {[]Crash{connCrash(0, 1000), connCrash(1006, 1030)}, 2},
		"back twice, in any order":                       {[]Crash{connCrash(1040, 1060), connCrash(0, 1000), connCrash(1006, 1030)}, 3},
		"back, and each crash seen by two":               {[]Crash{connCrash(0, 1000), connCrash(1, 1002), connCrash(1006, 1030), connCrash(1008, 1031)}, 2},
		"an older connection that was noticed late":      {[]Crash{connCrash(0, 1000), connCrash(1006, 1030), connCrash(900, 1050)}, 2},
		"a connection whose opening time isn't known":    {[]Crash{connCrash(0, 1000), {Server: "a", Boot: "x", At: start.Add(2 * time.Second)}}, 2},
		"the same over different servers isn't the same": {[]Crash{connCrash(0, 1000), {Server: "b", Opened: start, At: start.Add(time.Second)}}, 2},
	} {
		require.Equal(t, c.want, Count(c.crashes, time.Time{}), name)
	}
}

func TestReportOfAKnownCrashChangesOnlyItsMarks(t *testing.T) {
	s := NewSet()
	s.Report(Fingerprint{1}, connCrash(0, 1000))
	again := connCrash(500, 1001)
	again.Repeat, again.Confirmed = true, true
	s.Report(Fingerprint{1}, again)
	require.Len(t, s.Crashes(Fingerprint{1}), 1)
	require.True(t, s.Crashes(Fingerprint{1})[0].Repeat)
	require.True(t, s.Crashes(Fingerprint{1})[0].Confirmed)
	s.Report(Fingerprint{1}, connCrash(1006, 1030))
	require.Len(t, s.Crashes(Fingerprint{1}), 2)
}

// A server may be back at once under its id, so an answer over a connection that was opened
// since the crash doesn't show that it survived.
func TestOnlyAnswerOverOlderConnectionVoidsACrash(t *testing.T) {
	s := NewSet()
	s.Add(Fingerprint{1}, crash("a"), 0)
	older, later := start.Add(-10*time.Second), start.Add(time.Second)
	require.Empty(t, s.VoidServer("a", older, start), "the request may have been sent before the crash")
	require.Empty(t, s.VoidServer("b", older, later))
	require.Empty(t, s.VoidServer("a", start.Add(5*time.Millisecond), later), "the connection was opened since")
	require.Empty(t, s.VoidServer("a", start.Add(-5*time.Millisecond), later), "the time of the crash isn't known so exactly")
	require.Equal(t, []Fingerprint{{1}}, slices.Collect(maps.Keys(s.VoidServer("a", older, later))))
	require.Zero(t, Count(s.Crashes(Fingerprint{1}), time.Time{}))
}

func TestSetIsBoundedAndForgetsTheOldest(t *testing.T) {
	s := NewSet()
	for i := range MaxSuspects + 10 {
		require.True(t, s.Add(Fingerprint{byte(i), byte(i >> 8)}, crash("a"), 0))
	}
	require.Equal(t, MaxSuspects, s.Len())
	require.Empty(t, s.Crashes(Fingerprint{0, 0}))
	for i := range 3 * MaxCrashes {
		s.Add(Fingerprint{1, 1}, crash(fmt.Sprint(i)), 0)
	}
	require.Len(t, s.Crashes(Fingerprint{1, 1}), MaxCrashes)
}

// Guards against two full sets that keep bringing back what the other has dropped.
func TestFullSetIsNotChangedByWhatItDropped(t *testing.T) {
	s := NewSet()
	for i := range 3 * MaxMergedCrashes {
		require.Equal(t, i < MaxMergedCrashes, s.Merge(Fingerprint{1}, crash(fmt.Sprint(i))))
	}
	for i := range 3 * MaxMergedCrashes {
		require.False(t, s.Merge(Fingerprint{1}, crash(fmt.Sprint(i))))
	}
	require.Len(t, s.Crashes(Fingerprint{1}), MaxMergedCrashes)
}

// Reports may be lost for a while, arrive late, twice and in any order.
func TestSetsThatAreMergedInAnyOrderBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := []*Set{NewSet(), NewSet(), NewSet()}
		pick := func() *Set { return sets[rapid.IntRange(0, len(sets)-1).Draw(t, "set")] }
		merge := func(into, from *Set) {
			for f, suspect := range from.Suspects() {
				for _, c := range suspect.Crashes {
					into.Merge(f, c)
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			f := Fingerprint{byte(rapid.IntRange(0, 2).Draw(t, "request"))}
			server := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				pick().Add(f, Crash{Server: server, At: start, Repeat: rapid.Bool().Draw(t, "repeat")}, 0)
			case 1:
				pick().VoidRequest(f)
			case 2:
				pick().VoidServer(server, start.Add(-time.Minute), start.Add(time.Second))
			case 3:
				merge(pick(), pick())
			}
		}
		for range 2 { // the second round brings nothing new
			for _, into := range sets {
				for _, from := range sets {
					merge(into, from)
				}
			}
		}
		require.Equal(t, sets[0].Digest(), sets[1].Digest())
		require.Equal(t, sets[0].Digest(), sets[2].Digest())
		for f := range sets[0].Suspects() {
			require.ElementsMatch(t, sets[0].Crashes(f), sets[1].Crashes(f))
		}
	})
}

// Crashes of many servers at one moment say nothing of a part that all their requests share, and
// a part that few of them ran doesn't explain their crashes.
func TestPartIsCondemnedByMomentsThatItExplains(t *testing.T) {
	rule := PartRule{Moments: 4, Spacing: 200 * time.Millisecond, Settle: 300 * time.Millisecond, Explained: 0.8}
	part, other := NewPartFingerprint("part"), NewPartFingerprint("other")
	condemned := func(ms []int, othersAt ...int) bool {
		s := NewSet()
		for n, x := range ms {
			s.Report(part, Crash{Server: fmt.Sprint("s", n), At: start.Add(time.Duration(x) * time.Millisecond)})
		}
		for n, x := range othersAt {
			s.Report(other, Crash{Server: fmt.Sprint("o", n), At: start.Add(time.Duration(x) * time.Millisecond)})
		}
		return slices.Contains(s.CondemnedParts(start.Add(1300*time.Millisecond), rule, func(Fingerprint) time.Time { return start }), part)
	}
	require.False(t, condemned([]int{0, 10, 20, 30, 40, 50, 60, 70}), "one moment")
	require.False(t, condemned([]int{0, 300, 600}))
	require.True(t, condemned([]int{0, 300, 600, 900}))
	require.True(t, condemned([]int{0, 10, 300, 310, 600, 610, 900}))
	require.False(t, condemned([]int{0, 300, 600, 1100}), "what else crashed at the last is not known yet")
	require.False(t, condemned([]int{0, 300, 600, 900}, 905), "another server crashed without it")
	require.True(t, condemned([]int{0, 310, 650, 1000}, 520), "a crash at another moment")
	late := NewSet()
	for n, ms := range []int{0, 300, 600, 900} {
		crash := Crash{Server: fmt.Sprint("s", n), At: start.Add(time.Duration(ms) * time.Millisecond)}
		late.Report(part, crash)
		crash.At = crash.At.Add(300 * time.Millisecond)
		late.Report(other, crash)
	}
	rule.Noticed = time.Second
	require.Contains(t, late.CondemnedParts(start.Add(2*time.Second), rule, func(Fingerprint) time.Time { return start }), part, "other instances notice the same crashes later")
}

func TestTrialsOfAPartBecomeRare(t *testing.T) {
	s, part := NewSet(), NewPartFingerprint("bad")
	due := func(after time.Duration) bool {
		return s.TrialDue(start.Add(after), []Fingerprint{part}, map[Fingerprint]bool{part: true}, func(Fingerprint) time.Time { return start })
	}
	require.True(t, due(0))
	s.Merge(part, Crash{Server: "a", At: start})
	s.Merge(part, Crash{Server: "b", At: start.Add(time.Second)})
	require.False(t, due(2900*time.Millisecond))
	require.True(t, due(3*time.Second))
	s.Merge(part, Crash{Server: "c", At: start.Add(3 * time.Second), Repeat: true})
	require.False(t, due(32*time.Second))
	require.True(t, due(33*time.Second))
}

// Guards against a sound part that everybody uses staying condemned, since its trial is spent on a
// request in which another part crashes the server.
func TestFailedTrialOfSeveralPartsCountsAgainstNoneAlone(t *testing.T) {
	s := NewSet()
	shared, sound, bad := NewPartFingerprint("shared"), NewPartFingerprint("sound"), NewPartFingerprint("bad")
	condemned := map[Fingerprint]bool{shared: true, sound: true, bad: true}
	due := func(after time.Duration, parts ...Fingerprint) bool {
		return s.TrialDue(start.Add(after), parts, condemned, func(Fingerprint) time.Time { return start })
	}
	crash := func(server string, after time.Duration, trial bool, parts ...Fingerprint) {
		for _, f := range parts {
			s.Report(f, Crash{Server: server, Boot: server, At: start.Add(after), Repeat: trial})
		}
	}
	crash("a", 0, false, shared, sound, bad)
	crash("b", 2*time.Second, true, shared, bad) // the first trial
	require.False(t, due(3*time.Second, shared, sound), "soon after a crash")
	require.True(t, due(4*time.Second, shared, sound))
	require.False(t, due(31*time.Second, shared, bad))
	require.False(t, due(31*time.Second, shared, sound, bad))
	require.True(t, due(32*time.Second, shared, bad))
	s.VoidRequest(shared)
	s.VoidRequest(sound)
	delete(condemned, shared)
	delete(condemned, sound)
	require.False(t, due(31*time.Second, bad), "the others have been cleared")
	// A part that crashes servers in ever other company isn't tried without end.
	crash("c", 32*time.Second, true, bad, shared)
	crash("d", 70*time.Second, true, bad, sound)
	condemned[shared], condemned[sound] = true, true
	require.False(t, due(9*time.Minute, bad))
}

func TestFingerprintsOfPartsAreToldApart(t *testing.T) {
	require.True(t, NewPartFingerprint("5c1e07a2").IsPart())
	require.NotEqual(t, NewPartFingerprint("5c1e07a2"), NewPartFingerprint("91bd3f06"))
	require.False(t, NewFingerprint([]byte("5c1e07a2")).IsPart())
}
