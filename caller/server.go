package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/netconn"
	"greengageferry/record"
	"greengageferry/supervise"
)

// Server serves callers' requests on one entry instance. The handler answers
// requests while Run runs the server's duties, which are long-running goroutines.
type Server struct {
	opts     Options
	metrics  *metrics
	rng      *lockedRand
	keyrings keyrings

	table    atomic.Pointer[decide.Table]
	newTable chan struct{} // capacity 1: signals that table changed; only the newest table counts

	queue   chan event    // to the dispatcher; see tryEnqueue, enqueue and enqueueHint for a full queue
	stopped chan struct{} // closed when Run ends with its context
	stop    sync.Once

	answers       *answerCache
	results       *outbox[*record.ClaimResult] // see reportResult for a full queue
	crashes       *outbox[*record.Crash]       // see reportCrash for a full queue
	crashChecks   *outbox[crashCheck]          // see detectCrash for a full queue
	cancels       *outbox[cancelRequest]       // see cancelAttempt for a full queue
	serverTracker *serverTracker
	workTracker   *workTracker
	knownRequests atomic.Int64 // requests that the dispatcher tracks
}

// New returns a server. The server accepts requests once Run is running and
// SetTable was called.
func New(o Options) (*Server, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.Limits = o.Limits.withDefaults()
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Observer == nil {
		o.Observer = nopObserver{}
	}
	s := &Server{
		opts:          o,
		metrics:       newMetrics(o.Metrics),
		rng:           &lockedRand{rng: o.Rand},
		newTable:      make(chan struct{}, 1),
		queue:         make(chan event, o.Limits.DispatcherQueue),
		stopped:       make(chan struct{}),
		answers:       newAnswerCache(o.Limits.AnswerCacheBytes, o.Limits.BufferedAnswerBytes),
		serverTracker: newServerTracker(),
		workTracker:   newWorkTracker(),
	}
	s.results = &outbox[*record.ClaimResult]{
		queue: make(chan *record.ClaimResult, o.Limits.ResultQueue), maxConcurrent: maxConcurrentResults, send: s.sendResult, work: s.workTracker, onPanic: s.logOutboxPanic,
	}
	s.crashes = &outbox[*record.Crash]{
		queue: make(chan *record.Crash, o.Limits.ConcurrentRequests), maxConcurrent: maxConcurrentCrashReports, send: s.opts.Quarantine.ReportCrash, work: s.workTracker, onPanic: s.logOutboxPanic,
	}
	s.crashChecks = &outbox[crashCheck]{
		queue: make(chan crashCheck, o.Limits.ConcurrentRequests), maxConcurrent: maxConcurrentCrashReports, send: s.recheckCrash, work: s.workTracker, onPanic: s.logOutboxPanic,
	}
	s.cancels = &outbox[cancelRequest]{
		queue: make(chan cancelRequest, o.Limits.CancelQueue), maxConcurrent: maxConcurrentCancels, send: s.sendCancel, onPanic: s.logOutboxPanic,
	}
	return s, nil
}

func (s *Server) logOutboxPanic(v any) {
	s.metrics.count("outbox_panics")
	s.opts.Log.WithFields(logrus.Fields{"panic": v, "stack": string(debug.Stack())}).Error("outbox send panicked")
}

// Run runs the server's duties until ctx ends, and then returns nil. If a duty
// panics, Run returns a *supervise.PanicError and may be called again: a new
// scheduler starts, and requests that waited for the old one are refused. In a
// graceful shutdown, ctx is canceled only after Drain was called and Idle closed.
func (s *Server) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	duty := func(name string, run func(context.Context) error) {
		g.Go(func() error { return supervise.RunOnce(gctx, supervise.Duty{Name: name, Run: run}) })
	}
	duty("dispatcher", s.runDispatcher)
	duty("results", s.results.run)
	duty("crashes", s.crashes.run)
	duty("crash checks", s.crashChecks.run)
	duty("cancels", s.cancels.run)
	err := g.Wait()
	if ctx.Err() != nil {
		s.stop.Do(func() { close(s.stopped) })
		return nil
	}
	return err
}

// SetTable replaces the routing table. The table must not change afterwards.
func (s *Server) SetTable(t *decide.Table) {
	s.table.Store(t)
	select {
	case s.newTable <- struct{}{}:
	default: // a signal is pending; the dispatcher will load this table
	}
}

// ReportLoad passes a backend server's load report of the given age to the scheduler.
func (s *Server) ReportLoad(server string, load infra.Load, age time.Duration) {
	s.enqueueHint(loadReported{server, load, age})
}

// ApplyCacheEvents passes a backend server's cache events to the scheduler.
func (s *Server) ApplyCacheEvents(server string, events []infra.CacheEvent) {
	s.enqueueHint(cacheChanged{server, events})
}

// Drain refuses all new requests. Requests already admitted, including those
// that wait for a slot, run to completion or to their deadline: their callers
// consider them in flight.
func (s *Server) Drain() { s.workTracker.drain() }

// Idle returns a channel that is closed once Drain was called, no request is in
// flight, and no claim result or crash report is waiting to be sent.
func (s *Server) Idle() <-chan struct{} { return s.workTracker.idle }

// Handler returns the handler of the callers' HTTP interface.
func (s *Server) Handler() http.Handler { return netconn.ResetTruncated(http.HandlerFunc(s.serve)) }

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// Uint64 returns a random number.
func (r *lockedRand) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint64()
}

// newID returns a unique ID for a request or an attempt.
func newID() string { return uuid.NewString() }

// workTracker counts the requests in flight and the messages waiting to be sent,
// and signals when none are left after a drain.
type workTracker struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{}
}

func newWorkTracker() *workTracker { return &workTracker{idle: make(chan struct{})} }

// admission says whether a request was admitted.
type admission int

const (
	admitted        admission = iota
	tooManyRequests           // the limit is reached
	shuttingDown              // draining: no request is admitted
)

// admit counts a request unless the limit is reached or the tracker is draining.
func (t *workTracker) admit(limit int) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return shuttingDown
	}
	if t.n >= limit {
		return tooManyRequests
	}
	t.n++
	return admitted
}

// add counts work that must end before the tracker is idle.
func (t *workTracker) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

func (t *workTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	t.closeIfIdle()
}

func (t *workTracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.closeIfIdle()
}

func (t *workTracker) closeIfIdle() {
	if !t.draining || t.n > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}
