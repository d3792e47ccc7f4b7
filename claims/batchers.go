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
	// lookEvery is how often the lead of the shards is looked at; the list that
	// it rests on lags by more.
	lookEvery = time.Second
	// lingerFor is how long a batcher that leads no longer, or was only asked
	// because the leader could not be reached, goes on after its last claim.
	lingerFor = time.Minute
	// readyTimeout bounds how long a claim waits for its batcher to have read
	// the shard's stream: longer, and its caller is better told to come back.
	readyTimeout = 2 * time.Second
	// maxClaims bounds the claims of one call.
	maxClaims = 512
)

// Options configures Batchers. Log, Writer, Self and Members are required.
type Options struct {
	Log     infra.Log
	Writer  logsync.Appender
	Self    string          // this instance's id
	Members func() []string // all live entry instances' ids, as this one lists them
	Logger  logrus.FieldLogger
	Metrics *expvar.Map
}

// Batchers is a duty: this instance's part in the shards' batchers. A shard's
// batcher reads the shard's stream, puts the claims that come in together on it
// and answers with their standing. Two at once for one shard are harmless:
// both answer by what the stream says.
type Batchers struct {
	opts   Options
	wake   chan struct{} // of one: a shard was asked for
	mu     sync.Mutex    // guards what follows
	active map[uint32]*shard
	stop   map[uint32]context.CancelFunc
	used   map[uint32]time.Time
}

// NewBatchers returns the duty.
func NewBatchers(opts Options) *Batchers {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = new(expvar.Map)
	}
	return &Batchers{
		opts:   opts,
		wake:   make(chan struct{}, 1),
		active: map[uint32]*shard{},
		stop:   map[uint32]context.CancelFunc{},
		used:   map[uint32]time.Time{},
	}
}

// Run starts and stops shards' batchers until ctx ends. It returns nil.
func (b *Batchers) Run(ctx context.Context) error {
	var group errgroup.Group
	defer b.clear()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		members := b.opts.Members()
		for id := range uint32(Shards) {
			b.look(ctx, &group, id, members)
		}
		select {
		case <-ticker.C:
		case <-b.wake:
		case <-ctx.Done():
		}
	}
	return group.Wait()
}

// look starts or stops one shard's batcher.
func (b *Batchers) look(ctx context.Context, group *errgroup.Group, id uint32, members []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, asked := b.used[id]
	wanted := rendezvous.Leader(Stream(id), members) == b.opts.Self || asked && time.Since(used) < lingerFor
	running := b.active[id] != nil
	switch {
	case wanted && !running:
		s := newShard(id, b.opts)
		shardCtx, stop := context.WithCancel(ctx)
		b.active[id], b.stop[id] = s, stop
		group.Go(func() error { return s.run(shardCtx) })
	case !wanted && running:
		b.stop[id]()
		delete(b.active, id)
		delete(b.stop, id)
	}
}

func (b *Batchers) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, stop := range b.stop {
		stop()
	}
	clear(b.active)
	clear(b.stop)
}

// Leads says whether this instance now writes the shard's stream, which gives
// it the stream's part of the log's budget.
func (b *Batchers) Leads(stream string) bool {
	id, ok := shardOfStream(stream)
	b.mu.Lock()
	defer b.mu.Unlock()
	return ok && b.active[id] != nil
}

// Claim implements peer.ClaimServer. Each claim is an encoded record.Record
// with a Claim or a ClaimResult on a key of the shard.
func (b *Batchers) Claim(ctx context.Context, id uint32, claims [][]byte) ([]*peer.ClaimStanding, error) {
	records, err := decode(id, claims)
	if err != nil {
		return nil, err
	}
	standings, err := b.claim(ctx, id, records)
	if err != nil { // the claims that were settled before the append are asked for again
		b.opts.Logger.WithFields(logrus.Fields{"shard": id, "claims": len(records), "error": err}).Warn("claims not kept")
		return refusals(records, err), nil
	}
	return standings, nil
}

