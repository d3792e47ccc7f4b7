package instance

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/exchange"
	"greengageferry/netconn"
	"greengageferry/quarantine"
	"greengageferry/relay"
)

const (
	// suspectTTL is how long a request is remembered that isn't quarantined. Callers send a
	// request again within seconds.
	suspectTTL = 2 * time.Minute
	// reportTimeout bounds one report to another instance, which may be out of reach.
	reportTimeout = 100 * time.Millisecond
	// maxOpenReports bounds the rounds of reports under way. While more are needed, what
	// they are about is collected for the next.
	maxOpenReports = 4
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
// another saw. An instance that sees a crash reports it at once to all instances it knows;
// what was missed follows with the calls of Sync and State. It implements relay.Quarantine.
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
	// holderDigest is the digest of the set of the instance that last answered Sync.
	holderDigest uint64
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

// run is the duty that reports changes to other instances.
func (s *suspects) run(ctx context.Context) error {
	var rounds errgroup.Group
	rounds.SetLimit(maxOpenReports)
	defer func() { _ = rounds.Wait() }() // no error is returned
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		rounds.Go(func() error {
			s.reportPending(ctx)
			return nil
		})
	}
}

// reportPending reports what has changed to all instances known.
func (s *suspects) reportPending(ctx context.Context) {
	s.mu.Lock()
	report := &exchange.CrashReport{Suspects: s.wireSuspects(s.takePending())}
	reported := s.reported
	s.reported = make(chan struct{})
	s.mu.Unlock()
	defer close(reported)
	if len(report.GetSuspects()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reports errgroup.Group
	for _, addr := range s.reportAddrs() {
		reports.Go(func() error {
			_, err := exchange.NewExchangeProtobufClient("http://"+addr, s.client).ReportCrashes(ctx, report)
			if err != nil {
				s.instance.log.WithFields(logrus.Fields{"peer": addr, "error": err}).Debug("crash not reported")
			}
			return nil // it follows with Sync or State
		})
	}
	_ = reports.Wait() // no error is returned
}

// toForward returns those of the changed requests that are reported further. The lease
// holder knows all instances and reports every confirmed crash. What is close to a quarantine
// all report, since the instance that saw it may reach neither the holder nor all others. A
// single crash that isn't confirmed is often a connection that was reset, and not reported to
// all.
func (s *suspects) toForward(changed []quarantine.Fingerprint) []quarantine.Fingerprint {
	holds := s.instance.lease.Holds()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(changed, func(f quarantine.Fingerprint) bool {
		crashes := s.set.Crashes(f)
		confirmed := slices.ContainsFunc(crashes, func(c quarantine.Crash) bool { return c.Confirmed })
		return len(crashes) < 2 && !(holds && confirmed)
	})
}

// reportAddrs returns the addresses of the instances to report to: all if this instance
// holds the lease, else those that it knows.
func (s *suspects) reportAddrs() []string {
	own := s.instance.opts.Node.PeerAddr
	addrs := slices.Concat(s.instance.knownPeers(), s.instance.controller.InstanceAddrs())
	slices.Sort(addrs)
	return slices.DeleteFunc(slices.Compact(addrs), func(addr string) bool { return addr == own || addr == "" })
}

// takePending returns the requests to report now. The caller must hold mu.
func (s *suspects) takePending() []quarantine.Fingerprint {
	var out []quarantine.Fingerprint
	for f := range s.pending {
		if len(out) == maxExchangedSuspects {
			break
		}
		out = append(out, f)
		delete(s.pending, f)
	}
	return out
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

// all returns the digest and the requests, for a call of State.
func (s *suspects) all() (uint64, []*exchange.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest(), s.wireRepeated()
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

// ReportCrashes implements exchange.Exchange.
func (e exchangeServer) ReportCrashes(ctx context.Context, req *exchange.CrashReport) (*exchange.CrashReportResponse, error) {
	s := e.instance.suspects
	forwarded := s.toForward(s.merge(req.GetSuspects()))
	if len(forwarded) == 0 {
		return &exchange.CrashReportResponse{}, nil
	}
	reported := s.change(func() []quarantine.Fingerprint { return forwarded })
	select {
	case <-reported:
	case <-ctx.Done():
	}
	return &exchange.CrashReportResponse{}, nil
}
