package instance

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/exchange"
	"greengageferry/quarantine"
)

const (
	// reportTimeout bounds one report to another instance, which may be out of reach.
	reportTimeout = 100 * time.Millisecond
	// minHolderReportTimeout and maxHolderReportTimeout bound a report to the lease holder, so that
	// time is left to report to others without it. In between the timeout follows the time that the
	// holder's answers take.
	minHolderReportTimeout = reportTimeout / 2
	maxHolderReportTimeout = 4 * reportTimeout
	// forwardWait is how long the lease holder's answer to a report waits for its own reports
	// to all others, of which some may be out of reach.
	forwardWait = minHolderReportTimeout / 2
	// reportFanout is how many instances are told what the lease holder wasn't. Each of them tells as
	// many what it didn't know, so that nearly all know after four steps, and the rest by Sync or State.
	reportFanout = 4
	// spreadInterval and spreadBurst bound such reports of one instance to others.
	spreadInterval = 100 * time.Millisecond
	spreadBurst    = 2
	// partsReportDelay is how long changes of parts of prompts are collected, unless a request is
	// reported sooner. A part isn't condemned by what is newer than partRule.Settle.
	partsReportDelay = 100 * time.Millisecond
	// maxOpenReports bounds the rounds of reports under way. While more are needed, what
	// they are about is collected for the next.
	maxOpenReports = 4
)

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
			rounds.Go(func() error {
				s.reportPending(ctx, false)
				return nil
			})
		case <-s.partsDue:
			rounds.Go(func() error {
				s.reportPending(ctx, true)
				return nil
			})
		}
	}
}

// reportPending reports what has changed: to the lease holder, which reports it to all, or to
// some if the holder isn't reached, of which each tells others. So the messages about a change
// grow with the number of instances, not with its square. Changes of parts
// alone are reported only if partsDue is set, so that many are told at once: parts that prompts share
// change all the time while servers crash.
func (s *suspects) reportPending(ctx context.Context, partsDue bool) {
	holds := s.instance.lease.Holds()
	s.mu.Lock()
	if holds {
		s.keepNeededByAll(s.pending)
	}
	var changed map[quarantine.Fingerprint]map[crashKey]bool
	if partsDue || s.requestPending() {
		changed = s.takePending()
	}
	if len(s.pending) > 0 {
		s.armPartsDue()
	}
	report := &exchange.CrashReport{Suspects: s.wireChanges(changed)}
	reported := s.reported
	s.reported = make(chan struct{})
	s.mu.Unlock()
	defer close(reported)
	switch {
	case len(report.Suspects) == 0:
	case holds:
		s.reportTo(ctx, s.reportAddrs(), report)
	case !s.reportToHolder(ctx, report):
		s.spreadReport(ctx, report)
	}
}

// spreadReport tells some instances what the lease holder wasn't told: all that are known if these are
// few, else reportFanout of them.
func (s *suspects) spreadReport(ctx context.Context, report *exchange.CrashReport) {
	addrs := s.reportAddrs()
	if len(addrs) < manyInstances {
		s.reportTo(ctx, addrs, report)
		return
	}
	if s.spread.Wait(ctx) != nil {
		return // the instance ends
	}
	rand.Shuffle(len(addrs), func(a, b int) { addrs[a], addrs[b] = addrs[b], addrs[a] })
	s.reportTo(ctx, addrs[:reportFanout], report)
}

// requestPending reports whether something other than parts is to be reported. The caller must hold
// mu.
func (s *suspects) requestPending() bool {
	for f := range s.pending {
		if !f.IsPart() {
			return true
		}
	}
	return false
}

// armPartsDue has partsDue signaled after partsReportDelay. The caller must hold mu.
func (s *suspects) armPartsDue() {
	if s.partsArmed {
		return
	}
	s.partsArmed = true
	time.AfterFunc(partsReportDelay, func() {
		s.mu.Lock()
		s.partsArmed = false
		s.mu.Unlock()
		select {
		case s.partsDue <- struct{}{}:
		default: // a signal is already pending
		}
	})
}

