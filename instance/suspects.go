package instance

import (
	"context"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"greengageferry/exchange"
	"greengageferry/internal/rto"
	"greengageferry/quarantine"
	"greengageferry/relay"
	"greengageferry/supervise"
)

const (
	// suspectTTL is how long a request is remembered that isn't quarantined. Callers send a
	// request again within seconds.
	suspectTTL = 2 * time.Minute
	// maxExchangedSuspects bounds the requests in one message, some 100 bytes each.
	maxExchangedSuspects = 256
	// reportIDBase is the base of the numbers that identify reports.
	reportIDBase = 36
)

// crashRule quarantines a request that crashed three servers. One run must have begun when
// the request was suspected already: many servers that crash at once for another reason may
// all have run the same innocent one.
var crashRule = quarantine.Rule{Crashes: 3, Repeat: true}

// partRule condemns a part of prompts. Nothing is kept apart before that, since the parts that
// everybody uses are suspected with each crash, until the next answer clears them.
var partRule = quarantine.PartRule{Moments: 4, Spacing: 200 * time.Millisecond, Settle: 300 * time.Millisecond, Explained: 0.8, Noticed: time.Second}

const (
	// condemnInterval is how often it is checked which parts of prompts are condemned, and
	// expireInterval how often what is too old is forgotten.
	condemnInterval = 100 * time.Millisecond
	expireInterval  = time.Second
	// settledAfter is how long after its newest change a set can condemn a part: by then the
	// newest moment of crashes is settled.
	settledAfter = 2 * time.Second
)

// changes are the requests and the parts that a change is about, with the crashes that are new or
// became void by it.
type changes map[quarantine.Fingerprint][]quarantine.Crash

// crashKey identifies a crash of a request.
type crashKey struct{ server, boot string }

// suspects holds the requests during which servers crashed, as far as this instance or
// another saw. An instance that sees a crash reports it at once; what was missed follows with
// the calls of Sync and State. It implements relay.Quarantine.
type suspects struct {
	instance *Instance
	client   *http.Client
	runs     suspectRuns   // permitted while this instance holds the lease
	active   atomic.Bool   // some crash speaks against a request
	wake     chan struct{} // signaled after pending changed; buffers one signal
	// holderTimes are the times that reports to the lease holder take, and spread bounds the reports
	// to other instances without it.
	holderTimes *rto.Estimator
	spread      *rate.Limiter
	partsDue    chan struct{} // signaled when parts are to be reported; buffers one signal

	mu       sync.Mutex
	set      *quarantine.Set
	pending  map[quarantine.Fingerprint]map[crashKey]bool // changed and not reported yet, with the crashes that did
	reported chan struct{}                                // closed once pending was reported
	// partsArmed is set while partsDue will be signaled.
	partsArmed bool
	// condemned holds the parts of prompts that are refused. A part stays condemned until no crash
	// speaks against it any more.
	condemned map[quarantine.Fingerprint]bool
	expiredAt time.Time // when the set was last expired
	// toHolder and toPeer are the exchanges by Sync and State.
	toHolder, toPeer suspectExchange
}

func newSuspects(i *Instance) *suspects {
	return &suspects{
		instance:    i,
		client:      newPeerClient(),
		wake:        make(chan struct{}, 1),
		partsDue:    make(chan struct{}, 1),
		holderTimes: rto.New(rto.Options{Initial: minHolderReportTimeout, Min: minHolderReportTimeout, Max: maxHolderReportTimeout}),
		spread:      rate.NewLimiter(rate.Every(spreadInterval), spreadBurst),
		set:         quarantine.NewSet(),
		pending:     map[quarantine.Fingerprint]map[crashKey]bool{},
		reported:    make(chan struct{}),

		condemned: map[quarantine.Fingerprint]bool{},
	}
}

// Active implements relay.Quarantine.
func (s *suspects) Active() bool { return s.active.Load() }

// Verdict implements relay.Quarantine.
func (s *suspects) Verdict(f quarantine.Fingerprint, parts []quarantine.Fingerprint) relay.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, since := s.set.Crashes(f), s.since(f)
	v := relay.Verdict{
		Crashes: quarantine.Count(crashes, since), Servers: quarantine.Servers(crashes, since), Quarantined: s.isQuarantined(f),
	}
	for _, part := range parts {
		if s.isQuarantined(part) {
			v.Trials = append(v.Trials, part)
		}
	}
	if !s.set.TrialDue(time.Now(), v.Trials, s.condemned, s.since) {
		v.Trials, v.Quarantined = nil, true
	}
	return v
}

