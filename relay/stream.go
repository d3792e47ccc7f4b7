package relay

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"greengageferry/decide"
	"greengageferry/internal/respbody"
	"greengageferry/internal/stall"
	"greengageferry/topology"
)

// streamState describes what of a stream was sent to the caller, over all attempts.
type streamState struct {
	started   bool
	status    int    // that the caller got
	mediaType string // of the first answer
	version   string // software version of the server that sent the first event; empty: not known
	events    int
	lastID    string        // id of the last complete event that has one
	lastWrite time.Time     // when data was last sent
	maxGap    time.Duration // the longest time between two writes

	scanner        eventScanner
	event          eventState // the newest event, which is incomplete
	order          eventOrder
	cutInside      bool   // the newest attempt broke off inside an event
	firstLine      bool   // the next line is the first of an answer
	skippedTo      string // id with which a server last went on behind a gap
	resuming       bool   // the next event is the first of a server at which the stream goes on
	unnumbered     bool   // an event without an id followed the one with lastID
	disorderLogged bool   // an event out of order was logged
	runWeights     int64  // version of the model's weights that writes the newest answer's events; 0: not known
	weights        int64  // the same of the newest event
}

// streamBufferSize is the size of a read buffer, in bytes: a few events.
const streamBufferSize = 8 << 10

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferSize); return &b }}

// streamRun is what one attempt brings of a stream.
type streamRun struct {
	decision     decide.Decision
	res          *http.Response
	headers      ResponseHeaders
	sent         time.Time // when the attempt was sent
	firstData    time.Time // zero: none has arrived
	eventsBefore int       // of the stream, when the run began
	pending      []byte    // the received part of an incomplete event, of a resumable stream
}

// relayStream relays an event stream as it arrives. A resumable stream is sent in whole
// events only, so that another server can continue after the last one.
func (c *call) relayStream(ctx context.Context, d decide.Decision, res *http.Response, sent time.Time, watch *stall.Watchdog) string {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	run := &streamRun{decision: d, res: res, headers: c.lastResponse, sent: sent, eventsBefore: c.stream.events}
	c.noteResumption(d.Server, run.headers)
	c.beginEvents(run.headers)
	rc := http.NewResponseController(c.w)
	for {
		n, err := res.Body.Read(*buf)
		if n > 0 {
			if watch.Disarm(max(minStreamGapTimeout, streamGapFactor*c.route.MaxGap)) && !c.stream.started {
				// The watchdog has ended the attempt. Starting the stream now would
				// send the caller a truncated response, where a retry or an error
				// response is still possible.
				return c.handleAttemptError(ctx, d, context.Cause(ctx))
			}
			watch.Arm()
			if outcome, proceed := c.passOn(ctx, run, (*buf)[:n], rc); !proceed {
				return outcome
			}
		}
		if err != nil {
			return c.endRun(ctx, run, err)
		}
	}
}

// passOn sends the caller what may be passed on of data that has arrived. proceed is false if the
// run ends here; outcome is then as of attempt.
func (c *call) passOn(ctx context.Context, run *streamRun, data []byte, rc *http.ResponseController) (outcome string, proceed bool) {
	now := time.Now()
	if run.firstData.IsZero() {
		run.firstData = now
		c.noteFirstData(now)
	}
	c.noteProgress(now)
	if c.route.Retry == topology.Resumable {
		data, run.pending = splitWholeEvents(run.pending, data)
	}
	data, disorder := c.takeEvents(run.decision.Server, data)
	if err := c.sendEvents(run.decision, run.res, data, rc); err != nil {
		c.relay.dispatcher.abandon(c)
		c.logEnd(writeFailure(err), run.res.StatusCode)
		return outcomeCallerLeft, false
	}
	if disorder != nil {
		return c.handleStreamError(ctx, run.decision, run.res, disorder), false
	}
	return "", true
}

