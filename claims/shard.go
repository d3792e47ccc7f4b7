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
	"greengageferry/record"
	"greengageferry/replay"
)

const (
	streamPrefix = "claims/"
	// expiryEvery is how often a batcher forgets what is older than Window: a
	// claim is then remembered for at most this much longer.
	expiryEvery = time.Minute
	// MaxRemembered bounds the claims that a batcher holds for a shard, about
	// 250 bytes each. At the full rate of a shard's appends a window has far
	// more room than callers' keyed requests need; what is over it is refused.
	MaxRemembered = 40_000
)

// Stream names a shard's stream.
func Stream(shard uint32) string { return streamPrefix + strconv.Itoa(int(shard)) }

// ShardOf returns the shard of a key.
func ShardOf(key []byte) uint32 { return uint32(xxhash.Sum64(key) % Shards) }

// shardOfStream is the reverse of Stream.
func shardOfStream(stream string) (uint32, bool) {
	number, found := strings.CutPrefix(stream, streamPrefix)
	shard, err := strconv.ParseUint(number, 10, 32)
	return uint32(shard), found && err == nil && shard < Shards
}

// state is the claims machine of one shard, guarded, since the batcher asks it
// while the follower steps it. It is its own view.
type state struct {
	mu     sync.Mutex
	claims *replay.Claims
	from   infra.Offset // the first record that it was given
}

func newState(from infra.Offset) *state {
	return &state{claims: replay.NewClaims(from), from: from}
}

// Apply implements replay.Machine.
func (s *state) Apply(offset infra.Offset, r *record.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims.Apply(offset, r)
}

// Offset implements replay.Machine.
func (s *state) Offset() infra.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Offset()
}

// Checkpoint implements replay.Machine: claims have none.
func (s *state) Checkpoint() *record.Checkpoint { return nil }

// Restore implements replay.Machine.
func (s *state) Restore(c *record.Checkpoint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Restore(c)
}

// View implements logsync.State.
func (s *state) View() *state { return s }

func (s *state) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Complete()
}

func (s *state) remembered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Len()
}

// standing says how a claim stands as of what was read. It is NotKept if
// nobody's claim stands on the key.
func (s *state) standing(c *record.Claim) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, stands := s.claims.Standing(replay.ClaimKey(c.GetKey()))
	switch {
	case !stands:
		return Standing{Verdict: NotKept}
	case held.Attempt == c.GetAttempt():
		return Standing{Verdict: Granted, Instance: held.Instance, Attempt: held.Attempt, Request: held.Request}
	case held.Fingerprint != replay.Fingerprint(c.GetFingerprint()):
		return Standing{Verdict: Conflict}
	}
	return Standing{Verdict: Taken, Instance: held.Instance, Attempt: held.Attempt, Request: held.Request, Outcome: held.Outcome}
}

// shard is one shard's batcher while it is at work on this instance.
type shard struct {
	id       uint32
	follower *logsync.Follower[state]
	writer   logsync.Appender
	logger   logrus.FieldLogger
}

func newShard(id uint32, opts Options) *shard {
	logger := opts.Logger.WithField("shard", id)
	return &shard{
		id:     id,
		writer: opts.Writer,
		logger: logger,
		follower: logsync.NewFollower(logsync.FollowerOptions[state]{
			Log:          opts.Log,
			Stream:       Stream(id),
			New:          func(from infra.Offset) logsync.ViewMachine[state] { return newState(from) },
			FromOldest:   true,
			ReadInterval: -1, // a claim's answer waits for its record to be read
			Logger:       logger,
			Metrics:      opts.Metrics,
		}),
	}
}

// run follows the shard's stream and forgets what is older than the window.
func (s *shard) run(ctx context.Context) error {
	s.logger.Info("batcher begins")
	defer s.logger.Info("batcher ends")
	var group errgroup.Group
	group.Go(func() error { return s.follower.Run(ctx) })
	group.Go(func() error { return s.expire(ctx) })
	return group.Wait()
}

// ready returns the shard's state once it holds every claim that counts.
func (s *shard) ready(ctx context.Context) (*state, error) {
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

// mark is how far the stream was read at a time.
type mark struct {
	at     time.Time
	offset infra.Offset
}

// expire writes what may be forgotten: at once what aged out of the log before
// this batcher began, since the log keeps records for longer than the window;
// later what it read itself a whole window ago.
func (s *shard) expire(ctx context.Context) error {
	var marks []mark
	ticker := time.NewTicker(expiryEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := s.follower.Changed()
		view := s.follower.View()
		if view != nil && s.follower.Status().CaughtUp && !view.complete() {
			s.forget(ctx, view.from)
			changed = nil // the next look is at the next tick, should the write have failed
		}
		select {
		case <-changed:
			continue
		case now := <-ticker.C:
			marks = s.forgetOld(ctx, marks, now)
		case <-ctx.Done():
		}
	}
	return nil
}

// forgetOld notes how far the stream was read and forgets what was read before
// the window.
func (s *shard) forgetOld(ctx context.Context, marks []mark, now time.Time) []mark {
	view := s.follower.View()
	if view == nil {
		return marks
	}
	marks = append(marks, mark{at: now, offset: view.Offset()})
	passed := 0
	for passed < len(marks) && now.Sub(marks[passed].at) >= Window {
		passed++
	}
	if passed == 0 {
		return marks
	}
	if view.remembered() > 0 {
		s.forget(ctx, marks[passed-1].offset+1)
	}
	return marks[passed:]
}

func (s *shard) forget(ctx context.Context, before infra.Offset) {
	ctx, cancel := context.WithTimeout(ctx, expiryEvery/2)
	defer cancel()
	r := &record.Record{Body: &record.Record_ClaimExpiry{ClaimExpiry: &record.ClaimExpiry{Before: uint64(before)}}}
	if _, err := s.writer.Append(ctx, Stream(s.id), r); err != nil {
		s.logger.WithField("error", err).Warn("claims not forgotten")
	}
}
