package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"greengageferry/infra"
)

// Defaults of engines. The speeds are those of a mid-sized model on one
// accelerator.
const (
	DefaultSlots          = 16
	DefaultMemoryMiB      = 80 << 10
	DefaultStepBase       = 10 * time.Millisecond
	DefaultStepPerRequest = 500 * time.Microsecond
	DefaultPrefillPerKiB  = 4 * time.Millisecond
	DefaultCachePrefixes  = 64
	DefaultUnloadTime     = 300 * time.Millisecond
	DefaultLoadLag        = 250 * time.Millisecond
	// DefaultPoison is the text that crashes an engine when a prompt has it.
	DefaultPoison = "<crash-server>"
	// waitingPerSlot bounds what an engine queues, in requests for each slot.
	waitingPerSlot = 4
)

// EngineOptions are an engine's settings. Zero values mean the defaults.
type EngineOptions struct {
	ID             string
	Partner        string // whose part of the store its loads go to
	MemoryMiB      int64
	Slots          int           // requests that it batches at most
	MaxWaiting     int           // requests that it queues at most
	StepBase       time.Duration // a batch's time for one token of each request
	StepPerRequest time.Duration // more of it for each request in the batch
	PrefillPerKiB  time.Duration // time to take in 1 KiB of a prompt that isn't cached
	CachePrefixes  int           // prompt prefixes that it keeps
	CacheLag       time.Duration // how late cache events show
	CacheGap       int           // each CacheGap-th cache event is never shown; 0: all are
	UnloadTime     time.Duration
	LoadLag        time.Duration // how old its load report is at most
	IgnoresFence   bool          // takes orders whatever their fencing number
	KeepsFence     bool          // remembers the highest fencing number over a restart
	RestartTime    time.Duration // how long it is down after a crash
	Poison         string        // a prompt with this text crashes it
	Store          Fetcher       // nil: weights are there at once
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.MemoryMiB, DefaultMemoryMiB)
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.MaxWaiting, waitingPerSlot*o.Slots)
	setDefault(&o.StepBase, DefaultStepBase)
	setDefault(&o.StepPerRequest, DefaultStepPerRequest)
	setDefault(&o.PrefillPerKiB, DefaultPrefillPerKiB)
	setDefault(&o.CachePrefixes, DefaultCachePrefixes)
	setDefault(&o.UnloadTime, DefaultUnloadTime)
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.Poison, DefaultPoison)
	return o
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Engine is a stand-in for a model engine on a backend server. Its operations
// are "engine.generate", "engine.cancel", "engine.order", "engine.status" and
// "engine.cache_events". It is up while Run runs.
type Engine struct {
	Faults Faults // of calls

	options EngineOptions
	mux     *http.ServeMux
	wake    chan struct{}  // holds one token; full means that a wake is pending
	loads   sync.WaitGroup // goroutines of loads and unloads
	breaks  func()         // breaks the connections of its server

	mu       sync.Mutex
	up       bool
	boots    int
	leaving  bool
	slow     float64
	fence    uint64
	pieces   PieceHook
	items    map[infra.Key]*residentItem
	attempts map[string]*attempt
	running  []*attempt
	waiting  []*attempt // highest priority first, then oldest first
	cache    prefixCache
	speed    speedometer
	truth    engineTruth
	boot     context.Context    // ends at a restart
	stopBoot context.CancelFunc // ends boot
	parent   context.Context    // Run's
}

var _ Standin = (*Engine)(nil)

// NewEngine returns an engine that holds nothing.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:  options,
		wake:     make(chan struct{}, 1),
		slow:     1,
		items:    map[infra.Key]*residentItem{},
		attempts: map[string]*attempt{},
		cache:    newPrefixCache(options),
	}
	e.truth.limit = maxTruth
	e.mux = e.routes()
	return e
}

// ID returns its id on the platform's list.
func (e *Engine) ID() string { return e.options.ID }

// Run implements Standin.
func (e *Engine) Run(ctx context.Context) error {
	e.start(ctx)
	defer e.loads.Wait()
	defer e.stop(0, "stopped")
	for {
		step, ok := e.beginStep()
		if !ok {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if sleep(ctx, step) != nil {
			return nil
		}
		e.endStep()
	}
}

func (e *Engine) start(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parent = ctx
	e.bootUp()
}

// bootUp makes it a new, empty process. The caller holds mu.
func (e *Engine) bootUp() {
	if e.parent == nil || e.parent.Err() != nil {
		return
	}
	e.up = true
	e.boots++
	e.boot, e.stopBoot = context.WithCancel(e.parent)
}

// stop ends the process: streams break, memory is free, and it comes up again
// after the given time unless that is 0.
func (e *Engine) stop(restart time.Duration, why string) {
	e.mu.Lock()
	if e.up {
		e.die(why)
	}
	e.mu.Unlock()
	if e.breaks != nil {
		e.breaks()
	}
	if restart > 0 {
		time.AfterFunc(restart, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.up {
				e.bootUp()
			}
		})
	}
}

// die drops all that a process holds. The caller holds mu.
func (e *Engine) die(why string) {
	e.up = false
	e.stopBoot()
	for _, a := range slices.Concat(e.running, e.waiting) {
		e.endAttempt(a, EndCrashed)
	}
	e.items = map[infra.Key]*residentItem{}
	e.cache = newPrefixCache(e.options)
	if !e.options.KeepsFence {
		e.fence = 0
	}
	e.truth.stopped(why)
}

// Restart kills the process, and starts it again empty after the given time.
func (e *Engine) Restart(after time.Duration) { e.stop(max(after, 1), "restarted") }

// Kill kills the process for good.
func (e *Engine) Kill() { e.stop(0, "killed") }

// SetLeaving has it say that it is leaving, and refuse new requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.truth.left(leaving)
}

// SetSlow makes each step take factor times as long.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetPieces replaces the hook that changes the pieces of streams; nil for none.
func (e *Engine) SetPieces(hook PieceHook) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces = hook
}

func (e *Engine) onBreak(f func()) { e.breaks = f }

// down returns the failure of a call while the process isn't there. The caller
// holds mu.
func (e *Engine) down(op string) error {
	if e.up {
		return nil
	}
	return refusal(op, e.options.ID, infra.ReasonUnreachable)
}

// status implements infra.Engine's Status for one server.
func (e *Engine) status(ctx context.Context) (infra.ServerStatus, error) {
	const op = "engine.status"
	var status infra.ServerStatus
	err := e.Faults.do(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.down(op); err != nil {
			return err
		}
		status = infra.ServerStatus{
			ID:        e.options.ID,
			Boot:      fmt.Sprintf("%s-%d", e.options.ID, e.boots),
			Leaving:   e.leaving,
			MemoryMiB: e.options.MemoryMiB,
			Fence:     e.fence,
			Items:     e.residents(),
			Load:      e.load(),
		}
		return nil
	})
	return status, err
}

// load returns its own report, which lags. The caller holds mu.
func (e *Engine) load() infra.Load {
	return e.speed.report(e.options.LoadLag, infra.Load{
		Running: len(e.running),
		Waiting: len(e.waiting),
		Slots:   e.options.Slots,
	})
}

// speedometer measures tokens a second between its reports.
type speedometer struct {
	last   infra.Load
	at     time.Time
	tokens int
}

func (s *speedometer) report(lag time.Duration, now infra.Load) infra.Load {
	age := time.Since(s.at)
	if age < lag {
		return s.last
	}
	if !s.at.IsZero() {
		now.TokensPerSecond = float64(s.tokens) / age.Seconds()
	}
	s.last, s.at, s.tokens = now, time.Now(), 0
	return now
}
