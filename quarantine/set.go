package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxSuspects is the maximum number of requests remembered; the one whose newest crash is
// oldest is evicted first. Each crash costs a server, so thousands of suspects at a time
// mean that requests aren't the cause.
const MaxSuspects = 4096

// Suspect is a request during which at least one backend server crashed. It is immutable.
type Suspect struct {
	Crashes []Crash // at most one for each server and boot, in the order they became known
	Last    uint64  // order of the newest crash, for eviction
}

// Set holds the requests during which servers crashed. Sets that are merged with each other
// in any order, any number of times, become equal: a crash is never forgotten before it
// expires, and once void it stays void. A Set isn't safe for concurrent use.
type Set struct {
	suspects map[Fingerprint]*Suspect
	order    uint64
	version  uint64 // counts changes

	digest        uint64 // as of digestVersion
	digestVersion uint64
	// newest is when each server's newest crash was that may not be void. It may be later, but never
	// earlier.
	newest map[string]time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{suspects: map[Fingerprint]*Suspect{}, newest: map[string]time.Time{}}
}

// Version returns a number that grows with each change.
func (s *Set) Version() uint64 { return s.version }

// set stores a request.
func (s *Set) set(f Fingerprint, suspect *Suspect) {
	s.suspects[f] = suspect
	s.version++
	for _, c := range suspect.Crashes {
		if !c.Void && c.At.After(s.newest[c.Server]) {
			s.newest[c.Server] = c.At
		}
	}
}

// remove removes a request.
func (s *Set) remove(f Fingerprint) {
	delete(s.suspects, f)
	s.version++
	if len(s.suspects) == 0 {
		clear(s.newest)
	}
}

// Len returns the number of requests.
func (s *Set) Len() int { return len(s.suspects) }

// Crashes returns a request's crashes, oldest first. They must not be modified.
func (s *Set) Crashes(f Fingerprint) []Crash {
	if suspect := s.suspects[f]; suspect != nil {
		return suspect.Crashes
	}
	return nil
}

// Suspects returns a copy of the set's requests.
func (s *Set) Suspects() map[Fingerprint]*Suspect { return maps.Clone(s.suspects) }

// Restore puts a request into the set as it was.
func (s *Set) Restore(f Fingerprint, suspect Suspect) {
	s.set(f, &suspect)
	s.order = max(s.order, suspect.Last)
}

// Add adds a crash and reports whether it is new. order orders it among the set's crashes;
// 0: it is the newest.
func (s *Set) Add(f Fingerprint, c Crash, order uint64) bool {
	crashes, added := Add(s.Crashes(f), c)
	if !added {
		return false
	}
	s.put(f, crashes, order)
	s.evictOldest()
	return true
}

func (s *Set) put(f Fingerprint, crashes []Crash, order uint64) {
	if order == 0 {
		order = s.order + 1
	}
	s.order = max(s.order, order)
	s.set(f, &Suspect{Crashes: crashes, Last: order})
}

// evictOldest removes the request whose newest crash is oldest if there are more than
// MaxSuspects.
func (s *Set) evictOldest() {
	if len(s.suspects) <= MaxSuspects {
		return
	}
	var oldest Fingerprint
	last := uint64(0)
	for f, suspect := range s.suspects {
		if last == 0 || suspect.Last < last {
			oldest, last = f, suspect.Last
		}
	}
	s.remove(oldest)
}

// MaxMergedCrashes is the maximum number of crashes of one request that Merge remembers.
// Further ones are dropped, and not older ones in their place: another set would bring those
// back, without end.
const MaxMergedCrashes = 32

// Merge adds a crash that another set may hold as well, with its marks, and reports whether
// that changed this set.
func (s *Set) Merge(f Fingerprint, c Crash) bool {
	crashes := s.Crashes(f)
	at := slices.IndexFunc(crashes, c.sameCrash)
	if at < 0 && len(crashes) >= MaxMergedCrashes {
		return false
	}
	if at < 0 {
		s.put(f, append(slices.Clone(crashes), c), 0)
		s.evictOldest()
		return true
	}
	merged := crashes[at]
	merged.Void, merged.Repeat, merged.Confirmed = merged.Void || c.Void, merged.Repeat || c.Repeat, merged.Confirmed || c.Confirmed
	if merged == crashes[at] {
		return false
	}
	crashes = slices.Clone(crashes)
	crashes[at] = merged
	s.set(f, &Suspect{Crashes: crashes, Last: s.suspects[f].Last})
	return true
}

// VoidRequest marks all crashes of a request as void, after a server completed it. It returns
// those that were not.
func (s *Set) VoidRequest(f Fingerprint) []Crash {
	return s.voidIf(f, func(Crash) bool { return true })
}