// isQuarantined reports whether a request or a part of prompts is quarantined. The caller must hold
// mu.
func (s *suspects) isQuarantined(f quarantine.Fingerprint) bool {
	if f.IsPart() {
		return s.condemned[f]
	}
	crashes := s.set.Crashes(f)
	return len(crashes) > 0 && crashRule.Quarantines(crashes, s.since(f))
}

// updateCondemned condemns the parts that have become so, and returns them. The caller must hold mu.
func (s *suspects) updateCondemned(now time.Time) []quarantine.Fingerprint {
	added := slices.DeleteFunc(s.set.CondemnedParts(now, partRule, s.since), func(f quarantine.Fingerprint) bool { return s.condemned[f] })
	for _, f := range added {
		s.condemned[f] = true
	}
	return added
}

// clearCondemned drops the parts that no crash speaks against any more. The caller must hold mu.
func (s *suspects) clearCondemned() {
	maps.DeleteFunc(s.condemned, func(f quarantine.Fingerprint, _ bool) bool {
		return !quarantine.Stands(s.set.Crashes(f), s.since(f))
	})
}

// condemn is the duty that checks which parts are condemned, and forgets what is too old.
func (s *suspects) condemn(ctx context.Context) error {
	var version uint64
	var changedAt time.Time
	for supervise.Pause(ctx, condemnInterval) {
		now := time.Now()
		s.mu.Lock()
		s.expire(now)
		if v := s.set.Version(); v != version {
			version, changedAt = v, now
		}
		var added []quarantine.Fingerprint
		s.clearCondemned()
		if now.Sub(changedAt) < settledAfter {
			added = s.updateCondemned(now)
		}
		s.mu.Unlock()
		s.endQuarantined(added)
	}
	return nil
}

// since returns the time from which crashes count against a request: quarantine.Expiry
// ago, or when an operator lifted its quarantine if that is later.
func (s *suspects) since(f quarantine.Fingerprint) time.Time {
	since := time.Now().Add(-quarantine.Expiry)
	lifts := s.instance.node.Load().QuarantineLifts
	if len(lifts) == 0 {
		return since
	}
	return later(since, lifts[hex.EncodeToString(f[:])])
}

// ReportCrash implements relay.Quarantine.
func (s *suspects) ReportCrash(r relay.CrashReport) <-chan struct{} {
	s.instance.metrics.crashes.Inc()
	r.Boot = strconv.FormatUint(rand.Uint64(), reportIDBase)
	return s.change(func() changes {
		changed := changes{r.Request: {s.set.Report(r.Request, r.Crash)}}
		for _, part := range r.Parts {
			c := r.Crash
			c.Repeat = slices.Contains(r.Trials, part)
			changed[part] = []quarantine.Crash{s.set.Report(part, c)}
		}
		return changed
	})
}

// ReportCompleted implements relay.Quarantine.
func (s *suspects) ReportCompleted(fingerprints ...quarantine.Fingerprint) {
	s.change(func() changes {
		changed := changes{}
		for _, f := range fingerprints {
			if voided := s.set.VoidRequest(f); len(voided) > 0 {
				changed[f] = voided
			}
		}
		return changed
	})
}

// ReportAnswer implements relay.Quarantine.
func (s *suspects) ReportAnswer(server string, opened, sent time.Time) {
	s.change(func() changes {
		survived := s.set.VoidServer(server, opened, sent)
		for f := range survived {
			s.instance.log.WithFields(logrus.Fields{"server": server, "fingerprint": f.String()}).Info("server survived the request")
		}
		return survived
	})
}

// change calls f, which changes the set and returns the changes to report. The returned
// channel is closed once they were reported.
func (s *suspects) change(f func() changes) <-chan struct{} {
	s.mu.Lock()
	changed := f()
	s.addPending(changed)
	reported := s.reported
	s.mu.Unlock()
	if len(changed) == 0 {
		return reported
	}
	s.applyVerdicts(slices.Collect(maps.Keys(changed)))
	s.wakeReports()
	return reported
}

