package quarantine

import (
	"slices"
	"time"
)

// MaxCrashes is the maximum number of crashes that Add remembers for one request: more than
// any Rule asks for.
const MaxCrashes = 8

// Expiry is how long a server's crash counts against the request that caused it. Callers
// resend within minutes, and the servers' software may have changed by the next day.
const Expiry = 6 * time.Hour

// Crash is the crash of a backend server while it ran a request.
type Crash struct {
	Server   string
	Boot     string    // id of the server process that crashed, or of the report if that isn't known; may be empty
	Together uint32    // requests that the reporting instance had in flight on the server
	At       time.Time // by the reader's clock, or by the reporting instance's where a log keeps it
	// Opened is when the connection was opened that broke, so the crashed process had started
	// by then. Zero: not known.
	Opened time.Time
	// Confirmed is set if the server's address refused connections after the crash. Otherwise
	// all connections to it had broken, which a reset on their way may do as well.
	Confirmed bool
	// Repeat is set if the run began when the request was already suspected of another crash.
	Repeat bool
	// Void is set once the crash doesn't speak against the request any more: the server was
	// seen alive, or another one completed the request.
	Void bool
}

// began returns the latest time at which the crashed process can have started.
func (c Crash) began() time.Time {
	if c.Opened.IsZero() {
		return c.At
	}
	return c.Opened
}

// sameCrash reports whether both are the same report, or name the same process.
func (c Crash) sameCrash(o Crash) bool { return c.Server == o.Server && c.Boot == o.Boot }

// sameStart reports whether both crashes ended the same start of a server.
func sameStart(c, o Crash) bool {
	return c.sameCrash(o) || c.Server == o.Server && countStarts([]Crash{c, o}) == 1
}

// Rule says which crashes quarantine a request. One crash is never enough, since a server's
// end for another reason must not condemn the requests that it ran.
type Rule struct {
	Crashes          int  // at least
	DifferentServers bool // and so many different servers, instead of starts of any server
	Repeat           bool // and one of the runs was a Crash.Repeat
}

// Quarantines reports whether the crashes at or after since quarantine their request.
func (r Rule) Quarantines(crashes []Crash, since time.Time) bool {
	standing := standing(crashes, since)
	repeated := slices.ContainsFunc(standing, func(c Crash) bool { return c.Repeat })
	n := countStarts(standing)
	if r.DifferentServers {
		n = len(Servers(standing, since))
	}
	return n >= r.Crashes && (repeated || !r.Repeat)
}

// Count returns how many starts of servers crashed under their request, at or after since, as
// far as that speaks against it.
func Count(crashes []Crash, since time.Time) int { return countStarts(standing(crashes, since)) }

// Stands reports whether any crash counts against its request, at or after since.
func Stands(crashes []Crash, since time.Time) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return !c.Void && !c.At.Before(since) })
}

// standing returns the crashes that count against their request, at or after since.
func standing(crashes []Crash, since time.Time) []Crash {
	var out []Crash
	for _, c := range crashes {
		if !c.Void && !c.At.Before(since) {
			out = append(out, c)
		}
	}
	return out
}

// Servers returns the ids of the servers that crashed under their request, at or after since,
// as far as that speaks against it.
func Servers(crashes []Crash, since time.Time) []string {
	var servers []string
	for _, c := range standing(crashes, since) {
		if !slices.Contains(servers, c.Server) {
			servers = append(servers, c.Server)
		}
	}
	return servers
}

// countStarts returns how many starts of servers the crashes ended. A server may start again
// under its id, and several reports may be about one crash. A connection that was open when
// the server crashed broke with it; one that was opened later was to another start.
func countStarts(crashes []Crash) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	crashedAt := map[string]time.Time{} // by server: when its newest start crashed
	n := 0
	for _, c := range sorted {
		at, ok := crashedAt[c.Server]
		if ok && c.began().Before(at) {
			continue
		}
		crashedAt[c.Server] = c.At
		n++
	}
	return n
}

// Add returns the crashes with one more, as a copy, or false if it is already known. Of
// more than MaxCrashes it drops the oldest of a server that crashed more than once, so that
// a server that keeps crashing doesn't displace the crash of another one.
func Add(crashes []Crash, c Crash) ([]Crash, bool) {
	if slices.ContainsFunc(crashes, c.sameCrash) {
		return crashes, false
	}
	out := slices.Clone(crashes)
	if len(out) >= MaxCrashes {
		out = dropOne(out)
	}
	return append(out, c), true
}

// dropOne removes the oldest crash of a server that crashed more than once, or the oldest
// of all.
func dropOne(crashes []Crash) []Crash {
	for i, c := range crashes {
		again := func(o Crash) bool { return o.Server == c.Server }
		if slices.ContainsFunc(crashes[i+1:], again) {
			return slices.Delete(crashes, i, i+1)
		}
	}
	return slices.Delete(crashes, 0, 1)
}
