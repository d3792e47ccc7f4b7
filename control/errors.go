package control

import (
	"fmt"

	"greengageferry/infra"
)

// NotSentReason is the reason why an order that was due was not sent.
type NotSentReason string

// The reasons of a NotSentError.
const (
	NotSentStopping        NotSentReason = "stopping"    // the instance is shutting down
	NotSentStaleAssignment NotSentReason = "assignment"  // the assignment is no longer the newest
	NotSentNotOrderer      NotSentReason = "not_orderer" // this process's join isn't on the log
	NotSentLeaseExpiring   NotSentReason = "lease"       // the lease may expire while the order is in flight
	NotSentLogUp           NotSentReason = "log_up"      // the log is readable again, so only the lease holder sends orders
	NotSentUnlisted        NotSentReason = "unlisted"    // this instance hasn't seen itself on the list for too long
)

// NotSentError reports that an order was not sent, not even in part.
type NotSentError struct {
	Server string
	Fence  infra.Offset
	Reason NotSentReason
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("order to %s under assignment %d not sent: %s", e.Server, e.Fence, e.Reason)
}
