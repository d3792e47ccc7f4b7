package relay

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/allowance"
	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/respbody"
	"greengageferry/netconn"
	"greengageferry/quarantine"
	"greengageferry/topology"
)

const (
	// defaultTimeout is a request's timeout if neither its caller nor its route sets one.
	defaultTimeout = 30 * time.Second
	// timeoutMargin is how long before a request's timeout its final response is sent,
	// so that the response still arrives in time.
	timeoutMargin = 30 * time.Millisecond
	// Callers wait for a stream's first event for the longest of minFirstEventTimeout,
	// firstEventGoalFactor times the route's latency goal and firstEventGapFactor times
	// its longest gap. firstEventMargin is for the network between caller and instance.
	minFirstEventTimeout = 2 * time.Second
	firstEventGoalFactor = 4
	firstEventGapFactor  = 8
	firstEventMargin     = 100 * time.Millisecond
	// unconfiguredRetryAfter is the Retry-After of an instance without a configuration.
	// An instance reads its configuration within a second of its start.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// topUrgency is the urgency sent to servers for a route of rank 0, the most urgent.
	// Each further rank adds 1, up to lowestUrgency. Servers accept urgencies from 1, the
	// most urgent, to 9; their default is 5.
	topUrgency    = 3
	lowestUrgency = 9
	// prioritizedRanks is how many ranks have a raised priority in this instance's
	// queues; all further ranks share one priority.
	prioritizedRanks = 2
)

// call handles one request of a caller, from its arrival to its final response.
type call struct {
	relay   *Relay
	w       http.ResponseWriter
	req     *http.Request
	arrived time.Time
	headers RequestHeaders

	id            string // unique within this instance
	configVersion int64  // of the configuration in use for the request
	route         *topology.Route
	account       *topology.Account // nil: the request has no known API key and needs none
	charged       *topology.Account // whose allowance the request is charged to; nil: none
	service       *topology.Service
	target        string // guarded by dispatcher.mu once the request is submitted
	anyVersion    string // target without a restriction to a software version
	version       string // software version of the servers that may run the request; empty: any
	weights       int64  // version of the model's weights of the servers that may run the request; 0: any
	takenUp       Origin // where the stream began that the request takes up; zero: it takes up none
	body          []byte
	held          int64 // bytes reserved in Relay.memory
	deadline      time.Time
	decisions     chan decide.Decision
	serverID      string // of the server that the attempt was dispatched to, empty: none; guarded by dispatcher.mu
	startCounted  bool   // the call was once sent to a server; guarded by dispatcher.mu

	attempts           int
	sendings           int               // connections that attempts were given, at most one for each is right
	sending            netconn.Sending   // of the newest attempt
	sentTo             []string          // ids of the servers of all attempts
	repeat             int               // how often the request was sent to the newest attempt's server before
	timeLeft           time.Duration     // until the deadline that the newest attempt told its server
	answer             *respbody.Body    // body of the newest attempt's response; nil: there is none
	endCheck           *endCheck         // of that body
	sent               bool              // an attempt was started
	sentAt             time.Time         // when the newest attempt was started
	mayHaveRun         bool              // an attempt may have run
	lastFailure        *bufferedResponse // the newest error response that was read completely
	lastResponse       ResponseHeaders   // headers of the newest response to any attempt
	lastResponseServer string            // id of the server that sent lastResponse
	expected           int64             // version of the weights that the newest attempt stated; 0: none
	stream             streamState       // what of a stream was sent to the caller
	firstByte          time.Time

	cancel           context.CancelCauseFunc // ends all attempts
	forwarded        bool                    // the newest attempt was sent through another instance
	verdict          Verdict                 // what was known against the request when the newest attempt began
	reported         <-chan struct{}         // closed once other instances know of the newest crash; nil: there was none
	fingerprintOnce  sync.Once
	fingerprintValue quarantine.Fingerprint // see fingerprint
	partsOnce        sync.Once
	parts            []quarantine.Fingerprint // see partFingerprints
	answerMu         sync.Mutex
	answerState      answerState // guarded by answerMu
}

