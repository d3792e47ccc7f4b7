package replay

import (
	"bytes"
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/quarantine"
	"greengageferry/record"
)

// crashRule quarantines a request that crashed two different servers. The request's own
// retries stop there as well.
var crashRule = quarantine.Rule{Crashes: 2, DifferentServers: true}

// QuarantineView is an immutable snapshot of the quarantine stream.
type QuarantineView struct {
	Offset   infra.Offset
	Suspects map[quarantine.Fingerprint]*quarantine.Suspect
}

// Quarantined reports whether the request must be refused: at least two different
// servers crashed while running it, at or after since by the clocks of the
// reporting instances. since comes from the reader's own clock. A difference
// between the clocks only shifts the end of a quarantine by that difference.
func (v *QuarantineView) Quarantined(f quarantine.Fingerprint, since time.Time) bool {
	return crashRule.Quarantines(v.crashes(f), since)
}

// Suspect reports whether at least one server crashed while running the request, at or
// after since.
func (v *QuarantineView) Suspect(f quarantine.Fingerprint, since time.Time) bool {
	return quarantine.Count(v.crashes(f), since) > 0
}

// crashes returns the request's crashes, oldest first.
func (v *QuarantineView) crashes(f quarantine.Fingerprint) []quarantine.Crash {
	if s := v.Suspects[f]; s != nil {
		return s.Crashes
	}
	return nil
}

// Quarantine is the state machine of the quarantine stream. It keeps the requests
// during which backend servers crashed.
type Quarantine struct {
	machineBase
	suspects *quarantine.Set
	view     *QuarantineView
}

// NewQuarantine returns the machine of an empty stream.
func NewQuarantine() *Quarantine {
	return &Quarantine{machineBase: newMachineBase(), suspects: quarantine.NewSet()}
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
	if !ok || r.GetServer() == "" || !q.suspects.Add(f, crashFromRecord(r), uint64(offset)) {
		return noEffect
	}
	q.view = nil
	return applied
}

// View returns a view of the current state. It is rebuilt only after a change.
func (q *Quarantine) View() *QuarantineView {
	if q.view == nil {
		q.view = &QuarantineView{Offset: q.offset, Suspects: q.suspects.Suspects()}
	}
	if q.view.Offset != q.offset {
		q.view = &QuarantineView{Offset: q.offset, Suspects: q.view.Suspects}
	}
	return q.view
}

// Checkpoint implements Machine.
func (q *Quarantine) Checkpoint() *record.Checkpoint {
	state := &record.QuarantineState{}
	for f, s := range q.suspects.Suspects() {
		state.Suspects = append(state.Suspects, suspectRecord(f, s))
	}
	slices.SortFunc(state.Suspects, func(a, b *record.Suspect) int {
		return bytes.Compare(a.GetFingerprint(), b.GetFingerprint())
	})
	out := q.newCheckpoint()
	out.State = &record.Checkpoint_Quarantine{Quarantine: state}
	return out
}

func suspectRecord(f quarantine.Fingerprint, s *quarantine.Suspect) *record.Suspect {
	out := &record.Suspect{Fingerprint: f[:], Last: s.Last}
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
	q.suspects = quarantine.NewSet()
	for _, s := range state.GetSuspects() {
		f, ok := parseFingerprint(s.GetFingerprint())
		if !ok {
			continue
		}
		suspect := quarantine.Suspect{Last: s.GetLast()}
		for _, c := range s.GetCrashes() {
			suspect.Crashes = append(suspect.Crashes, crashFromRecord(c))
		}
		q.suspects.Restore(f, suspect)
	}
	return nil
}

func crashFromRecord(c *record.Crash) quarantine.Crash {
	return quarantine.Crash{Server: c.GetServer(), Boot: c.GetBoot(), Together: c.GetTogether(), At: time.UnixMilli(c.GetAtUnixMs())}
}

// parseFingerprint returns b as a fingerprint, or false if b has the wrong length.
func parseFingerprint(b []byte) (quarantine.Fingerprint, bool) {
	var f quarantine.Fingerprint
	return f, copy(f[:], b) == len(f) && len(b) == len(f)
}
