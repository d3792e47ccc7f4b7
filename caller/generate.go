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

// loadEvery is how often one stream hands on the load reports that ride on it:
// they are averages over longer.
const loadEvery = 100 * time.Millisecond

// StreamError says that an engine's stream broke its rules or was cut.
type StreamError struct {
	Fault string // "gap", "cut", "too_many_tokens", "unknown_finish"
	Index int    // the index that was expected
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("engine stream: %s at token %d", e.Fault, e.Index)
}

// modelJob generates the answer to a model request.
type modelJob struct {
	server *Server
	call   *call
	sink   *sink
	prompt string
	seed   uint64
	reply  reply

	count  int      // tokens delivered
	tokens []string // the same, kept only where a cut stream may be resumed
	last   time.Time
}

// reply puts tokens into the form that the caller asked for.
type reply interface {
	token(token string) error
	finish(f infra.Finish, tokens int) error
	fail(p *api.Problem)
}

func (j *modelJob) fail(p *api.Problem) { j.reply.fail(p) }

func (j *modelJob) attempt(ctx context.Context, d decide.Decision) (decide.Outcome, *attemptError) {
	a := &generation{job: j, id: newID(), server: d.Server, began: time.Now()}
	err := a.run(ctx, d)
	o := decide.Outcome{Complete: err == nil, FirstToken: a.first, Total: time.Since(a.began), Tokens: a.tokens}
	if err == nil {
		return o, nil
	}
	if err.failure.Effect != infra.EffectNone {
		j.server.cancelAttempt(d.Server, a.id)
	}
	err.failure.Tokens = j.count
	return o, err
}

// generation is one attempt at a model request.
type generation struct {
	job      *modelJob
	id       string
	server   decide.Server
	began    time.Time
	first    time.Duration // from began to the first token; 0: none came
	tokens   int           // of this attempt
	loadSent time.Time
}

func (a *generation) run(ctx context.Context, d decide.Decision) *attemptError {
	dog := stall.Watch(ctx, a.job.call.firstLimit(a.began), a.job.call.idempotent)
	defer dog.Stop()
	return judge(dog.Context(), a.generate(dog, d))
}

func (a *generation) generate(dog *stall.Watchdog, d decide.Decision) *attemptError {
	j := a.job
	stream, err := j.server.opts.Engine.Generate(dog.Context(), a.server.Addr, infra.GenerateRequest{
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
			return a.broken(err)
		}
		dog.Disarm(j.call.stallLimit())
		done, aerr := a.take(e)
		if done || aerr != nil {
			return aerr
		}
		dog.Arm()
	}
}

// broken tells of a stream that ended without its end marker. That nothing ran
// is believed only while no token has come.
func (a *generation) broken(err error) *attemptError {
	if errors.Is(err, io.EOF) {
		return a.fault("cut", infra.ReasonUnreachable)
	}
	f := failureOf(err)
	if a.tokens > 0 {
		f.Effect = infra.EffectUnknown
	}
	return &attemptError{failure: f, err: err}
}

func (a *generation) fault(fault string, r infra.Reason) *attemptError {
	return &attemptError{
		failure: decide.Failure{Reason: r, Effect: infra.EffectUnknown},
		err:     &StreamError{Fault: fault, Index: a.job.count},
	}
}

// take takes one event in. done means that the answer is whole.
func (a *generation) take(e infra.Event) (done bool, err *attemptError) {
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
		return false, nil // only a load report
	case j.count >= j.call.maxTokens:
		return false, a.fault("too_many_tokens", infra.ReasonProtocol)
	}
	return false, a.deliver(e.Token)
}

func (a *generation) finish(f infra.Finish) (bool, *attemptError) {
	if f != infra.FinishStop && f != infra.FinishLength {
		return false, a.fault("unknown_finish", infra.ReasonProtocol)
	}
	if err := a.job.reply.finish(f, a.job.count); err != nil {
		return false, asAttemptError(err)
	}
	return true, nil
}

func (a *generation) deliver(token string) *attemptError {
	j := a.job
	if err := j.reply.token(token); err != nil {
		return asAttemptError(err)
	}
	now := time.Now()
	if j.count == 0 {
		j.server.metrics.firstToken.record(now.Sub(j.call.arrived))
	} else {
		j.server.metrics.gap.record(now.Sub(j.last))
	}
	if a.tokens == 0 {
		a.first = now.Sub(a.began)
	}
	j.last = now
	j.count++
	a.tokens++
	if j.call.idempotent {
		j.tokens = append(j.tokens, token)
	}
	return nil
}

// reportLoad hands on the load report that rides on an event.
func (a *generation) reportLoad(e infra.Event) {
	if e.Load == nil {
		return
	}
	now := time.Now()
	if now.Sub(a.loadSent) < loadEvery {
		return
	}
	a.loadSent = now
	a.job.server.Reported(a.server.ID, *e.Load, 0)
	a.job.server.opts.Observer.Reported(a.server.ID, *e.Load)
}

// asAttemptError tells of an answer that could not be handed to its caller.
func asAttemptError(err error) *attemptError {
	e := &attemptError{
		failure: decide.Failure{Reason: infra.ReasonCanceled, Effect: infra.EffectUnknown},
		err:     err,
	}
	var p *api.Problem
	if errors.As(err, &p) {
		e.final = p
		return e
	}
	e.gone = true
	return e
}

// wholeReply gathers the tokens of an answer that isn't streamed.
type wholeReply struct {
	sink *sink
	head api.Head
	text strings.Builder
	most int // bytes
}

func (r *wholeReply) token(token string) error {
	if r.text.Len()+len(token) > r.most {
		return r.sink.call.tooLarge()
	}
	r.text.WriteString(token)
	return nil
}

func (r *wholeReply) finish(f infra.Finish, tokens int) error {
	body := r.head.Whole(r.text.String(), string(f), tokens)
	r.sink.start(http.StatusOK, contentJSON)
	return r.sink.write(body)
}

func (r *wholeReply) fail(p *api.Problem) { r.sink.problem(p) }

// streamReply sends each token at once, as a server-sent event.
type streamReply struct {
	sink   *sink
	events *api.Events
	usage  bool // tell the token counts
}

func (r *streamReply) token(token string) error { return r.send(r.events.Token(token)) }

func (r *streamReply) finish(f infra.Finish, tokens int) error {
	if err := r.write(r.events.Finish(string(f))); err != nil {
		return err
	}
	if r.usage {
		if err := r.write(r.events.Usage(tokens)); err != nil {
			return err
		}
	}
	return r.send([]byte(api.Done))
}

// fail ends a stream that has begun with an error event, so that it can't be
// taken for a whole one.
func (r *streamReply) fail(p *api.Problem) {
	if !r.sink.started {
		r.sink.problem(p)
		return
	}
	_ = r.send(r.events.Problem(p, r.sink.call.id)) // a caller that is gone needs no answer
}

func (r *streamReply) send(b []byte) error {
	if err := r.write(b); err != nil {
		return err
	}
	return r.sink.flush()
}

func (r *streamReply) write(b []byte) error {
	if !r.sink.started {
		r.sink.start(http.StatusOK, contentEvents)
	}
	return r.sink.write(b)
}