// bufferedResponse is a server's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// serve sends the response and returns the request's outcome.
func (c *call) serve() string {
	c.limitWriting(c.arrived.Add(defaultTimeout))
	if !c.reserve(requestOverhead) {
		return c.refuseForMemory()
	}
	v := c.relay.view.Load()
	if v == nil || v.Config == nil {
		return c.refuse("unconfigured", unconfiguredRetryAfter)
	}
	if _, sendable := targetURL("", c.req.RequestURI); !sendable || !strings.HasPrefix(c.req.RequestURI, "/") || c.headers.ID == "" {
		return c.reject(http.StatusBadRequest, "malformed")
	}
	if a := c.admit(v); a.status != 0 {
		return c.respondDenied(a)
	}
	switch status, reason := c.readBody(v.Config.Limits); status {
	case 0:
	case http.StatusServiceUnavailable:
		return c.refuseForMemory()
	default:
		return c.reject(status, reason)
	}
	if c.callerLeft() {
		return c.endCallerLeft()
	}
	v = c.relay.view.Load() // reading the body may take long: use the newest configuration
	a := c.admit(v)
	if a.status != 0 {
		return c.respondDenied(a)
	}
	c.setAdmission(v, a)
	if outcome := c.prepare(v); outcome != "" {
		return outcome
	}
	return c.run()
}

// prepare charges the admitted request to its account and sets its target and deadline. It returns the
// outcome of a request that is refused, "" of others.
func (c *call) prepare(v *topology.View) string {
	resumed, ok := c.origin()
	if !ok {
		return c.refuse(reasonOriginUnknown, originRetryAfter)
	}
	c.takenUp = resumed
	if d := c.charge(); d.Verdict != allowance.Admitted {
		return c.refuseCharge(d)
	}
	c.setTarget(v, cmp.Or(resumed.Service, c.route.Pick(rand.Float64())))
	if resumed.Version != "" {
		if reason := c.restrictToOrigin(v); reason != "" {
			return c.refuse(reason, originRetryAfter)
		}
	}
	c.avoidNewVersion(v)
	c.avoidNewWeights(v)
	c.setDeadline()
	if !c.endsBeforeShutdown() {
		return c.endForShutdown()
	}
	return ""
}

// setTarget sets the service that runs the request, and the target there.
func (c *call) setTarget(v *topology.View, name string) {
	service := v.Config.Services[name]
	c.service = &service
	c.target = name
	if service.Engine != nil {
		c.target = topology.TargetName(name, c.headers.Model, c.headers.Adapter)
	}
	c.anyVersion = c.target
}

// path returns the path of the request as its caller sent it, without the query.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.req.RequestURI, "?")
	return path
}

func (c *call) setDeadline() {
	timeout := defaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if c.headers.Timeout > 0 {
		timeout = min(timeout, c.headers.Timeout)
	}
	c.deadline = c.arrived.Add(timeout - min(timeoutMargin, timeout/4))
	c.limitWriting(c.deadline)
}

// schedulerRequest returns the scheduler's description of the request.
func (c *call) schedulerRequest() decide.Request {
	r := decide.Request{
		ID:           c.id,
		Target:       c.target,
		Priority:     max(0, prioritizedRanks-c.rank()),
		Rank:         c.rank(),
		Account:      c.accountName(),
		Arrived:      c.arrived,
		Deadline:     c.schedulerDeadline(),
		PromptTokens: c.headers.PromptTokens,
		MaxTokens:    c.headers.MaxTokens,
		LengthHint:   c.headers.LengthHint,
		Prefix:       c.headers.PrefixHash,
		Idempotent:   c.route.Retry != topology.AtMostOnce,
		MaxAttempts:  c.route.Attempts,
		Suspect:      c.verdict.Crashes >= isolatedFrom || c.verdict.isTrial(),
		Affinity:     c.affinity(),

		CrashedServers: c.verdict.Servers,
	}
	if c.route.Stream {
		r.Goal = c.route.Goal
		r.FirstTokenDeadline = c.arrived.Add(max(minFirstEventTimeout, firstEventGoalFactor*c.route.Goal, firstEventGapFactor*c.route.MaxGap) - firstEventMargin)
	}
	return r
}

