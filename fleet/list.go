// Package fleet is what an entry instance knows of the instances around it: the
// platform's lagging list, followed by one duty, and the routing table that
// follows from the list, the configuration and the control streams.
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
	"greengageferry/supervise"
)

const (
	// DefaultEvery is the time between two looks at the list: together with a
	// table's rebuilding it keeps a leaving server's last new work within the
	// 3 s that are promised.
	DefaultListInterval = time.Second
	// callTimeout bounds one look, so that a stuck list is seen as down.
	listTimeout = 2 * time.Second
)

// List is the platform's list as last read. It is immutable.
type List struct {
	ReadAt    time.Time // when it was read, on this instance's clock
	Instances []infra.Instance
	byID      map[string]int
}

// NewList sorts the instances by id and indexes them.
func NewList(read time.Time, instances []infra.Instance) *List {
	sorted := append([]infra.Instance(nil), instances...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	l := &List{ReadAt: read, Instances: sorted, byID: make(map[string]int, len(sorted))}
	for i, inst := range sorted {
		l.byID[inst.ID] = i
	}
	return l
}

// Get returns the instance of that id.
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

// Entries returns the live entry instances of a failure domain, or of all where
// domain is empty.
func (l *List) Entries(domain string) []infra.Instance {
	return l.Select(func(i infra.Instance) bool {
		return i.Role == infra.RoleEntry && i.State == infra.StateLive && (domain == "" || i.FailureDomain == domain)
	})
}

// Servers returns the backend servers that run model engines in a failure
// domain, leaving ones too.
func (l *List) Servers(domain string) []infra.Instance {
	return l.Select(func(i infra.Instance) bool {
		return i.Role == infra.RoleEngine && i.FailureDomain == domain
	})
}

// Watcher follows the platform's list. While the list can't be read it keeps
// the last one: an outage of the list must not empty the routing.
type Watcher struct {
	source   infra.Instances
	interval time.Duration
	log      logrus.FieldLogger
	metrics  *expvar.Map
	current  atomic.Pointer[List]
}

// NewWatcher returns a watcher that looks at the source each time `every` has
// passed; zero takes DefaultEvery.
func NewWatcher(source infra.Instances, interval time.Duration, log logrus.FieldLogger, metrics *expvar.Map) *Watcher {
	if interval == 0 {
		interval = DefaultListInterval
	}
	return &Watcher{source: source, interval: interval, log: log, metrics: metrics}
}

// List returns the list as last read, or nil before the first. While nothing
// changes, the lists share their instances.
func (w *Watcher) List() *List { return w.current.Load() }

// Run looks at the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	failing := false
	for {
		err := w.refresh(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			w.log.WithField("error", err).Warn("instance list out of reach, keeping the last one")
		}
		if err == nil && failing {
			w.log.Info("instance list read again")
		}
		failing = err != nil
		if !supervise.Pause(ctx, jittered(w.interval)) {
			return nil
		}
	}
}

// look reads the list once.
func (w *Watcher) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := w.source.List(ctx)
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

// note logs what has changed.
func (w *Watcher) logChange(last, next *List) {
	w.metrics.Add("list_changes", 1)
	before := 0
	if last != nil {
		before = len(last.Instances)
	}
	w.log.WithFields(logrus.Fields{"instances": len(next.Instances), "before": before}).Info("instance list changed")
}

// jittered spreads looks by up to a tenth, so that instances started together
// don't ask together.
func jittered(d time.Duration) time.Duration {
	return d - rand.N(d/10+1)
}
