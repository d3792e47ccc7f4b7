package caller

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/claims"
	"greengageferry/infra"
)

// Options is what a Server is built from. Directory, Engine, Services, Claimer,
// Quarantine, Answers and Log must be set.
type Options struct {
	Instance      string // this entry instance's id
	FailureDomain string // this entry instance's failure domain

	Directory  Directory
	Engine     infra.Engine
	Services   infra.Services
	Claimer    claims.Claimer
	Quarantine Quarantine
	Answers    Answers
	Observer   Observer // nil: nobody is told

	Limits  Limits
	Log     logrus.FieldLogger
	Metrics *expvar.Map // nil: kept, but shown nowhere
	Rand    *rand.Rand  // the scheduler's; nil: seeded at random. Owned by the Server from then on
}

// Limits bound what one caller's request and all of them together may take. A
// zero value takes its default.
type Limits struct {
	BodyBytes      int           // a request's body
	BodyTime       time.Duration // the time in which a request's body must arrive
	MaxTimeout     time.Duration // the longest deadline that a caller may ask for
	Requests       int           // requests in hand at once
	Ring           int           // places on the ring to the dispatcher
	AnswerBytes    int           // an answer that is held whole: not streamed, or kept for resends
	KeptBytes      int           // answers kept for resends, all together
	Results        int           // places on the ring of claims' results
	CancelsWaiting int           // places on the ring of attempts to cancel
}

// The defaults of Limits.
const (
	// DefaultBodyBytes holds a prompt of some 250,000 tokens.
	DefaultBodyBytes = 1 << 20
	// DefaultBodyTime lets the largest body through at 100 KB/s.
	DefaultBodyTime = 10 * time.Second
	// DefaultMaxTimeout is well below claims.Window, so that a claimed request
	// ends while its claim is remembered.
	DefaultMaxTimeout = 10 * time.Minute
	// DefaultRequests is a hundred times a node's part of the peak, which is
	// 1,100 requests a second of some 10 s over 370 nodes. At the 65 KB measured
	// for an open stream it bounds memory to 270 MB.
	DefaultRequests = 4096
	// DefaultRing holds a second's arrivals at a hundred times that peak.
	DefaultRing = 1024
	// DefaultAnswerBytes holds 1,024 tokens of any length seen, many times over.
	DefaultAnswerBytes = 1 << 20
	// DefaultKeptBytes holds a few thousand drafts of a page.
	DefaultKeptBytes = 8 << 20
	// DefaultResults holds the results of a burst while the log answers.
	DefaultResults = 1024
	// DefaultCancelsWaiting holds the attempts of a few servers that broke at once.
	DefaultCancelsWaiting = 1024
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.BodyTime, DefaultBodyTime)
	setDefault(&l.MaxTimeout, DefaultMaxTimeout)
	setDefault(&l.Requests, DefaultRequests)
	setDefault(&l.Ring, DefaultRing)
	setDefault(&l.AnswerBytes, DefaultAnswerBytes)
	setDefault(&l.KeptBytes, DefaultKeptBytes)
	setDefault(&l.Results, DefaultResults)
	setDefault(&l.CancelsWaiting, DefaultCancelsWaiting)
	return l
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// OptionError says that an option is missing.
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
