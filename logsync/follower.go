package logsync

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// Defaults of a Follower.
const (
	// DefaultPoll is how long a read waits for news: one read in that time is
	// all that an idle stream costs.
	DefaultPoll = 20 * time.Second
	// DefaultBatch is the most records of one read: a reader that is far
	// behind needs few reads, and one answer stays in memory.
	DefaultBatch = 512
	// DefaultSpacing is the mean time between two reads that bring records, at
	// the least: on a busy stream records come several at once. It adds to how
	// late a record is seen there.
	DefaultSpacing = 50 * time.Millisecond
	// spacingBurst is how many such reads may follow one another without it
	// after a quiet time: a newcomer, and a burst of changes on a quiet stream,
	// are not held up, and the mean stays.
	spacingBurst = 16
	// readSlack is how much longer than its wait a read may take before it is
	// given up.
	readSlack = 5 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed read. Jitter
	// keeps hundreds of readers from coming back at once.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// State is a replay machine that shows itself by views of type V, which are
// immutable or guard themselves.
type State[V any] interface {
	replay.Machine
	View() *V
}

// FollowerOptions configures a Follower. Log, Stream and New are required.
type FollowerOptions[V any] struct {
	Log    infra.Log
	Stream string
	// New returns an empty machine for a stream that is read from an offset on.
	New func(from infra.Offset) State[V]
	// Peers gives the state while the log can't. Nil: nobody does.
	Peers StateSource
	// FromOldest takes a stream that has no checkpoints from its oldest kept
	// record on, as if nothing had been before it.
	FromOldest bool
	Poll       time.Duration // 0: DefaultPoll
	Spacing    time.Duration // 0: DefaultSpacing; below 0: none
	Logger     logrus.FieldLogger
	Metrics    *expvar.Map
}

// Follower is a duty: it reads one stream into a machine. Its methods may be
// called from any goroutine.
type Follower[V any] struct {
	opts FollowerOptions[V]

	mu      sync.Mutex   // guards machine and what follows
	machine State[V]     // nil before a start was found
	skipped infra.Offset // up to here records aged out that don't count, with FromOldest
	status  Status
	changed chan struct{} // closed at the next change

	view atomic.Pointer[V]
}

// Status says how far a Follower is.
type Status struct {
	Started    bool         // there is a view
	FromPeer   bool         // the newest start came from a peer, and the log was not read since
	CaughtUp   bool         // the newest read reached the stream's end
	Offset     infra.Offset // last applied
	Next       infra.Offset // the offset that the next append gets, as of the newest read
	Read       time.Time    // when the newest read succeeded; zero: never
	Checkpoint infra.Offset // what the newest checkpoint read from the log covers
	Since      time.Time    // when that was read, or the follower started
	Unknown    uint64       // records that could not be decoded
}

// NewFollower returns a follower that has read nothing.
func NewFollower[V any](opts FollowerOptions[V]) *Follower[V] {
	if opts.Poll == 0 {
		opts.Poll = DefaultPoll
	}
	if opts.Spacing == 0 {
		opts.Spacing = DefaultSpacing
	}
	if opts.Logger == nil {
		opts.Logger = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = new(expvar.Map)
	}
	opts.Logger = opts.Logger.WithField("stream", opts.Stream)
	return &Follower[V]{opts: opts, changed: make(chan struct{})}
}

// View returns the newest view, or nil before there is one. It never goes back
// to an older offset.
func (f *Follower[V]) View() *V { return f.view.Load() }

// Stream returns the stream's name.
func (f *Follower[V]) Stream() string { return f.opts.Stream }

// Status returns how far the follower is.
func (f *Follower[V]) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Changed returns a channel that is closed at the next change of the view or
// of the status. Take it before looking at what may change.
func (f *Follower[V]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// WaitFor waits until the record at the offset was applied. It returns a
// *BehindError when ctx ends first.
func (f *Follower[V]) WaitFor(ctx context.Context, offset infra.Offset) error {
	for {
		changed := f.Changed()
		at := f.Status()
		if at.Started && at.Offset >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &BehindError{Stream: f.opts.Stream, Wanted: offset, Offset: at.Offset, Err: ctx.Err()}
		}
	}
}

// Checkpoint returns the whole state now, or nil before there is any.
func (f *Follower[V]) Checkpoint() *record.Checkpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.machine == nil {
		return nil
	}
	return f.machine.Checkpoint()
}

