package claims

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/peer"
	"greengageferry/record"
	"greengageferry/rendezvous"
)

const (
	// checkInterval is how often the instance checks which shards it leads. The
	// member list lags by more than this.
	checkInterval = time.Second
	// idleTimeout is how long a batcher keeps running after its last claim if
	// this instance doesn't lead the shard: because it lost the lead, or was
	// called when the leader was unreachable.
	idleTimeout = time.Minute
	// readyTimeout is how long a claim waits for its batcher to read the shard's
	// stream. After a longer wait it is better to tell the caller to retry.
	readyTimeout = 2 * time.Second
	// maxBatchClaims is the maximum number of claims in one call.
	maxBatchClaims = 512
)

// Options configures Batchers. Log, Writer, Self and Members are required.
type Options struct {
	Log     infra.Log
	Writer  logsync.Appender
	Self    string          // this instance's id
	Members func() []string // ids of the live entry instances known to this instance
	Logger  logrus.FieldLogger
	Metrics *expvar.Map
}

// Batchers runs the batchers of the shards that this instance leads or was recently
// called for. An instance leads a shard if rendezvous.Leader returns it for the
// shard's stream. A shard's batcher reads the stream, appends the claims that
// arrive together in one batch and answers with their standings. Several batchers
// for one shard at a time are harmless, because all of them answer according to
// the order of the stream.
type Batchers struct {
	opts     Options
	wake     chan struct{} // capacity 1: a shard without a running batcher was called
	mu       sync.Mutex    // guards the fields below
	active   map[uint32]*shardBatcher
	cancel   map[uint32]context.CancelFunc
	lastUsed map[uint32]time.Time
}

// NewBatchers returns batchers of which none runs yet.
func NewBatchers(opts Options) *Batchers {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = new(expvar.Map)
	}
	return &Batchers{
		opts:     opts,
		wake:     make(chan struct{}, 1),
		active:   map[uint32]*shardBatcher{},
		cancel:   map[uint32]context.CancelFunc{},
		lastUsed: map[uint32]time.Time{},
	}
}

// Run starts and stops the batchers of the shards until ctx ends. It returns nil.
func (b *Batchers) Run(ctx context.Context) error {
	var group errgroup.Group
	defer b.clear()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		members := b.opts.Members()
		for id := range uint32(Shards) {
			b.updateBatcher(ctx, &group, id, members)
		}
		select {
		case <-ticker.C:
		case <-b.wake:
		case <-ctx.Done():
		}
	}
	return group.Wait()
}

// updateBatcher starts or stops the batcher of one shard as needed.
func (b *Batchers) updateBatcher(ctx context.Context, group *errgroup.Group, id uint32, members []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lastUsed, called := b.lastUsed[id]
	wanted := rendezvous.Leader(Stream(id), members) == b.opts.Self || called && time.Since(lastUsed) < idleTimeout
	running := b.active[id] != nil
	switch {
	case wanted && !running:
		s := newShardBatcher(id, b.opts)
		shardCtx, cancel := context.WithCancel(ctx)
		b.active[id], b.cancel[id] = s, cancel
		group.Go(func() error { return s.run(shardCtx) })
	case !wanted && running:
		b.cancel[id]()
		delete(b.active, id)
		delete(b.cancel, id)
	}
}

// clear stops all batchers.
func (b *Batchers) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, cancel := range b.cancel {
		cancel()
	}
	clear(b.active)
	clear(b.cancel)
}

// Leads reports whether this instance runs the batcher of the shard with this
// stream, and so may use the stream's share of the log's append budget.
func (b *Batchers) Leads(stream string) bool {
	id, ok := shardOfStream(stream)
	b.mu.Lock()
	defer b.mu.Unlock()
	return ok && b.active[id] != nil
}

// Claim implements peer.ClaimServer. Each claim is an encoded record.Record with a
// Claim or a ClaimResult for a key of the shard.
func (b *Batchers) Claim(ctx context.Context, id uint32, claims [][]byte) ([]*peer.ClaimStanding, error) {
	records, err := decodeClaims(id, claims)
	if err != nil {
		return nil, err
	}
	standings, err := b.handleClaims(ctx, id, records)
	if err != nil { // this includes claims already answered before the append; their clients retry
		b.opts.Logger.WithFields(logrus.Fields{"shard": id, "claims": len(records), "error": err}).Warn("batch of claims failed")
		return failureStandings(records, err), nil
	}
	return standings, nil
}

// handleClaims returns the standing of each record, in order. It appends the records
// that can't be answered from the state read so far.
func (b *Batchers) handleClaims(ctx context.Context, id uint32, records []*record.Record) ([]*peer.ClaimStanding, error) {
	s, err := b.shardBatcher(ctx, id)
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	view, err := s.waitReady(readyCtx)
	if err != nil {
		return nil, err
	}
	if count := view.claimCount(); count >= MaxClaimsPerShard {
		return nil, &FullError{Shard: id, Claims: count}
	}
	standings, unsettled := answerHeld(view, records)
	if len(unsettled) == 0 {
		return standings, nil
	}
	first, err := b.opts.Writer.Append(ctx, Stream(id), selectRecords(records, unsettled)...)
	if err != nil {
		return nil, err
	}
	if err := s.follower.WaitFor(ctx, first+infra.Offset(len(unsettled))-1); err != nil {
		return nil, err
	}
	return standings, answerAppended(s, records, unsettled, standings)
}

