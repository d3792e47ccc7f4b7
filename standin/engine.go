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

// Defaults of EngineOptions. The speeds are those of a mid-sized model on one
// accelerator.
const (
	DefaultSlots            = 16
	DefaultMemoryMiB        = 80 << 10
	DefaultStepBase         = 10 * time.Millisecond
	DefaultStepPerRequest   = 500 * time.Microsecond
	DefaultPrefillPerKiB    = 4 * time.Millisecond
	DefaultCachePrefixes    = 64
	DefaultUnloadTime       = 300 * time.Millisecond
	DefaultLoadReportMaxAge = 250 * time.Millisecond
	// DefaultPoison is the text that crashes an engine when a prompt contains it.
	DefaultPoison = "<crash-server>"
	// waitingPerSlot is the default of MaxWaiting, in queued requests per slot.
	waitingPerSlot = 4
)

// EngineOptions configures an Engine. Zero values mean the defaults.
type EngineOptions struct {
	ID               string
	Partner          string // the partner whose store limits apply to its loads
	MemoryMiB        int64
	Slots            int           // maximum number of requests in the batch
	MaxWaiting       int           // maximum number of queued requests
	StepBase         time.Duration // time of a batch step, which generates one token for each request
	StepPerRequest   time.Duration // added to StepBase for each request in the batch
	PrefillPerKiB    time.Duration // time to process 1 KiB of a prompt that is not cached
	CachePrefixes    int           // maximum number of cached prompt prefixes
	CacheLag         time.Duration // delay until a cache event becomes visible
	CacheGap         int           // every CacheGap-th cache event is lost; 0: none is
	UnloadTime       time.Duration
	LoadReportMaxAge time.Duration // maximum age of its load report
	IgnoresFence     bool          // accepts orders with any fencing number
	KeepsFence       bool          // keeps the highest fencing number across restarts
	RestartTime      time.Duration // downtime after a crash
	Poison           string        // a prompt that contains this text crashes the engine
	Store            Fetcher       // nil: weights are available at once
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
	setDefault(&o.LoadReportMaxAge, DefaultLoadReportMaxAge)
	setDefault(&o.Poison, DefaultPoison)
	return o
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Engine is a fake model engine on a backend server. It simulates batching, memory,
// a prefix cache and crashes of its process. The process is up only while Run runs.
// The operations for Faults are "engine.generate", "engine.cancel", "engine.order",
// "engine.status" and "engine.cache_events".
type Engine struct {
	Faults Faults // faults of calls

	options          EngineOptions
	mux              *http.ServeMux
	wake             chan struct{}  // capacity 1; full: a wake-up is pending
	loadTasks        sync.WaitGroup // goroutines of loads
	closeConnections func()         // closes the connections of its server; nil: not served

	mu            sync.Mutex
	up            bool
	bootCount     int
	leaving       bool
	slowdown      float64
	fence         uint64
	eventFaults   EventFaultHook
	items         map[infra.Key]*residentItem
	attempts      map[string]*attempt
	running       []*attempt
	waiting       []*attempt // highest priority first, then oldest first
	cache         prefixCache
	throughput    throughputMeter
	truth         engineTruth
	processCtx    context.Context    // canceled when the process ends
	cancelProcess context.CancelFunc // cancels processCtx
	runCtx        context.Context    // the context of Run
}

var _ Fake = (*Engine)(nil)

// NewEngine returns an engine with no items loaded.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:  options,
		wake:     make(chan struct{}, 1),
		slowdown: 1,
		items:    map[infra.Key]*residentItem{},
		attempts: map[string]*attempt{},
		cache:    newPrefixCache(options),
	}
	e.truth.limit = maxTruthEntries
	e.mux = e.routes()
	return e
}

// ID returns the engine's id on the platform's list of instances.
func (e *Engine) ID() string { return e.options.ID }

