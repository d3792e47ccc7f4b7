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
	Boot     string    // id of the server process that crashed; empty: Server identifies it
	Together uint32    // requests that the reporting instance had in flight on the server
	At       time.Time // by the reader's clock, or by the reporting instance's where a log keeps it
	// Repeat is set if the run began when the request was already suspected of another crash.
	Repeat bool
	// Void is set once the crash doesn't speak against the request any more: the server was
	// seen alive, or another one completed the request.
	Void bool
}

// sameCrash reports whether both reports are about the same crash.
func (c Crash) sameCrash(o Crash) bool { return c.Server == o.Server && c.Boot == o.Boot }

// Rule says which crashes quarantine a request. One crash is never enough, since a server's
// end for another reason must not condemn the requests that it ran.
type Rule struct {
	Servers int  // different servers that crashed
	Repeat  bool // and one of the runs was a Crash.Repeat
}

// Quarantines reports whether the crashes at or after since quarantine their request.
func (r Rule) Quarantines(crashes []Crash, since time.Time) bool {
	var servers []string
	repeated := false
	for _, c := range crashes {
		if c.Void || c.At.Before(since) {
			continue
		}
		repeated = repeated || c.Repeat
		if !slices.Contains(servers, c.Server) {
			servers = append(servers, c.Server)
		}
	}
	return len(servers) >= r.Servers && (repeated || !r.Repeat)
}

// Count returns how many of the crashes speak against their request, at or after since.
func Count(crashes []Crash, since time.Time) int {
	n := 0
	for _, c := range crashes {
		if !c.Void && !c.At.Before(since) {
			n++
		}
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
