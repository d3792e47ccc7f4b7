// Package claims ensures that a non-idempotent request with an idempotency key
// runs at most once, whichever instances its caller sends it to.
//
// Before an instance runs such a request, its Client claims the key. The claim is
// a record on the log, in one of the Shards claim streams. The order of the
// records decides which attempt may run: see replay.Claims. To save appends, each
// shard has a batcher on one instance, see Batchers, which appends the claims of
// all instances in batches and answers each with its Standing.
package claims

import (
	"context"
	"time"

	"greengageferry/record"
)

// Shards is the number of claim streams. The shard of a key depends only on the
// key.
const Shards = 16

// Window is how long a claim is remembered. A request resent within this time finds
// the first one. Window must be well below the retention time of the log
// (logsync.MinRetention), so that records that aged out of the log are always
// older than Window.
const Window = 15 * time.Minute

// Verdict is the result of a claim.
type Verdict int

// Verdicts of claims.
const (
	Granted   Verdict = iota + 1 // the claim holds the key: its request may run, and no other
	Taken                        // an earlier claim for the same request holds the key; Standing names it
	Conflict                     // an earlier claim for a different request holds the key
	NotKept                      // the claim is not on the log: the request must not run
	Uncertain                    // unknown whether the claim is on the log: the request must not run
)

// Standing is the answer to a claim.
type Standing struct {
	Verdict  Verdict
	Instance string                     // with Taken: the instance of the holding claim
	Attempt  string                     // with Taken: the attempt of the holding claim
	Request  string                     // with Taken: the request id of the holding claim
	Outcome  record.ClaimResult_Outcome // with Taken: how the holding attempt ended, if known
}

// Claimer claims keys and reports the results of granted claims.
type Claimer interface {
	// Claim asks for permission to run the request. A non-nil error comes with
	// Verdict NotKept or Uncertain.
	Claim(ctx context.Context, c *record.Claim) (Standing, error)
	// Result records on the log how the request of a claim ended; NOT_RUN
	// releases the key. It retries until it succeeds or ctx ends.
	Result(ctx context.Context, r *record.ClaimResult) error
}
