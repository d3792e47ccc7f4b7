package instance

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/exchange"
	"greengageferry/netconn"
	"greengageferry/quarantine"
	"greengageferry/relay"
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

// suspects holds the requests during which servers crashed, as far as this instance or
// another saw. An instance that sees a crash reports it at once; what was missed follows with
// the calls of Sync and State. It implements relay.Quarantine.
type suspects struct {
	instance *Instance
	client   *http.Client
	runs     suspectRuns   // permitted while this instance holds the lease
	active   atomic.Bool   // some crash speaks against a request
	wake     chan struct{} // signaled after pending changed; buffers one signal

	mu       sync.Mutex
	set      *quarantine.Set
	pending  map[quarantine.Fingerprint]bool // changed, and not reported yet
	reported chan struct{}                   // closed once pending was reported
	// holderDigest and peerDigest are the digests of the sets of the instances that last
	// answered Sync and State.
	holderDigest, peerDigest uint64
}

func newSuspects(i *Instance) *suspects {
	return &suspects{
		instance: i,
		client:   &http.Client{Transport: netconn.NewIdleClosingTransport(maxIdlePeerConns, time.Minute)},
		wake:     make(chan struct{}, 1),
		set:      quarantine.NewSet(),
		pending:  map[quarantine.Fingerprint]bool{},
		reported: make(chan struct{}),
	}
}

// Active implements relay.Quarantine.
func (s *suspects) Active() bool { return s.active.Load() }

// Verdict implements relay.Quarantine.
func (s *suspects) Verdict(f quarantine.Fingerprint) relay.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, since := s.set.Crashes(f), s.since(f)
	return relay.Verdict{
		Crashes: quarantine.Count(crashes, since), Servers: quarantine.Servers(crashes, since), Quarantined: crashRule.Quarantines(crashes, since),
	}
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
func (s *suspects) ReportCrash(f quarantine.Fingerprint, crash quarantine.Crash) <-chan struct{} {
	s.instance.metrics.crashes.Inc()
	crash.Boot = strconv.FormatUint(rand.Uint64(), reportIDBase)
	return s.change(func() []quarantine.Fingerprint {
		s.set.Report(f, crash)
		return []quarantine.Fingerprint{f}
	})
}

// ReportCompleted implements relay.Quarantine.
func (s *suspects) ReportCompleted(f quarantine.Fingerprint) {
	s.change(func() []quarantine.Fingerprint {
		if s.set.VoidRequest(f) {
			return []quarantine.Fingerprint{f}
		}
		return nil
	})
}

// ReportAnswer implements relay.Quarantine.
func (s *suspects) ReportAnswer(server string, opened, sent time.Time) {
	s.change(func() []quarantine.Fingerprint {
		survived := s.set.VoidServer(server, opened, sent)
		for _, f := range survived {
			s.instance.log.WithFields(logrus.Fields{"server": server, "fingerprint": f.String()}).Info("server survived the request")
		}
		return survived
	})
}

// change calls f, which changes the set and returns the requests to report. The returned
// channel is closed once they were reported.
func (s *suspects) change(f func() []quarantine.Fingerprint) <-chan struct{} {
	s.mu.Lock()
	changed := f()
	for _, fingerprint := range changed {
		s.pending[fingerprint] = true
	}
	reported := s.reported
	s.mu.Unlock()
	if len(changed) == 0 {
		return reported
	}
	s.applyVerdicts(changed)
	select {
	case s.wake <- struct{}{}:
	default: // a signal is already pending
	}
	return reported
}

// merge adds what another instance knows, and returns the requests that this changed.
func (s *suspects) merge(received []*exchange.Suspect) []quarantine.Fingerprint {
	var changed []quarantine.Fingerprint
	now := time.Now()
	s.mu.Lock()
	for _, w := range received[:min(len(received), maxExchangedSuspects)] {
		f, crashes, ok := suspectFromWire(now, w)
		if !ok {
			continue
		}
		for _, c := range crashes {
			if now.Sub(c.At) < quarantine.Expiry && s.set.Merge(f, c) {
				changed = append(changed, f)
			}
		}
	}
	s.mu.Unlock()
	if len(changed) > 0 {
		s.applyVerdicts(changed)
	}
	return changed
}

// applyVerdicts ends the attempts of requests that have become quarantined by a change, and
// the permits of those that nothing speaks against any more.
func (s *suspects) applyVerdicts(changed []quarantine.Fingerprint) {
	for _, f := range changed {
		if s.Verdict(f).Crashes == 0 {
			s.runs.completed(f)
		}
	}
	s.mu.Lock()
	s.updateActive()
	s.mu.Unlock()
	quarantined := map[quarantine.Fingerprint]bool{}
	for _, f := range changed {
		if s.Verdict(f).Quarantined {
			quarantined[f] = true
		}
	}
	if len(quarantined) == 0 {
		return
	}
	for f := range quarantined {
		s.instance.log.WithField("fingerprint", hex.EncodeToString(f[:])).Warn("request is quarantined, since it crashes servers")
	}
	s.instance.relay.AbortQuarantined(func(f quarantine.Fingerprint) bool { return quarantined[f] })
}

// updateActive drops expired requests and recomputes active. The caller must hold mu.
func (s *suspects) updateActive() {
	now := time.Now()
	s.set.Expire(func(crashes []quarantine.Crash) time.Time {
		if crashRule.Quarantines(crashes, now.Add(-quarantine.Expiry)) {
			return now.Add(-quarantine.Expiry)
		}
		return now.Add(-suspectTTL)
	})
	active := false
	for _, suspect := range s.set.Suspects() {
		active = active || quarantine.Count(suspect.Crashes, time.Time{}) > 0
	}
	s.active.Store(active)
}

// forHolder returns the digest of the set for a call of Sync, and the requests unless the
// instance that is asked had the same when it last answered.
func (s *suspects) forHolder() (uint64, []*exchange.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.set.Digest()
	if digest == s.holderDigest {
		return digest, nil
	}
	return digest, s.wireRepeated()
}

// onHolderAnswer applies the answer to a call of Sync.
func (s *suspects) onHolderAnswer(digest uint64, received []*exchange.Suspect) {
	s.merge(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holderDigest = digest
}

// exchange merges what another instance sent with its digest, and returns this one's, with
// the requests if they differ.
func (s *suspects) exchange(digest uint64, received []*exchange.Suspect) (uint64, []*exchange.Suspect) {
	s.merge(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.set.Digest()
	if own == digest {
		return own, nil
	}
	return own, s.wireRepeated()
}

// forPeer is like forHolder, for a call of State.
func (s *suspects) forPeer() (uint64, []*exchange.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.set.Digest()
	if digest == s.peerDigest {
		return digest, nil
	}
	return digest, s.wireRepeated()
}

// onPeerAnswer applies the answer to a call of State.
func (s *suspects) onPeerAnswer(digest uint64, received []*exchange.Suspect) {
	s.merge(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerDigest = digest
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
		if crashRule.Quarantines(suspect.Crashes, since) {
			quarantined++
		}
	}
	return suspected, quarantined
}
