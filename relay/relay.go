// Package relay passes callers' HTTP requests through to backend servers, by
// host and longest path prefix, with opaque bodies in both directions. It shares
// the scheduler of package decide with the other callers' interface: who waits,
// is refused, goes where and is tried again is decided there.
//
// Each request gets one final answer. A status that promises "not run" is given
// only where no attempt can have run.
package relay

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/residency"
	"greengageferry/topology"
)

// Headers translates the headers of a deployment's platform.
type Headers interface {
	// Request decodes what a caller's request says of itself.
	Request(h http.Header) Request
	// Forward writes an attempt's headers over a copy of the caller's.
	Forward(h http.Header, a Attempt)
	// Answer decodes what a server's answer says of itself.
	Answer(status int, h http.Header) Answer
	// Refuse writes when a refused caller may come back.
	Refuse(h http.Header, after time.Duration)
	// Echo names the request in an answer of the system's own.
	Echo(h http.Header, id string)
}

// Request is what a caller's request says of itself. Zero values were not said.
type Request struct {
	ID           string // the caller's id of this attempt of its own
	Model        string
	Adapter      string
	Timeout      time.Duration // how long the caller waits
	LastEvent    string        // the caller resumes a stream after this event
	PromptTokens int           // of the prompt
	MaxTokens    int           // of the answer
	LengthHint   int           // tokens that the caller expects of the answer
	SharedPrefix uint64
}

// Attempt is what an attempt's headers say beside the caller's own.
type Attempt struct {
	Server    string        // only this server, by id, may run it
	Left      time.Duration // until the caller or the route gives up
	Urgency   int           // 1 to 9, 1 goes first; 0: not said
	LastEvent string        // go on after this event; empty: as the caller said
}

// Answer is what a server's answer says of itself.
type Answer struct {
	RequestID string
	ServerID  string
	Sealed    bool // it bears the server's proof that the answer is its own
	NotRun    bool // the server did not run the request
	Encoded   bool // the body isn't as the server made it
	RateLimit decide.RateLimit
	// RetryAfter is how long this instance should send no requests to a server that
	// refused this one; 0: not said.
	RetryAfter time.Duration
	Leaving    bool  // the server will shut down soon and should get no new requests
	Problem    error // RateLimit could not be decoded; nil: it could
	// NoticeProblem says that RetryAfter or Leaving could not be decoded; nil: they could.
	NoticeProblem error
}

// Options is what a Relay is built from. All fields must be set unless noted otherwise.
type Options struct {
	Headers Headers
	Log     logrus.FieldLogger
	Metrics Metrics
	// OnLeaving is called for each answer that says that its server is leaving. It may be nil.
	OnLeaving func(topology.ServerStart)
	Rand      *rand.Rand // owned by the Relay from then on
}

// Metrics is told of what happens to requests.
type Metrics interface {
	// Ended counts a request's end by its route's name for the class of its end.
	Ended(outcome string, took time.Duration)
	// FirstByte observes the time from a request's arrival to its answer's first byte.
	FirstByte(took time.Duration)
	// Waited observes the time from a request's arrival to its first attempt.
	Waited(took time.Duration)
	// Gap observes the longest pause of a stream.
	Gap(longest time.Duration)
	// Decided counts a decision.
	Decided(action, reason string)
	// SentLimited counts an attempt at a server that names a rate limit.
	SentLimited()
}

// Relay is the handler of the callers' requests.
type Relay struct {
	opts     Options
	view     atomic.Pointer[topology.View]
	desk     *desk
	backends backends
	draining atomic.Bool
	inHand   atomic.Int64  // requests
	serial   atomic.Uint64 // of the last request
}

// New returns a relay that knows of no deployment yet.
func New(o Options) *Relay {
	r := &Relay{opts: o}
	r.desk = newDesk(o.Rand, o.Log, o.Metrics)
	return r
}

// SetView replaces what is known of the deployment, with the routing table
// that was built from it.
func (r *Relay) SetView(v *topology.View, t *decide.Table) {
	r.view.Store(v)
	r.backends.keep(v.Servers)
	r.desk.setTable(t)
}

// Reported takes in what the other instances have at a server, as old as age.
func (r *Relay) Reported(server string, load residency.Load, age time.Duration) {
	r.desk.reported(server, load, age)
}

// Loads returns what this instance has in flight, by server.
func (r *Relay) Loads() map[string]residency.Load { return r.desk.loads() }

// Demand returns what was asked for since the last call, by target.
func (r *Relay) Demand() map[string]residency.TargetDemand { return r.desk.demand() }

// Spread divides what is wanted of targets among the servers that serve them.
func (r *Relay) Spread(wanted map[string]float64) map[string]float64 { return r.desk.spread(wanted) }

// RatesTold takes in what the lease holder told of servers' rate limits, in answer to
// a word that was sent at a time.
func (r *Relay) RatesTold(sent time.Time, told decide.RateShares) { r.desk.ratesTold(sent, told) }

// Rates returns what this instance knows of servers' rate limits, and what it wants of them.
func (r *Relay) Rates() []decide.RateSaid { return r.desk.rates() }

// RateLimited returns how many servers name a rate limit.
func (r *Relay) RateLimited() int { return r.desk.rateLimited() }

// Paused returns how many listed servers asked for a pause that has not ended.
func (r *Relay) Paused() int { return r.desk.paused() }

// Wanted is readable after a request had to wait for a target without a
// replica. It bears at most one signal.
func (r *Relay) Wanted() <-chan struct{} { return r.desk.wanted }

// Drain has every connection closed after its next answer.
func (r *Relay) Drain() { r.draining.Store(true) }

// RefuseWaiting refuses what waits for a server, and whatever arrives from now on.
func (r *Relay) RefuseWaiting() { r.desk.drain() }

// InHand returns how many requests are in hand.
func (r *Relay) InHand() int { return int(r.inHand.Load()) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	r.inHand.Add(1)
	defer r.inHand.Add(-1)
	c := &call{
		relay: r, w: w, req: req, arrived: arrived,
		said:      r.opts.Headers.Request(req.Header),
		decisions: make(chan decide.Decision, decisionsKept),
	}
	// net/http takes a request that bears both a length and chunks by its chunks
	// and hides the length. What follows them may be another request smuggled in
	// what its sender calls the body, so nothing more is read after any chunks.
	if r.draining.Load() || len(req.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	outcome := c.serve()
	r.opts.Metrics.Ended(outcome, time.Since(arrived))
}
