// Package relay is a reverse proxy from callers to backend servers. It routes
// requests by host and longest path prefix and treats bodies as opaque. A Relay
// handles each HTTP request as a call; its dispatcher owns a decide.Scheduler,
// which decides about queueing, refusal, routing and retries. Package caller, the
// other interface for callers, uses decide.Scheduler too.
//
// Each request gets one final response. A status that promises "not run" is sent
// only if no attempt can have run.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/allowance"
	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/internal/respbody"
	"greengageferry/netconn"
	"greengageferry/residency"
	"greengageferry/topology"
)

// Headers reads and writes the platform-specific headers of requests and responses.
type Headers interface {
	// RequestHeaders decodes the headers of a caller's request.
	RequestHeaders(h http.Header) RequestHeaders
	// SetAttempt sets an attempt's headers in h, a copy of the caller's headers.
	SetAttempt(h http.Header, a AttemptHeaders)
	// ResponseHeaders decodes the headers of a server's response.
	ResponseHeaders(status int, h http.Header) ResponseHeaders
	// EventWeightVersion returns the version of the model's weights that a line of an event
	// states, 0 if it states none.
	EventWeightVersion(line []byte) int64
	// SetRemaining sets in an attempt's headers the time until the request's deadline.
	SetRemaining(h http.Header, remaining time.Duration)
	// SetRetryAfter sets the time after which a refused caller may retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// SetRequestID sets the request's id in a response that no server sent.
	SetRequestID(h http.Header, id string)
}

// RequestHeaders holds the decoded headers of a caller's request. A zero value means
// that the header is absent.
type RequestHeaders struct {
	ID           string // chosen by the caller, a new one for each of its own attempts
	Model        string
	Adapter      string
	Timeout      time.Duration      // how long the caller waits for the response
	LastEventID  string             // the caller resumes a stream after this event
	Resumes      string             // id of the attempt of the caller's that brought that stream's first event
	PromptTokens int                // tokens of the prompt
	MaxTokens    int                // upper bound of output tokens
	LengthHint   int                // output tokens that the caller expects
	PrefixHash   uint64             // of the prompt parts that other requests may share
	SharedParts  []string           // ids of these parts
	Key          topology.KeyDigest // of the caller's API key
}

// AttemptHeaders holds the headers that an attempt has in addition to the caller's.
type AttemptHeaders struct {
	Server      string        // only the server with this id may run the attempt
	Remaining   time.Duration // time until the request's deadline
	Urgency     int           // 1 (most urgent) to 9; 0: not set
	LastEventID string        // resume the stream after this event; empty: keep the caller's header
	Account     string        // name of the client account; empty: none
	Weights     int64         // only a server that holds the model at this version of its weights may run the attempt; 0: any
}

// ResponseHeaders holds the decoded headers of a server's response.
type ResponseHeaders struct {
	RequestID string
	ServerID  string
	Sealed    bool // has the seal by which a server marks a response as its own
	NotRun    bool // the server did not run the request
	Encoded   bool // has a Content-Encoding, so the body was changed on its way
	// WeightVersion is the version of the model's weights that wrote the body's beginning; 0:
	// not known.
	WeightVersion int64
	RateLimit     decide.RateLimit
	// RetryAfter is how long this instance should send no requests to a server that
	// refused this one; 0: not set.
	RetryAfter   time.Duration
	RefusalLimit int   // refusals per second above which the server fails; 0: it says nothing
	Leaving      bool  // the server will shut down soon and should get no new requests
	RateLimitErr error // set if RateLimit could not be decoded
	// NoticeErr is set if RetryAfter or Leaving could not be decoded.
	NoticeErr error
}

// Options configures a Relay. All fields must be set unless noted otherwise.
type Options struct {
	Headers Headers
	Log     logrus.FieldLogger
	Metrics Metrics
	// OnLeaving is called for each response that marks its server as leaving. It may be nil.
	OnLeaving func(topology.ServerStart)
	// Trust reports what the age of the configuration in force allows. It may be nil: the
	// configuration is always current.
	Trust func() ConfigTrust
	// Allowances keeps the client accounts' allowances. It may be nil: none has one.
	Allowances Allowances
	// Quarantine knows which requests crash servers. It may be nil: none is refused for it.
	Quarantine Quarantine
	// Origins knows at which software version streams began. It may be nil: streams that
	// callers take up again are refused.
	Origins Origins
	// Peers returns the addresses of other instances, through which servers are reached that
	// this instance doesn't reach itself. It may be nil: there are none.
	Peers func() []string
	// Addr is this instance's address for other instances; empty: there are no others.
	Addr string
	// Dial opens the connections to servers; nil: netconn.Dial.
	Dial netconn.DialFunc
	Rand *rand.Rand // owned by the Relay
}

