package caller

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/record"
)

const (
	// resultTimeout limits how long one claim result is retried during a log
	// outage. A lost result has little effect: a later request with the same key
	// still finds the answer at this instance.
	resultTimeout = 30 * time.Second
	// maxConcurrentResults is large enough to fill the batches of the claims
	// batcher.
	maxConcurrentResults = 64
)

// reportResult queues a claim's result for the log. If the queue is full the result
// is dropped, logged and counted. The key then stays claimed for claims.Window, and
// a later request with the same key finds the answer at this instance.
func (s *Server) reportResult(r *record.ClaimResult) {
	if s.results.put(r) {
		return
	}
	s.metrics.count("claim_results_dropped")
	s.opts.Log.WithFields(resultFields(r)).Warn("claim result dropped")
}

func (s *Server) sendResult(ctx context.Context, r *record.ClaimResult) {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	if err := s.opts.Claimer.Result(ctx, r); err != nil {
		s.metrics.count("claim_results_failed")
		s.opts.Log.WithFields(resultFields(r)).WithField("error", err).Warn("claim result not recorded")
	}
}

func resultFields(r *record.ClaimResult) logrus.Fields {
	return logrus.Fields{"attempt": r.GetAttempt(), "outcome": r.GetOutcome().String()}
}
