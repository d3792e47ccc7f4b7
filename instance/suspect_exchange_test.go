package instance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/exchange"
	"greengageferry/quarantine"
	"greengageferry/relay"
)

// takeReport returns the crashes that the next report of a request tells.
func takeReport(s *suspects, f quarantine.Fingerprint) []*exchange.SuspectCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.wireChanges(s.takePending()) {
		if string(w.GetFingerprint()) == string(f[:]) {
			return w.GetCrashes()
		}
	}
	return nil
}

// A part that many prompts share crashes with each server and is cleared by the next answer. Each
// report told all its crashes again, which were most of the bytes between instances.
func TestReportsTellOnlyCrashesThatChanged(t *testing.T) {
	s, f := newTestInstance(refusingSource{}).suspects, quarantine.NewPartFingerprint("shared")
	crash := func(n int) {
		s.ReportCrash(relay.CrashReport{Request: quarantine.Fingerprint{byte(n)}, Crash: quarantine.Crash{Server: fmt.Sprint("s", n), At: time.Now()}, Parts: []quarantine.Fingerprint{f}})
	}
	for n := range 20 {
		crash(n)
	}
	require.Len(t, takeReport(s, f), 20)
	s.ReportCompleted(f)
	require.Len(t, takeReport(s, f), 20, "all of them became void")
	for n := range 2 {
		crash(20 + n)
		require.Len(t, takeReport(s, f), 1)
	}
	require.Empty(t, takeReport(s, f))
}

// An instance that missed that a crash is void is told again once it shows that.
func TestCrashThatIsVoidIsToldToWhoTakesItForStanding(t *testing.T) {
	s, f := newTestInstance(refusingSource{}).suspects, quarantine.Fingerprint{1}
	s.ReportCrash(relay.CrashReport{Request: f, Crash: quarantine.Crash{Server: "a", At: time.Now()}})
	standing := takeReport(s, f)
	s.ReportCompleted(f)
	require.True(t, takeReport(s, f)[0].GetVoid())
	s.merge([]*exchange.Suspect{{Fingerprint: f[:], Crashes: standing}})
	again := takeReport(s, f)
	require.Len(t, again, 1)
	require.True(t, again[0].GetVoid())
}

// Sets that differ all the time while servers crash were exchanged with every call.
func TestSetsAreExchangedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newTestInstance(refusingSource{}).suspects, quarantine.Fingerprint{1}
		for n := range 2 {
			s.ReportCrash(relay.CrashReport{Request: f, Crash: quarantine.Crash{Server: fmt.Sprint("s", n), At: time.Now()}})
		}
		asked, sent := s.forHolder()
		require.Len(t, sent, 1)
		s.onHolderAnswer(asked, 7, nil)
		asked, sent = s.forHolder()
		require.EqualValues(t, uint64(noExchange), asked)
		require.Empty(t, sent)
		_, answered := s.exchange(asked, nil)
		require.Empty(t, answered)
		time.Sleep(suspectExchangeInterval)
		asked, sent = s.forHolder()
		require.NotEqual(t, uint64(noExchange), asked)
		require.Len(t, sent, 1)
	})
}
