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

// Defaults and limits of a Follower.
const (
	// DefaultPollTimeout is how long a read waits for new records. An idle stream
	// costs one read in that time.
	DefaultPollTimeout = 20 * time.Second
	// MaxReadRecords is the maximum number of records per read. A follower that
	// is far behind needs few reads, and each answer fits in memory.
	MaxReadRecords = 512
	// DefaultReadInterval is the minimum mean time between two reads that return
	// records, so that reads of a busy stream return several records each. The
	// interval adds to the latency of records on a busy stream.
	DefaultReadInterval = 50 * time.Millisecond
	// readBurst is the number of such reads that may follow one another without
	// a pause after an idle period. A new follower, and a burst of changes on an
	// idle stream, are not delayed, and the mean interval still holds.
	readBurst = 16
	// readTimeoutMargin is added to the poll timeout of a read to get the timeout
	// of the call. It also limits a request for the state of the peers.
	readTimeoutMargin = 5 * time.Second
	// minBackoff and maxBackoff limit the pause after a failed read or append.
	// Jitter keeps hundreds of instances from retrying at the same time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// ViewMachine is a state machine that provides its state as views of type V.
// Views are immutable or safe for concurrent use.
type ViewMachine[V any] interface {
	replay.Machine
	View() *V
}

// FollowerOptions configures a Follower. Log, Stream and New are required.
type FollowerOptions[V any] struct {
	Log    infra.Log
	Stream string
	// New returns an empty state machine for a stream whose first record to be
	// applied has the offset from.
	New func(from infra.Offset) ViewMachine[V]
	// Peers provides the state when the log can't; nil: no peers are asked.
	Peers StateSource
	// FromOldest starts a stream without checkpoints at the oldest record that
	// the log still has, and ignores the records before it.
	FromOldest   bool
	PollTimeout  time.Duration // 0: DefaultPollTimeout
	ReadInterval time.Duration // 0: DefaultReadInterval; below 0: no pause
	Logger       logrus.FieldLogger
	Metrics      *expvar.Map
}

// Follower is a background task that reads one stream and applies its records to
// a state machine. Its methods are safe for concurrent use.
type Follower[V any] struct {
	opts FollowerOptions[V]

	mu             sync.Mutex     // guards machine, skippedThrough, status and changed
	machine        ViewMachine[V] // nil until the follower knows where to start
	skippedThrough infra.Offset   // with FromOldest: records up to this offset have aged out and are ignored
	status         Status
	changed        chan struct{} // closed when a view is published, then replaced

	view atomic.Pointer[V]
}

// Status describes the progress of a Follower.
type Status struct {
	Started          bool         // a view exists
	FromPeer         bool         // the state comes from a peer, and the log has not been read since
	CaughtUp         bool         // the newest read reached the end of the stream
	Offset           infra.Offset // the last applied offset
	Next             infra.Offset // the offset of the next append, as of the newest read
	LastRead         time.Time    // the time of the newest successful read; zero: none
	Checkpoint       infra.Offset // the offset covered by the newest checkpoint read from the log
	CheckpointReadAt time.Time    // when that checkpoint was read, or when the follower started
	Undecoded        uint64       // number of records that could not be decoded
}

// NewFollower returns a follower that has read nothing.
func NewFollower[V any](opts FollowerOptions[V]) *Follower[V] {
	if opts.PollTimeout == 0 {
		opts.PollTimeout = DefaultPollTimeout
	}
	if opts.ReadInterval == 0 {
		opts.ReadInterval = DefaultReadInterval
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

// View returns the newest view, or nil if there is none yet. Later calls never
// return a view at an older offset.
func (f *Follower[V]) View() *V { return f.view.Load() }

// Stream returns the name of the stream.
func (f *Follower[V]) Stream() string { return f.opts.Stream }

// Status returns the progress of the follower.
func (f *Follower[V]) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Changed returns a channel that is closed when a view is next published: after
// each successful read, and after a restore. To miss no view, call Changed before
// View or Status.
func (f *Follower[V]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// WaitFor waits until the record at the offset has been applied. It returns a
// *BehindError if ctx ends first.
func (f *Follower[V]) WaitFor(ctx context.Context, offset infra.Offset) error {
	for {
		changed := f.Changed()
		status := f.Status()
		if status.Started && status.Offset >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &BehindError{Stream: f.opts.Stream, Wanted: offset, Offset: status.Offset, Err: ctx.Err()}
		}
	}
}

// Checkpoint returns the whole current state, or nil if there is none yet.
func (f *Follower[V]) Checkpoint() *record.Checkpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.machine == nil {
		return nil
	}
	return f.machine.Checkpoint()
}

// Run follows the stream until ctx ends. It returns nil.
func (f *Follower[V]) Run(ctx context.Context) error {
	f.initCheckpointTime()
	pause := minBackoff
	limiter := rate.NewLimiter(rate.Every(f.opts.ReadInterval), readBurst) // below 0: no limit
	for ctx.Err() == nil {
		records, err := f.readOnce(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			f.handleReadError(ctx, err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxBackoff)
		default:
			pause = minBackoff
			if records > 0 || !f.Status().CaughtUp {
				_ = limiter.Wait(ctx) // fails only when ctx ends
			}
		}
	}
	return nil
}

// initCheckpointTime sets CheckpointReadAt to the time of the first start.
func (f *Follower[V]) initCheckpointTime() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.CheckpointReadAt.IsZero() {
		f.status.CheckpointReadAt = time.Now()
	}
}

// readOnce starts the follower or makes one read, and applies the records. It
// returns the number of records read after the start.
func (f *Follower[V]) readOnce(ctx context.Context) (records int, err error) {
	if !f.hasMachine() {
		return 0, f.start(ctx)
	}
	status := f.Status()
	wait := f.opts.PollTimeout
	if !status.CaughtUp {
		wait = 0 // learn the end of the stream at once, even without new records
	}
	batch, err := f.read(ctx, status.Offset+1, wait)
	if isOutOfRange(err) {
		return 0, f.restoreAgedOut(ctx, batch)
	}
	if err != nil {
		return 0, err
	}
	return len(batch.Records), f.apply(batch)
}

// hasMachine reports whether the follower has started and so has a state machine.
func (f *Follower[V]) hasMachine() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine != nil
}

