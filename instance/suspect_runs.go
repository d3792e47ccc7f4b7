package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"greengageferry/exchange"
	"greengageferry/quarantine"
	"greengageferry/residency"
)

const (
	// permitTTL is how long a permitted run keeps the request's other copies from running if
	// its end is not reported.
	permitTTL = 3 * time.Second
)

// suspectRuns permits, at the lease holder, single runs of requests under which two servers
// crashed. Copies that instances send at the same moment would crash a server each, before
// any instance knows of another's crash. It is safe for concurrent use.
type suspectRuns struct {
	mu    sync.Mutex
	until map[quarantine.Fingerprint]time.Time // when the newest permit of a request ends
}

// permit reports whether a request may run now.
func (r *suspectRuns) permit(now time.Time, f quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, until := range r.until {
		if !now.Before(until) {
			delete(r.until, other)
		}
	}
	if _, running := r.until[f]; running {
		return false
	}
	if r.until == nil {
		r.until = map[quarantine.Fingerprint]time.Time{}
	}
	r.until[f] = now.Add(permitTTL)
	return true
}

// completed ends a request's permit: a server has completed the request.
func (r *suspectRuns) completed(f quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.until, f)
}

// permitHere reports, at the lease holder, whether a request may run now, or one with a condemned
// part.
func (s *suspects) permitHere(now time.Time, f quarantine.Fingerprint) bool {
	if f.IsPart() {
		s.mu.Lock()
		due := s.set.TrialDue(now, []quarantine.Fingerprint{f}, s.condemned, s.since)
		s.mu.Unlock()
		if !due {
			return false
		}
	}
	return s.runs.permit(now, f)
}

// PermitRun implements relay.Quarantine. Without an answer of a lease holder a request may run:
// copies of it meet at one server as long as the instances see the same servers. A trial of a part
// of prompts may not, since requests with it meet nowhere.
func (s *suspects) PermitRun(ctx context.Context, f quarantine.Fingerprint) bool {
	i := s.instance
	if i.lease.Holds() {
		return s.permitHere(time.Now(), f)
	}
	holder := i.recentHolder()
	if holder == "" {
		return !f.IsPart()
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := exchange.NewExchangeProtobufClient("http://"+holder, s.client).PermitSuspect(ctx, &exchange.SuspectRun{Fingerprint: f[:]})
	if err != nil {
		i.log.WithFields(logrus.Fields{"holder": holder, "fingerprint": f.String(), "error": err}).Warn("lease holder did not answer whether a suspect may run")
		return !f.IsPart()
	}
	return res.GetGranted()
}

// PermitSuspect implements exchange.Exchange.
func (e exchangeServer) PermitSuspect(_ context.Context, req *exchange.SuspectRun) (*exchange.SuspectPermit, error) {
	if !e.instance.lease.Holds() {
		return nil, twirp.NewError(twirp.FailedPrecondition, (&residency.NotHolderError{}).Error())
	}
	var f quarantine.Fingerprint
	if len(req.GetFingerprint()) != len(f) {
		return nil, twirp.InvalidArgumentError("fingerprint", "has another length")
	}
	copy(f[:], req.GetFingerprint())
	return &exchange.SuspectPermit{Granted: e.instance.suspects.permitHere(time.Now(), f)}, nil
}
