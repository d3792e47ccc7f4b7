package gateway

import (
	"cmp"
	"slices"
	"time"
)

// limitTTL is how long after the newest answer that showed it a service's refusal limit counts.
// Servers show it in all their answers. An answer without it ends nothing, since it may be older
// or of a server that has just started.
const limitTTL = 15 * time.Second

// Limit says how many refusals per second the servers of a service survive.
type Limit struct {
	Service   string
	PerSecond int
	Age       time.Duration // since an answer to any instance showed it
}

// Limits holds the refusal limits of services. It is not safe for concurrent use.
type Limits struct{ byService map[string]shownLimit }

type shownLimit struct {
	perSecond int
	shownAt   time.Time
}

// Observe records a limit that an answer to any instance showed at the given time. It reports
// whether the service had none, or another one.
func (l *Limits) Observe(now time.Time, service string, perSecond int, shownAt time.Time) (changed bool) {
	if perSecond <= 0 || now.Sub(shownAt) >= limitTTL {
		return false
	}
	known := l.byService[service]
	if !shownAt.After(known.shownAt) {
		return false
	}
	changed = l.Of(now, service) != perSecond
	if l.byService == nil {
		l.byService = map[string]shownLimit{}
	}
	l.byService[service] = shownLimit{perSecond, shownAt}
	return changed
}

// Of returns the service's limit, 0 if it has none.
func (l *Limits) Of(now time.Time, service string) int {
	known, ok := l.byService[service]
	if !ok || now.Sub(known.shownAt) >= limitTTL {
		return 0
	}
	return known.perSecond
}

// Get returns the service's limit with its age, or false if it has none.
func (l *Limits) Get(now time.Time, service string) (Limit, bool) {
	perSecond := l.Of(now, service)
	if perSecond == 0 {
		return Limit{}, false
	}
	return Limit{Service: service, PerSecond: perSecond, Age: max(now.Sub(l.byService[service].shownAt), 0)}, true
}

// List returns all limits by service, and forgets those that are too old.
func (l *Limits) List(now time.Time) []Limit {
	var out []Limit
	for service, known := range l.byService {
		age := now.Sub(known.shownAt)
		if age >= limitTTL {
			delete(l.byService, service)
			continue
		}
		out = append(out, Limit{Service: service, PerSecond: known.perSecond, Age: max(age, 0)})
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
