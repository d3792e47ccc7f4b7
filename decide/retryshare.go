package decide

import "time"

// SharedRetries is how many retries all instances together may send to a pool: in any
// Window, Ratio times its requests and Reserve more.
type SharedRetries struct {
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

// The parts of SharedRetries that instances use. In a window each may send what its budget
// holds at most, what refills it, and its part of the ratio; the rest covers requests that an
// instance counts and that its callers sent in another window.
const (
	retryRatioPart   = 0.7 // of the ratio
	retryReservePart = 0.6 // of the reserve, held by all budgets together
	retryRefillPart  = 0.3 // of the reserve, refilled over a window
)

// InstanceCount is how many instances share something, as far as one of them knows.
type InstanceCount struct {
	Instances int // 0: not known
	Position  int // of this instance among all, from 0; -1: not known
}

// Policy returns the share of one instance. While the number of instances isn't known, it is
// computed for the largest that the system is designed for.
func (r SharedRetries) Policy(c InstanceCount) RetryPolicy {
	instances := c.Instances
	if instances <= 0 {
		instances = MaxInstances
	}
	return RetryPolicy{
		Ratio:           r.Ratio * retryRatioPart,
		Reserve:         wholeShare(r.Reserve*retryReservePart, instances, c.Position),
		RefillPerSecond: r.Reserve * retryRefillPart / float64(instances) / max(r.Window.Seconds(), 1),
		CountRefused:    true,
		Shared:          true,
	}
}

// wholeShare returns the whole number that the instance at a position gets of total, so that
// all instances together get no more than total. Retries can't be divided: a share of less
// than one is one for some instances and none for the others, not one for each.
func wholeShare(total float64, instances, position int) float64 {
	whole := int(total)
	share := whole / instances
	if position >= 0 && position < whole%instances {
		share++
	}
	return float64(share)
}
