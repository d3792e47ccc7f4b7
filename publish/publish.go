// Package publish publishes a partner's folder of configuration files. A Publisher
// appends one record to the platform's log for each changed file and waits for
// the verdict on each change, which instances append to the log.
//
// Each change names its base, the version that it was edited from. The folder
// stores the bases of its files in BasesFile and updates a base only when a
// change from this folder is accepted. Concurrent edits in two copies of the
// folder therefore conflict: the second one is rejected instead of silently
// undoing the first.
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
	// DefaultTimeout bounds the wait for the log and for a verdict. The last
	// instance in line validates a change within half a minute.
	DefaultTimeout = time.Minute
	// DefaultInterval is the interval between scans of a watched folder.
	DefaultInterval = time.Second
	// appendsPerSecond bounds one operator's share of the log's append rate.
	appendsPerSecond = 5
)

// Options configures a Publisher. Log, Dir, Partner and Author are required.
type Options struct {
	Log     infra.Log
	Dir     string // the partner's folder
	Partner string
	Author  string // who makes the changes
	// Overwrite uses the version in force as the base of files whose base the
	// folder doesn't know. Operators set it after reviewing that version.
	Overwrite bool
	Timeout   time.Duration // 0: DefaultTimeout
	Interval  time.Duration // 0: DefaultInterval
	Logger    logrus.FieldLogger
}

// Outcome is the result of publishing one changed file.
type Outcome struct {
	File       string
	Removed    bool         // whether the change removes the file
	Offset     infra.Offset // log offset of the change
	Accepted   bool
	Reason     string // why the change was rejected
	ReasonFile string // file that Reason refers to; the changed file if accepted
	ReasonLine uint32 // line in ReasonFile; 0 if unknown
}

// Publisher publishes the changes in one folder. It is not safe for concurrent use.
type Publisher struct {
	opts            Options
	writer          *logsync.Writer
	follower        *logsync.Follower[replay.ConfigView]
	verdictRecorder *verdictRecorder
	bases           bases
	rejected        map[string][]byte // by file: identity of the last rejected change, which Watch doesn't send again
	watching        bool
	lastDetected    map[string][]byte // by file: identity of the change found by the previous scan
}

// fixedBudget limits appends to appendsPerSecond on each stream.
type fixedBudget struct{}

// Rate implements logsync.Budget.
func (fixedBudget) Rate(string) (float64, int) { return appendsPerSecond, appendsPerSecond }

// New returns a publisher with defaults for unset options.
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
	seen := newVerdictRecorder()
	return &Publisher{
		opts:            opts,
		verdictRecorder: seen,
		rejected:        map[string][]byte{},
		writer: logsync.NewWriter(logsync.WriterOptions{
			Log: opts.Log, Origin: "publish/" + uuid.NewString(), Budget: fixedBudget{}, Logger: opts.Logger,
		}),
		follower: logsync.NewFollower(logsync.FollowerOptions[replay.ConfigView]{
			Log:          opts.Log,
			Stream:       infra.StreamConfig,
			New:          func(infra.Offset) logsync.ViewMachine[replay.ConfigView] { return seen },
			ReadInterval: -1,
			Logger:       opts.Logger,
		}),
	}
}

// Once publishes the changed files of the folder and returns their outcomes.
func (p *Publisher) Once(ctx context.Context) ([]Outcome, error) {
	var outcomes []Outcome
	err := p.runWithLog(ctx, func(ctx context.Context) error {
		var err error
		outcomes, err = p.publishChanges(ctx)
		return err
	})
	return outcomes, err
}

