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
	// judgeStepIn is how much later each next instance in rank judges a change
	// that the ones before it didn't. A change has to be in force within 8 s of
	// its acceptance, and acceptance shouldn't take its author longer either.
	judgeStepIn = 2 * time.Second
	// judgeDoubt is how much later an instance judges whose program doesn't
	// understand what is in force: one that does goes first, but a change is
	// never left without a verdict.
	judgeDoubt = 20 * time.Second
	// verdictTimeout bounds one write of a verdict.
	verdictTimeout = 10 * time.Second
)

// ConfigSource is what a Judge needs of the config stream's Follower.
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
	Members func() []string // the entry instances, as this one lists them
	Program string          // this program's version
	Logger  logrus.FieldLogger
}

// Judge is a duty: it puts the verdict on the oldest configuration change
// without one. The instance that ranks first for the change does it, the others
// step in one after another. Two verdicts do no harm: the first stands.
type Judge struct {
	opts    JudgeOptions
	builder *config.Builder
}

// NewJudge returns the duty.
func NewJudge(opts JudgeOptions) *Judge {
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	return &Judge{opts: opts, builder: config.NewBuilder()}
}

// Run judges until ctx ends. It returns nil.
func (j *Judge) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := j.opts.Source.Changed()
		view := j.opts.Source.View()
		if view == nil || len(view.Pending) == 0 || !j.opts.Source.Status().CaughtUp {
			awaitChange(ctx, changed, DefaultPoll)
			continue
		}
		j.judgeFirst(ctx, view)
	}
	return nil
}

// judgeFirst waits for its turn on the oldest change, and judges it unless
// another verdict came first.
func (j *Judge) judgeFirst(ctx context.Context, view *replay.ConfigView) {
	pending := view.Pending[0]
	turn := time.Now().Add(j.delay(view, pending.Offset))
	for ctx.Err() == nil && time.Now().Before(turn) {
		changed := j.opts.Source.Changed()
		if now := j.opts.Source.View(); !waits(now, pending.Offset) {
			return
		}
		awaitChange(ctx, changed, time.Until(turn))
	}
	if now := j.opts.Source.View(); ctx.Err() == nil && waits(now, pending.Offset) {
		j.write(ctx, now)
	}
}

// waits says whether the change is still the next to be judged.
func waits(view *replay.ConfigView, change infra.Offset) bool {
	return len(view.Pending) > 0 && view.Pending[0].Offset == change
}

func (j *Judge) delay(view *replay.ConfigView, change infra.Offset) time.Duration {
	key := "judge/" + strconv.FormatUint(uint64(change), 10)
	delay := time.Duration(rendezvous.Rank(key, j.opts.Members(), j.opts.Self)) * judgeStepIn
	if _, _, refusal := j.builder.BuildLenient(Files(view)); refusal != nil {
		j.opts.Logger.WithField("error", refusal).Warn("configuration in force not fully understood")
		delay += judgeDoubt
	}
	return delay
}

func (j *Judge) write(ctx context.Context, view *replay.ConfigView) {
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
		entry.WithField("error", err).Warn("verdict not written")
		sleep(ctx, jitter(minBackoff))
		return
	}
	entry.WithField("offset", offset).Info("configuration change judged")
	if err := j.opts.Source.WaitFor(ctx, offset); err != nil {
		j.opts.Logger.WithField("error", err).Warn("verdict not read back yet")
	}
}

// Files returns the view's files in the form that package config builds from.
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