// Report adds a crash that this instance saw. If the same crash is known, only its marks
// change. It returns the crash as the set holds it.
func (s *Set) Report(f Fingerprint, c Crash) Crash {
	for _, known := range s.Crashes(f) {
		if sameStart(known, c) {
			known.Repeat, known.Confirmed = known.Repeat || c.Repeat, known.Confirmed || c.Confirmed
			s.Merge(f, known)
			return known
		}
	}
	s.Merge(f, c)
	return c
}

// SurvivalMargin is how much older than a crash a connection must be to show that its server
// survived: a crash is noticed some time after it, and by another instance later still.
const SurvivalMargin = time.Second

// VoidServer marks all crashes of a server as void that it survived: over a connection that
// was opened before them it answered a request that was sent after them. A server that
// answers over a newer connection may be another start. It returns the requests that this
// changed, with the crashes.
func (s *Set) VoidServer(server string, opened, sent time.Time) map[Fingerprint][]Crash {
	if !opened.Add(SurvivalMargin).Before(s.newest[server]) {
		return nil
	}
	out := map[Fingerprint][]Crash{}
	survived := func(c Crash) bool {
		return c.Server == server && opened.Add(SurvivalMargin).Before(c.At) && c.At.Before(sent)
	}
	for f := range s.suspects {
		if voided := s.voidIf(f, survived); len(voided) > 0 {
			out[f] = voided
		}
	}
	s.updateNewest(server)
	return out
}

// updateNewest recomputes when the server's newest crash was that isn't void.
func (s *Set) updateNewest(server string) {
	var newest time.Time
	for _, suspect := range s.suspects {
		for _, c := range suspect.Crashes {
			if c.Server == server && !c.Void && c.At.After(newest) {
				newest = c.At
			}
		}
	}
	s.newest[server] = newest
}

// voidIf marks the crashes of a request as void that match, and returns those that were not.
func (s *Set) voidIf(f Fingerprint, matches func(Crash) bool) (voided []Crash) {
	suspect := s.suspects[f]
	speaks := func(c Crash) bool { return !c.Void && matches(c) }
	if suspect == nil || !slices.ContainsFunc(suspect.Crashes, speaks) {
		return nil
	}
	crashes := slices.Clone(suspect.Crashes)
	for i := range crashes {
		if speaks(crashes[i]) {
			crashes[i].Void = true
			voided = append(voided, crashes[i])
		}
	}
	s.set(f, &Suspect{Crashes: crashes, Last: suspect.Last})
	return voided
}

// Expire removes the requests whose newest crash was before the time that keepSince returns
// for their crashes.
func (s *Set) Expire(keepSince func(Fingerprint, []Crash) time.Time) {
	for f, suspect := range s.suspects {
		newest := slices.MaxFunc(suspect.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
		if newest.At.Before(keepSince(f, suspect.Crashes)) {
			s.remove(f)
		}
	}
}

// AnyStanding reports whether any crash isn't void.
func (s *Set) AnyStanding() bool {
	for _, suspect := range s.suspects {
		if slices.ContainsFunc(suspect.Crashes, func(c Crash) bool { return !c.Void }) {
			return true
		}
	}
	return false
}

// isRepeated reports whether a request has two crashes or more, of which one at least isn't void.
func (s *Suspect) isRepeated() bool {
	return len(s.Crashes) > 1 && slices.ContainsFunc(s.Crashes, func(c Crash) bool { return !c.Void })
}

// Repeated returns the requests with two crashes or more of which one at least isn't void, newest
// last.
func (s *Set) Repeated() []Fingerprint {
	var out []Fingerprint
	for f, suspect := range s.suspects {
		if suspect.isRepeated() {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return cmp.Compare(s.suspects[a].Last, s.suspects[b].Last) })
	return out
}

// Digest identifies what the set knows of the requests that Repeated returns; 0: there are
// none. The order and the times of crashes don't count, since they differ between instances.
func (s *Set) Digest() uint64 {
	if s.digestVersion == s.version {
		return s.digest
	}
	sum := uint64(0)
	for f, suspect := range s.suspects {
		if !suspect.isRepeated() {
			continue
		}
		for _, c := range suspect.Crashes {
			sum += crashDigest(f, c)
		}
	}
	s.digest, s.digestVersion = sum, s.version
	return sum
}

func crashDigest(f Fingerprint, c Crash) uint64 {
	marks := byte(0)
	if c.Void {
		marks |= 1
	}
	if c.Repeat {
		marks |= 2
	}
	if c.Confirmed {
		marks |= 4
	}
	d := xxhash.New()
	_, _ = d.Write(f[:]) // never fails, as below
	_, _ = d.Write([]byte{marks})
	_, _ = d.WriteString(c.Server)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(c.Boot)
	return d.Sum64()
}
