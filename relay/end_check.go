package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/decide"
	"greengageferry/internal/respbody"
	"greengageferry/netconn"
	"greengageferry/quarantine"
)

// EndedWithServerError reports that an answer that is framed by its connection may have been ended by
// the end of its server's process.
type EndedWithServerError struct{ verdict crashVerdict }

// Error implements error.
func (e *EndedWithServerError) Error() string {
	return "the answer ended with its connection, its server: " + crashVerdictNames[e.verdict]
}

// endedAlone reports whether an error is an *EndedWithServerError though the server may go on.
func endedAlone(err error) bool {
	var e *EndedWithServerError
	return errors.As(err, &e) && e.verdict != surelyCrashed
}

// endCheck finds out whether the process of a server ended together with its answer. The end of an
// answer that is framed by its connection looks the same in both cases.
type endCheck struct {
	relay   *Relay
	server  decide.Server
	sending *netconn.Sending // by which the answer came
	body    *respbody.Body
	began   time.Time // when the head of the answer had arrived
	witness *witness  // nil: the answer needs no check, or isn't a stream
}

// beginEndCheck is called when the head of an answer has arrived directly from the server. The check
// must be closed.
func (r *Relay) beginEndCheck(s decide.Server, sending *netconn.Sending, body *respbody.Body) *endCheck {
	e := &endCheck{relay: r, server: s, sending: sending, body: body, began: time.Now()}
	if e.needed() && body.Events() {
		e.witness = r.witnesses.acquire(s)
	}
	return e
}

// beginEndCheck is called when the head of the newest attempt's answer has arrived.
func (c *call) beginEndCheck(s decide.Server) *endCheck {
	if c.forwarded { // the instance that forwards says how the answer ended
		return &endCheck{body: c.answer}
	}
	return c.relay.beginEndCheck(s, &c.sending, c.answer)
}

func (e *endCheck) close() {
	if e.witness != nil {
		e.relay.witnesses.release(e.witness)
	}
}

// needed reports whether the end of the answer may be that of its server's process.
func (e *endCheck) needed() bool { return e.body.Framing() == respbody.ByConnection }

// verdict is called when the body has ended. Of a body that isn't a stream it only says whether the
// server has surely crashed.
func (e *endCheck) verdict() crashVerdict {
	endedAt := time.Now()
	e.sending.CloseConnection() // it must not seem to be open
	if e.witness != nil && e.witness.openAt(endedAt.Add(closingTime)) {
		return goesOn
	}
	if !e.body.Events() && e.relay.crashes.dialServer(e.server, endedAt) != dialRefused {
		return notKnown
	}
	openBefore := endedAt.Add(-quarantine.SurvivalMargin)
	if openBefore.Before(e.began) { // what was open then is connected to the process that began to answer
		openBefore = e.began
	}
	return e.relay.crashes.judgeBy(e.server, crashSigns{brokeAt: endedAt, openBefore: openBefore, dialedAfter: endedAt})
}

// isEmptyRest reports whether a stream goes on at a server that answered, framed by its connection,
// that there is nothing left of it.
func (c *call) isEmptyRest(err error) bool {
	return isNoEvent(err) && (c.stream.started || c.headers.LastEventID != "")
}

// isNoEvent reports whether a stream ended with its connection before its first event.
func isNoEvent(err error) bool {
	var e *respbody.TruncatedError
	return errors.As(err, &e) && e.End == respbody.NoEvent
}

// streamEnd returns why the stream that a read ended with err isn't complete, nil if it is.
func (c *call) streamEnd(d decide.Decision, res *http.Response, err error) error {
	if c.isEmptyRest(err) {
		if v := c.endVerdict(d, res); v == goesOn || v == presumablyCrashed {
			return nil // the server answers, and has no more events
		}
		return err
	}
	if err != io.EOF {
		return err
	}
	return c.bodyEnd(d, res)
}

// bodyEnd returns why an answer isn't complete whose framing says so, nil if it is. Where another
// server can be asked for the rest, it is complete only if its server goes on.
func (c *call) bodyEnd(d decide.Decision, res *http.Response) error {
	if !c.endCheck.needed() {
		return nil
	}
	verdict := c.endVerdict(d, res)
	complete := verdict != surelyCrashed || c.endsInOrder(d.Server)
	if c.stream.started && c.mayResume() {
		complete = verdict == goesOn || verdict != surelyCrashed && c.hasAllTokens()
	}
	if complete {
		return nil
	}
	return errors.WithStack(&EndedWithServerError{verdict})
}

// endVerdict returns whether the server's process ended with the newest attempt's answer.
func (c *call) endVerdict(d decide.Decision, res *http.Response) crashVerdict {
	verdict := notKnown
	name := res.Trailer.Get(headerForwardEnd)
	switch {
	case !c.forwarded:
		verdict = c.endCheck.verdict()
	case name != "":
		verdict = crashVerdictNamed(name)
	default:
		verdict = c.relay.forwarder.judge(d.Server, time.Now())
	}
	c.relay.opts.Metrics.CountConnectionEnd(crashVerdictNames[verdict])
	return verdict
}

// endsInOrder reports whether the server is known to be leaving: its process may end as soon as it
// has answered.
func (c *call) endsInOrder(s decide.Server) bool {
	_, inService := c.relay.inServiceServer(s.ID)
	return !inService || c.lastResponse.Leaving
}

// hasAllTokens reports whether the caller has got as many events as hold all the tokens that the answer
// may have. An event may hold none, so that this is no proof.
func (c *call) hasAllTokens() bool {
	return c.headers.MaxTokens > 0 && c.tokensSent() >= c.headers.MaxTokens
}