// run carries out the scheduler's decisions until the final response is sent, and
// returns the request's outcome.
func (c *call) run() string {
	ctx, cancel := context.WithDeadline(c.req.Context(), c.deadline)
	defer cancel()
	ctx, c.cancel = context.WithCancelCause(ctx)
	defer c.cancel(nil)
	if c.updateVerdict(); c.verdict.Quarantined {
		return c.endQuarantined()
	}
	c.id = c.headers.ID + "#" + strconv.FormatUint(c.relay.lastSerial.Add(1), 10)
	c.relay.dispatcher.submit(c, c.schedulerRequest())
	for {
		select {
		case <-ctx.Done():
			c.relay.dispatcher.abandon(c)
			return c.endOnContextDone(ctx)
		case <-c.weightsChanged():
			if outcome := c.reconsiderWeights(); outcome != "" {
				return outcome
			}
		case d := <-c.decisions:
			if d.Action == decide.ActionRefuse {
				return c.endOnRefusal(d)
			}
			if c.callerLeft() {
				c.relay.dispatcher.abandon(c)
				return c.endCallerLeft()
			}
			if outcome := c.endIfKeyRevoked(); outcome != "" {
				return outcome
			}
			if c.excludesReplica(d) {
				c.reportFailure(decide.Failure{Reason: infra.ReasonCanceled, Effect: infra.EffectNone, Unsent: true})
				continue
			}
			if !c.endsBeforeShutdown() {
				c.relay.dispatcher.abandon(c)
				return c.endForShutdown()
			}
			if outcome, proceed := c.checkBeforeAttempt(ctx); outcome != "" {
				return outcome
			} else if !proceed {
				continue
			}
			if outcome := c.attempt(ctx, d); outcome != "" {
				return outcome
			}
		}
	}
}

// readBody reads the caller's whole body, since a retry may have to send it again. On
// failure it returns the status and the reason to reject the request with, else 0.
func (c *call) readBody(l topology.Limits) (int, string) {
	if c.req.Body == nil || c.req.ContentLength == 0 {
		return 0, ""
	}
	if c.req.ContentLength > l.BodyBytes && l.BodyBytes > 0 {
		return http.StatusRequestEntityTooLarge, "body_too_large"
	}
	rc := http.NewResponseController(c.w)
	if l.IdleTimeout > 0 {
		_ = rc.SetReadDeadline(time.Now().Add(l.IdleTimeout)) // always supported by net/http connections
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(&reservingReader{http.MaxBytesReader(c.w, c.req.Body, limit), c})
	c.body = body
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	var full *memoryFullError
	switch {
	case err == nil:
		return 0, ""
	case errors.As(err, &full):
		return http.StatusServiceUnavailable, reasonMemoryFull
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body_too_large"
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout, "body_timeout"
	}
	return http.StatusBadRequest, "body_broken"
}

// defaultMaxBodyBytes is the body size limit if the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// reportFailure tells the scheduler how an attempt failed. The scheduler then sends a
// decision.
func (c *call) reportFailure(f decide.Failure) {
	c.mayHaveRun = c.mayHaveRun || f.Effect != infra.EffectNone
	f.Tokens = c.tokensSent()
	f.Target, f.TargetMissing = c.restrictedTarget()
	c.relay.dispatcher.attemptFailed(c, f)
}

// tokensSent returns how many output tokens were sent to the caller.
func (c *call) tokensSent() int {
	if c.service.Engine == nil {
		return 0
	}
	return c.stream.events * c.service.Engine.TokensPerEvent
}
