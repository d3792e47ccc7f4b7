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
	// MaxSuspects bounds the fingerprints remembered; the one whose newest
	// crash is oldest goes first. A crash costs a server, so thousands at a
	// time mean that the crashes come from elsewhere.
	MaxSuspects = 4096
	// MaxCrashes bounds the crashes remembered for one fingerprint, the newest
	// kept: two are enough for a quarantine.
	MaxCrashes = 8
)

// Fingerprint is the SHA-256 of a partner and its request.
type Fingerprint [32]byte

// Crash is a backend server's death while it ran a request.
type Crash struct {
	Server   string
	Boot     string
	Together uint32    // requests that the reporting instance had there
	At       time.Time // the writer's clock
}

// Suspect is a request during which at least one backend server died. It is immutable.
type Suspect struct {
	Crashes []Crash // on distinct (server, boot), oldest first
	Last    infra.Offset
}

// QuarantineView is an immutable view of the quarantine stream.
type QuarantineView struct {
	Offset   infra.Offset
	Suspects map[Fingerprint]*Suspect
}

// Quarantined says whether the request is refused: servers with two different
// ids died while they ran it, both at since or later by the reporters' clocks.
// A reader's since comes from its own clock, which only moves a quarantine's
// end by the clocks' difference.
func (v *QuarantineView) Quarantined(f Fingerprint, since time.Time) bool {
	first := ""
	for _, c := range v.crashes(f, since) {
		if first != "" && c.Server != first {
			return true
		}
		first = c.Server
	}
	return false
}

// Suspect says whether at least one server died at since or later while it ran
// the request.
func (v *QuarantineView) Suspect(f Fingerprint, since time.Time) bool {
	return len(v.crashes(f, since)) > 0
}

func (v *QuarantineView) crashes(f Fingerprint, since time.Time) []Crash {
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

// Quarantine is the quarantine stream's machine.
type Quarantine struct {
	base
	suspects map[Fingerprint]*Suspect
	view     *QuarantineView
}

// NewQuarantine returns the machine of an empty stream.
func NewQuarantine() *Quarantine {
	return &Quarantine{base: newBase(), suspects: map[Fingerprint]*Suspect{}}
}

// Apply implements Machine.
func (q *Quarantine) Apply(offset infra.Offset, r *record.Record) {
	if !q.begin(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_Crash:
		q.count(r, q.crash(offset, body.Crash))
	case *record.Record_Checkpoint:
		q.count(r, applied)
	default:
		q.count(r, foreign)
	}
}

func (q *Quarantine) crash(offset infra.Offset, r *record.Crash) verdict {
	f, ok := fingerprintOf(r.GetFingerprint())
	if !ok || r.GetServer() == "" {
		return void
	}
	var crashes []Crash
	if s := q.suspects[f]; s != nil {
		crashes = s.Crashes
	}
	crash := crashOf(r)
	if slices.ContainsFunc(crashes, crash.same) {
		return void
	}
	q.suspects[f] = &Suspect{Crashes: append(trimmed(crashes), crash), Last: offset}
	q.view = nil
	q.evict()
	return applied
}

// same says whether two reports are of one death.
func (c Crash) same(o Crash) bool { return c.Server == o.Server && c.Boot == o.Boot }

// trimmed returns a copy with room for one more crash. It drops the oldest
// crash of a server that died more than once, so that a server which keeps
// dying doesn't hide that another one did.
func trimmed(crashes []Crash) []Crash {
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

func (q *Quarantine) evict() {
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

// View returns the state now. It is built anew only after a change.
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
	out := q.checkpoint()
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
	if err := q.admissible(cp, state != nil); err != nil {
		return err
	}
	q.restore(cp)
	q.view = nil
	q.suspects = map[Fingerprint]*Suspect{}
	for _, s := range state.GetSuspects() {
		f, ok := fingerprintOf(s.GetFingerprint())
		if !ok {
			continue
		}
		suspect := &Suspect{Last: infra.Offset(s.GetLast())}
		for _, c := range s.GetCrashes() {
			suspect.Crashes = append(suspect.Crashes, crashOf(c))
		}
		q.suspects[f] = suspect
	}
	return nil
}

func crashOf(c *record.Crash) Crash {
	return Crash{Server: c.GetServer(), Boot: c.GetBoot(), Together: c.GetTogether(), At: time.UnixMilli(c.GetAtUnixMs())}
}

func fingerprintOf(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	return f, copy(f[:], b) == len(f) && len(b) == len(f)
}
