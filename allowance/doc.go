// Package allowance keeps the allowances of client accounts: units (requests or tokens) a
// second that all instances together may use.
//
// Each instance has a Meter, which admits requests against credit that the lease holder has
// granted. The lease holder has an Allocator, which grants credit to all instances out of one
// bucket for each account. While no lease holder answers, each Meter admits its own part of
// the allowance. See docs/design/0016-client-accounts.md for what is bounded and why.
//
// The package does no I/O and reads no clock: times are arguments.
package allowance

import (
	"math"
	"time"

	"greengageferry/topology"
)

// Report is what an instance reports to the lease holder about the allowances.
type Report struct {
	Instance string
	Start    int64 // identifies this start of the instance
	Sequence int64 // increases with each report of a start
	Usage    []Usage
}

// Usage is what an instance has used of an account's allowance, and wants.
type Usage struct {
	Account string
	Asked   float64 // units of all requests since the start, admitted or not
	Used    float64 // units of the admitted requests since the start
	Credit  float64 // unused
	Want    float64 // credit that the instance wants to hold
	Need    float64 // units of the requests that wait for credit, or of an average one
	Draw    bool    // a request waits for the credit
	Term    int64   // of the lease in which the newest applied grant was made; 0: none
	Granted float64 // total of that term's grants that are part of Credit and Used
}

// Grant is what the lease holder grants an instance of an account's allowance.
type Grant struct {
	Account string
	Total   float64       // units granted to this start of the instance in this term of the lease
	Part    float64       // fraction of the allowance that the instance may use while no lease holder answers
	Open    bool          // less is asked for than the rate: the instance may hold credit in advance
	EmptyIn time.Duration // time until the bucket has what the instance needs; 0: it has
}

// Grants answers a Report.
type Grants struct {
	Term      int64 // of the lease
	Instances int   // known to the lease holder
	Accounts  []Grant
}

// Cost returns the units that a request counts, a whole number. tokens is the sum that the
// request states, 0 if it states none.
func Cost(a *topology.Allowance, tokens int) float64 {
	if a.Unit != topology.UnitTokens {
		return 1
	}
	if tokens > 0 {
		return float64(tokens)
	}
	return max(math.Ceil(a.DefaultTokens), 1)
}

// bucketFraction is the fraction of what may be used beyond the rate and the burst that is
// part of the bucket. The rest covers new lease holders and instances that are cut off.
const bucketFraction = 0.7

// extra returns the units that may be used in a window beyond the rate and the burst.
func extra(a *topology.Allowance, b topology.AllowanceBounds) float64 {
	return b.Overage*(a.PerSecond*b.Window.Seconds()+a.Burst) + b.Slack
}

// minBucketTime is the time that fills the smallest bucket: without any burst nothing would
// ever be granted.
const minBucketTime = 250 * time.Millisecond

// capacity returns the size of an account's bucket.
func capacity(a *topology.Allowance, b topology.AllowanceBounds) float64 {
	return max(a.Burst+bucketFraction*extra(a, b), a.PerSecond*minBucketTime.Seconds(), 1)
}