// Run reads until ctx ends. It returns nil.
func (f *Follower[V]) Run(ctx context.Context) error {
	f.begin()
	pause := minBackoff
	spacing := rate.NewLimiter(rate.Every(f.opts.Spacing), spacingBurst) // below 0: none
	for ctx.Err() == nil {
		records, err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			f.failed(ctx, err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxBackoff)
		default:
			pause = minBackoff
			if records > 0 || !f.Status().CaughtUp {
				_ = spacing.Wait(ctx) // fails only when ctx ends
			}
		}
	}
	return nil
}

func (f *Follower[V]) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.Since.IsZero() {
		f.status.Since = time.Now()
	}
}

// step makes one read from where the follower is and applies what comes.
func (f *Follower[V]) step(ctx context.Context) (records int, err error) {
	if !f.placed() {
		return 0, f.start(ctx)
	}
	at := f.Status()
	wait := f.opts.Poll
	if !at.CaughtUp {
		wait = 0 // to know the stream's end at once, also where nothing is new
	}
	batch, err := f.read(ctx, at.Offset+1, wait)
	if isOutOfRange(err) {
		return 0, f.bridge(ctx, batch)
	}
	if err != nil {
		return 0, err
	}
	return len(batch.Records), f.apply(batch)
}

// placed says whether the follower knows where to read on.
func (f *Follower[V]) placed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine != nil
}

func (f *Follower[V]) read(ctx context.Context, from infra.Offset, wait time.Duration) (infra.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	return f.opts.Log.Read(ctx, f.opts.Stream, from, DefaultBatch, wait)
}

// apply steps the machine through the batch and shows the new view.
func (f *Follower[V]) apply(batch infra.Batch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range batch.Records {
		at := f.position()
		if r.Offset <= at {
			continue
		}
		if r.Offset != at+1 {
			return &GapError{Stream: f.opts.Stream, Offset: at, Oldest: r.Offset}
		}
		f.applyOne(r)
	}
	f.status.Next = batch.Next
	f.status.Read = time.Now()
	f.status.FromPeer = false
	f.status.CaughtUp = f.position()+1 >= batch.Next
	f.show()
	return nil
}

// applyOne steps the machine with one record. One that can't be decoded still
// takes its place, so that the offset moves on.
func (f *Follower[V]) applyOne(r infra.Record) {
	decoded := &record.Record{}
	if err := proto.Unmarshal(r.Data, decoded); err != nil {
		f.status.Unknown++
		f.opts.Metrics.Add("undecoded_records", 1)
		f.opts.Logger.WithFields(logrus.Fields{"offset": r.Offset, "error": err}).Warn("record not understood")
		decoded = &record.Record{}
	}
	f.machine.Apply(r.Offset, decoded)
	if c := decoded.GetCheckpoint(); c != nil {
		f.status.Checkpoint = max(f.status.Checkpoint, infra.Offset(c.GetCovers()))
		f.status.Since = time.Now()
	}
}

// position returns the offset up to which everything was read or doesn't count.
func (f *Follower[V]) position() infra.Offset {
	return max(f.machine.Offset(), f.skipped)
}

// show publishes the machine's view and wakes those who wait. It is called
// with mu held.
func (f *Follower[V]) show() {
	f.status.Started = true
	f.status.Offset = f.position()
	f.view.Store(f.machine.View())
	close(f.changed)
	f.changed = make(chan struct{})
}

// failed notes a failed read. A peer that the log still answers, or did until
// later, may know more: one that doesn't says so in a few bytes.
func (f *Follower[V]) failed(ctx context.Context, err error) {
	f.opts.Metrics.Add("read_failures", 1)
	f.opts.Logger.WithField("error", err).Warn("log read failed")
	f.mu.Lock()
	f.status.CaughtUp = false
	f.mu.Unlock()
	if f.opts.Peers == nil {
		return
	}
	if err := f.fromPeers(ctx, f.Status().Offset+1); err != nil {
		f.opts.Logger.WithField("error", err).Debug("no newer state from peers")
	}
}

func isOutOfRange(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Reason == infra.ReasonOutOfRange
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
