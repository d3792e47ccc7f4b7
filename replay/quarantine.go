package replay

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
)

const (
	// MaxSuspects is the maximum number of fingerprints remembered; the one
	// whose newest crash is oldest is evicted first. Each crash costs a server,
	// so thousands of suspects at a time mean that requests aren't the cause.
	MaxSuspects = 4096
	// MaxCrashes is the maximum number of crashes remembered for one
	// fingerprint. Two are enough for a quarantine.
	MaxCrashes = 8
)

// Fingerprint is the SHA-256 hash of a partner and its request.
type Fingerprint [32]byte

// Crash is the crash of a backend server while it ran a request.
type Crash struct {
	Server   string
	Boot     string    // id of the server process that crashed
	Together uint32    // requests that the reporting instance had in flight on the server
	At       time.Time // by the reporting instance's clock
}

// Suspect is a request during which at least one backend server crashed. It is
// immutable.
type Suspect struct {
	Crashes []Crash      // at most one for each server and boot, oldest first
	Last    infra.Offset // offset of the newest crash
}

// QuarantineView is an immutable snapshot of the quarantine stream.
type QuarantineView struct {
	Offset   infra.Offset
	Suspects map[Fingerprint]*Suspect
}

// Quarantined reports whether the request must be refused: at least two different
// servers crashed while running it, at or after since by the clocks of the
// reporting instances. since comes from the reader's own clock. A difference
// between the clocks only shifts the end of a quarantine by that difference.
func (v *QuarantineView) Quarantined(f Fingerprint, since time.Time) bool {
	first := ""
	for _, c := range v.crashesSince(f, since) {
		if first != "" && c.Server != first {
			return true
		}
		first = c.Server
	}
	return false
}

// Suspect reports whether at least one server crashed while running the request, at
// or after since.
func (v *QuarantineView) Suspect(f Fingerprint, since time.Time) bool {
	return len(v.crashesSince(f, since)) > 0
}

// crashesSince returns the request's crashes at or after since, oldest first.
func (v *QuarantineView) crashesSince(f Fingerprint, since time.Time) []Crash {
	s := v.Suspects[f]
	if s == nil {
		return nil
	}
	var out []Crash
	for _, c := range s.Crashes {
		if !c.At.Before(since) {
			out = append(out, c)
		}
	}
	return out
}

// Quarantine is the state machine of the quarantine stream. It keeps the requests
// during which backend servers crashed.
type Quarantine struct {
	machineBase
	suspects map[Fingerprint]*Suspect
	view     *QuarantineView
}

// NewQuarantine returns the machine of an empty stream.
func NewQuarantine() *Quarantine {
	return &Quarantine{machineBase: newMachineBase(), suspects: map[Fingerprint]*Suspect{}}
}

// Apply implements Machine.
func (q *Quarantine) Apply(offset infra.Offset, r *record.Record) {
	if !q.accept(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_Crash:
		q.countRecord(r, q.crash(offset, body.Crash))
	case *record.Record_Checkpoint:
		q.countRecord(r, applied)
	default:
		q.countRecord(r, unexpected)
	}
}

// crash adds a crash to its request, unless the crash is already known from
// another report.
func (q *Quarantine) crash(offset infra.Offset, r *record.Crash) applyResult {
	f, ok := parseFingerprint(r.GetFingerprint())
	if !ok || r.GetServer() == "" {
		return noEffect
	}
	var crashes []Crash
	if s := q.suspects[f]; s != nil {
		crashes = s.Crashes
	}
	crash := crashFromRecord(r)
	if slices.ContainsFunc(crashes, crash.sameCrash) {
		return noEffect
	}
	q.suspects[f] = &Suspect{Crashes: append(trimCrashes(crashes), crash), Last: offset}
	q.view = nil
	q.evictOldest()
	return applied
}

// sameCrash reports whether both reports are about the same crash.
func (c Crash) sameCrash(o Crash) bool { return c.Server == o.Server && c.Boot == o.Boot }

// trimCrashes returns a copy with room for one more crash. It drops the oldest
// crash of a server that crashed more than once, so that a server that keeps
// crashing doesn't displace the crash of another server. If all servers differ,
// it drops the oldest crash.
func trimCrashes(crashes []Crash) []Crash {
	out := slices.Clone(crashes)
	if len(out) < MaxCrashes {
		return out
	}
	for i, c := range out {
		again := func(o Crash) bool { return o.Server == c.Server }
		if slices.ContainsFunc(out[i+1:], again) {
			return slices.Delete(out, i, i+1)
		}
	}
	return slices.Delete(out, 0, 1)
}

// evictOldest removes the suspect whose newest crash is oldest if there are more
// than MaxSuspects.
func (q *Quarantine) evictOldest() {
	if len(q.suspects) <= MaxSuspects {
		return
	}
	var oldest Fingerprint
	last := infra.Offset(0)
	for f, s := range q.suspects {
		if last == 0 || s.Last < last {
			oldest, last = f, s.Last
		}
	}
	delete(q.suspects, oldest)
}

// View returns a view of the current state. It is rebuilt only after a change.
func (q *Quarantine) View() *QuarantineView {
	if q.view == nil {
		q.view = &QuarantineView{Offset: q.offset, Suspects: maps.Clone(q.suspects)}
	}
	if q.view.Offset != q.offset {
		q.view = &QuarantineView{Offset: q.offset, Suspects: q.view.Suspects}
	}
	return q.view
}

// Checkpoint implements Machine.
func (q *Quarantine) Checkpoint() *record.Checkpoint {
	state := &record.QuarantineState{}
	for f, s := range q.suspects {
		state.Suspects = append(state.Suspects, suspectRecord(f, s))
	}
	slices.SortFunc(state.Suspects, func(a, b *record.Suspect) int {
		return bytes.Compare(a.GetFingerprint(), b.GetFingerprint())
	})
	out := q.newCheckpoint()
	out.State = &record.Checkpoint_Quarantine{Quarantine: state}
	return out
}

func suspectRecord(f Fingerprint, s *Suspect) *record.Suspect {
	out := &record.Suspect{Fingerprint: f[:], Last: uint64(s.Last)}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, &record.Crash{
			Server: c.Server, Boot: c.Boot, Together: c.Together, AtUnixMs: c.At.UnixMilli(),
		})
	}
	return out
}

// Restore implements Machine.
func (q *Quarantine) Restore(cp *record.Checkpoint) error {
	state := cp.GetQuarantine()
	if err := q.checkRestore(cp, state != nil); err != nil {
		return err
	}
	q.restore(cp)
	q.view = nil
	q.suspects = map[Fingerprint]*Suspect{}
	for _, s := range state.GetSuspects() {
		f, ok := parseFingerprint(s.GetFingerprint())
		if !ok {
			continue
		}
		suspect := &Suspect{Last: infra.Offset(s.GetLast())}
		for _, c := range s.GetCrashes() {
			suspect.Crashes = append(suspect.Crashes, crashFromRecord(c))
		}
		q.suspects[f] = suspect
	}
	return nil
}

func crashFromRecord(c *record.Crash) Crash {
	return Crash{Server: c.GetServer(), Boot: c.GetBoot(), Together: c.GetTogether(), At: time.UnixMilli(c.GetAtUnixMs())}
}

// parseFingerprint returns b as a fingerprint, or false if b has the wrong length.
func parseFingerprint(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	return f, copy(f[:], b) == len(f) && len(b) == len(f)
}
