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
	// MinRetention is what is assumed of the log: it keeps a record for at
	// least this long. Every other bound is well below it.
	MinRetention = time.Hour
	// DefaultCheckpointAge is when a stream's state is written again even if
	// nothing changed, since the checkpoint itself ages out too: six times
	// within the retention, so that five may fail.
	DefaultCheckpointAge = MinRetention / 6
	// DefaultCheckpointRecords is after how many records it is written again,
	// so that a newcomer replays few: a day's configuration changes are 2,700.
	DefaultCheckpointRecords = 4000
	// stepIn is how much later each next instance in rank writes a checkpoint
	// that the ones before it didn't: long enough to read the other's first.
	stepIn = 20 * time.Second
	// checkpointTimeout bounds one write.
	checkpointTimeout = 30 * time.Second
)

// Source is what a Checkpointer needs of a Follower.
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
	Members func() []string // the instances that may do it, as this one lists them
	Age     time.Duration   // 0: DefaultCheckpointAge
	Records int             // 0: DefaultCheckpointRecords
	Logger  logrus.FieldLogger
}

// Checkpointer is a duty: it writes a stream's whole state on the stream well
// before the records that made it age out. The instance that ranks first for
// the stream does it; the others step in one after another when it doesn't.
// Two that do it at once do no harm.
type Checkpointer struct {
	opts CheckpointerOptions
}

// NewCheckpointer returns the duty.
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
	due := time.Time{} // when the records since the last checkpoint became too many
	for ctx.Err() == nil {
		changed := c.opts.Source.Changed()
		at := c.opts.Source.Status()
		due = c.countDue(at, due)
		wait := time.Until(c.writeAt(at, due))
		if at.CaughtUp && wait <= 0 {
			c.write(ctx, at)
			due = time.Time{}
			sleep(ctx, jitter(stepIn))
			continue
		}
		awaitChange(ctx, changed, max(wait, time.Second))
	}
	return nil
}

// countDue returns when the records since the newest checkpoint first were too
// many, or zero if they aren't.
func (c *Checkpointer) countDue(at Status, due time.Time) time.Time {
	if at.Offset < at.Checkpoint+infra.Offset(c.opts.Records) {
		return time.Time{}
	}
	if due.IsZero() {
		return time.Now()
	}
	return due
}

// writeAt returns when this instance is to write, should no other do so first.
func (c *Checkpointer) writeAt(at Status, due time.Time) time.Time {
	rank := rendezvous.Rank("checkpoint/"+c.opts.Source.Stream(), c.opts.Members(), c.opts.Self)
	turn := time.Duration(rank) * stepIn
	byAge := at.Since.Add(c.opts.Age)
	if !due.IsZero() && due.Before(byAge) {
		return due.Add(turn)
	}
	return byAge.Add(turn)
}

func (c *Checkpointer) write(ctx context.Context, at Status) {
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
		"before": at.Checkpoint,
	})
	if err != nil {
		entry.WithField("error", err).Warn("checkpoint not written")
		return
	}
	entry.WithField("offset", offset).Info("checkpoint written")
}

// awaitChange waits for the change, at most for d, or until ctx ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
