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
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{suspects: map[Fingerprint]*Suspect{}} }

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
	s.suspects[f] = &suspect
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
	s.suspects[f] = &Suspect{Crashes: crashes, Last: order}
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
	delete(s.suspects, oldest)
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
	s.suspects[f] = &Suspect{Crashes: crashes, Last: s.suspects[f].Last}
	return true
}

// VoidRequest marks all crashes of a request as void, after a server completed it. It
// reports whether that changed the set.
func (s *Set) VoidRequest(f Fingerprint) bool {
	return s.voidIf(f, func(Crash) bool { return true })
}

// Report adds a crash that this instance saw. If the same crash is known, only its marks
// change.
func (s *Set) Report(f Fingerprint, c Crash) {
	for _, known := range s.Crashes(f) {
		if known.Server == c.Server && countStarts([]Crash{known, c}) == 1 {
			known.Repeat, known.Confirmed = known.Repeat || c.Repeat, known.Confirmed || c.Confirmed
			s.Merge(f, known)
			return
		}
	}
	s.Merge(f, c)
}

// SurvivalMargin is how much older than a crash a connection must be to show that its server
// survived: a crash is noticed some time after it, and by another instance later still.
const SurvivalMargin = time.Second

// VoidServer marks all crashes of a server as void that it survived: over a connection that
// was opened before them it answered a request that was sent after them. A server that
// answers over a newer connection may be another start. It returns the requests that this
// changed.
func (s *Set) VoidServer(server string, opened, sent time.Time) []Fingerprint {
	var out []Fingerprint
	survived := func(c Crash) bool {
		return c.Server == server && opened.Add(SurvivalMargin).Before(c.At) && c.At.Before(sent)
	}
	for f := range s.suspects {
		if s.voidIf(f, survived) {
			out = append(out, f)
		}
	}
	return out
}

func (s *Set) voidIf(f Fingerprint, matches func(Crash) bool) bool {
	suspect := s.suspects[f]
	speaks := func(c Crash) bool { return !c.Void && matches(c) }
	if suspect == nil || !slices.ContainsFunc(suspect.Crashes, speaks) {
		return false
	}
	crashes := slices.Clone(suspect.Crashes)
	for i, c := range crashes {
		crashes[i].Void = c.Void || matches(c)
	}
	s.suspects[f] = &Suspect{Crashes: crashes, Last: suspect.Last}
	return true
}

// Expire removes the requests whose newest crash was before the time that keepSince returns
// for their crashes.
func (s *Set) Expire(keepSince func(Fingerprint, []Crash) time.Time) {
	maps.DeleteFunc(s.suspects, func(f Fingerprint, suspect *Suspect) bool {
		newest := slices.MaxFunc(suspect.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
		return newest.At.Before(keepSince(f, suspect.Crashes))
	})
}

// Repeated returns the requests with two crashes or more, void or not, newest last.
func (s *Set) Repeated() []Fingerprint {
	var out []Fingerprint
	for f, suspect := range s.suspects {
		if len(suspect.Crashes) > 1 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return cmp.Compare(s.suspects[a].Last, s.suspects[b].Last) })
	return out
}

// Digest identifies what the set knows of the requests that Repeated returns; 0: there are
// none. The order and the times of crashes don't count, since they differ between instances.
func (s *Set) Digest() uint64 {
	sum := uint64(0)
	for _, f := range s.Repeated() {
		for _, c := range s.suspects[f].Crashes {
			sum += crashDigest(f, c)
		}
	}
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