// addPending adds changes to those to report. The caller must hold mu.
func (s *suspects) addPending(changed changes) {
	for f, crashes := range changed {
		if s.pending[f] == nil {
			s.pending[f] = map[crashKey]bool{}
		}
		for _, c := range crashes {
			s.pending[f][crashKey{c.Server, c.Boot}] = true
		}
	}
}

func (s *suspects) wakeReports() {
	select {
	case s.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// merge adds what another instance knows, and returns what this changed. What the other takes for
// standing and this instance knows to be void is reported again.
func (s *suspects) merge(received []*exchange.Suspect) changes {
	changed, again := changes{}, changes{}
	now := time.Now()
	s.mu.Lock()
	for _, w := range received[:min(len(received), maxExchangedSuspects)] {
		f, crashes, ok := suspectFromWire(now, w)
		if !ok {
			continue
		}
		for _, c := range crashes {
			if now.Sub(c.At) < quarantine.Expiry && s.set.Merge(f, c) {
				changed[f] = append(changed[f], c)
			} else if !c.Void && s.isVoid(f, c) {
				again[f] = append(again[f], c)
			}
		}
	}
	s.addPending(again)
	s.mu.Unlock()
	if len(again) > 0 {
		s.wakeReports()
	}
	if len(changed) > 0 {
		s.applyVerdicts(slices.Collect(maps.Keys(changed)))
	}
	return changed
}

// isVoid reports whether a crash is known to be void. The caller must hold mu.
func (s *suspects) isVoid(f quarantine.Fingerprint, c quarantine.Crash) bool {
	return slices.ContainsFunc(s.set.Crashes(f), func(known quarantine.Crash) bool {
		return known.Server == c.Server && known.Boot == c.Boot && known.Void
	})
}

// applyVerdicts ends the attempts of requests that have become quarantined by a change, and
// the permits of those that nothing speaks against any more. Parts become condemned in condemn.
func (s *suspects) applyVerdicts(changed []quarantine.Fingerprint) {
	var added []quarantine.Fingerprint
	s.mu.Lock()
	for _, f := range changed {
		if !quarantine.Stands(s.set.Crashes(f), s.since(f)) {
			s.runs.completed(f)
		}
	}
	s.expire(time.Now())
	s.active.Store(s.set.AnyStanding())
	s.clearCondemned()
	for _, f := range changed {
		if !f.IsPart() && s.isQuarantined(f) {
			added = append(added, f)
		}
	}
	s.mu.Unlock()
	s.endQuarantined(added)
}

// endQuarantined logs what has become quarantined, and ends its attempts.
func (s *suspects) endQuarantined(added []quarantine.Fingerprint) {
	if len(added) == 0 {
		return
	}
	quarantined := map[quarantine.Fingerprint]bool{}
	for _, f := range added {
		quarantined[f] = true
		s.logQuarantined(f)
	}
	s.instance.relay.AbortQuarantined(func(f quarantine.Fingerprint) bool { return quarantined[f] })
}

// logQuarantined logs what has become quarantined.
func (s *suspects) logQuarantined(f quarantine.Fingerprint) {
	l := s.instance.log.WithField("fingerprint", hex.EncodeToString(f[:]))
	if f.IsPart() {
		l.Warn("part of prompts is quarantined, since it crashes servers")
		return
	}
	l.Warn("request is quarantined, since it crashes servers")
}

// expire drops expired requests, at most every expireInterval. The caller must hold mu.
func (s *suspects) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	s.set.Expire(func(f quarantine.Fingerprint, crashes []quarantine.Crash) time.Time {
		if s.condemned[f] || !f.IsPart() && crashRule.Quarantines(crashes, now.Add(-quarantine.Expiry)) {
			return now.Add(-quarantine.Expiry)
		}
		return now.Add(-suspectTTL)
	})
	s.active.Store(s.set.AnyStanding())
}

// counts returns how many requests are suspected and how many of these are quarantined.
func (s *suspects) counts() (suspected, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, suspect := range s.set.Suspects() {
		since := s.since(f)
		if quarantine.Count(suspect.Crashes, since) > 0 {
			suspected++
		}
		if s.isQuarantined(f) {
			quarantined++
		}
	}
	return suspected, quarantined
}
