package logsync

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/rendezvous"
)

const (
	// MinRetention is the shortest time for which the log is assumed to keep a
	// record. All other time limits are well below it.
	MinRetention = time.Hour
	// DefaultCheckpointAge is the age at which a checkpoint is replaced even if
	// nothing changed, because checkpoints age out as well. There are six
	// writes within the retention, of which five may fail.
	DefaultCheckpointAge = MinRetention / 6
	// DefaultCheckpointRecords is the number of records after which a new
	// checkpoint is written, so that a new instance replays few. There are 2,700
	// configuration changes per day.
	DefaultCheckpointRecords = 4000
	// checkpointTakeoverDelay is how much longer each instance waits than the
	// one ranked before it. It is long enough to read the checkpoint that the
	// other instance may have written.
	checkpointTakeoverDelay = 20 * time.Second
	// checkpointTimeout limits the time of one write.
	checkpointTimeout = 30 * time.Second
)

// Source is the part of a Follower that a Checkpointer uses.
type Source interface {
	Stream() string
	Status() Status
	Changed() <-chan struct{}
	Checkpoint() *record.Checkpoint
}

// CheckpointerOptions configures a Checkpointer.
type CheckpointerOptions struct {
	Source  Source
	Writer  Appender
	Self    string          // this instance's id
	Members func() []string // returns the ids of all instances that may write checkpoints
	Age     time.Duration   // between checkpoints, at most; 0: DefaultCheckpointAge
	Records int             // between checkpoints, at most; 0: DefaultCheckpointRecords
	Logger  logrus.FieldLogger
}

// Checkpointer is a background task that appends the whole state of a stream to
// the stream well before the records that led to it age out. The instance that
// ranks first for the stream writes the checkpoint. If no checkpoint appears,
// the other instances take over one after another. Concurrent checkpoints are
// harmless.
type Checkpointer struct {
	opts CheckpointerOptions
}

// NewCheckpointer returns a checkpointer. Run starts it.
func NewCheckpointer(opts CheckpointerOptions) *Checkpointer {
	if opts.Age == 0 {
		opts.Age = DefaultCheckpointAge
	}
	if opts.Records == 0 {
		opts.Records = DefaultCheckpointRecords
	}
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	return &Checkpointer{opts: opts}
}

// Run writes checkpoints until ctx ends. It returns nil.
func (c *Checkpointer) Run(ctx context.Context) error {
	exceededSince := time.Time{} // when opts.Records was reached; zero: not reached
	for ctx.Err() == nil {
		changed := c.opts.Source.Changed()
		status := c.opts.Source.Status()
		exceededSince = c.countExceededSince(status, exceededSince)
		wait := time.Until(c.writeTime(status, exceededSince))
		if status.CaughtUp && wait <= 0 {
			c.write(ctx, status)
			exceededSince = time.Time{}
			sleep(ctx, jitter(checkpointTakeoverDelay))
			continue
		}
		awaitChange(ctx, changed, max(wait, time.Second))
	}
	return nil
}

// countExceededSince returns the time at which the number of records since the
// newest checkpoint was first seen to reach the limit, or zero if it is below.
func (c *Checkpointer) countExceededSince(status Status, exceededSince time.Time) time.Time {
	if status.Offset < status.Checkpoint+infra.Offset(c.opts.Records) {
		return time.Time{}
	}
	if exceededSince.IsZero() {
		return time.Now()
	}
	return exceededSince
}

// writeTime returns the time at which this instance writes a checkpoint unless
// another instance does so first.
func (c *Checkpointer) writeTime(status Status, exceededSince time.Time) time.Time {
	rank := rendezvous.Rank("checkpoint/"+c.opts.Source.Stream(), c.opts.Members(), c.opts.Self)
	delay := time.Duration(rank) * checkpointTakeoverDelay
	byAge := status.CheckpointReadAt.Add(c.opts.Age)
	if !exceededSince.IsZero() && exceededSince.Before(byAge) {
		return exceededSince.Add(delay)
	}
	return byAge.Add(delay)
}

// write appends the current state as a checkpoint.
func (c *Checkpointer) write(ctx context.Context, status Status) {
	checkpoint := c.opts.Source.Checkpoint()
	if checkpoint == nil || checkpoint.GetCovers() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	r := &record.Record{Body: &record.Record_Checkpoint{Checkpoint: checkpoint}}
	offset, err := c.opts.Writer.Append(ctx, c.opts.Source.Stream(), r)
	entry := c.opts.Logger.WithFields(logrus.Fields{
		"stream": c.opts.Source.Stream(),
		"covers": checkpoint.GetCovers(),
		"before": status.Checkpoint,
	})
	if err != nil {
		entry.WithField("error", err).Warn("checkpoint could not be written")
		return
	}
	entry.WithField("offset", offset).Info("checkpoint written")
}

// awaitChange waits until changed is closed, d has passed or ctx ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