// read reads records from the offset from on, and waits up to wait for the first.
func (f *Follower[V]) read(ctx context.Context, from infra.Offset, wait time.Duration) (infra.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	return f.opts.Log.Read(ctx, f.opts.Stream, from, MaxReadRecords, wait)
}

// apply applies the batch to the state machine and publishes the new view.
func (f *Follower[V]) apply(batch infra.Batch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range batch.Records {
		applied := f.position()
		if r.Offset <= applied {
			continue
		}
		if r.Offset != applied+1 {
			return &GapError{Stream: f.opts.Stream, Offset: applied, NextOffset: r.Offset}
		}
		f.applyRecord(r)
	}
	f.status.Next = batch.Next
	f.status.LastRead = time.Now()
	f.status.FromPeer = false
	f.status.CaughtUp = f.position()+1 >= batch.Next
	f.publishView()
	return nil
}

// applyRecord applies one record to the state machine. A record that can't be
// decoded is applied as an empty one, so that the offset advances.
func (f *Follower[V]) applyRecord(r infra.Record) {
	decoded := &record.Record{}
	if err := proto.Unmarshal(r.Data, decoded); err != nil {
		f.status.Undecoded++
		f.opts.Metrics.Add("undecoded_records", 1)
		f.opts.Logger.WithFields(logrus.Fields{"offset": r.Offset, "error": err}).Warn("record not understood")
		decoded = &record.Record{}
	}
	f.machine.Apply(r.Offset, decoded)
	if c := decoded.GetCheckpoint(); c != nil {
		f.status.Checkpoint = max(f.status.Checkpoint, infra.Offset(c.GetCovers()))
		f.status.CheckpointReadAt = time.Now()
	}
}

// position returns the offset up to which all records are applied or ignored.
func (f *Follower[V]) position() infra.Offset {
	return max(f.machine.Offset(), f.skippedThrough)
}

// publishView publishes the state machine's view and closes the channel that
// Changed returned. The caller holds mu.
func (f *Follower[V]) publishView() {
	f.status.Started = true
	f.status.Offset = f.position()
	f.view.Store(f.machine.View())
	close(f.changed)
	f.changed = make(chan struct{})
}

// handleReadError records a failed read and asks the peers for a newer state. A
// peer may still reach the log, or may have lost it later than this instance. An
// answer without a newer state takes only a few bytes.
func (f *Follower[V]) handleReadError(ctx context.Context, err error) {
	f.opts.Metrics.Add("read_failures", 1)
	f.opts.Logger.WithField("error", err).Warn("log read failed")
	f.mu.Lock()
	f.status.CaughtUp = false
	f.mu.Unlock()
	if f.opts.Peers == nil {
		return
	}
	if err := f.restoreFromPeers(ctx, f.Status().Offset+1); err != nil {
		f.opts.Logger.WithField("error", err).Debug("no newer state available from peers")
	}
}

// isOutOfRange reports whether a read failed because its records have aged out.
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
