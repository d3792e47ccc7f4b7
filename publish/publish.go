// Package publish puts a partner's folder of configuration files on the
// platform's log, one record for each file that changed, and learns each
// change's verdict.
//
// A change names the version that it was edited from. The folder knows that
// version: it is kept beside the files, in BasesFile, and moves on only when a
// change from this folder is accepted. So an edit that races a colleague's, made
// in another copy of the folder, is refused and not silently undone.
package publish

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/record"
	"greengageferry/replay"
)

const (
	// DefaultTimeout bounds the wait for the log and for a verdict: the slowest
	// judge's turn comes within half a minute of a change.
	DefaultTimeout = time.Minute
	// DefaultInterval is how often a watched folder is looked at.
	DefaultInterval = time.Second
	// appendsPerSecond bounds what one operator takes of the log's rate.
	appendsPerSecond = 5
)

// Options configures a Publisher. Log, Dir, Partner and Author are required.
type Options struct {
	Log     infra.Log
	Dir     string // the partner's folder
	Partner string
	Author  string
	// Overwrite takes the version in force as the one that a file was edited
	// from, where the folder doesn't know: the operator has looked at it.
	Overwrite bool
	Timeout   time.Duration // 0: DefaultTimeout
	Interval  time.Duration // 0: DefaultInterval
	Logger    logrus.FieldLogger
}

// Outcome is what became of one changed file.
type Outcome struct {
	File     string
	Removed  bool
	Offset   infra.Offset // of the change on the log
	Accepted bool
	Reason   string // why it was refused
	At       string // the file that the reason is about
	Line     uint32 // the line in it; 0: none
}

// Publisher publishes one folder.
type Publisher struct {
	opts     Options
	writer   *logsync.Writer
	follower *logsync.Follower[replay.ConfigView]
	verdicts *verdicts
	bases    bases
	refused  map[string][]byte // what was refused last, so that a watch doesn't send it again
	watching bool
	proposed map[string][]byte // what the round before found changed
}

// budget is an operator's share of the log's rate.
type budget struct{}

// Rate implements logsync.Budget.
func (budget) Rate(string) (float64, int) { return appendsPerSecond, appendsPerSecond }

// New returns a publisher.
func New(opts Options) *Publisher {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	seen := newVerdicts()
	return &Publisher{
		opts:     opts,
		verdicts: seen,
		refused:  map[string][]byte{},
		writer: logsync.NewWriter(logsync.WriterOptions{
			Log: opts.Log, Origin: "publish/" + uuid.NewString(), Budget: budget{}, Logger: opts.Logger,
		}),
		follower: logsync.NewFollower(logsync.FollowerOptions[replay.ConfigView]{
			Log:     opts.Log,
			Stream:  infra.StreamConfig,
			New:     func(infra.Offset) logsync.State[replay.ConfigView] { return seen },
			Spacing: -1,
			Logger:  opts.Logger,
		}),
	}
}

// Once publishes what changed in the folder and returns each file's outcome.
func (p *Publisher) Once(ctx context.Context) ([]Outcome, error) {
	var outcomes []Outcome
	err := p.with(ctx, func(ctx context.Context) error {
		var err error
		outcomes, err = p.round(ctx)
		return err
	})
	return outcomes, err
}

