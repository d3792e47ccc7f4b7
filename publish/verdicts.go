package publish

import (
	"fmt"
	"sync"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// LogError says that the log did not do what publishing needs.
type LogError struct {
	Doing string
	Err   error
}

// Error implements error.
func (e *LogError) Error() string { return fmt.Sprintf("%s: %v", e.Doing, e.Err) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

// verdicts is the config stream's machine that also keeps the verdicts which
// stand, with their reasons.
type verdicts struct {
	*replay.Config
	mu   sync.Mutex // guards kept
	kept map[infra.Offset]*record.ConfigVerdict
}

func newVerdicts() *verdicts {
	return &verdicts{Config: replay.NewConfig(), kept: map[infra.Offset]*record.ConfigVerdict{}}
}

// Apply implements replay.Machine.
func (v *verdicts) Apply(offset infra.Offset, r *record.Record) {
	verdict := r.GetConfigVerdict()
	pending := v.Config.Pending()
	v.Config.Apply(offset, r)
	if verdict == nil || len(pending) == 0 || len(v.Config.Pending()) == len(pending) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.kept[pending[0].Offset] = verdict
}

// on returns the verdict that stands on the change, or nil before there is one.
func (v *verdicts) on(change infra.Offset) *record.ConfigVerdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.kept[change]
}
