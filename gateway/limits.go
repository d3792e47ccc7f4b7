package gateway

import (
	"cmp"
	"slices"
	"time"
)

const (
	// limitTTL is how long after the newest answer that showed it a service's refusal limit counts.
	// Servers show it in all their answers. An answer without it ends nothing, since it may be older
	// or of a server that has just started.
	limitTTL = 15 * time.Second
	// unlimitedTTL is how long after the newest answer without a limit the servers of a service
	// count as surviving any number of refusals.
	unlimitedTTL = 10 * time.Minute
	// AssumedLimit is the refusal limit of a service until an answer of it comes.
	AssumedLimit = 1
)

// Limit says how many refusals per second the servers of a service survive.
type Limit struct {
	Service   string
	PerSecond int
	Age       time.Duration // since an answer to any instance showed it
}

// Limits holds the refusal limits of services. It is not safe for concurrent use.
type Limits struct{ byService map[string]shownLimit }

// shownLimit is what the newest answer that counts showed.
type shownLimit struct {
	perSecond int // 0: no limit
	shownAt   time.Time
}

func (s shownLimit) counts(now time.Time) bool {
	if s.perSecond == 0 {
		return now.Sub(s.shownAt) < unlimitedTTL
	}
	return now.Sub(s.shownAt) < limitTTL
}

// Observe records the limit that an answer to any instance showed at the given time, 0 if it showed
// none. It reports whether the service has a new limit.
func (l *Limits) Observe(now time.Time, service string, perSecond int, shownAt time.Time) (changed bool) {
	shown := shownLimit{max(perSecond, 0), shownAt}
	known := l.byService[service]
	if !shown.counts(now) || shown.perSecond == 0 && known.perSecond > 0 && known.counts(now) {
		return false
	}
	if !shownAt.After(known.shownAt) && (known.perSecond > 0 || shown.perSecond == 0) {
		return false
	}
	before, _ := l.Of(now, service)
	if l.byService == nil {
		l.byService = map[string]shownLimit{}
	}
	l.byService[service] = shown
	return shown.perSecond > 0 && shown.perSecond != before
}

// Of returns the service's limit, 0 if it has none. known is false if no answer has shown either.
func (l *Limits) Of(now time.Time, service string) (perSecond int, known bool) {
	shown, ok := l.byService[service]
	if !ok || !shown.counts(now) {
		return 0, false
	}
	return shown.perSecond, true
}

// Get returns the service's limit with its age, or false if it has none.
func (l *Limits) Get(now time.Time, service string) (Limit, bool) {
	perSecond, _ := l.Of(now, service)
	if perSecond == 0 {
		return Limit{}, false
	}
	return Limit{Service: service, PerSecond: perSecond, Age: max(now.Sub(l.byService[service].shownAt), 0)}, true
}

// List returns all limits by service, and forgets what is too old.
func (l *Limits) List(now time.Time) []Limit {
	var out []Limit
	for service, known := range l.byService {
		switch {
		case !known.counts(now):
			delete(l.byService, service)
		case known.perSecond > 0:
			out = append(out, Limit{Service: service, PerSecond: known.perSecond, Age: max(now.Sub(known.shownAt), 0)})
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
