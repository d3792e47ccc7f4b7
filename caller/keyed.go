package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/caller/api"
	"greengageferry/claims"
	"greengageferry/internal/digest"
	"greengageferry/record"
)

const (
	// minFetchInterval and maxFetchInterval bound the exponential backoff between
	// two queries for the first request's answer. It starts short relative to an
	// answer's seconds, and grows to limit the load on an instance that many
	// duplicates query.
	minFetchInterval = 50 * time.Millisecond
	maxFetchInterval = time.Second
	// maxFetchFailures is the number of consecutive failed queries after which the
	// first request's answer counts as lost.
	maxFetchFailures = 3
)

// claimRequest describes a request that must be claimed before it may run.
type claimRequest struct {
	key         string   // the caller's Idempotency-Key
	fingerprint [32]byte // of partner, path and canonical body
	attempt     string   // identifies this run to later requests with the same key
}

// serveClaimed claims the request. If the claim is granted, it runs the request;
// if an earlier request holds the key, it replays that request's answer. ctx does
// not end when the caller disconnects, so that a retry finds the answer; callerCtx
// does.
func (s *Server) serveClaimed(ctx, callerCtx context.Context, c *call, rw *response, j job, claim claimRequest) *api.Problem {
	key := digest.Sum([]byte(c.sender.partner), []byte(c.sender.caller), []byte(claim.key))
	claim.attempt = newID()
	s.answers.begin(claim.attempt)                         // before the claim, since a duplicate may query it as soon as the claim is known
	defer s.answers.finish(claim.attempt, Answer{}, false) // has an effect only after a panic: marks the answer as lost
	standing, err := s.opts.Claimer.Claim(ctx, &record.Claim{
		Key:         key[:],
		Fingerprint: claim.fingerprint[:],
		Instance:    s.opts.Instance,
		Attempt:     claim.attempt,
		Request:     c.id,
	})
	s.logClaim(c, claim, standing, err)
	switch standing.Verdict {
	case claims.Granted:
		return s.runClaimed(ctx, c, rw, j, claim, key)
	case claims.Taken:
		s.answers.forget(claim.attempt)
		return s.replay(callerCtx, c, rw, standing)
	case claims.Conflict:
		s.answers.forget(claim.attempt)
		p := invalid(http.StatusUnprocessableEntity, CodeKeyReused, "the idempotency key was used for another request")
		rw.problem(p)
		return p
	case claims.NotKept:
		s.answers.forget(claim.attempt)
		p := unavailable(CodeClaimNotKept, "the log takes no claims now", outageRetryAfter)
		rw.problem(p)
		return p
	default:
		p := unavailable(CodeClaimUncertain, "it isn't known whether the log took the claim; the request did not run", outageRetryAfter)
		rw.keepCopy = true
		rw.problem(p)
		s.finishClaimed(rw, claim, key, p)
		return p
	}
}

// runClaimed runs the request whose claim was granted and stores its answer.
func (s *Server) runClaimed(ctx context.Context, c *call, rw *response, j job, claim claimRequest, key [32]byte) *api.Problem {
	rw.keepCopy = true
	p := s.run(ctx, c, j)
	if p != nil {
		j.fail(p)
	}
	s.finishClaimed(rw, claim, key, p)
	return p
}

// finishClaimed stores the answer and reports the outcome to the log.
func (s *Server) finishClaimed(rw *response, claim claimRequest, key [32]byte, p *api.Problem) {
	a, ok := rw.answerCopy()
	s.answers.finish(claim.attempt, a, ok)
	outcome := record.ClaimResult_COMPLETE
	if p != nil && p.Outcome == api.OutcomeNotRun {
		outcome = record.ClaimResult_NOT_RUN
	} else if p != nil {
		outcome = record.ClaimResult_UNKNOWN
	}
	s.reportResult(&record.ClaimResult{Key: key[:], Attempt: claim.attempt, Outcome: outcome})
}

// replay waits for the first request's answer and sends it.
func (s *Server) replay(ctx context.Context, c *call, rw *response, standing claims.Standing) *api.Problem {
	a, p := s.awaitFirstAnswer(ctx, c, standing)
	if p != nil {
		rw.problem(p)
		return p
	}
	c.replayed = true
	rw.replay(a)
	return nil
}

