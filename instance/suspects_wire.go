package instance

import (
	"time"

	"greengageferry/exchange"
	"greengageferry/quarantine"
)

// wireRepeated encodes the newest of the requests with two crashes or more. The caller must
// hold mu.
func (s *suspects) wireRepeated() []*exchange.Suspect {
	repeated := s.set.Repeated()
	return s.wireSuspects(repeated[max(0, len(repeated)-maxExchangedSuspects):])
}

// wireSuspects encodes requests with their crashes. The caller must hold mu.
func (s *suspects) wireSuspects(fingerprints []quarantine.Fingerprint) []*exchange.Suspect {
	now := time.Now()
	var out []*exchange.Suspect
	for _, f := range fingerprints {
		out = append(out, wireSuspect(now, f, s.set.Crashes(f)))
	}
	return out
}

// wireChanges encodes requests and parts with the crashes that changed. Of a request those that stand
// are told again, since a report may be lost, and of a part the first with the second, since a single
// one isn't told to all. The caller must hold mu.
func (s *suspects) wireChanges(changed map[quarantine.Fingerprint]map[crashKey]bool) []*exchange.Suspect {
	now := time.Now()
	var out []*exchange.Suspect
	for f, keys := range changed {
		known := s.set.Crashes(f)
		again := !f.IsPart() || len(known) <= 2
		var crashes []quarantine.Crash
		for _, c := range known {
			if keys[crashKey{c.Server, c.Boot}] || again && !c.Void {
				crashes = append(crashes, c)
			}
		}
		if len(crashes) > 0 {
			out = append(out, wireSuspect(now, f, crashes))
		}
	}
	return out
}

func wireSuspect(now time.Time, f quarantine.Fingerprint, crashes []quarantine.Crash) *exchange.Suspect {
	w := &exchange.Suspect{Fingerprint: f[:]}
	for _, c := range crashes {
		w.Crashes = append(w.Crashes, crashToWire(now, c))
	}
	return w
}

// suspectFromWire decodes a request with its crashes. It returns false if the fingerprint
// isn't one.
func suspectFromWire(now time.Time, w *exchange.Suspect) (quarantine.Fingerprint, []quarantine.Crash, bool) {
	var f quarantine.Fingerprint
	if len(w.GetFingerprint()) != len(f) {
		return f, nil, false
	}
	copy(f[:], w.GetFingerprint())
	var crashes []quarantine.Crash
	for _, c := range w.GetCrashes()[:min(len(w.GetCrashes()), quarantine.MaxMergedCrashes)] {
		crashes = append(crashes, crashFromWire(now, c))
	}
	return f, crashes, true
}

// crashToWire encodes a crash. Times are sent as ages, since clocks differ.
func crashToWire(now time.Time, c quarantine.Crash) *exchange.SuspectCrash {
	w := &exchange.SuspectCrash{
		Server: c.Server, Report: c.Boot, AgeMs: uint32(now.Sub(c.At).Milliseconds()), Repeat: c.Repeat, Void: c.Void, Confirmed: c.Confirmed,
	}
	if !c.Opened.IsZero() {
		w.OpenedAgeMs = uint32(max(now.Sub(c.Opened).Milliseconds(), 1))
	}
	return w
}

// crashFromWire decodes a crash.
func crashFromWire(now time.Time, w *exchange.SuspectCrash) quarantine.Crash {
	c := quarantine.Crash{
		Server: w.GetServer(), Boot: w.GetReport(), At: now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond),
		Repeat: w.GetRepeat(), Void: w.GetVoid(), Confirmed: w.GetConfirmed(),
	}
	if age := w.GetOpenedAgeMs(); age > 0 {
		c.Opened = now.Add(-time.Duration(age) * time.Millisecond)
	}
	return c
}