// takePending returns what to report now. The caller must hold mu.
func (s *suspects) takePending() map[quarantine.Fingerprint]map[crashKey]bool {
	out := map[quarantine.Fingerprint]map[crashKey]bool{}
	for f, voided := range s.pending {
		if len(out) == maxExchangedSuspects {
			break
		}
		out[f] = voided
		delete(s.pending, f)
	}
	return out
}

// isNeededByAll reports whether all instances need to know of a request. A single crash that isn't
// confirmed is often a connection that was reset. The caller must hold mu.
func (s *suspects) isNeededByAll(f quarantine.Fingerprint) bool {
	crashes := s.set.Crashes(f)
	return len(crashes) >= 2 || slices.ContainsFunc(crashes, func(c quarantine.Crash) bool { return c.Confirmed })
}

// keepNeededByAll drops the requests that not all instances need to know of. The caller must hold mu.
func (s *suspects) keepNeededByAll(changed map[quarantine.Fingerprint]map[crashKey]bool) {
	maps.DeleteFunc(changed, func(f quarantine.Fingerprint, _ map[crashKey]bool) bool { return !s.isNeededByAll(f) })
}

// reportToHolder reports whether the lease holder has taken the report.
func (s *suspects) reportToHolder(ctx context.Context, report *exchange.CrashReport) bool {
	holder := s.instance.recentHolder()
	if holder == "" {
		return false
	}
	var res *exchange.CrashReportResponse
	err := s.holderTimes.Call(ctx, func(ctx context.Context) (err error) {
		res, err = s.report(ctx, holder, report)
		return err
	})
	s.instance.metrics.countCrashReport("holder", err == nil)
	return res.GetHoldsLease()
}

// reportTo sends the report to other instances.
func (s *suspects) reportTo(ctx context.Context, addrs []string, report *exchange.CrashReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reports errgroup.Group
	for _, addr := range addrs {
		reports.Go(func() error {
			_, err := s.report(ctx, addr, report)
			s.instance.metrics.countCrashReport("other", err == nil)
			return nil // what is missed follows with Sync or State
		})
	}
	_ = reports.Wait() // no error is returned
}

// report sends the report to an instance and returns its answer.
func (s *suspects) report(ctx context.Context, addr string, report *exchange.CrashReport) (*exchange.CrashReportResponse, error) {
	res, err := exchange.NewExchangeProtobufClient("http://"+addr, s.client).ReportCrashes(ctx, report)
	if err != nil {
		s.instance.log.WithFields(logrus.Fields{"peer": addr, "error": err}).Debug("crash not reported")
	}
	return res, err
}

// reportAddrs returns the addresses of the instances to report to: all if this instance
// holds the lease, else those that it knows.
func (s *suspects) reportAddrs() []string {
	own := s.instance.opts.Node.PeerAddr
	addrs := slices.Concat(s.instance.knownPeers(), s.instance.controller.InstanceAddrs())
	slices.Sort(addrs)
	return slices.DeleteFunc(slices.Compact(addrs), func(addr string) bool { return addr == own || addr == "" })
}

// ReportCrashes implements exchange.Exchange. An instance that doesn't hold the lease reports
// further what it didn't know, since the instance that saw it may reach neither the holder nor
// all others. The holder reports what all need to know.
func (e exchangeServer) ReportCrashes(ctx context.Context, req *exchange.CrashReport) (*exchange.CrashReportResponse, error) {
	s, holds := e.instance.suspects, e.instance.lease.Holds()
	changed := s.merge(req.GetSuspects())
	if holds {
		s.mu.Lock()
		maps.DeleteFunc(changed, func(f quarantine.Fingerprint, _ []quarantine.Crash) bool { return !s.isNeededByAll(f) })
		s.mu.Unlock()
	}
	if len(changed) == 0 {
		return &exchange.CrashReportResponse{HoldsLease: holds}, nil
	}
	reported := s.change(func() changes { return changed })
	timer := time.NewTimer(forwardWait)
	defer timer.Stop()
	select {
	case <-reported:
	case <-timer.C:
	case <-ctx.Done():
	}
	return &exchange.CrashReportResponse{HoldsLease: holds}, nil
}