// answerHeld answers the claims on keys that are already held, by another attempt or
// by the same attempt from an earlier try. These claims need no append. unsettled
// contains the indexes of the other records.
func answerHeld(view *shardState, records []*record.Record) (standings []*peer.ClaimStanding, unsettled []int) {
	standings = make([]*peer.ClaimStanding, len(records))
	for i, r := range records {
		if c := r.GetClaim(); c != nil {
			if standing := view.standing(c); standing.Verdict != NotKept {
				standings[i] = encodeStanding(standing)
				continue
			}
		}
		unsettled = append(unsettled, i)
	}
	return standings, unsettled
}

// selectRecords returns the records at the given indexes.
func selectRecords(records []*record.Record, indexes []int) []*record.Record {
	out := make([]*record.Record, len(indexes))
	for i, index := range indexes {
		out[i] = records[index]
	}
	return out
}

// answerAppended sets the standings of the appended records according to the
// follower's current view. The view may belong to another state machine than
// before the append, because the follower may have started over from a later
// offset.
func answerAppended(s *shardBatcher, records []*record.Record, unsettled []int, standings []*peer.ClaimStanding) error {
	view := s.follower.View()
	if !view.complete() {
		return &logsync.BehindError{Stream: Stream(s.id), Err: &NotReadyError{Shard: s.id}}
	}
	for _, i := range unsettled {
		standing := Standing{Verdict: Granted} // for a ClaimResult, which is on the log now
		if c := records[i].GetClaim(); c != nil {
			standing = view.standing(c)
		}
		standings[i] = encodeStanding(standing)
		standings[i].Queued = standing.Verdict == Taken || standing.Verdict == Conflict
	}
	return nil
}

// shardBatcher returns the shard's batcher, and waits for Run to start it if it
// isn't running. It returns a *NotReadyError after readyTimeout or when ctx ends.
func (b *Batchers) shardBatcher(ctx context.Context, id uint32) (*shardBatcher, error) {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		b.mu.Lock()
		b.lastUsed[id] = time.Now()
		s := b.active[id]
		b.mu.Unlock()
		if s != nil {
			return s, nil
		}
		select {
		case b.wake <- struct{}{}:
		case <-timeout.C:
			return nil, &NotReadyError{Shard: id}
		case <-ctx.Done():
			return nil, &NotReadyError{Shard: id}
		}
	}
}

// decodeClaims decodes and validates the claims of a call. If one of them isn't
// a valid claim or result for the shard, the whole call is refused and nothing is
// appended.
func decodeClaims(id uint32, claims [][]byte) ([]*record.Record, error) {
	refuse := func(cause error) error {
		return &infra.Error{Op: "claims.batch", Reason: infra.ReasonBadRequest, Effect: infra.EffectNone, Err: cause}
	}
	if id >= Shards || len(claims) > maxBatchClaims {
		return nil, refuse(nil)
	}
	records := make([]*record.Record, len(claims))
	for i, data := range claims {
		r := &record.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			return nil, refuse(err)
		}
		key := r.GetClaim().GetKey()
		if r.GetClaim() == nil {
			key = r.GetClaimResult().GetKey()
		}
		if len(key) != 32 || ShardOf(key) != id || r.GetClaim() != nil && len(r.GetClaim().GetFingerprint()) != 32 {
			return nil, refuse(nil)
		}
		records[i] = r
	}
	return records, nil
}

// failureStandings returns the same standing for every record of a failed call:
// Uncertain if the records may be on the log, otherwise NotKept.
func failureStandings(records []*record.Record, err error) []*peer.ClaimStanding {
	verdict := NotKept
	var failed *infra.Error
	var behind *logsync.BehindError
	if errors.As(err, &failed) && failed.Effect == infra.EffectUnknown || errors.As(err, &behind) {
		verdict = Uncertain
	}
	out := make([]*peer.ClaimStanding, len(records))
	for i := range out {
		out[i] = encodeStanding(Standing{Verdict: verdict})
	}
	return out
}

// wireVerdicts maps the verdicts on the wire to Verdict. A verdict that isn't in the
// map decodes as Uncertain.
var wireVerdicts = map[peer.ClaimStanding_Verdict]Verdict{
	peer.ClaimStanding_GRANTED:   Granted,
	peer.ClaimStanding_TAKEN:     Taken,
	peer.ClaimStanding_CONFLICT:  Conflict,
	peer.ClaimStanding_NOT_KEPT:  NotKept,
	peer.ClaimStanding_UNCERTAIN: Uncertain,
}

func encodeStanding(s Standing) *peer.ClaimStanding {
	out := &peer.ClaimStanding{Instance: s.Instance, Attempt: s.Attempt, Request: s.Request, Outcome: uint32(s.Outcome)}
	for wire, v := range wireVerdicts {
		if v == s.Verdict {
			out.Verdict = wire
		}
	}
	return out
}

func decodeStanding(s *peer.ClaimStanding) Standing {
	verdict, known := wireVerdicts[s.GetVerdict()]
	if !known {
		verdict = Uncertain
	}
	return Standing{
		Verdict:  verdict,
		Instance: s.GetInstance(),
		Attempt:  s.GetAttempt(),
		Request:  s.GetRequest(),
		Outcome:  record.ClaimResult_Outcome(s.GetOutcome()),
	}
}