// Watch scans the folder at each interval, publishes changed files and calls
// report with each outcome, until ctx ends. It continues after errors.
func (p *Publisher) Watch(ctx context.Context, report func(Outcome)) error {
	p.watching = true
	return p.runWithLog(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(p.opts.Interval)
		defer ticker.Stop()
		for {
			outcomes, err := p.publishChanges(ctx)
			for _, o := range outcomes {
				report(o)
			}
			if err != nil && ctx.Err() == nil {
				p.opts.Logger.WithField("error", err).Warn("publishing the folder failed")
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// runWithLog calls f while the log's writer and follower run.
func (p *Publisher) runWithLog(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return p.writer.Run(ctx) })
	group.Go(func() error { return p.follower.Run(ctx) })
	err := f(ctx)
	cancel()
	_ = group.Wait() // writer and follower return nil
	return err
}

// publishChanges scans the folder once and publishes its changes in the order of
// the files' names.
func (p *Publisher) publishChanges(ctx context.Context) ([]Outcome, error) {
	view, err := p.currentView(ctx)
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
	for _, change := range p.readyChanges(changes) {
		outcome, err := p.publishChange(ctx, change)
		if outcome.Offset > 0 {
			outcomes = append(outcomes, outcome)
		}
		if err != nil {
			return outcomes, err
		}
	}
	return outcomes, nil
}

// readyChanges omits changes that were already rejected. When watching, it also
// omits changes that the previous scan didn't find in the same form, because an
// editor may still be writing the file.
func (p *Publisher) readyChanges(changes []*record.ConfigChange) []*record.ConfigChange {
	before := p.lastDetected
	p.lastDetected = make(map[string][]byte, len(changes))
	var out []*record.ConfigChange
	for _, change := range changes {
		file, id := change.GetFile(), changeIdentity(change)
		p.lastDetected[file] = id
		rejected := bytes.Equal(p.rejected[file], id)
		settled := !p.watching || bytes.Equal(before[file], id)
		if settled && !rejected {
			out = append(out, change)
		}
	}
	return out
}

// currentView waits until the config stream has been read to its end and returns
// the configuration files in force.
func (p *Publisher) currentView(ctx context.Context) (*replay.ConfigView, error) {
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
			return nil, &LogError{Op: "reading the current configuration", Err: ctx.Err()}
		}
	}
}

// changes compares the folder with the files in force. If a file is the same in
// both, the version in force becomes its base. A file that has a base but is
// missing from the folder is removed. Files in force that the folder never had
// were published from elsewhere and are left alone.
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
		out = append(out, p.newChange(f.Name, f.Content, false, current))
	}
	for name := range p.bases {
		if current := inForce[name]; !here[name] && current != nil && !current.Removed {
			out = append(out, p.newChange(name, nil, true, current))
		}
	}
	slices.SortFunc(out, func(a, b *record.ConfigChange) int { return bytes.Compare([]byte(a.GetFile()), []byte(b.GetFile())) })
	return out
}

// newChange returns a change to one file; current is its version in force, or nil.
func (p *Publisher) newChange(name string, content []byte, removed bool, current *replay.File) *record.ConfigChange {
	base, known := p.bases[name]
	if current != nil && !known && (p.opts.Overwrite || current.Removed) {
		base = current.Offset
	}
	return &record.ConfigChange{
		File: name, Partner: p.opts.Partner, Author: p.opts.Author,
		Content: content, Removed: removed, Base: uint64(base),
	}
}

// publishChange appends one change to the log and waits for its verdict.
func (p *Publisher) publishChange(ctx context.Context, change *record.ConfigChange) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	r := &record.Record{Body: &record.Record_ConfigChange{ConfigChange: change}}
	offset, err := p.writer.Append(ctx, infra.StreamConfig, r)
	if err != nil {
		return Outcome{}, &LogError{Op: "publishing " + change.GetFile(), Err: err}
	}
	verdict, err := p.verdict(ctx, offset)
	if err != nil {
		return Outcome{}, &LogError{Op: "waiting for the verdict on " + change.GetFile(), Err: err}
	}
	delete(p.rejected, change.GetFile())
	outcome := Outcome{
		File: change.GetFile(), Removed: change.GetRemoved(), Offset: offset,
		Accepted: verdict.GetAccepted(), Reason: verdict.GetReason(), ReasonFile: verdict.GetFile(), ReasonLine: verdict.GetLine(),
	}
	if !outcome.Accepted {
		p.rejected[change.GetFile()] = changeIdentity(change)
		return outcome, nil
	}
	p.bases.update(change, offset)
	return outcome, p.bases.write(p.opts.Dir)
}

// verdict waits for the verdict on the change at an offset.
func (p *Publisher) verdict(ctx context.Context, offset infra.Offset) (*record.ConfigVerdict, error) {
	for {
		changed := p.follower.Changed()
		if v := p.verdictRecorder.verdictOn(offset); v != nil {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// changeIdentity returns a value that differs for any two different changes of a
// file.
func changeIdentity(c *record.ConfigChange) []byte {
	kind := byte('w')
	if c.GetRemoved() {
		kind = 'r'
	}
	return append([]byte{kind}, c.GetContent()...)
}
