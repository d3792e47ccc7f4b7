// Package fleet holds what an entry instance knows about other instances and
// backend servers. A Watcher is a background task that polls the platform's
// instance list, which lags behind the instances' actual state, and publishes each
// snapshot as an immutable List. BuildTable computes the routing table from the
// list, the configuration and the views of the control streams.
package fleet

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/infra"
	"greengageferry/internal/rto"
	"greengageferry/supervise"
)

const (
	// DefaultListInterval is the time between two reads of the list. Together with
	// the time to rebuild the routing table, it ensures that a leaving server
	// gets no new work after the guaranteed 3 s.
	DefaultListInterval = time.Second
)

// listTimeout limits one read, so that a list that hangs counts as down, and one that is
// only slow is read.
var listTimeout = rto.Options{Initial: 2 * time.Second, Min: 2 * time.Second, Max: 10 * time.Second}

// List is a snapshot of the platform's instance list. It is immutable.
type List struct {
	ReadAt    time.Time        // the time of the read on this instance's clock
	Instances []infra.Instance // ordered by id
	byID      map[string]int   // index into Instances
}

// NewList returns a list of the instances, read at the given time.
func NewList(readAt time.Time, instances []infra.Instance) *List {
	sorted := append([]infra.Instance(nil), instances...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	l := &List{ReadAt: readAt, Instances: sorted, byID: make(map[string]int, len(sorted))}
	for i, inst := range sorted {
		l.byID[inst.ID] = i
	}
	return l
}

// Get returns the instance with the id. A nil list has none.
func (l *List) Get(id string) (infra.Instance, bool) {
	if l == nil {
		return infra.Instance{}, false
	}
	i, ok := l.byID[id]
	if !ok {
		return infra.Instance{}, false
	}
	return l.Instances[i], true
}

// Select returns the instances that match, ordered by id. A nil list has none.
func (l *List) Select(match func(infra.Instance) bool) []infra.Instance {
	if l == nil {
		return nil
	}
	var found []infra.Instance
	for _, inst := range l.Instances {
		if match(inst) {
			found = append(found, inst)
		}
	}
	return found
}

// Entries returns the live entry instances of a failure domain, or of all failure
// domains if domain is empty.
func (l *List) Entries(domain string) []infra.Instance {
	return l.Select(func(i infra.Instance) bool {
		return i.Role == infra.RoleEntry && i.State == infra.StateLive && (domain == "" || i.FailureDomain == domain)
	})
}

// Servers returns the backend servers that run model engines in a failure domain,
// including those that are leaving.
func (l *List) Servers(domain string) []infra.Instance {
	return l.Select(func(i infra.Instance) bool {
		return i.Role == infra.RoleEngine && i.FailureDomain == domain
	})
}

// Watcher polls the platform's instance list. While the list can't be read, the
// watcher keeps the last one, so that an outage of the list doesn't empty the
// routing table.
type Watcher struct {
	source   infra.Instances
	reads    *rto.Estimator
	interval time.Duration
	log      logrus.FieldLogger
	metrics  *expvar.Map
	current  atomic.Pointer[List]
}

// NewWatcher returns a watcher that reads the list from source once per interval;
// zero selects DefaultListInterval.
func NewWatcher(source infra.Instances, interval time.Duration, log logrus.FieldLogger, metrics *expvar.Map) *Watcher {
	if interval == 0 {
		interval = DefaultListInterval
	}
	return &Watcher{source: source, reads: rto.New(listTimeout), interval: interval, log: log, metrics: metrics}
}

// List returns the last list that was read, or nil if there is none yet. Lists
// with equal instances share the slice.
func (w *Watcher) List() *List { return w.current.Load() }

// Run polls the list until ctx ends. It returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	failing := false
	for {
		err := w.refresh(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			w.log.WithField("error", err).Warn("instance list can't be read, keeping the last one")
		}
		if err == nil && failing {
			w.log.Info("instance list can be read again")
		}
		failing = err != nil
		if !supervise.Pause(ctx, jittered(w.interval)) {
			return nil
		}
	}
}

// refresh reads the list once.
func (w *Watcher) refresh(ctx context.Context) error {
	var instances []infra.Instance
	err := w.reads.Call(ctx, func(ctx context.Context) (err error) {
		instances, err = w.source.List(ctx)
		return err
	})
	if err != nil {
		w.metrics.Add("list_errors", 1)
		return err
	}
	next := NewList(time.Now(), instances)
	last := w.current.Load()
	if last != nil && slices.Equal(last.Instances, next.Instances) {
		w.current.Store(&List{ReadAt: next.ReadAt, Instances: last.Instances, byID: last.byID})
		return nil
	}
	w.current.Store(next)
	w.logChange(last, next)
	return nil
}

// logChange counts a change of the list and logs the number of instances.
func (w *Watcher) logChange(last, next *List) {
	w.metrics.Add("list_changes", 1)
	before := 0
	if last != nil {
		before = len(last.Instances)
	}
	w.log.WithFields(logrus.Fields{"instances": len(next.Instances), "before": before}).Info("instance list changed")
}

// jittered returns d shortened by a random tenth at most, so that instances that
// start together don't read the list at the same time.
func jittered(d time.Duration) time.Duration {
	return d - rand.N(d/10+1)
}
