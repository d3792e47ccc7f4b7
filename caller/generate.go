package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"greengageferry/caller/api"
	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/stall"
)

// loadReportInterval is the least time between two load reports of one stream that
// are passed to the scheduler. The reports average over a longer time.
const loadReportInterval = 100 * time.Millisecond

// StreamError reports that an engine's stream violated the protocol or ended
// early.
type StreamError struct {
	Fault string // "gap", "cut", "too_many_tokens", "unknown_finish"
	Index int    // the expected token index
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("engine stream: %s at token %d", e.Fault, e.Index)
}

// modelJob is the job of a model request. It generates the answer at an engine.
type modelJob struct {
	server   *Server
	call     *call
	response *response
	prompt   string
	seed     uint64
	encoder  encoder

	count       int      // number of tokens written
	tokens      []string // the tokens written; kept only if an interrupted stream may be resumed
	lastTokenAt time.Time
}

// encoder writes tokens in the form that the caller requested.
type encoder interface {
	token(token string) error
	finish(f infra.Finish, tokens int) error
	fail(p *api.Problem)
}

func (j *modelJob) fail(p *api.Problem) { j.encoder.fail(p) }

func (j *modelJob) attempt(ctx context.Context, d decide.Decision) (decide.Outcome, *attemptError) {
	a := &modelAttempt{job: j, id: newID(), server: d.Server, startedAt: time.Now()}
	err := a.run(ctx, d)
	o := decide.Outcome{Complete: err == nil, FirstToken: a.timeToFirstToken, Total: time.Since(a.startedAt), Tokens: a.tokens}
	if err == nil {
		return o, nil
	}
	if err.failure.Effect != infra.EffectNone {
		j.server.cancelAttempt(d.Server, a.id)
	}
	err.failure.Tokens = j.count
	return o, err
}

// modelAttempt is one attempt at a model request.
type modelAttempt struct {
	job              *modelJob
	id               string
	server           decide.Server
	startedAt        time.Time
	timeToFirstToken time.Duration // 0 if no token arrived
	tokens           int           // received in this attempt
	loadReportedAt   time.Time
}

func (a *modelAttempt) run(ctx context.Context, d decide.Decision) *attemptError {
	watchdog := stall.Watch(ctx, a.job.call.firstTokenTimeout(a.startedAt), a.job.call.idempotent)
	defer watchdog.Stop()
	return asStall(watchdog.Context(), a.generate(watchdog, d))
}

func (a *modelAttempt) generate(watchdog *stall.Watchdog, d decide.Decision) *attemptError {
	j := a.job
	stream, err := j.server.opts.Engine.Generate(watchdog.Context(), a.server.Addr, infra.GenerateRequest{
		Attempt:   a.id,
		Model:     j.call.target.Model,
		Adapter:   j.call.target.Adapter,
		Version:   d.Version,
		Prompt:    j.prompt,
		MaxTokens: j.call.maxTokens,
		Priority:  j.call.priority,
		Prefix:    j.tokens,
		Seed:      j.seed,
	})
	if err != nil {
		return &attemptError{failure: failureOf(err), err: err}
	}
	defer func() { _ = stream.Close() }()
	for {
		e, err := stream.Recv()
		if err != nil {
			return a.streamError(err)
		}
		watchdog.Disarm(j.call.tokenGapTimeout())
		done, aerr := a.handleEvent(e)
		if done || aerr != nil {
			return aerr
		}
		watchdog.Arm()
	}
}

// streamError returns the error of a stream that ended without its end marker.
// Once a token has arrived, the effect is unknown even if the error says none.
func (a *modelAttempt) streamError(err error) *attemptError {
	if errors.Is(err, io.EOF) {
		return a.fault("cut", infra.ReasonUnreachable)
	}
	f := failureOf(err)
	if a.tokens > 0 {
		f.Effect = infra.EffectUnknown
	}
	return &attemptError{failure: f, err: err}
}

func (a *modelAttempt) fault(fault string, r infra.Reason) *attemptError {
	return &attemptError{
		failure: decide.Failure{Reason: r, Effect: infra.EffectUnknown},
		err:     &StreamError{Fault: fault, Index: a.job.count},
	}
}

