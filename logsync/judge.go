package logsync

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/rendezvous"
	"greengageferry/replay"
)

const (
	// judgeTakeoverDelay is how much longer each instance waits than the one
	// ranked before it. A change must be in force within 8 s of its acceptance,
	// and its author should not wait longer for the acceptance itself.
	judgeTakeoverDelay = 2 * time.Second
	// unsupportedConfigDelay is the additional delay of an instance whose
	// program version doesn't fully support the configuration in force. Instances
	// that support it go first, but every change gets a verdict.
	unsupportedConfigDelay = 20 * time.Second
	// verdictTimeout limits the time to append one verdict.
	verdictTimeout = 10 * time.Second
)

// ConfigSource is the part of the config stream's Follower that a Judge uses.
type ConfigSource interface {
	View() *replay.ConfigView
	Status() Status
	Changed() <-chan struct{}
	WaitFor(ctx context.Context, offset infra.Offset) error
}

// JudgeOptions configures a Judge.
type JudgeOptions struct {
	Source  ConfigSource
	Writer  Appender
	Self    string          // this instance's id
	Members func() []string // returns the ids of the entry instances
	Program string          // this program's version
	Logger  logrus.FieldLogger
}

// Judge is a background task that validates the oldest pending configuration
// change and appends a verdict that accepts or rejects the change. The instance
// that ranks first for the change does so. If no verdict appears, the other
// instances take over one after another. Further verdicts on a change are
// harmless, because only the first counts.
type Judge struct {
	opts    JudgeOptions
	builder *config.Builder
}

// NewJudge returns a judge. Run starts it.
func NewJudge(opts JudgeOptions) *Judge {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	return &Judge{opts: opts, builder: config.NewBuilder()}
}

// Run validates pending changes until ctx ends. It returns nil.
func (j *Judge) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := j.opts.Source.Changed()
		view := j.opts.Source.View()
		if view == nil || len(view.Pending) == 0 || !j.opts.Source.Status().CaughtUp {
			awaitChange(ctx, changed, DefaultPollTimeout)
			continue
		}
		j.judgeOldest(ctx, view)
	}
	return nil
}

// judgeOldest waits for this instance's delay on the oldest pending change, then
// validates the change unless it has a verdict by then.
func (j *Judge) judgeOldest(ctx context.Context, view *replay.ConfigView) {
	pending := view.Pending[0]
	startAt := time.Now().Add(j.delay(view, pending.Offset))
	for ctx.Err() == nil && time.Now().Before(startAt) {
		changed := j.opts.Source.Changed()
		if now := j.opts.Source.View(); !isOldestPending(now, pending.Offset) {
			return
		}
		awaitChange(ctx, changed, time.Until(startAt))
	}
	if now := j.opts.Source.View(); ctx.Err() == nil && isOldestPending(now, pending.Offset) {
		j.appendVerdict(ctx, now)
	}
}

// isOldestPending reports whether the change at the offset is the oldest one
// without a verdict.
func isOldestPending(view *replay.ConfigView, change infra.Offset) bool {
	return len(view.Pending) > 0 && view.Pending[0].Offset == change
}

// delay returns how long this instance waits before it validates the change.
func (j *Judge) delay(view *replay.ConfigView, change infra.Offset) time.Duration {
	key := "judge/" + strconv.FormatUint(uint64(change), 10)
	delay := time.Duration(rendezvous.Rank(key, j.opts.Members(), j.opts.Self)) * judgeTakeoverDelay
	if _, _, refusal := j.builder.BuildLenient(Files(view)); refusal != nil {
		j.opts.Logger.WithField("error", refusal).Warn("configuration in force not fully supported by this program version")
		delay += unsupportedConfigDelay
	}
	return delay
}

// appendVerdict appends the verdict on the oldest pending change.
func (j *Judge) appendVerdict(ctx context.Context, view *replay.ConfigView) {
	pending := view.Pending[0]
	verdict := j.builder.Judge(Files(view), pending.Change)
	verdict.Change = uint64(pending.Offset)
	verdict.Program = j.opts.Program
	entry := j.opts.Logger.WithFields(logrus.Fields{
		"change":   pending.Offset,
		"file":     pending.Change.GetFile(),
		"partner":  pending.Change.GetPartner(),
		"author":   pending.Change.GetAuthor(),
		"accepted": verdict.GetAccepted(),
		"reason":   verdict.GetReason(),
		"line":     verdict.GetLine(),
	})
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	r := &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: verdict}}
	offset, err := j.opts.Writer.Append(ctx, infra.StreamConfig, r)
	if err != nil {
		entry.WithField("error", err).Warn("verdict on configuration change could not be written")
		sleep(ctx, jitter(minBackoff))
		return
	}
	entry.WithField("offset", offset).Info("configuration change judged")
	if err := j.opts.Source.WaitFor(ctx, offset); err != nil {
		j.opts.Logger.WithField("error", err).Warn("verdict on configuration change not yet read from the log")
	}
}

// Files returns the files of the view as input for package config.
func Files(view *replay.ConfigView) []config.File {
	out := make([]config.File, len(view.Files))
	for i, f := range view.Files {
		out[i] = config.File{
			Name:    f.Name,
			Partner: f.Partner,
			Author:  f.Author,
			Content: f.Content,
			Removed: f.Removed,
			Offset:  uint64(f.Offset),
		}
	}
	return out
}