// awaitFirstAnswer waits for the first request's answer until ctx ends. If the answer
// is lost, it returns immediately.
func (s *Server) awaitFirstAnswer(ctx context.Context, c *call, standing claims.Standing) (Answer, *api.Problem) {
	c.mayHaveRun = true // the first request may have
	wait := minFetchInterval
	for tries := 0; ; {
		a, finished, found, done, err := s.fetchAnswer(ctx, standing)
		switch {
		case err == nil && finished && found:
			return a, nil
		case err == nil && !found:
			return Answer{}, c.firstAnswerLostProblem(standing)
		case err != nil:
			if tries++; tries >= maxFetchFailures {
				return Answer{}, c.firstAnswerLostProblem(standing)
			}
		default:
			tries = 0
		}
		if !waitForAnswer(ctx, wait, done) {
			return Answer{}, c.firstStillRunningProblem(ctx)
		}
		wait = min(2*wait, maxFetchInterval)
	}
}

// fetchAnswer queries the instance that holds the claim for the answer. If that is
// this instance, done is closed once the attempt is finished; otherwise done is nil.
func (s *Server) fetchAnswer(ctx context.Context, standing claims.Standing) (a Answer, finished, found bool, done <-chan struct{}, err error) {
	if standing.Instance == s.opts.Instance {
		a, finished, found, done = s.answers.get(standing.Attempt)
		return a, finished, found, done, nil
	}
	a, finished, found, err = s.opts.Answers.Fetch(ctx, standing.Instance, standing.Attempt)
	return a, finished, found, nil, err
}

// waitForAnswer waits until done is closed or, if done is nil, for d. It returns
// false if ctx ended first.
func waitForAnswer(ctx context.Context, d time.Duration, done <-chan struct{}) bool {
	if done != nil {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// firstAnswerLostProblem returns the problem of a request whose key is claimed by a
// request without a stored answer.
func (c *call) firstAnswerLostProblem(standing claims.Standing) *api.Problem {
	if standing.Outcome == record.ClaimResult_UNKNOWN {
		return c.problem(http.StatusBadGateway, api.TypeServer, CodeFirstOutcomeUnknown, "it isn't known how the first request with this key ended", 0)
	}
	return c.problem(http.StatusBadGateway, api.TypeServer, CodeFirstAnswerLost, "the first request with this key was accepted, but its answer is lost", 0)
}

// firstStillRunningProblem returns the problem of a request that ended before the
// first request with its key.
func (c *call) firstStillRunningProblem(ctx context.Context) *api.Problem {
	if ctx.Err() == context.Canceled {
		return c.disconnectedProblem()
	}
	p := c.problem(http.StatusGatewayTimeout, api.TypeTimeout, CodeFirstStillRunning, "the first request with this key has not ended yet", shortRetryAfter)
	p.Retryable = true // a retry finds the first request and runs nothing
	return p
}

// replay sends a stored answer.
func (rw *response) replay(a Answer) {
	h := rw.w.Header()
	h.Set(HeaderReplayed, "true")
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", "1") // the first request did not run, and its key will soon be released
	}
	rw.call.id = a.Request
	rw.call.server.ID = a.Server
	rw.call.server.FailureDomain = a.FailureDomain
	rw.writeHeader(a.Status, a.ContentType)
	_ = rw.write(a.Body) // a disconnected caller needs no answer
}

func (s *Server) logClaim(c *call, claim claimRequest, standing claims.Standing, err error) {
	s.metrics.count("claims." + verdictNames[standing.Verdict])
	s.opts.Log.WithFields(logrus.Fields{
		"request": c.id,
		"attempt": claim.attempt,
		"verdict": verdictNames[standing.Verdict],
		"holder":  standing.Instance,
		"first":   standing.Request,
		"error":   err,
	}).Info("claim")
}

var verdictNames = map[claims.Verdict]string{
	claims.Granted:   "granted",
	claims.Taken:     "taken",
	claims.Conflict:  "conflict",
	claims.NotKept:   "not_kept",
	claims.Uncertain: "uncertain",
}
