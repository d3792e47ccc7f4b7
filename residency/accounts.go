package residency

import (
	"time"

	"greengageferry/decide"
)

// Accounts returns what all instances together have of client accounts' requests.
func (d *DemandTracker) Accounts(now time.Time) []decide.AccountDemand { return nil }
