package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

var start = time.Unix(1000, 0)

func crash(server string) Crash { return Crash{Server: server, At: start} }

func TestRuleCountsDifferentServersWhoseCrashesStand(t *testing.T) {
	rule := Rule{Servers: 3, Repeat: true}
	repeat := Crash{Server: "c", At: start, Repeat: true}
	void := Crash{Server: "c", At: start, Repeat: true, Void: true}
	for name, c := range map[string]struct {
		crashes []Crash
		want    bool
	}{
		"three, one of them a repeat":    {[]Crash{crash("a"), crash("b"), repeat}, true},
		"three at once":                  {[]Crash{crash("a"), crash("b"), crash("d")}, false},
		"two":                            {[]Crash{crash("a"), repeat}, false},
		"one server three times":         {[]Crash{repeat, {Server: "c", Boot: "2", At: start}, {Server: "c", Boot: "3", At: start}}, false},
		"the third is void":              {[]Crash{crash("a"), crash("b"), void}, false},
		"the first is too long ago":      {[]Crash{{Server: "a", At: start.Add(-time.Second)}, crash("b"), repeat}, false},
		"the third of four is void":      {[]Crash{crash("a"), crash("b"), void, {Server: "d", At: start, Repeat: true}}, true},
		"no crash":                       {nil, false},
		"one, which was a repeat itself": {[]Crash{repeat}, false},
	} {
		require.Equal(t, c.want, rule.Quarantines(c.crashes, start), name)
	}
}

func TestServerThatAnswersVoidsOnlyCrashesBeforeTheRequest(t *testing.T) {
	s := NewSet()
	s.Add(Fingerprint{1}, crash("a"), 0)
	require.Empty(t, s.VoidServer("a", start), "the request may have been sent before the crash")
	require.Empty(t, s.VoidServer("b", start.Add(time.Second)))
	require.Equal(t, []Fingerprint{{1}}, s.VoidServer("a", start.Add(time.Second)))
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
				pick().VoidServer(server, start.Add(time.Second))
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
