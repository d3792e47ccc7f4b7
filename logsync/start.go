package logsync

import (
	"context"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// start finds where to begin: at the stream's first record, or at a checkpoint
// after which nothing is missing.
func (f *Follower[V]) start(ctx context.Context) error {
	batch, err := f.read(ctx, 1, 0)
	switch {
	case isOutOfRange(err):
		return f.bridge(ctx, batch)
	case err != nil:
		return err
	}
	f.mu.Lock()
	f.machine = f.opts.New(1)
	f.mu.Unlock()
	f.opts.Logger.WithField("from", 1).Info("stream followed from its first record")
	return f.apply(batch)
}

// bridge gets over records that aged out before they were read: a checkpoint
// on the log that covers them, or else a peer's state.
func (f *Follower[V]) bridge(ctx context.Context, bounds infra.Batch) error {
	if f.opts.FromOldest {
		return f.skip(bounds.Oldest)
	}
	checkpoint, err := f.findCheckpoint(ctx, bounds.Oldest)
	if err != nil {
		return err
	}
	if checkpoint == nil {
		return f.fromPeers(ctx, bounds.Oldest-1)
	}
	if err := f.restore(checkpoint, false); err != nil {
		return err
	}
	f.opts.Logger.WithFields(logrus.Fields{"covers": checkpoint.GetCovers(), "oldest": bounds.Oldest}).
		Info("stream followed from a checkpoint")
	return nil
}

// skip begins with a new machine at the oldest kept record.
func (f *Follower[V]) skip(oldest infra.Offset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machine = f.opts.New(oldest)
	f.skipped = oldest - 1
	f.status.Offset = f.skipped
	f.status.CaughtUp = false
	f.opts.Logger.WithField("from", oldest).Info("stream followed from its oldest kept record")
	return nil
}

// findCheckpoint reads what the log keeps and returns its newest checkpoint, or
// nil if none covers everything that aged out.
func (f *Follower[V]) findCheckpoint(ctx context.Context, oldest infra.Offset) (*record.Checkpoint, error) {
	var newest *record.Checkpoint
	from := oldest
	for {
		batch, err := f.read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range batch.Records {
			c := checkpointIn(r)
			if bridges(c, oldest) && c.GetCovers() >= newest.GetCovers() {
				newest = c
			}
		}
		if len(batch.Records) == 0 {
			return newest, nil
		}
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
}

// bridges says whether a reader that begins with the checkpoint misses nothing.
func bridges(c *record.Checkpoint, oldest infra.Offset) bool {
	readable := c != nil && c.GetVersion() <= replay.CheckpointVersion
	return readable && infra.Offset(c.GetCovers())+1 >= oldest
}

func checkpointIn(r infra.Record) *record.Checkpoint {
	decoded := &record.Record{}
	if proto.Unmarshal(r.Data, decoded) != nil {
		return nil
	}
	return decoded.GetCheckpoint()
}

// fromPeers takes over the newest state that a peer has, if it covers at least
// the offset and isn't older than what is known here.
func (f *Follower[V]) fromPeers(ctx context.Context, atLeast infra.Offset) error {
	if f.opts.Peers == nil {
		return &NoStateError{Stream: f.opts.Stream, AtLeast: atLeast}
	}
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	checkpoint, err := f.opts.Peers.State(ctx, f.opts.Stream, max(atLeast, f.Status().Offset))
	if err != nil {
		return &NoStateError{Stream: f.opts.Stream, AtLeast: atLeast, Err: err}
	}
	if err := f.restore(checkpoint, true); err != nil {
		return err
	}
	f.opts.Logger.WithField("covers", checkpoint.GetCovers()).Info("stream followed from a peer's state")
	return nil
}

// restore replaces the machine's state; the machine refuses to go back.
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
	f.show()
	return nil
}