func (b *Batchers) claim(ctx context.Context, id uint32, records []*record.Record) ([]*peer.ClaimStanding, error) {
	s, err := b.shard(ctx, id)
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	view, err := s.ready(readyCtx)
	if err != nil {
		return nil, err
	}
	if held := view.remembered(); held >= MaxRemembered {
		return nil, &FullError{Shard: id, Claims: held}
	}
	standings, unsettled := settled(view, records)
	if len(unsettled) == 0 {
		return standings, nil
	}
	first, err := b.opts.Writer.Append(ctx, Stream(id), pick(records, unsettled)...)
	if err != nil {
		return nil, err
	}
	if err := s.follower.WaitFor(ctx, first+infra.Offset(len(unsettled))-1); err != nil {
		return nil, err
	}
	return standings, settle(s, records, unsettled, standings)
}

// settled answers the claims on keys that a claim stands on already, which
// need not go on the log: what stands is another's, or is this attempt's own
// from an earlier try. It returns the places of the others.
func settled(view *state, records []*record.Record) (standings []*peer.ClaimStanding, unsettled []int) {
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

func pick(records []*record.Record, places []int) []*record.Record {
	out := make([]*record.Record, len(places))
	for i, place := range places {
		out[i] = records[place]
	}
	return out
}

// settle reads the standings off the view that is there now: it may be a newer
// machine than the one before the append, if the follower began anew.
func settle(s *shard, records []*record.Record, unsettled []int, standings []*peer.ClaimStanding) error {
	view := s.follower.View()
	if !view.complete() {
		return &logsync.BehindError{Stream: Stream(s.id), Err: &NotReadyError{Shard: s.id}}
	}
	for _, i := range unsettled {
		standing := Standing{Verdict: Granted} // a result that is on the log
		if c := records[i].GetClaim(); c != nil {
			standing = view.standing(c)
		}
		standings[i] = encodeStanding(standing)
		standings[i].Queued = standing.Verdict == Taken || standing.Verdict == Conflict
	}
	return nil
}

// shard returns the shard's batcher, which Run starts if it isn't at work.
func (b *Batchers) shard(ctx context.Context, id uint32) (*shard, error) {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for {
		b.mu.Lock()
		b.used[id] = time.Now()
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

// decode reads claims that a peer sent. What isn't a claim on the shard is
// refused, and nothing of the call goes on the log.
func decode(id uint32, claims [][]byte) ([]*record.Record, error) {
	refuse := func(cause error) error {
		return &infra.Error{Op: "claims.batch", Reason: infra.ReasonBadRequest, Effect: infra.EffectNone, Err: cause}
	}
	if id >= Shards || len(claims) > maxClaims {
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

// refusals answers every claim of a call alike: kept by the log for certain it
// is not, or nobody knows.
func refusals(records []*record.Record, err error) []*peer.ClaimStanding {
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

// verdicts maps the wire's verdicts; a verdict that isn't here is Uncertain.
var verdicts = map[peer.ClaimStanding_Verdict]Verdict{
	peer.ClaimStanding_GRANTED:   Granted,
	peer.ClaimStanding_TAKEN:     Taken,
	peer.ClaimStanding_CONFLICT:  Conflict,
	peer.ClaimStanding_NOT_KEPT:  NotKept,
	peer.ClaimStanding_UNCERTAIN: Uncertain,
}

func encodeStanding(s Standing) *peer.ClaimStanding {
	out := &peer.ClaimStanding{Instance: s.Instance, Attempt: s.Attempt, Request: s.Request, Outcome: uint32(s.Outcome)}
	for wire, v := range verdicts {
		if v == s.Verdict {
			out.Verdict = wire
		}
	}
	return out
}

func decodeStanding(s *peer.ClaimStanding) Standing {
	verdict, known := verdicts[s.GetVerdict()]
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