// handleEvent processes one event of the stream. done is true once the answer is
// complete.
func (a *modelAttempt) handleEvent(e infra.Event) (done bool, err *attemptError) {
	j := a.job
	if e.Attempt != a.id {
		j.server.metrics.count("events_dropped.wrong_attempt")
		return false, nil
	}
	a.reportLoad(e)
	switch {
	case e.Index < j.count:
		j.server.metrics.count("events_dropped.out_of_place")
		return false, nil
	case e.Index > j.count:
		return false, a.fault("gap", infra.ReasonProtocol)
	case e.Finish != "":
		return a.finish(e.Finish)
	case e.Token == "":
		return false, nil // the event carries only a load report
	case j.count >= j.call.maxTokens:
		return false, a.fault("too_many_tokens", infra.ReasonProtocol)
	}
	return false, a.deliver(e.Token)
}

func (a *modelAttempt) finish(f infra.Finish) (bool, *attemptError) {
	if f != infra.FinishStop && f != infra.FinishLength {
		return false, a.fault("unknown_finish", infra.ReasonProtocol)
	}
	if err := a.job.encoder.finish(f, a.job.count); err != nil {
		return false, deliveryError(err)
	}
	return true, nil
}

func (a *modelAttempt) deliver(token string) *attemptError {
	j := a.job
	if err := j.encoder.token(token); err != nil {
		return deliveryError(err)
	}
	now := time.Now()
	if j.count == 0 {
		j.server.metrics.firstToken.record(now.Sub(j.call.arrived))
	} else {
		j.server.metrics.tokenGap.record(now.Sub(j.lastTokenAt))
	}
	if a.tokens == 0 {
		a.timeToFirstToken = now.Sub(a.startedAt)
	}
	j.lastTokenAt = now
	j.count++
	a.tokens++
	if j.call.idempotent {
		j.tokens = append(j.tokens, token)
	}
	return nil
}

// reportLoad passes on the load report carried by an event.
func (a *modelAttempt) reportLoad(e infra.Event) {
	if e.Load == nil {
		return
	}
	now := time.Now()
	if now.Sub(a.loadReportedAt) < loadReportInterval {
		return
	}
	a.loadReportedAt = now
	a.job.server.ReportLoad(a.server.ID, *e.Load, 0)
	a.job.server.opts.Observer.ReportLoad(a.server.ID, *e.Load)
}

// deliveryError returns the error of an answer that could not be delivered to its
// caller.
func deliveryError(err error) *attemptError {
	e := &attemptError{
		failure: decide.Failure{Reason: infra.ReasonCanceled, Effect: infra.EffectUnknown},
		err:     err,
	}
	var p *api.Problem
	if errors.As(err, &p) {
		e.final = p
		return e
	}
	e.disconnected = true
	return e
}

// bufferedEncoder collects the tokens of an answer that is not streamed.
type bufferedEncoder struct {
	response *response
	info     api.AnswerInfo
	text     strings.Builder
	maxBytes int // of text
}

func (r *bufferedEncoder) token(token string) error {
	if r.text.Len()+len(token) > r.maxBytes {
		return r.response.call.answerTooLargeProblem()
	}
	r.text.WriteString(token)
	return nil
}

func (r *bufferedEncoder) finish(f infra.Finish, tokens int) error {
	body := r.info.JSON(r.text.String(), string(f), tokens)
	r.response.writeHeader(http.StatusOK, contentJSON)
	return r.response.write(body)
}

func (r *bufferedEncoder) fail(p *api.Problem) { r.response.problem(p) }

// streamEncoder sends each token immediately, as a server-sent event.
type streamEncoder struct {
	response     *response
	events       *api.EventEncoder
	includeUsage bool // send the token counts in a last chunk
}

func (r *streamEncoder) token(token string) error { return r.send(r.events.Token(token)) }

func (r *streamEncoder) finish(f infra.Finish, tokens int) error {
	if err := r.write(r.events.Finish(string(f))); err != nil {
		return err
	}
	if r.includeUsage {
		if err := r.write(r.events.Usage(tokens)); err != nil {
			return err
		}
	}
	return r.send([]byte(api.DoneEvent))
}

// fail ends a stream that has started with an error event, so that it cannot be
// mistaken for a complete one.
func (r *streamEncoder) fail(p *api.Problem) {
	if !r.response.started {
		r.response.problem(p)
		return
	}
	_ = r.send(r.events.Problem(p, r.response.call.id)) // a disconnected caller needs no answer
}

func (r *streamEncoder) send(b []byte) error {
	if err := r.write(b); err != nil {
		return err
	}
	return r.response.flush()
}

func (r *streamEncoder) write(b []byte) error {
	if !r.response.started {
		r.response.writeHeader(http.StatusOK, contentEvents)
	}
	return r.response.write(b)
}
