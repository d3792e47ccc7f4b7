package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/topology"
)

const (
	// defaultTimeout is a request's time where neither its caller nor its route sets one.
	defaultTimeout = 30 * time.Second
	// timeoutMargin is how long before the end of a request's time its final
	// answer is sent, so that it still arrives within it.
	timeoutMargin = 30 * time.Millisecond
	// leastPatience, goalsPatient and gapsPatient give how long callers wait for a
	// stream's first event; patienceMargin is for the way to them.
	leastPatience  = 2 * time.Second
	goalsPatient   = 4
	gapsPatient    = 8
	patienceMargin = 100 * time.Millisecond
	// unconfiguredRetry is when to come back to an instance that knows no
	// configuration yet: it reads one within a second of its start.
	unconfiguredRetry = 500 * time.Millisecond
	// firstUrgency and lowestUrgency translate a route's rank, 0 first, to the
	// urgency that servers know, 1 to 9, of which 5 is the usual one.
	firstUrgency  = 3
	lowestUrgency = 9
	// rankedFirst is how many ranks go before the others in the queues here.
	rankedFirst = 2
)

// The classes of ends that are counted.
const (
	outcomeDone       = "done"        // the server's whole answer went out
	outcomeRefused    = "refused"     // not run
	outcomeUnknown    = "unknown"     // may have run; an error was answered
	outcomeBroken     = "broken"      // an answer that had begun was broken off
	outcomeCallerLeft = "caller_left" // nobody waits for the answer
	outcomeRejected   = "rejected"    // the request itself can't be served
)

// call is one request of a caller, from its arrival to its final answer.
type call struct {
	relay   *Relay
	w       http.ResponseWriter
	req     *http.Request
	arrived time.Time
	said    Request

	id        string // unique at this instance
	version   int64  // of the configuration that it is handled by
	route     *topology.Route
	service   *topology.Service
	target    string
	body      []byte
	deadline  time.Time
	decisions chan decide.Decision
	at        string // the server that its attempt is at; the desk's lock guards it

	attempts     int
	sent         bool       // an attempt was begun
	ran          bool       // an attempt may have run
	failed       *kept      // the newest whole failure that a server answered
	lastAnswer   Answer     // the newest answer to any attempt
	lastAnswerBy string     // the id of the server that lastAnswer came from
	stream       streamSent // what of a stream the caller has
	firstByte    time.Time
}

// kept is a server's whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// serve answers the request and returns the class of its end.
func (c *call) serve() string {
	v := c.relay.view.Load()
	if v == nil || v.Config == nil {
		return c.refuse("unconfigured", unconfiguredRetry)
	}
	if !strings.HasPrefix(c.req.RequestURI, "/") || c.said.ID == "" {
		return c.reject(http.StatusBadRequest, "malformed")
	}
	if status, reason := c.readBody(v.Config.Limits); status != 0 {
		return c.reject(status, reason)
	}
	v = c.relay.view.Load() // a body may have taken long: the newest configuration holds
	path, _, _ := strings.Cut(c.req.RequestURI, "?")
	c.route = v.Index.Match(c.req.Host, path)
	if c.route == nil {
		return c.reject(http.StatusNotFound, "no_route")
	}
	c.version = v.Config.Version
	name := c.route.Pick(rand.Float64())
	service := v.Config.Services[name]
	c.service = &service
	c.target = name
	if service.Engine != nil {
		c.target = topology.TargetName(name, c.said.Model, c.said.Adapter)
	}
	c.setDeadline()
	return c.run()
}

func (c *call) setDeadline() {
	timeout := defaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if c.said.Timeout > 0 {
		timeout = min(timeout, c.said.Timeout)
	}
	c.deadline = c.arrived.Add(timeout - min(timeoutMargin, timeout/4))
}

// request returns what the scheduler needs to know.
func (c *call) request() decide.Request {
	r := decide.Request{
		ID:           c.id,
		Target:       c.target,
		Priority:     max(0, rankedFirst-c.route.Rank),
		Arrived:      c.arrived,
		Deadline:     c.deadline,
		PromptTokens: c.said.PromptTokens,
		MaxTokens:    c.said.MaxTokens,
		LengthHint:   c.said.LengthHint,
		Prefix:       c.said.SharedPrefix,
		Idempotent:   c.route.Repeat != topology.RunOnce,
		MaxAttempts:  c.route.Attempts,
	}
	if c.route.Stream {
		r.Goal = c.route.Goal
		r.FirstTokenDeadline = c.arrived.Add(max(leastPatience, goalsPatient*c.route.Goal, gapsPatient*c.route.MaxGap) - patienceMargin)
	}
	return r
}

// run follows the scheduler's decisions to the final answer.
func (c *call) run() string {
	ctx, cancel := context.WithDeadline(c.req.Context(), c.deadline)
	defer cancel()
	c.id = c.said.ID + "#" + strconv.FormatUint(c.relay.serial.Add(1), 10)
	c.relay.desk.arrive(c, c.request())
	for {
		select {
		case <-ctx.Done():
			c.relay.desk.left(c)
			return c.timeUp(ctx)
		case d := <-c.decisions:
			if d.Action == decide.ActionRefuse {
				return c.giveUp(d)
			}
			if outcome := c.attempt(ctx, d); outcome != "" {
				return outcome
			}
		}
	}
}

