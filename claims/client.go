package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/peer"
	"greengageferry/record"
	"greengageferry/rendezvous"
)

const (
	// claimTimeout is the time limit of a claim with all its tries. A caller
	// that is refused should learn so while it can still try elsewhere.
	claimTimeout = 5 * time.Second
	// hedgeDelay is how long a batcher may take to answer before the next one is
	// called beside it. All three are called while a caller with a timeout of two
	// seconds still waits.
	hedgeDelay = 600 * time.Millisecond
	// resultRetryDelay is the delay between two tries to record a claim's result.
	resultRetryDelay = time.Second
)

// Remote calls the batchers of another instance. *peer.Client implements it.
type Remote interface {
	Claim(ctx context.Context, addr string, shard uint32, claims [][]byte) ([]*peer.ClaimStanding, error)
}

// ClientOptions configures a Client. All fields but Logger are required.
type ClientOptions struct {
	Local  *Batchers
	Remote Remote
	Self   infra.Instance // this instance
	// Members returns the live entry instances known to this instance.
	Members func() []infra.Instance
	Logger  logrus.FieldLogger
}

// Client implements Claimer. It calls the shard's batcher first. If that fails, it
// calls the batcher on the instance that ranks first for the shard in its own
// failure domain, so that a domain partitioned from the others still batches
// claims. Last, it uses the batcher of its own instance.
//
// When the answer of a batcher is lost, the client sends the claim to the next
// batcher with the same attempt. Whichever of the two records comes first on the
// log, the claim belongs to this attempt.
//
// A claim that is on the log but wasn't granted would hold the key once the earlier
// claim is released. The client therefore withdraws it by a NOT_RUN result, but
// only after its last try. Copies that get on the log later are released by the repeated
// result, see Result.
type Client struct {
	opts ClientOptions
	// withdrawals queues the NOT_RUN results of claims to withdraw, and those to
	// repeat. If it is full, a new withdrawal is dropped and logged, and its key may
	// stay held until Window has passed.
	withdrawals chan withdrawal
	breakers    [Shards]circuitBreaker
	pace        pace
	probes      chan uint32 // shards to probe; capacity 1: a further one is dropped
	silent      silentBatchers
}

const (
	// withdrawalBuffer is the capacity of the withdrawal queue. More losing
	// claims at a time occur only while the log is unavailable, and then none of
	// them is appended.
	withdrawalBuffer = 256
	// withdrawTimeout is the time limit of one withdrawal with all its tries.
	withdrawTimeout = 30 * time.Second
	// lateCopyDelay is how long after its result a further copy of a claim may get on
	// the log, from a call or an append that was given up. It is longer than both may
	// take.
	lateCopyDelay = 20 * time.Second
)

// withdrawal is a NOT_RUN result to record.
type withdrawal struct {
	result *record.ClaimResult
	repeat bool // it was recorded before
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	return &Client{opts: opts, withdrawals: make(chan withdrawal, withdrawalBuffer), probes: make(chan uint32, 1)}
}

// Run processes queued withdrawals and probes until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return c.runProbes(ctx) })
	group.Go(func() error { return c.runWithdrawals(ctx) })
	return group.Wait()
}

// runWithdrawals processes queued withdrawals until ctx ends. It returns nil.
func (c *Client) runWithdrawals(ctx context.Context) error {
	for {
		select {
		case w := <-c.withdrawals:
			c.processWithdrawal(ctx, w)
		case <-ctx.Done():
			return nil
		}
	}
}

// processWithdrawal records one NOT_RUN result.
func (c *Client) processWithdrawal(ctx context.Context, w withdrawal) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	recordResult := c.Result
	if w.repeat {
		recordResult = c.recordResult
	}
	if err := recordResult(ctx, w.result); err != nil {
		c.opts.Logger.WithFields(logrus.Fields{"attempt": w.result.GetAttempt(), "repeat": w.repeat, "error": err}).Warn("claim not withdrawn")
	}
}

// withdraw queues the withdrawal of a claim that must not run.
func (c *Client) withdraw(claim *record.Claim) {
	c.queueWithdrawal(withdrawal{result: &record.ClaimResult{Key: claim.GetKey(), Attempt: claim.GetAttempt(), Outcome: record.ClaimResult_NOT_RUN}})
}

func (c *Client) queueWithdrawal(w withdrawal) {
	select {
	case c.withdrawals <- w:
	default:
		c.opts.Logger.WithFields(logrus.Fields{"attempt": w.result.GetAttempt(), "repeat": w.repeat}).Warn("withdrawal dropped")
	}
}