// Run implements Fake. It runs the process and its batch loop. Each iteration is one
// batch step.
func (e *Engine) Run(ctx context.Context) error {
	e.start(ctx)
	defer e.loadTasks.Wait()
	defer e.stopProcess(0, "stopped")
	var steps stepClock
	for {
		step, ok := e.beginStep()
		if !ok {
			steps.stop()
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if sleep(ctx, steps.untilEnd(time.Now(), step)) != nil {
			return nil
		}
		e.endStep()
	}
}

func (e *Engine) start(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runCtx = ctx
	e.startProcess()
}

// startProcess starts a new process with empty memory unless Run has ended. The
// caller holds mu.
func (e *Engine) startProcess() {
	if e.runCtx == nil || e.runCtx.Err() != nil {
		return
	}
	e.up = true
	e.bootCount++
	e.processCtx, e.cancelProcess = context.WithCancel(e.runCtx)
}

// stopProcess ends the process: it breaks the streams and frees the memory. A new
// process starts after the restart time; 0 means never. The reason goes into
// EngineTruth.StopReasons.
func (e *Engine) stopProcess(restart time.Duration, reason string) {
	e.mu.Lock()
	if e.up {
		e.endProcess(reason)
	}
	e.mu.Unlock()
	if e.closeConnections != nil {
		e.closeConnections()
	}
	if restart > 0 {
		time.AfterFunc(restart, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.up {
				e.startProcess()
			}
		})
	}
}

// endProcess discards the state of the process. The caller holds mu.
func (e *Engine) endProcess(reason string) {
	e.up = false
	e.cancelProcess()
	for _, a := range slices.Concat(e.running, e.waiting) {
		e.endAttempt(a, EndCrashed)
	}
	e.items = map[infra.Key]*residentItem{}
	e.cache = newPrefixCache(e.options)
	if !e.options.KeepsFence {
		e.fence = 0
	}
	e.truth.addStop(reason)
}

// Restart kills the process and starts an empty one after the given time.
func (e *Engine) Restart(after time.Duration) { e.stopProcess(max(after, 1), "restarted") }

// Kill kills the process and starts no new one.
func (e *Engine) Kill() { e.stopProcess(0, "killed") }

// SetLeaving sets whether the engine reports that it is leaving and refuses new
// requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.truth.setLeaving(leaving)
}

// SetSlowdown makes each batch step take factor times as long.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetEventFaults replaces the hook that injects faults into the events of streams.
// A nil hook ends them.
func (e *Engine) SetEventFaults(hook EventFaultHook) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventFaults = hook
}

func (e *Engine) setCloseConnections(f func()) { e.closeConnections = f }

// checkUp returns an error with ReasonUnreachable if the process is down, else
// nil. The caller holds mu.
func (e *Engine) checkUp(op string) error {
	if e.up {
		return nil
	}
	return refusalError(op, e.options.ID, infra.ReasonUnreachable)
}

// status implements infra.Engine's Status for one server.
func (e *Engine) status(ctx context.Context) (infra.ServerStatus, error) {
	const op = "engine.status"
	var status infra.ServerStatus
	err := e.Faults.inject(ctx, op, e.options.ID, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := e.checkUp(op); err != nil {
			return err
		}
		status = infra.ServerStatus{
			ID:        e.options.ID,
			Boot:      fmt.Sprintf("%s-%d", e.options.ID, e.bootCount),
			Leaving:   e.leaving,
			MemoryMiB: e.options.MemoryMiB,
			Fence:     e.fence,
			Items:     e.residentItems(),
			Load:      e.loadReport(),
		}
		return nil
	})
	return status, err
}

// loadReport returns the engine's load report, which may be as old as
// LoadReportMaxAge. The caller holds mu.
func (e *Engine) loadReport() infra.Load {
	return e.throughput.report(e.options.LoadReportMaxAge, infra.Load{
		Running: len(e.running),
		Waiting: len(e.waiting),
		Slots:   e.options.Slots,
	})
}

// throughputMeter keeps the last load report and measures tokens per second
// between reports.
type throughputMeter struct {
	last   infra.Load
	at     time.Time
	tokens int
}

// report returns the last report if it is younger than maxAge. Otherwise it returns
// now with the throughput since the last report, and keeps that.
func (s *throughputMeter) report(maxAge time.Duration, now infra.Load) infra.Load {
	age := time.Since(s.at)
	if age < maxAge {
		return s.last
	}
	if !s.at.IsZero() {
		now.TokensPerSecond = float64(s.tokens) / age.Seconds()
	}
	s.last, s.at, s.tokens = now, time.Now(), 0
	return now
}
