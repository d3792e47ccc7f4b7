package claims

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/quarantine"
	"greengageferry/record"
	"greengageferry/replay"
)

const (
	streamPrefix = "claims/"
	// expiryInterval is how often a batcher expires claims older than Window. A
	// claim is remembered for at most this much longer than Window.
	expiryInterval = time.Minute
	// MaxClaimsPerShard is the maximum number of unexpired claims of a shard;
	// further claims are refused. A claim takes about 250 bytes. At its full
	// append rate, a shard has room for far more claims within Window than the
	// callers' keyed requests need.
	MaxClaimsPerShard = 40_000
)

// Stream returns the name of a shard's stream.
func Stream(shard uint32) string { return streamPrefix + strconv.Itoa(int(shard)) }

// ShardOf returns the shard of a key.
func ShardOf(key []byte) uint32 { return uint32(xxhash.Sum64(key) % Shards) }

// shardOfStream returns the shard of a stream named by Stream, or false for any
// other stream.
func shardOfStream(stream string) (uint32, bool) {
	number, found := strings.CutPrefix(stream, streamPrefix)
	shard, err := strconv.ParseUint(number, 10, 32)
	return uint32(shard), found && err == nil && shard < Shards
}

// shardState is the state machine of one shard's claims with a mutex, because the
// batcher reads the state while the follower applies records. It implements
// logsync.State and is its own view.
type shardState struct {
	mu     sync.Mutex
	claims *replay.Claims
	start  infra.Offset // offset of the first record to apply
}

func newShardState(start infra.Offset) *shardState {
	return &shardState{claims: replay.NewClaims(start), start: start}
}

// Apply implements replay.Machine.
func (s *shardState) Apply(offset infra.Offset, r *record.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims.Apply(offset, r)
}

// Offset implements replay.Machine.
func (s *shardState) Offset() infra.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Offset()
}

// Checkpoint implements replay.Machine. It returns nil, as claims have no
// checkpoints.
func (s *shardState) Checkpoint() *record.Checkpoint { return nil }

// Restore implements replay.Machine.
func (s *shardState) Restore(c *record.Checkpoint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Restore(c)
}

// View implements logsync.State.
func (s *shardState) View() *shardState { return s }

// complete reports whether all unexpired claims have been read.
func (s *shardState) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Complete()
}

// claimCount returns the number of unexpired claims.
func (s *shardState) claimCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Len()
}

// standing returns the standing of the claim as of the records read. The verdict is
// NotKept if no claim holds the key.
func (s *shardState) standing(c *record.Claim) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, found := s.claims.Standing(replay.ClaimKey(c.GetKey()))
	switch {
	case !found:
		return Standing{Verdict: NotKept}
	case holder.Attempt == c.GetAttempt():
		return Standing{Verdict: Granted, Instance: holder.Instance, Attempt: holder.Attempt, Request: holder.Request}
	case holder.Fingerprint != quarantine.Fingerprint(c.GetFingerprint()):
		return Standing{Verdict: Conflict}
	}
	return Standing{Verdict: Taken, Instance: holder.Instance, Attempt: holder.Attempt, Request: holder.Request, Outcome: holder.Outcome}
}

// shardBatcher is the running batcher of one shard.
type shardBatcher struct {
	id       uint32
	follower *logsync.Follower[shardState]
	writer   logsync.Appender
	logger   logrus.FieldLogger
}

func newShardBatcher(id uint32, opts Options) *shardBatcher {
	logger := opts.Logger.WithField("shard", id)
	return &shardBatcher{
		id:     id,
		writer: opts.Writer,
		logger: logger,
		follower: logsync.NewFollower(logsync.FollowerOptions[shardState]{
			Log:          opts.Log,
			Stream:       Stream(id),
			New:          func(from infra.Offset) logsync.ViewMachine[shardState] { return newShardState(from) },
			FromOldest:   true,
			ReadInterval: -1, // no delay between reads: a claim is answered only after its record was read
			Logger:       logger,
			Metrics:      opts.Metrics,
		}),
	}
}

// run reads the shard's stream and expires claims older than Window until ctx ends.
func (s *shardBatcher) run(ctx context.Context) error {
	s.logger.Info("batcher begins")
	defer s.logger.Info("batcher ends")
	var group errgroup.Group
	group.Go(func() error { return s.follower.Run(ctx) })
	group.Go(func() error { return s.runExpiry(ctx) })
	return group.Wait()
}

// waitReady returns the shard's state once it contains all unexpired claims. It
// returns a *NotReadyError when ctx ends first.
func (s *shardBatcher) waitReady(ctx context.Context) (*shardState, error) {
	for {
		changed := s.follower.Changed()
		if view := s.follower.View(); view != nil && s.follower.Status().CaughtUp && view.complete() {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &NotReadyError{Shard: s.id}
		}
	}
}

// readMark is the offset up to which the stream was read at a time.
type readMark struct {
	at     time.Time
	offset infra.Offset
}

// runExpiry appends expiry records until ctx ends. Records that aged out of the log
// before this batcher started are expired immediately, because the log retains
// records for longer than Window. Later, records expire once Window has passed
// since this batcher read them.
func (s *shardBatcher) runExpiry(ctx context.Context) error {
	var marks []readMark
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := s.follower.Changed()
		view := s.follower.View()
		if view != nil && s.follower.Status().CaughtUp && !view.complete() {
			s.appendExpiry(ctx, view.start)
			changed = nil // if the append failed, retry at the next tick
		}
		select {
		case <-changed:
			continue
		case now := <-ticker.C:
			marks = s.expireOld(ctx, marks, now)
		case <-ctx.Done():
		}
	}
	return nil
}

// expireOld adds a mark for the offset read so far and expires the records that
// were read at least Window ago. It returns the marks still needed.
func (s *shardBatcher) expireOld(ctx context.Context, marks []readMark, now time.Time) []readMark {
	view := s.follower.View()
	if view == nil {
		return marks
	}
	marks = append(marks, readMark{at: now, offset: view.Offset()})
	passed := 0
	for passed < len(marks) && now.Sub(marks[passed].at) >= Window {
		passed++
	}
	if passed == 0 {
		return marks
	}
	if view.claimCount() > 0 {
		s.appendExpiry(ctx, marks[passed-1].offset+1)
	}
	return marks[passed:]
}

// appendExpiry appends a record that expires all claims below offset before.
func (s *shardBatcher) appendExpiry(ctx context.Context, before infra.Offset) {
	ctx, cancel := context.WithTimeout(ctx, expiryInterval/2)
	defer cancel()
	r := &record.Record{Body: &record.Record_ClaimExpiry{ClaimExpiry: &record.ClaimExpiry{Before: uint64(before)}}}
	if _, err := s.writer.Append(ctx, Stream(s.id), r); err != nil {
		s.logger.WithField("error", err).Warn("claim expiry not appended")
	}
}