// Claim implements Claimer. An error is an *Error.
func (c *Client) Claim(callerCtx context.Context, claim *record.Claim) (Standing, error) {
	ctx, cancel := context.WithTimeout(callerCtx, claimTimeout)
	defer cancel()
	shard := ShardOf(claim.GetKey())
	breaker := &c.breakers[shard]
	err := c.checkPace(ctx, shard)
	if err == nil {
		err = breaker.allow(time.Now())
	}
	if err != nil {
		return Standing{Verdict: NotKept}, &Error{Shard: shard, Verdict: NotKept, Err: err}
	}
	standing, queued, err := c.requestStanding(ctx, claim.GetKey(), &record.Record{Body: &record.Record_Claim{Claim: claim}})
	breaker.report(time.Now(), classifyCall(callerCtx, err))
	if queued {
		c.withdraw(claim)
	}
	return standing, err
}

// Result implements Claimer. An error is an *Error. A NOT_RUN result is recorded once more
// after lateCopyDelay: it releases the copies of the claim that are on the log by then, and
// a later one would hold the key for an attempt that never runs.
func (c *Client) Result(ctx context.Context, result *record.ClaimResult) error {
	err := c.recordResult(ctx, result)
	if err == nil && result.GetOutcome() == record.ClaimResult_NOT_RUN {
		time.AfterFunc(lateCopyDelay, func() { c.queueWithdrawal(withdrawal{result: result, repeat: true}) })
	}
	return err
}

// recordResult appends a result. It retries until it succeeds or ctx ends.
func (c *Client) recordResult(ctx context.Context, result *record.ClaimResult) error {
	r := &record.Record{Body: &record.Record_ClaimResult{ClaimResult: result}}
	for {
		_, _, err := c.requestStanding(ctx, result.GetKey(), r)
		if err == nil || ctx.Err() != nil {
			return err
		}
		timer := time.NewTimer(resultRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// requestStanding sends the record to one batcher after another until one returns a
// definite standing. A batcher that hasn't answered after hedgeDelay may still do so:
// its call goes on beside the next one's. queued is true if the record may be on the
// log without having been granted.
func (c *Client) requestStanding(ctx context.Context, key []byte, r *record.Record) (standing Standing, queued bool, err error) {
	shard := ShardOf(key)
	data, err := proto.Marshal(r)
	if err != nil {
		return Standing{Verdict: NotKept}, false, &Error{Shard: shard, Verdict: NotKept, Err: err}
	}
	began := time.Now()
	calls := c.startCalls(ctx, shard, data)
	defer calls.cancel()
	failure := &Error{Shard: shard, Verdict: NotKept}
	for {
		a, ok := calls.next()
		if !ok {
			break
		}
		standing := decodeStanding(a.standing)
		if a.err == nil && isDefinite(standing.Verdict) {
			if wasAppended(a.standing) {
				c.pace.record(time.Now(), time.Since(began))
			}
			c.silent.update(time.Now(), a.batcher, calls.unanswered())
			lost := standing.Verdict != Granted && (queued || a.standing.GetQueued() || len(calls.unanswered()) > 0)
			return standing, lost, nil
		}
		if standing.Verdict == Uncertain && !hadNoEffect(a.err) {
			failure.Verdict = Uncertain
			queued = true
		}
		failure.Err = a.err
		c.opts.Logger.WithFields(logrus.Fields{
			"shard": shard, "batcher": a.batcher, "verdict": standing.Verdict, "error": a.err,
		}).Warn("batcher gave no standing")
	}
	if ctx.Err() != nil {
		c.pace.record(time.Now(), time.Since(began))
	}
	return Standing{Verdict: failure.Verdict}, queued, failure
}

// isDefinite reports whether a verdict says who holds the key.
func isDefinite(v Verdict) bool { return v == Granted || v == Taken || v == Conflict }

// wasAppended reports whether a batcher appended the record of a definite standing. That
// another claim holds the key is mostly answered from memory, however slow the log is.
func wasAppended(s *peer.ClaimStanding) bool {
	return s.GetVerdict() == peer.ClaimStanding_GRANTED || s.GetQueued()
}

// batcherCandidates returns the instances to call, in order and without duplicates.
// Those that lately didn't answer come last.
func (c *Client) batcherCandidates(shard uint32) []infra.Instance {
	members := c.opts.Members()
	byID := make(map[string]infra.Instance, len(members))
	var all, near []string
	for _, m := range members {
		byID[m.ID] = m
		all = append(all, m.ID)
		if m.FailureDomain == c.opts.Self.FailureDomain {
			near = append(near, m.ID)
		}
	}
	byID[c.opts.Self.ID] = c.opts.Self
	stream := Stream(shard)
	var out []infra.Instance
	seen := map[string]bool{"": true}
	for _, id := range []string{rendezvous.Leader(stream, all), rendezvous.Leader(stream, near), c.opts.Self.ID} {
		if !seen[id] {
			seen[id] = true
			out = append(out, byID[id])
		}
	}
	return c.silent.moveLast(time.Now(), out)
}

// hadNoEffect reports whether the error says that nothing was appended.
func hadNoEffect(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}
