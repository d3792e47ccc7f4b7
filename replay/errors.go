package replay

import (
	"fmt"

	"greengageferry/infra"
)

// CheckpointVersion is the checkpoint format that this program writes, and the
// newest one that it can read.
const CheckpointVersion = 1

// StaleCheckpointError reports a checkpoint older than the state that it would
// replace.
type StaleCheckpointError struct {
	Covers infra.Offset // last offset that the checkpoint covers
	Offset infra.Offset // last offset that the machine applied
}

// Error implements error.
func (e *StaleCheckpointError) Error() string {
	return fmt.Sprintf("checkpoint covers offset %d, but offset %d is already applied", e.Covers, e.Offset)
}

// UnsupportedCheckpointError reports a checkpoint of another stream, or of a
// version that this program can't read.
type UnsupportedCheckpointError struct {
	Version uint32 // version of the checkpoint
}

// Error implements error.
func (e *UnsupportedCheckpointError) Error() string {
	return fmt.Sprintf("checkpoint belongs to another stream or has an unsupported version (version %d, newest supported %d)", e.Version, CheckpointVersion)
}
