package publish

import (
	"fmt"
	"sync"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// LogError is a failure of the log during publishing.
type LogError struct {
	Op  string // operation that failed, such as "publishing 10-base.toml"
	Err error
}

// Error implements error.
func (e *LogError) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *LogError) Unwrap() error { return e.Err }

// verdictRecorder is the state machine of the config stream. It also keeps the
// effective verdict on each change, with its reason.
type verdictRecorder struct {
	*replay.Config
	mu       sync.Mutex                             // guards byChange
	byChange map[infra.Offset]*record.ConfigVerdict // by the change's offset
}

// newVerdictRecorder returns the state machine of an empty stream.
func newVerdictRecorder() *verdictRecorder {
	return &verdictRecorder{Config: replay.NewConfig(), byChange: map[infra.Offset]*record.ConfigVerdict{}}
}

// Apply implements replay.Machine. A verdict is effective if it shortens the list
// of pending changes; it is then the verdict on the oldest of them.
func (v *verdictRecorder) Apply(offset infra.Offset, r *record.Record) {
	verdict := r.GetConfigVerdict()
	pending := v.Config.Pending()
	v.Config.Apply(offset, r)
	if verdict == nil || len(pending) == 0 || len(v.Config.Pending()) == len(pending) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.byChange[pending[0].Offset] = verdict
}

// verdictOn returns the effective verdict on a change, or nil if there is none yet.
func (v *verdictRecorder) verdictOn(change infra.Offset) *record.ConfigVerdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byChange[change]
}