// ConfigTrust is what an instance may do by a configuration that a newer one may have
// replaced.
type ConfigTrust struct {
	MayReject bool // answer for good that a route or an API key doesn't exist
	MayAccept bool // accept API keys
}

// Allowances keeps the allowances of client accounts.
type Allowances interface {
	// Admit charges a request that states the given number of tokens. It may wait until
	// the lease holder was asked, at most some 100 ms.
	Admit(ctx context.Context, account *topology.Account, tokens int) allowance.Decision
	// Return gives back the charge of a request that did not run.
	Return(account *topology.Account, tokens int)
}

// Metrics records what happens to requests.
type Metrics interface {
	// ObserveRequest counts a finished request by outcome and observes its duration.
	ObserveRequest(outcome string, took time.Duration)
	// ObserveFirstByte observes the time from a request's arrival to its response's first byte.
	ObserveFirstByte(took time.Duration)
	// ObserveQueueTime observes the time from a request's arrival to its first attempt.
	ObserveQueueTime(took time.Duration)
	// ObserveStreamGap observes the longest pause of a stream.
	ObserveStreamGap(longest time.Duration)
	// CountDecision counts a scheduler decision.
	CountDecision(action, reason string)
	// CountRankDecision counts a decision about a request whose rank competes with others for
	// servers. late: it can't meet its goal any more.
	CountRankDecision(action string, rank int, late bool)
	// CountRateLimitedAttempt counts an attempt at a server that names a rate limit.
	CountRateLimitedAttempt()
	// CountBacklogRefusal counts a refusal by the backlog of all instances, by whether the
	// caller can expect to be served when it comes back.
	CountBacklogRefusal(room bool)
	// CountBody counts a server's response by how its body was framed and ended.
	CountBody(framing respbody.Framing, end respbody.End)
	// CountConnectionEnd counts an answer that looked whole and ended with its connection, by what
	// is known of its server's process.
	CountConnectionEnd(verdict string)
	// CountResumption counts a stream that goes on at another server, by who took it up
	// ("answer": this call, "caller": a new request) and whether the server has the software
	// version at which the stream began ("same", "other" or "unknown") and a version of the
	// model's weights that is that of the newest event ("same", "higher", "lower" or "unknown").
	CountResumption(by, version, weights string)
	// CountEventOrder counts an event of a stream whose id doesn't follow the one before, by
	// place ("run" or "resumption") and fault ("repeated", "back" or "skipped").
	CountEventOrder(place, fault string)
	// CountGatewayAdmission counts an attempt at a server that fails by refusing which this
	// instance was asked to send, by what became of it: "at_once", "waited" or "full".
	CountGatewayAdmission(result string)
	// CountSendings counts an attempt that was given a connection, which had carried a
	// request before or not, and how often it was given another one after that.
	CountSendings(reused bool, again int)
}

// Relay is the HTTP handler of callers' requests.
type Relay struct {
	opts           Options
	view           atomic.Pointer[topology.View]
	dispatcher     *dispatcher
	backends       backends
	crashes        crashChecks
	witnesses      witnesses
	paths          *paths
	forwarder      *forwarder // nil: there are no other instances
	gateways       *gateways
	weights        refusedWeights
	memory         heldMemory // of requests in hand
	numbering      numberings // of streams' events
	routes         routeHistory
	handler        http.Handler
	durations      routeDurations
	shutdown       atomic.Pointer[Shutdown] // nil: the instance doesn't drain
	activeRequests atomic.Int64
	lastSerial     atomic.Uint64 // serial number of the newest request
}

// New returns a relay that refuses requests until SetView is called.
func New(o Options) *Relay {
	if o.Dial == nil {
		o.Dial = netconn.Dial
	}
	r := &Relay{opts: o, backends: backends{dial: o.Dial}, paths: newPaths(o.Dial, o.Log)}
	r.gateways = newGateways(o.Addr, o.Log, o.Metrics)
	r.crashes = crashChecks{dial: o.Dial, openBefore: r.backends.openBefore}
	r.witnesses = witnesses{dial: o.Dial}
	r.dispatcher = newDispatcher(o.Rand, o.Log, o.Metrics)
	r.handler = netconn.ResetTruncated(http.HandlerFunc(r.serve))
	if o.Peers != nil {
		r.forwarder = newForwarder(o.Peers)
	}
	return r
}

