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
	"greengageferry/record"
	"greengageferry/supervise"
)

// Server is the callers' side of one entry instance. Its handler serves while
// Run runs its duties.
type Server struct {
	opts     Options
	metrics  *metrics
	rng      *lockedRand
	keyrings keyrings

	table    atomic.Pointer[decide.Table]
	newTable chan struct{} // one place: only the newest table counts

	ring    chan event // to the dispatcher; what happens when it is full: offer, tell, hint
	stopped chan struct{}
	stop    sync.Once

	answers *kept
	results *outbox[*record.ClaimResult] // full: see report
	crashes *outbox[*record.Crash]       // full: see reportCrash
	cancels *outbox[cancelOrder]         // full: see cancelAttempt
	flights *flights
	inHand  *inHand
	known   atomic.Int64 // requests that the dispatcher knows
}

// New returns a server. It serves once Run runs and SetTable was called.
func New(o Options) (*Server, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.Limits = o.Limits.withDefaults()
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	s := &Server{
		opts:     o,
		metrics:  newMetrics(o.Metrics),
		rng:      &lockedRand{rng: o.Rand},
		newTable: make(chan struct{}, 1),
		ring:     make(chan event, o.Limits.Ring),
		stopped:  make(chan struct{}),
		answers:  newKept(o.Limits.KeptBytes, o.Limits.AnswerBytes),
		flights:  newFlights(),
		inHand:   newInHand(),
	}
	s.results = &outbox[*record.ClaimResult]{
		ring: make(chan *record.ClaimResult, o.Limits.Results), atOnce: resultsAtOnce, send: s.sendResult, books: s.inHand, failed: s.outboxPanicked,
	}
	s.crashes = &outbox[*record.Crash]{
		ring: make(chan *record.Crash, o.Limits.Requests), atOnce: crashesAtOnce, send: s.opts.Quarantine.Crashed, books: s.inHand, failed: s.outboxPanicked,
	}
	s.cancels = &outbox[cancelOrder]{
		ring: make(chan cancelOrder, o.Limits.CancelsWaiting), atOnce: cancelsAtOnce, send: s.sendCancel, failed: s.outboxPanicked,
	}
	return s, nil
}

func (s *Server) outboxPanicked(v any) {
	s.metrics.count("outbox_panics")
	s.opts.Log.WithFields(logrus.Fields{"panic": v, "stack": string(debug.Stack())}).Error("message panicked")
}

// Run runs the duties until ctx ends, and returns nil then. If a duty panics
// it returns a *supervise.PanicError and may be called again: the scheduler starts
// anew, and requests that waited for it are refused. It is called after Drain
// and Idle in a graceful shutdown.
func (s *Server) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	duty := func(name string, run func(context.Context) error) {
		g.Go(func() error { return supervise.RunOnce(gctx, supervise.Duty{Name: name, Run: run}) })
	}
	duty("dispatcher", s.dispatch)
	duty("results", s.results.run)
	duty("crashes", s.crashes.run)
	duty("cancels", s.cancels.run)
	err := g.Wait()
	if ctx.Err() != nil {
		s.stop.Do(func() { close(s.stopped) })
		return nil
	}
	return err
}

// SetTable replaces what is known of the fleet. The table must not change afterwards.
func (s *Server) SetTable(t *decide.Table) {
	s.table.Store(t)
	select {
	case s.newTable <- struct{}{}:
	default: // the dispatcher has yet to take the last one, and will find this
	}
}

// Reported tells of a backend server's load report, as old as age.
func (s *Server) Reported(server string, load infra.Load, age time.Duration) {
	s.hint(reported{server, load, age})
}

// Cached tells of a backend server's cache events.
func (s *Server) Cached(server string, events []infra.CacheEvent) {
	s.hint(cached{server, events})
}

// Drain refuses whatever arrives from now on. What was taken in, waiting for a
// slot included, ends by itself or by its own deadline: to its caller it is in
// flight.
func (s *Server) Drain() { s.inHand.drain() }

// Idle is closed once the server is drained, no request is in hand and no
// claim's result or server's death waits to be told.
func (s *Server) Idle() <-chan struct{} { return s.inHand.idle }

// Handler serves the callers' interface.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// lockedRand is a random source that many goroutines draw from.
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

// newID returns an id that no other request or attempt has.
func newID() string { return uuid.NewString() }

// inHand counts the requests in hand.
type inHand struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{}
}

func newInHand() *inHand { return &inHand{idle: make(chan struct{})} }

// admission is whether a request was taken in hand.
type admission int

const (
	entered      admission = iota
	tooMany                // there are most already
	shuttingDown           // drained: nothing is taken in any more
)

// enter takes a request in hand, unless there are most already.
func (h *inHand) enter(most int) admission {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return shuttingDown
	}
	if h.n >= most {
		return tooMany
	}
	h.n++
	return entered
}

// hold counts something that must end before the server is idle.
func (h *inHand) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n++
}

func (h *inHand) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n--
	h.check()
}

func (h *inHand) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.check()
}

func (h *inHand) check() {
	if !h.draining || h.n > 0 {
		return
	}
	select {
	case <-h.idle:
	default:
		close(h.idle)
	}
}