// timeUp ends a call whose time is up, or whose caller has gone.
func (c *call) timeUp(ctx context.Context) string {
	if c.req.Context().Err() != nil {
		c.log(reasonLeft, 0)
		return outcomeCallerLeft
	}
	if c.stream.begun {
		c.abort("deadline")
	}
	if !c.ran {
		return c.refuse("deadline", time.Second)
	}
	return c.fail(http.StatusGatewayTimeout, "deadline")
}

// giveUp ends a call that the scheduler won't have tried (again).
func (c *call) giveUp(d decide.Decision) string {
	switch {
	case c.stream.begun:
		c.abort(string(d.Reason))
		return outcomeBroken
	case c.failed != nil:
		c.writeKept(c.failed)
		c.log("server_failure", c.failed.status)
		return outcomeDone
	case c.ran:
		return c.fail(http.StatusBadGateway, string(d.Reason))
	case d.Reason == decide.ReasonUnknownTarget:
		return c.refuse(string(d.Reason), time.Second)
	}
	return c.refuse(string(d.Reason), d.RetryAfter)
}

// refuse answers that the request has not run and never will.
func (c *call) refuse(reason string, after time.Duration) string {
	c.relay.opts.Headers.Refuse(c.w.Header(), after)
	c.answer(http.StatusServiceUnavailable, reason)
	return outcomeRefused
}

// fail answers that it isn't known whether the request ran.
func (c *call) fail(status int, reason string) string {
	c.answer(status, reason)
	return outcomeUnknown
}

// reject answers that the request itself can't be served.
func (c *call) reject(status int, reason string) string {
	if status != http.StatusNotFound {
		c.w.Header().Set("Connection", "close") // what follows on the connection can't be trusted
	}
	c.answer(status, reason)
	return outcomeRejected
}

// answer writes an answer of the system's own.
func (c *call) answer(status int, reason string) {
	h := c.w.Header()
	c.relay.opts.Headers.Echo(h, c.said.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text) // the caller has gone if it fails
	c.log(reason, status)
}

// abort breaks the answer off, so that it can't look complete.
func (c *call) abort(reason string) {
	c.log(reason, 0)
	c.relay.opts.Metrics.Ended(outcomeBroken, time.Since(c.arrived))
	panic(http.ErrAbortHandler)
}

// The reasons of ends that are no failure.
const (
	reasonAnswered = "answered" // the server's whole answer went out
	reasonLeft     = "caller_left"
)

// wentWell says whether an end is no failure: its line explains nothing, and may
// be left out first where lines have to be.
func wentWell(reason string) bool { return reason == reasonAnswered || reason == reasonLeft }

// log writes the one line for the request's end.
func (c *call) log(reason string, status int) {
	f := logrus.Fields{
		"request":  c.said.ID,
		"reason":   reason,
		"status":   status,
		"attempts": c.attempts,
		"may_run":  c.ran,
		"ms":       time.Since(c.arrived).Milliseconds(),
		"config":   c.version,
	}
	if c.route != nil {
		f["route"] = c.route.Name
		f["target"] = c.target
	}
	if c.lastAnswer.Leaving {
		f["server"], f["server_leaving"] = c.lastAnswerBy, true
	}
	if c.stream.begun {
		f["events"] = c.stream.events
		f["last_event"] = c.stream.last
		f["max_gap_ms"] = c.stream.maxGap.Milliseconds()
		c.relay.opts.Metrics.Gap(c.stream.maxGap)
	}
	if !c.firstByte.IsZero() {
		f["first_byte_ms"] = c.firstByte.Sub(c.arrived).Milliseconds()
	}
	level := logrus.WarnLevel
	if wentWell(reason) {
		level = logrus.InfoLevel
	}
	c.relay.opts.Log.WithFields(f).Log(level, "request ended")
}

// readBody reads the caller's whole body, since an attempt that failed may have
// to be sent again. It returns the status and the reason of a refusal, or 0.
func (c *call) readBody(l topology.Limits) (int, string) {
	if c.req.Body == nil || c.req.ContentLength == 0 {
		return 0, ""
	}
	if c.req.ContentLength > l.BodyBytes && l.BodyBytes > 0 {
		return http.StatusRequestEntityTooLarge, "body_too_large"
	}
	rc := http.NewResponseController(c.w)
	if l.IdleTimeout > 0 {
		_ = rc.SetReadDeadline(time.Now().Add(l.IdleTimeout)) // net/http's own connections support it
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.req.Body, limit))
	c.body = body
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return 0, ""
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body_too_large"
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout, "body_timeout"
	}
	return http.StatusBadRequest, "body_broken"
}

// defaultBodyBytes bounds a body where the configuration doesn't.
const defaultBodyBytes = 4 << 20

// attemptFailed tells the scheduler how an attempt failed; a decision follows.
func (c *call) attemptFailed(f decide.Failure) {
	c.ran = c.ran || f.Effect != infra.EffectNone
	f.Tokens = c.tokens()
	c.relay.desk.failed(c, f)
}

// tokens returns how many tokens of the answer the caller has.
func (c *call) tokens() int {
	if c.service.Engine == nil {
		return 0
	}
	return c.stream.events * c.service.Engine.TokensPerEvent
}