// SetView replaces the view of the deployment and the routing table built from it.
func (r *Relay) SetView(v *topology.View, t *decide.Table) {
	r.backends.retainListed(v.Servers)
	r.paths.retainListed(v.Servers)
	r.gateways.setInstances(v.Instances())
	if v.Config != nil {
		r.routes.update(time.Now(), v.Config)
		r.durations.retainListed(v.Config)
		r.numbering.retain(func(service string) bool { _, ok := v.Config.Services[service]; return ok })
	}
	r.dispatcher.setTable(t) // before the view, by which requests are given targets of the table
	r.view.Store(v)
	r.weights.wake()
}

// UpdateRemoteLoad sets the load that all other instances together put on a server.
// The figures are as old as age.
func (r *Relay) UpdateRemoteLoad(server string, load residency.Load, age time.Duration) {
	r.dispatcher.updateRemoteLoad(server, load, age)
}

// Loads returns the load of this instance's in-flight requests, by server id.
func (r *Relay) Loads() map[string]residency.Load { return r.dispatcher.loads() }

// Demand returns the demand for each target: requests that arrived since the last
// call, and those now waiting and in flight.
func (r *Relay) Demand() map[string]residency.TargetDemand { return r.dispatcher.demand() }

// Spread divides the demand for each target equally among the servers that serve the
// target, and returns the sums by server id.
func (r *Relay) Spread(demand map[string]float64) map[string]float64 {
	return r.dispatcher.spread(demand)
}

// ApplyRateShares applies the lease holder's allocation of servers' rate limits. The
// request that it answers was sent at the time sent.
func (r *Relay) ApplyRateShares(sent time.Time, shares decide.RateShares) {
	r.dispatcher.applyRateShares(sent, shares)
}

// Rates returns this instance's report to the lease holder on servers' rate
// limits: the known limits, and how many requests it wants to send to each server.
func (r *Relay) Rates() []decide.RateReport { return r.dispatcher.rates() }

// SetGateways replaces the instances that may be gateways of servers that fail by refusing.
func (r *Relay) SetGateways(m gateway.Members) { r.gateways.setMembers(m) }

// Gateways returns the instances that may be gateways, as last set.
func (r *Relay) Gateways() gateway.Members { return r.gateways.currentMembers() }

// RefusalLimits returns which services' servers fail by refusing.
func (r *Relay) RefusalLimits() []gateway.Limit { return r.gateways.knownLimits() }

// ObserveRefusalLimits records what another instance knows of services whose servers fail by
// refusing. It said so at the given time at the latest.
func (r *Relay) ObserveRefusalLimits(said time.Time, limits []gateway.Limit) {
	for _, l := range limits {
		r.gateways.observe(l.Service, l.PerSecond, said.Add(-l.Age), "instance")
	}
}

// RateLimitedServers returns how many servers name a rate limit.
func (r *Relay) RateLimitedServers() int { return r.dispatcher.rateLimitedServers() }

// PausedServers returns how many listed servers asked for a pause that has not ended.
func (r *Relay) PausedServers() int { return r.dispatcher.pausedServers() }

// SyncNeeded receives a signal when the lease holder should hear from this instance
// soon: after a request was queued, or a server's rate limit changed. It buffers one
// signal.
func (r *Relay) SyncNeeded() <-chan struct{} { return r.dispatcher.syncNeeded }

// RefuseWaiting refuses all queued requests and all that arrive from now on.
func (r *Relay) RefuseWaiting() { r.dispatcher.refuseWaiting() }

// ActiveRequests returns how many requests have arrived and not been finished.
func (r *Relay) ActiveRequests() int { return int(r.activeRequests.Load()) }

// ServeHTTP implements http.Handler. The ConnContext of its http.Server must be
// netconn.ConnContext.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

// serve answers one request.
func (r *Relay) serve(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	r.activeRequests.Add(1)
	defer r.activeRequests.Add(-1)
	c := &call{
		relay: r, w: w, req: req, arrived: arrived,
		headers:   r.opts.Headers.RequestHeaders(req.Header),
		decisions: make(chan decide.Decision, decisionBuffer),
	}
	// If a request has both a Content-Length and chunks, net/http reads the chunks and
	// hides the length. The bytes after the chunks may then be a smuggled request, which
	// its sender counts as body, so the connection is closed after any chunked request.
	if r.draining() || len(req.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer c.releaseMemory()
	outcome := c.serve()
	c.returnCharge(outcome)
	r.opts.Metrics.ObserveRequest(outcome, time.Since(arrived))
}
