package caller

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

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

// report has a claim's result sent to the log. Ring full: the result is
// dropped, logged and counted; the key stays claimed for its window, and a
// resend finds the answer here.
func (s *Server) report(r *record.ClaimResult) {
	if s.results.put(r) {
		return
	}
	s.metrics.count("claim_results_dropped")
	s.opts.Log.WithFields(resultFields(r)).Warn("claim result dropped")
}

func (s *Server) sendResult(ctx context.Context, r *record.ClaimResult) {
	ctx, cancel := context.WithTimeout(ctx, resultTime)
	defer cancel()
	if err := s.opts.Claimer.Result(ctx, r); err != nil {
		s.metrics.count("claim_results_failed")
		s.opts.Log.WithFields(resultFields(r)).WithField("error", err).Warn("claim result not kept")
	}
}

func resultFields(r *record.ClaimResult) logrus.Fields {
	return logrus.Fields{"attempt": r.GetAttempt(), "outcome": r.GetOutcome().String()}
}
