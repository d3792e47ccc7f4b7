package replay

import (
	"fmt"

	"greengageferry/infra"
)

// CheckpointVersion is the newest form of checkpoints that this program
// writes and can read.
const CheckpointVersion = 1

// StaleCheckpointError refuses a checkpoint that would take a reader back.
type StaleCheckpointError struct {
	Covers infra.Offset // the checkpoint's
	Offset infra.Offset // the reader's
}

// Error implements error.
func (e *StaleCheckpointError) Error() string {
	return fmt.Sprintf("checkpoint covers offset %d, already at %d", e.Covers, e.Offset)
}

// CheckpointKindError refuses a checkpoint of another stream or of a version
// that this program can't read.
type CheckpointKindError struct {
	Version uint32 // the checkpoint's
}

// Error implements error.
func (e *CheckpointKindError) Error() string {
	return fmt.Sprintf("checkpoint of another stream, or of an unknown version (version %d, known %d)", e.Version, CheckpointVersion)
}