// endRun handles the end of a run, at which a read returned err. The result is as of attempt.
func (c *call) endRun(ctx context.Context, run *streamRun, err error) string {
	if err = c.streamEnd(run.decision, run.res, err); err != nil {
		c.stream.cutInside = beginsEvent(run.pending)
		return c.handleStreamError(ctx, run.decision, run.res, err)
	}
	if c.stream.cutInside && c.stream.events == run.eventsBefore { // there is more than the server says
		return c.handleNotResumed(run.decision, run.res, run.headers)
	}
	return c.endStream(run)
}

// noteFirstData records when the first data of the newest attempt's stream arrived.
func (c *call) noteFirstData(at time.Time) {
	c.setAnswer(func(a *answerState) { a.beganAt = at })
	c.relay.dispatcher.streamStarted(c)
}

// endStream ends a call whose stream is complete.
func (c *call) endStream(run *streamRun) string {
	if !c.stream.started { // a stream without events is complete if its framing says so
		c.startStream(run.res, run.decision.Server)
	}
	c.reportCompletion()
	tokensPerEvent := 1
	if c.service.Engine != nil {
		tokensPerEvent = c.service.Engine.TokensPerEvent
	}
	events := c.stream.events - run.eventsBefore
	o := decide.Outcome{Complete: true, Total: time.Since(run.sent), Tokens: events * tokensPerEvent}
	if !run.firstData.IsZero() {
		o.FirstToken = run.firstData.Sub(run.sent)
	}
	c.complete(o)
	c.logEnd(reasonAnswered, run.res.StatusCode)
	return outcomeDone
}

// handleStreamError handles a stream that ended prematurely.
func (c *call) handleStreamError(ctx context.Context, d decide.Decision, res *http.Response, err error) string {
	if !c.stream.started || c.mayResume() {
		return c.handleAttemptError(ctx, d, err)
	}
	c.mayHaveRun = true
	c.relay.dispatcher.abandon(c)
	if c.callerLeft() {
		c.logEnd("caller_left", res.StatusCode)
		return outcomeCallerLeft
	}
	c.logFailedAttempt(d, err.Error(), res.StatusCode)
	if !isDisordered(err) { // else the server still answers
		c.reportBrokenResponse(ctx, d)
	}
	c.abort("stream_broke")
	return outcomeBroken
}

// startStream sends the stream's status and headers.
func (c *call) startStream(res *http.Response, s decide.Server) {
	c.stream.started = true
	c.stream.status = res.StatusCode
	c.stream.mediaType = mediaTypeOf(res)
	c.stream.version = s.SoftwareVersion
	c.stream.weights = cmp.Or(c.stream.weights, c.stream.runWeights)
	c.rememberOrigin(s)
	c.firstByte = time.Now()
	c.relay.opts.Metrics.ObserveFirstByte(time.Since(c.arrived))
	if c.mayResume() { // another server's rest may be longer or shorter
		res.Header.Del("Content-Length")
	}
	c.writeHead(res.StatusCode, res.Header)
}

// sendEvents sends data of the stream to the caller and flushes it.
func (c *call) sendEvents(d decide.Decision, res *http.Response, data []byte, rc *http.ResponseController) error {
	if len(data) == 0 {
		return nil
	}
	if !c.stream.started {
		c.startStream(res, d.Server)
	}
	now := time.Now()
	if !c.stream.lastWrite.IsZero() {
		c.stream.maxGap = max(c.stream.maxGap, now.Sub(c.stream.lastWrite))
	}
	c.stream.lastWrite = now
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return rc.Flush()
}

// splitWholeEvents appends data to pending, which has no complete event, and splits the result after its
// last complete event. It takes time in proportion to data, however long pending is.
func splitWholeEvents(pending, data []byte) (whole, rest []byte) {
	all := append(pending, data...)
	at := respbody.EndOfLastEvent(all, len(pending))
	if at == 0 {
		return nil, all
	}
	return all[:at], bytes.Clone(all[at:])
}
