package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/peer"
	"greengageferry/record"
	"greengageferry/rendezvous"
)

const (
	// claimTimeout bounds a claim with all its tries: a caller that has to be
	// refused should hear it while it can still try elsewhere.
	claimTimeout = 5 * time.Second
	// remoteTimeout bounds one try with another instance, so that a dead one
	// leaves time for the next.
	remoteTimeout = 1500 * time.Millisecond
	// resultPause is between two tries to tell the log of a claim's end.
	resultPause = time.Second
)

// Remote asks another instance's batchers; *peer.Client implements it.
type Remote interface {
	Claim(ctx context.Context, addr string, shard uint32, claims [][]byte) ([]*peer.ClaimStanding, error)
}

// ClientOptions configures a Client. All but Logger are required.
type ClientOptions struct {
	Local  *Batchers
	Remote Remote
	Self   infra.Instance
	// Members returns the live entry instances, as this one lists them.
	Members func() []infra.Instance
	Logger  logrus.FieldLogger
}

// Client implements Claimer: it asks the shard's batcher; if that can't help,
// the one that ranks first in the own failure domain, so that a domain which
// is cut off from the others still batches; and at last this instance's own.
//
// A try whose answer was lost is made again by the next one under the same
// attempt: whichever of the two records comes first on the log, the claim is
// this attempt's.
//
// A claim that is on the log and may not run would stand once the one before it
// is freed. So the client withdraws it, after its last try: only then can no
// batcher still grant it.
type Client struct {
	opts ClientOptions
	// withdrawn is a ring of attempts that don't run. Full: the newest is
	// dropped and counted, and its key may stay taken until the window is over.
	withdrawn chan *record.ClaimResult
	outages   [Shards]outage
}

const (
	// withdrawals bounds the ring: more losing claims than that at a time come
	// only with an outage of the log, in which none gets on it.
	withdrawals = 256
	// withdrawFor is how long a withdrawal is tried.
	withdrawFor = 30 * time.Second
)

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	return &Client{opts: opts, withdrawn: make(chan *record.ClaimResult, withdrawals)}
}

// Run withdraws claims that may not run, until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	for {
		select {
		case r := <-c.withdrawn:
			tryCtx, cancel := context.WithTimeout(ctx, withdrawFor)
			if err := c.Result(tryCtx, r); err != nil {
				c.opts.Logger.WithFields(logrus.Fields{"attempt": r.GetAttempt(), "error": err}).Warn("claim not withdrawn")
			}
			cancel()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Client) withdraw(claim *record.Claim) {
	r := &record.ClaimResult{Key: claim.GetKey(), Attempt: claim.GetAttempt(), Outcome: record.ClaimResult_NOT_RUN}
	select {
	case c.withdrawn <- r:
	default:
		c.opts.Logger.WithField("attempt", claim.GetAttempt()).Warn("withdrawal dropped")
	}
}

// Claim implements Claimer. An error is an *Error.
func (c *Client) Claim(callerCtx context.Context, claim *record.Claim) (Standing, error) {
	ctx, cancel := context.WithTimeout(callerCtx, claimTimeout)
	defer cancel()
	shard := ShardOf(claim.GetKey())
	outage := &c.outages[shard]
	if err := outage.enter(time.Now()); err != nil {
		return Standing{Verdict: NotKept}, &Error{Shard: shard, Verdict: NotKept, Err: err}
	}
	standing, queued, err := c.ask(ctx, claim.GetKey(), &record.Record{Body: &record.Record_Claim{Claim: claim}})
	outage.leave(time.Now(), tryEnd(callerCtx, err))
	if queued {
		c.withdraw(claim)
	}
	return standing, err
}

// Result implements Claimer. An error is an *Error.
func (c *Client) Result(ctx context.Context, result *record.ClaimResult) error {
	r := &record.Record{Body: &record.Record_ClaimResult{ClaimResult: result}}
	for {
		_, _, err := c.ask(ctx, result.GetKey(), r)
		if err == nil || ctx.Err() != nil {
			return err
		}
		timer := time.NewTimer(resultPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// ask asks one batcher after another for a standing. queued says that the record
// may be on the log without being granted.
func (c *Client) ask(ctx context.Context, key []byte, r *record.Record) (standing Standing, queued bool, err error) {
	shard := ShardOf(key)
	data, err := proto.Marshal(r)
	if err != nil {
		return Standing{Verdict: NotKept}, false, &Error{Shard: shard, Verdict: NotKept, Err: err}
	}
	failure := &Error{Shard: shard, Verdict: NotKept}
	for _, batcher := range c.batchers(shard) {
		got, err := c.try(ctx, batcher, shard, data)
		standing := decodeStanding(got)
		switch {
		case err == nil && standing.Verdict == Granted:
			return standing, false, nil
		case err == nil && (standing.Verdict == Taken || standing.Verdict == Conflict):
			return standing, queued || got.GetQueued(), nil
		case standing.Verdict == Uncertain && !surelyNone(err):
			failure.Verdict = Uncertain
			queued = true
		}
		failure.Err = err
		c.opts.Logger.WithFields(logrus.Fields{
			"shard": shard, "batcher": batcher.ID, "verdict": standing.Verdict, "error": err,
		}).Warn("batcher gave no standing")
	}
	return Standing{Verdict: failure.Verdict}, queued, failure
}

// try asks one batcher. Without an answer the standing is nil, which reads as
// uncertain.
func (c *Client) try(ctx context.Context, batcher infra.Instance, shard uint32, data []byte) (*peer.ClaimStanding, error) {
	var standings []*peer.ClaimStanding
	var err error
	if batcher.ID == c.opts.Self.ID {
		standings, err = c.opts.Local.Claim(ctx, shard, [][]byte{data})
	} else {
		remoteCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
		defer cancel()
		standings, err = c.opts.Remote.Claim(remoteCtx, batcher.Addr, shard, [][]byte{data})
	}
	switch {
	case err != nil:
		return nil, err
	case len(standings) != 1:
		return nil, &infra.Error{Op: "peer.claim", Addr: batcher.Addr, Reason: infra.ReasonProtocol}
	}
	return standings[0], nil
}

// batchers returns whom to ask, in order, each once.
func (c *Client) batchers(shard uint32) []infra.Instance {
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
	return out
}

func surelyNone(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}
