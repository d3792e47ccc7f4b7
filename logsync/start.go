package logsync

import (
	"context"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// start begins to follow the stream: at its first record, or, if that record
// has aged out, at a checkpoint after which no record is missing.
func (f *Follower[V]) start(ctx context.Context) error {
	batch, err := f.read(ctx, 1, 0)
	switch {
	case isOutOfRange(err):
		return f.restoreAgedOut(ctx, batch)
	case err != nil:
		return err
	}
	f.mu.Lock()
	f.machine = f.opts.New(1)
	f.mu.Unlock()
	f.opts.Logger.WithField("from", 1).Info("following stream from its first record")
	return f.apply(batch)
}

// restoreAgedOut restores a state that covers the records that aged out before
// they were read: a checkpoint on the log, or else the state of a peer.
func (f *Follower[V]) restoreAgedOut(ctx context.Context, bounds infra.Batch) error {
	if f.opts.FromOldest {
		return f.startAtOldest(bounds.Oldest)
	}
	checkpoint, err := f.findCheckpoint(ctx, bounds.Oldest)
	if err != nil {
		return err
	}
	if checkpoint == nil {
		return f.restoreFromPeers(ctx, bounds.Oldest-1)
	}
	if err := f.restore(checkpoint, false); err != nil {
		return err
	}
	f.opts.Logger.WithFields(logrus.Fields{"covers": checkpoint.GetCovers(), "oldest": bounds.Oldest}).
		Info("following stream from a checkpoint")
	return nil
}

// startAtOldest begins with an empty state machine at the oldest record that the
// log still has.
func (f *Follower[V]) startAtOldest(oldest infra.Offset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machine = f.opts.New(oldest)
	f.skippedThrough = oldest - 1
	f.status.Offset = f.skippedThrough
	f.status.CaughtUp = false
	f.opts.Logger.WithField("from", oldest).Info("following stream from its oldest retained record")
	return nil
}

// findCheckpoint reads all records that the log still has and returns the newest
// checkpoint that covers everything before them, or nil if there is none.
func (f *Follower[V]) findCheckpoint(ctx context.Context, oldest infra.Offset) (*record.Checkpoint, error) {
	var newest *record.Checkpoint
	from := oldest
	for {
		batch, err := f.read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range batch.Records {
			c := decodeCheckpoint(r)
			if coversAgedOut(c, oldest) && c.GetCovers() >= newest.GetCovers() {
				newest = c
			}
		}
		if len(batch.Records) == 0 {
			return newest, nil
		}
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
}

// coversAgedOut reports whether the checkpoint is readable and covers all records
// before oldest.
func coversAgedOut(c *record.Checkpoint, oldest infra.Offset) bool {
	readable := c != nil && c.GetVersion() <= replay.CheckpointVersion
	return readable && infra.Offset(c.GetCovers())+1 >= oldest
}

// decodeCheckpoint returns the checkpoint in the record, or nil if the record is
// of another kind or can't be decoded.
func decodeCheckpoint(r infra.Record) *record.Checkpoint {
	decoded := &record.Record{}
	if proto.Unmarshal(r.Data, decoded) != nil {
		return nil
	}
	return decoded.GetCheckpoint()
}

// restoreFromPeers restores the newest of the peers' states that covers at least
// atLeast and is not older than the state of this follower.
func (f *Follower[V]) restoreFromPeers(ctx context.Context, atLeast infra.Offset) error {
	if f.opts.Peers == nil {
		return &NoStateError{Stream: f.opts.Stream, AtLeast: atLeast}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMargin)
	defer cancel()
	checkpoint, err := f.opts.Peers.State(ctx, f.opts.Stream, max(atLeast, f.Status().Offset))
	if err != nil {
		return &NoStateError{Stream: f.opts.Stream, AtLeast: atLeast, Err: err}
	}
	if err := f.restore(checkpoint, true); err != nil {
		return err
	}
	f.opts.Logger.WithField("covers", checkpoint.GetCovers()).Info("following stream from the state of a peer")
	return nil
}

// restore replaces the state by the checkpoint. The state machine refuses a
// checkpoint that is older than its state.
func (f *Follower[V]) restore(c *record.Checkpoint, peer bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	machine := f.machine
	if machine == nil {
		machine = f.opts.New(infra.Offset(c.GetCovers()) + 1)
	}
	if err := machine.Restore(c); err != nil {
		return err
	}
	f.machine = machine
	f.status.FromPeer = peer
	f.status.CaughtUp = false
	f.publishView()
	return nil
}
