package caller

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/claims"
	"greengageferry/infra"
)

// Options configures a Server. Instance, FailureDomain, Directory, Engine,
// Services, Claimer, Quarantine, Answers and Log must be set.
type Options struct {
	Instance      string // this entry instance's ID
	FailureDomain string // this entry instance's failure domain

	Directory  Directory
	Engine     infra.Engine
	Services   infra.Services
	Claimer    claims.Claimer
	Quarantine Quarantine
	Answers    Answers
	Observer   Observer // optional

	Limits  Limits
	Log     logrus.FieldLogger
	Metrics *expvar.Map // if nil, the metrics are not exported
	Rand    *rand.Rand  // source for the scheduler, owned by the Server; if nil, seeded at random
}

// Limits bound the resources of one request and of all requests together. A zero
// field takes its default.
type Limits struct {
	BodyBytes           int           // bytes of a request's body
	BodyReadTimeout     time.Duration // time within which a request's body must arrive
	MaxTimeout          time.Duration // longest timeout that a caller may request
	ConcurrentRequests  int           // requests in flight at once
	DispatcherQueue     int           // capacity of the queue of events to the dispatcher
	BufferedAnswerBytes int           // bytes of one buffered answer: not streamed, or stored for replay
	AnswerCacheBytes    int           // bytes of all answers stored for replay
	ResultQueue         int           // capacity of the queue of claim results
	CancelQueue         int           // capacity of the queue of cancel requests to engines
}

// The defaults of Limits.
const (
	// DefaultBodyBytes holds a prompt of some 250,000 tokens.
	DefaultBodyBytes = 1 << 20
	// DefaultBodyReadTimeout lets the largest body arrive at 100 KB/s.
	DefaultBodyReadTimeout = 10 * time.Second
	// DefaultMaxTimeout is well below claims.Window, so that a claimed request
	// ends before its claim expires.
	DefaultMaxTimeout = 10 * time.Minute
	// DefaultConcurrentRequests is a hundred times a node's share of the peak, which is
	// 1,100 requests/s of some 10 s each on 370 nodes. At 65 KB per open stream
	// it bounds memory to 270 MB.
	DefaultConcurrentRequests = 4096
	// DefaultDispatcherQueue holds one second's arrivals at a hundred times that
	// peak.
	DefaultDispatcherQueue = 1024
	// DefaultBufferedAnswerBytes is many times the size of 1,024 of the longest tokens
	// seen.
	DefaultBufferedAnswerBytes = 1 << 20
	// DefaultAnswerCacheBytes holds a few thousand answers of one page of text.
	DefaultAnswerCacheBytes = 8 << 20
	// DefaultResultQueue holds the results of a burst while appends to the log are
	// pending.
	DefaultResultQueue = 1024
	// DefaultCancelQueue holds the attempts of a few servers that fail at once.
	DefaultCancelQueue = 1024
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.BodyReadTimeout, DefaultBodyReadTimeout)
	setDefault(&l.MaxTimeout, DefaultMaxTimeout)
	setDefault(&l.ConcurrentRequests, DefaultConcurrentRequests)
	setDefault(&l.DispatcherQueue, DefaultDispatcherQueue)
	setDefault(&l.BufferedAnswerBytes, DefaultBufferedAnswerBytes)
	setDefault(&l.AnswerCacheBytes, DefaultAnswerCacheBytes)
	setDefault(&l.ResultQueue, DefaultResultQueue)
	setDefault(&l.CancelQueue, DefaultCancelQueue)
	return l
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// OptionError reports a missing option.
type OptionError struct{ Field string }

// Error implements error.
func (e *OptionError) Error() string { return "caller: option " + e.Field + " is missing" }

func (o *Options) check() error {
	for _, f := range []struct {
		name    string
		missing bool
	}{
		{"Instance", o.Instance == ""},
		{"FailureDomain", o.FailureDomain == ""},
		{"Directory", o.Directory == nil},
		{"Engine", o.Engine == nil},
		{"Services", o.Services == nil},
		{"Claimer", o.Claimer == nil},
		{"Quarantine", o.Quarantine == nil},
		{"Answers", o.Answers == nil},
		{"Log", o.Log == nil},
	} {
		if f.missing {
			return &OptionError{Field: f.name}
		}
	}
	return nil
}