// Watch publishes what changes in the folder until ctx ends, and tells report of
// each outcome. A failed round is tried again.
func (p *Publisher) Watch(ctx context.Context, report func(Outcome)) error {
	p.watching = true
	return p.with(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(p.opts.Interval)
		defer ticker.Stop()
		for {
			outcomes, err := p.round(ctx)
			for _, o := range outcomes {
				report(o)
			}
			if err != nil && ctx.Err() == nil {
				p.opts.Logger.WithField("error", err).Warn("folder not published")
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// with runs the log's duties around f.
func (p *Publisher) with(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return p.writer.Run(ctx) })
	group.Go(func() error { return p.follower.Run(ctx) })
	err := f(ctx)
	cancel()
	_ = group.Wait() // the duties return nil
	return err
}

// round publishes the folder's changes, in the order of the files' names.
func (p *Publisher) round(ctx context.Context) ([]Outcome, error) {
	view, err := p.inForce(ctx)
	if err != nil {
		return nil, err
	}
	if p.bases, err = readBases(p.opts.Dir); err != nil {
		return nil, err
	}
	before := maps.Clone(p.bases)
	files, err := config.ReadPartnerDir(p.opts.Dir, p.opts.Partner)
	if err != nil {
		return nil, err
	}
	changes := p.changes(view, files)
	if !maps.Equal(before, p.bases) {
		if err := p.bases.write(p.opts.Dir); err != nil {
			return nil, err
		}
	}
	var outcomes []Outcome
	for _, change := range p.due(changes) {
		outcome, err := p.publish(ctx, change)
		if outcome.Offset > 0 {
			outcomes = append(outcomes, outcome)
		}
		if err != nil {
			return outcomes, err
		}
	}
	return outcomes, nil
}

// due leaves out what was refused already and, in a watched folder, what the
// round before didn't find alike: an editor may be in the middle of writing it.
func (p *Publisher) due(changes []*record.ConfigChange) []*record.ConfigChange {
	before := p.proposed
	p.proposed = make(map[string][]byte, len(changes))
	var out []*record.ConfigChange
	for _, change := range changes {
		file, id := change.GetFile(), identity(change)
		p.proposed[file] = id
		refused := bytes.Equal(p.refused[file], id)
		settled := !p.watching || bytes.Equal(before[file], id)
		if settled && !refused {
			out = append(out, change)
		}
	}
	return out
}

// inForce waits until the config stream was read to its end.
func (p *Publisher) inForce(ctx context.Context) (*replay.ConfigView, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	for {
		changed := p.follower.Changed()
		if view := p.follower.View(); view != nil && p.follower.Status().CaughtUp {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &LogError{Doing: "reading what is in force", Err: ctx.Err()}
		}
	}
}

// changes compares the folder with what is in force. A file that is the same
// in both is noted as based on that version. A file that the folder had and
// has no longer is removed; one that it never had is a colleague's.
func (p *Publisher) changes(view *replay.ConfigView, files []config.File) []*record.ConfigChange {
	inForce := map[string]*replay.File{}
	for _, f := range view.Files {
		inForce[f.Name] = f
	}
	var out []*record.ConfigChange
	here := map[string]bool{}
	for _, f := range files {
		here[f.Name] = true
		current := inForce[f.Name]
		if current != nil && !current.Removed && current.Partner == p.opts.Partner && bytes.Equal(current.Content, f.Content) {
			p.bases[f.Name] = current.Offset
			continue
		}
		out = append(out, p.change(f.Name, f.Content, false, current))
	}
	for name := range p.bases {
		if current := inForce[name]; !here[name] && current != nil && !current.Removed {
			out = append(out, p.change(name, nil, true, current))
		}
	}
	slices.SortFunc(out, func(a, b *record.ConfigChange) int { return bytes.Compare([]byte(a.GetFile()), []byte(b.GetFile())) })
	return out
}

func (p *Publisher) change(name string, content []byte, removed bool, current *replay.File) *record.ConfigChange {
	base, known := p.bases[name]
	if current != nil && !known && (p.opts.Overwrite || current.Removed) {
		base = current.Offset
	}
	return &record.ConfigChange{
		File: name, Partner: p.opts.Partner, Author: p.opts.Author,
		Content: content, Removed: removed, Base: uint64(base),
	}
}

// publish puts one change on the log and waits for its verdict.
func (p *Publisher) publish(ctx context.Context, change *record.ConfigChange) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	r := &record.Record{Body: &record.Record_ConfigChange{ConfigChange: change}}
	offset, err := p.writer.Append(ctx, infra.StreamConfig, r)
	if err != nil {
		return Outcome{}, &LogError{Doing: "publishing " + change.GetFile(), Err: err}
	}
	verdict, err := p.verdict(ctx, offset)
	if err != nil {
		return Outcome{}, &LogError{Doing: "waiting for the verdict on " + change.GetFile(), Err: err}
	}
	delete(p.refused, change.GetFile())
	outcome := Outcome{
		File: change.GetFile(), Removed: change.GetRemoved(), Offset: offset,
		Accepted: verdict.GetAccepted(), Reason: verdict.GetReason(), At: verdict.GetFile(), Line: verdict.GetLine(),
	}
	if !outcome.Accepted {
		p.refused[change.GetFile()] = identity(change)
		return outcome, nil
	}
	p.bases.move(change, offset)
	return outcome, p.bases.write(p.opts.Dir)
}

func (p *Publisher) verdict(ctx context.Context, offset infra.Offset) (*record.ConfigVerdict, error) {
	for {
		changed := p.follower.Changed()
		if v := p.verdicts.on(offset); v != nil {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// identity tells one proposal from another.
func identity(c *record.ConfigChange) []byte {
	kind := byte('w')
	if c.GetRemoved() {
		kind = 'r'
	}
	return append([]byte{kind}, c.GetContent()...)
}
