package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/caller/api"
	"greengageferry/claims"
	"greengageferry/record"
)

const (
	// fetchFirst and fetchMost bound the wait between two questions for the
	// first's answer: short beside an answer's seconds, and few for an instance
	// that many resends ask.
	fetchFirst = 50 * time.Millisecond
	fetchMost  = time.Second
	// fetchTries is how often in a row a holder may not answer before its
	// answer counts as lost.
	fetchTries = 3
)

// digest returns the SHA-256 of the parts, each with its length before it, so
// that no two lists of parts look alike.
func digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func writePart(h hash.Hash, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	h.Write(length[:])
	h.Write(p)
}

// claimed is a request that must be claimed before it may run.
type claimed struct {
	key         string   // the caller's Idempotency-Key
	fingerprint [32]byte // of partner, path and canonical body
	attempt     string   // the claim's attempt: names this run to resends
}

// serveClaimed claims the request, and runs it or answers with the first's
// answer. ctx does not end when the caller leaves: its resend shall find the
// answer.
func (s *Server) serveClaimed(ctx, callerCtx context.Context, c *call, k *sink, j job, cl claimed) *api.Problem {
	key := digest([]byte(c.who.partner), []byte(c.who.caller), []byte(cl.key))
	cl.attempt = newID()
	s.answers.begin(cl.attempt)                         // before the claim: a resend may find it first
	defer s.answers.finish(cl.attempt, Answer{}, false) // after a panic: resends learn that it is lost
	st, err := s.opts.Claimer.Claim(ctx, &record.Claim{
		Key:         key[:],
		Fingerprint: cl.fingerprint[:],
		Instance:    s.opts.Instance,
		Attempt:     cl.attempt,
		Request:     c.id,
	})
	s.logClaim(c, cl, st, err)
	switch st.Verdict {
	case claims.Granted:
		return s.runClaimed(ctx, c, k, j, cl, key)
	case claims.Taken:
		s.answers.forget(cl.attempt)
		return s.replay(callerCtx, c, k, st)
	case claims.Conflict:
		s.answers.forget(cl.attempt)
		p := invalid(http.StatusUnprocessableEntity, CodeKeyReused, "the idempotency key was used for another request")
		k.problem(p)
		return p
	case claims.NotKept:
		s.answers.forget(cl.attempt)
		p := notRunYet(CodeClaimNotKept, "the log takes no claims now", afterOutage)
		k.problem(p)
		return p
	default:
		p := notRunYet(CodeClaimUncertain, "it isn't known whether the log took the claim; the request did not run", afterOutage)
		k.keep = true
		k.problem(p)
		s.finishClaimed(k, cl, key, p)
		return p
	}
}

// runClaimed runs the request, the only one that may, and keeps its answer.
func (s *Server) runClaimed(ctx context.Context, c *call, k *sink, j job, cl claimed, key [32]byte) *api.Problem {
	k.keep = true
	p := s.run(ctx, c, j)
	if p != nil {
		j.fail(p)
	}
	s.finishClaimed(k, cl, key, p)
	return p
}

// finishClaimed keeps the answer and tells the log how the run ended.
func (s *Server) finishClaimed(k *sink, cl claimed, key [32]byte, p *api.Problem) {
	a, ok := k.answer()
	s.answers.finish(cl.attempt, a, ok)
	outcome := record.ClaimResult_COMPLETE
	if p != nil && p.Outcome == api.OutcomeNotRun {
		outcome = record.ClaimResult_NOT_RUN
	} else if p != nil {
		outcome = record.ClaimResult_UNKNOWN
	}
	s.report(&record.ClaimResult{Key: key[:], Attempt: cl.attempt, Outcome: outcome})
}

// replay answers with the first's answer, once there is one.
func (s *Server) replay(ctx context.Context, c *call, k *sink, st claims.Standing) *api.Problem {
	a, p := s.firstAnswer(ctx, c, st)
	if p != nil {
		k.problem(p)
		return p
	}
	c.replayed = true
	k.replay(a)
	return nil
}

// firstAnswer waits for the first's answer, at most until the deadline. That
// it is lost is told at once.
func (s *Server) firstAnswer(ctx context.Context, c *call, st claims.Standing) (Answer, *api.Problem) {
	c.mayHaveRun = true // the first may have
	wait := fetchFirst
	for tries := 0; ; {
		a, finished, found, done, err := s.fetch(ctx, st)
		switch {
		case err == nil && finished && found:
			return a, nil
		case err == nil && !found:
			return Answer{}, c.lostProblem(st)
		case err != nil:
			if tries++; tries >= fetchTries {
				return Answer{}, c.lostProblem(st)
			}
		default:
			tries = 0
		}
		if !pause(ctx, wait, done) {
			return Answer{}, c.stillRuns(ctx)
		}
		wait = min(2*wait, fetchMost)
	}
}

// fetch asks the holder for the answer. done, if not nil, is closed once the
// answer of a run on this instance is finished.
func (s *Server) fetch(ctx context.Context, st claims.Standing) (a Answer, finished, found bool, done <-chan struct{}, err error) {
	if st.Instance == s.opts.Instance {
		a, finished, found, done = s.answers.get(st.Attempt)
		return a, finished, found, done, nil
	}
	a, finished, found, err = s.opts.Answers.Fetch(ctx, st.Instance, st.Attempt)
	return a, finished, found, nil, err
}

// pause waits for d, or until done is closed where there is one. It says false
// if ctx ended.
func pause(ctx context.Context, d time.Duration, done <-chan struct{}) bool {
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

func (c *call) lostProblem(st claims.Standing) *api.Problem {
	if st.Outcome == record.ClaimResult_UNKNOWN {
		return c.problem(http.StatusBadGateway, api.TypeServer, CodeFirstUnknown, "it isn't known how the first request with this key ended", 0)
	}
	return c.problem(http.StatusBadGateway, api.TypeServer, CodeFirstLost, "the first request with this key was accepted, but its answer is lost", 0)
}

func (c *call) stillRuns(ctx context.Context) *api.Problem {
	if ctx.Err() == context.Canceled {
		return c.goneProblem()
	}
	p := c.problem(http.StatusGatewayTimeout, api.TypeTimeout, CodeFirstStillRuns, "the first request with this key has not ended yet", soon)
	p.Again = true // a resend finds the first, and runs nothing
	return p
}

// replay sends an answer that was given before.
func (k *sink) replay(a Answer) {
	h := k.w.Header()
	h.Set(HeaderReplayed, "true")
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", "1") // the first did not run, and its key is about to be free
	}
	k.call.id = a.Request
	k.call.server.ID = a.Server
	k.call.server.FailureDomain = a.FailureDomain
	k.start(a.Status, a.ContentType)
	_ = k.write(a.Body) // a caller that is gone needs no answer
}

func (s *Server) logClaim(c *call, cl claimed, st claims.Standing, err error) {
	s.metrics.count("claims." + verdictNames[st.Verdict])
	s.opts.Log.WithFields(logrus.Fields{
		"request": c.id,
		"attempt": cl.attempt,
		"verdict": verdictNames[st.Verdict],
		"holder":  st.Instance,
		"first":   st.Request,
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
