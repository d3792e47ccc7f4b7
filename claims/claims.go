// Package claims lets a keyed non-idempotent request run at most once, whatever
// instance its caller sends it to. The order of the log's claim streams decides
// which attempt may run; batchers only save appends.
package claims

import (
	"context"
	"time"

	"greengageferry/record"
)

// Shards is the number of claim streams. A key's shard is a function of the
// key alone.
const Shards = 16

// Window is how long a claim is remembered: a resend within it finds the first
// request. It must be well below the time that the log keeps records
// (logsync.MinRetention): what aged out of the log is older than the window.
const Window = 15 * time.Minute

// Verdict is what a claimant learns.
type Verdict int

// The verdicts.
const (
	Granted   Verdict = iota + 1 // run it: nobody else may
	Taken                        // an earlier claim holds the key: see Standing
	Conflict                     // the key was used for another request
	NotKept                      // the log did not take the claim: it must not run, and did not
	Uncertain                    // it isn't known whether the claim is on the log: it must not run
)

// Standing is a claim's standing after it was put on the log.
type Standing struct {
	Verdict  Verdict
	Instance string // with Taken: the entry instance that holds it
	Attempt  string // with Taken: the holder's attempt
	Request  string // with Taken: the holder's request id
	Outcome  record.ClaimResult_Outcome
}

// Claimer asks for claims. A non-nil error comes with Verdict NotKept or Uncertain.
type Claimer interface {
	// Claim asks to run the request once.
	Claim(ctx context.Context, c *record.Claim) (Standing, error)
	// Result tells the log how a granted claim ended. It is best effort, except
	// that NOT_RUN frees the key, and is sent until ctx ends.
	Result(ctx context.Context, r *record.ClaimResult) error
}
