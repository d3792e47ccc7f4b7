package control

import (
	"fmt"

	"greengageferry/infra"
)

// HeldReason says why an order was held back directly before it was to be sent.
type HeldReason string

// The reasons of HeldError.
const (
	HeldStopping   HeldReason = "stopping"    // the instance is ending
	HeldAssignment HeldReason = "assignment"  // the assignment is no longer the newest
	HeldNotOrderer HeldReason = "not_orderer" // the own join isn't on the log
	HeldLease      HeldReason = "lease"       // the lease may run out while the order is under way
	HeldLogUp      HeldReason = "log_up"      // the log is back: only the lease's holder orders
	HeldUnlisted   HeldReason = "unlisted"    // this instance hasn't seen itself on the list for too long
)

// HeldError says that an order was not sent: none of its bytes left.
type HeldError struct {
	Server string
	Fence  infra.Offset
	Reason HeldReason
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("order to %s under assignment %d not sent: %s", e.Server, e.Fence, e.Reason)
}
