package quarantine

import (
	"maps"
	"slices"
	"time"
)

// PartRule says which crashes condemn a part of prompts. Crashes at one moment say little: servers
// that end together for another reason all ran requests with the parts that many share. So crashes
// count by their moments, and only moments that the part explains: of the servers that crashed then,
// nearly all ran a request with it.
type PartRule struct {
	Moments   int           // at least
	Spacing   time.Duration // between two moments
	Settle    time.Duration // until what other instances saw at a moment is known
	Explained float64       // fraction of the servers of a moment that ran a request with the part
	Noticed   time.Duration // within which all instances notice a crash
}

// CondemnedParts returns the parts of prompts that their crashes condemn, as far as these were at or
// after the time that since returns for them.
func (s *Set) CondemnedParts(now time.Time, r PartRule, since func(Fingerprint) time.Time) []Fingerprint {
	var out []Fingerprint
	var all []serverCrash // made only if some part has enough crashes
	for f, suspect := range s.suspects {
		if !f.IsPart() || countNotVoid(suspect.Crashes) < r.Moments {
			continue
		}
		own := standing(suspect.Crashes, since(f))
		if countStarts(own) < r.Moments {
			continue
		}
		if all == nil {
			all = s.allCrashes()
		}
		if r.explainedMoments(now, serverCrashes(own), all) >= r.Moments {
			out = append(out, f)
		}
	}
	return out
}

// countNotVoid returns how many crashes aren't void, without allocating: most parts have none.
func countNotVoid(crashes []Crash) int {
	n := 0
	for i := range crashes {
		if !crashes[i].Void {
			n++
		}
	}
	return n
}

// serverCrash is that a server crashed, under whatever requests.
type serverCrash struct {
	server string
	at     time.Time
}

// allCrashes returns the crashes under all requests and parts.
func (s *Set) allCrashes() []serverCrash {
	lists := make([][]Crash, 0, len(s.suspects))
	for _, suspect := range s.suspects {
		lists = append(lists, suspect.Crashes)
	}
	return serverCrashes(lists...)
}

// serverCrashes returns the crashes of the lists, each once, sorted by time. A crash is in the lists of
// all requests and parts that its server ran.
func serverCrashes(lists ...[]Crash) []serverCrash {
	seen := map[serverCrash]bool{}
	var out []serverCrash
	for _, crashes := range lists {
		for i := range crashes {
			c := serverCrash{crashes[i].Server, crashes[i].At}
			if !seen[c] {
				seen[c] = true
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b serverCrash) int { return a.at.Compare(b.at) })
	return out
}

// explainedMoments returns how many moments a part explains whose own crashes are given, of all. Both
// are sorted by time.
func (r PartRule) explainedMoments(now time.Time, own, all []serverCrash) int {
	n, sorted := 0, own
	for len(own) > 0 {
		from, to := own[0].at, own[0].at.Add(r.Spacing)
		if now.Sub(from) < r.Settle {
			break
		}
		crashed := serversBetween(all, from.Add(-r.Spacing/2), to)
		explained := serversBetween(sorted, from.Add(-r.Noticed), to.Add(r.Noticed))
		maps.DeleteFunc(explained, func(server string, _ bool) bool { return !crashed[server] })
		if float64(len(explained)) >= r.Explained*float64(len(crashed)) {
			n++
		}
		own = own[searchTime(own, to):]
	}
	return n
}

// searchTime returns the index of the first crash at or after a time.
func searchTime(sorted []serverCrash, at time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, at, func(c serverCrash, at time.Time) int { return c.at.Compare(at) })
	return n
}

// serversBetween returns the servers that crashed from one time to before another.
func serversBetween(sorted []serverCrash, from, to time.Time) map[string]bool {
	out := map[string]bool{}
	for _, c := range sorted[searchTime(sorted, from):searchTime(sorted, to)] {
		out[c.server] = true
	}
	return out
}

// trialDelays are how long after the newest crash a condemned part is tried again, by how many
// trials have crashed a server. The last one repeats.
var trialDelays = []time.Duration{2 * time.Second, 30 * time.Second, 10 * time.Minute, time.Hour}

// maxSharedTrials is how many failed trials of a part, together with others, don't count against it
// alone. It bounds the servers that trials of the part in ever other company crash.
const maxSharedTrials = 2

// TrialDue reports whether one request with these condemned parts may run. Crash.Repeat marks the
// crashes of earlier trials. A failed trial of several parts counts against requests with all of them,
// and not against one with only some: another part may have crashed the server. condemned reports
// whether a part is condemned; one that has been cleared since shares no failure.
func (s *Set) TrialDue(now time.Time, parts []Fingerprint, condemned map[Fingerprint]bool, since func(Fingerprint) time.Time) bool {
	return !slices.ContainsFunc(parts, func(f Fingerprint) bool {
		standing := standing(s.Crashes(f), since(f))
		if len(standing) == 0 {
			return false
		}
		newest := slices.MaxFunc(standing, func(a, b Crash) int { return a.At.Compare(b.At) })
		failed := slices.DeleteFunc(slices.Clone(standing), func(c Crash) bool { return !c.Repeat })
		own := slices.DeleteFunc(slices.Clone(failed), func(c Crash) bool { return s.sharesTrial(c, parts, condemned, since) })
		trials := countStarts(own)
		if all := countStarts(failed); all > maxSharedTrials {
			trials = all
		}
		return now.Sub(newest.At) < trialDelays[min(trials, len(trialDelays)-1)]
	})
}

// sharesTrial reports whether the crash of a trial speaks against a condemned part that isn't among
// the given ones.
func (s *Set) sharesTrial(c Crash, parts []Fingerprint, condemned map[Fingerprint]bool, since func(Fingerprint) time.Time) bool {
	for other := range condemned {
		if slices.Contains(parts, other) {
			continue
		}
		if slices.ContainsFunc(standing(s.Crashes(other), since(other)), func(o Crash) bool { return o.Repeat && sameStart(c, o) }) {
			return true
		}
	}
	return false
}
