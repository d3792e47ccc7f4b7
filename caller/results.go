package caller

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/record"
)

const (
	// resultTime bounds the report of one claim's result through an outage of
	// the log. A result that is lost costs little: a resend still finds the
	// answer at this instance.
	resultTime = 30 * time.Second
	// resultsAtOnce lets the claims' batcher fill its batches.
	resultsAtOnce = 64
)

type claimResult = *record.ClaimResult

// report has a claim's result sent to the log. Ring full: the result is
// dropped, logged and counted; the key stays claimed for its window, and a
// resend finds the answer here.
func (s *Server) report(r claimResult) {
	s.inHand.hold()
	select {
	case s.results <- r:
	default:
		s.inHand.leave()
		s.metrics.count("claim_results_dropped")
		s.opts.Log.WithFields(logrus.Fields{"attempt": r.GetAttempt(), "outcome": r.GetOutcome().String()}).Warn("claim result dropped")
	}
}

// sendResults is the duty that sends claims' results. Those that are under way
// when ctx ends are cut off; in a graceful shutdown there are none, since Idle
// waits for them.
func (s *Server) sendResults(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(resultsAtOnce)
	defer func() { _ = g.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-s.results:
			g.Go(func() error {
				s.sendResult(ctx, r)
				return nil
			})
		}
	}
}

func (s *Server) sendResult(ctx context.Context, r claimResult) {
	defer s.inHand.leave()
	ctx, cancel := context.WithTimeout(ctx, resultTime)
	defer cancel()
	if err := s.opts.Claimer.Result(ctx, r); err != nil {
		s.metrics.count("claim_results_failed")
		s.opts.Log.WithFields(logrus.Fields{
			"attempt": r.GetAttempt(),
			"outcome": r.GetOutcome().String(),
			"error":   err,
		}).Warn("claim result not kept")
	}
}
