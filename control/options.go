package control

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/replay"
)

// Views follows the failure domain's control stream.
type Views interface {
	// View returns the newest view, or nil before the stream was read to its end once.
	View() *replay.ControlView
	// Changed is readable after View changed. It bears at most one signal.
	Changed() <-chan struct{}
	// Down says that the log can't be read now.
	Down() bool
}

// Lists gives the platform's list of instances. fleet.Watcher implements it.
type Lists interface {
	// List returns the list as last read, or nil before the first.
	List() *fleet.List
}

// Planner decides about moves. decide.Planner implements it.
type Planner interface {
	Plan(in decide.PlanInput) []decide.Move
}

// Demand asks the failure domain's entry instances what their callers ask for.
type Demand interface {
	// Demand returns the sum over the instances that answered, by model or
	// adapter name, and the newest loads that they saw, by server.
	Demand(ctx context.Context) (map[string]decide.Demand, map[string]infra.Load)
}

// Applied asks another entry instance how far it has read the control stream
// with no order of an older assignment under way: its Controller.Applied.
type Applied interface {
	Applied(ctx context.Context, instance infra.Instance) (infra.Offset, error)
}

// The defaults of Limits.
const (
	// DefaultLease is the lease's length: the longest that a domain is without
	// a holder after one died is about one and a half of it, and a third of it
	// is one append for each domain, so nine domains take 3.4 appends a second.
	DefaultLease = 8 * time.Second
	// DefaultRateBound is how far two clocks' rates may differ: quartz is off
	// by less than 1 in 1,000, and a clock being slewed by less than 1 in 500.
	DefaultRateBound = 0.01
	// DefaultOrderFlight is the longest that an order's call lasts.
	DefaultOrderFlight = 2 * time.Second
	// DefaultOrderLate is how long after it an order without an answer may yet
	// arrive. It only matters to engines that ignore fencing numbers.
	DefaultOrderLate = 30 * time.Second
	// DefaultClaimStagger separates the claimants of a lease that ran out, so
	// that 41 instances don't append at once: longer than an append takes.
	DefaultClaimStagger = 250 * time.Millisecond
	// DefaultDropDelay is how long routers have to read that an item is
	// dropped before it is unloaded.
	DefaultDropDelay = 3 * time.Second
	// DefaultPollEvery is the time between two looks at a server where something
	// is to happen: a load, an unload, a removal, or an answer that stays out.
	DefaultPollEvery = time.Second
	// DefaultPollQuiet is that time for a server that is as it should be. A
	// status is some 2 KB, so 211 quiet servers of a domain cost their holder
	// 42 calls and 84 KB a second; a dispatch of the holder's own that misses
	// an item brings the next look forward.
	DefaultPollQuiet = 5 * time.Second
	// DefaultPollTimeout bounds one look.
	DefaultPollTimeout = time.Second
	// DefaultPollers is how many looks run at once: with a tenth of 211 servers
	// hanging, 32 are enough to look at the others once a second.
	DefaultPollers = 32
	// DefaultOrderers is how many instances of the domain may order at all.
	// More would keep restoring through more losses; each one that dies without
	// a word blocks the memory of dropped items on engines that ignore fencing
	// numbers.
	DefaultOrderers = 7
	// DefaultUnreachable is how long a server may not answer before it counts
	// as serving nothing.
	DefaultUnreachable = 10 * time.Second
	// DefaultServerGone is how long a server must be off the list and silent
	// before its assignment is dropped: the list lags, and lines go missing.
	DefaultServerGone = 30 * time.Second
	// DefaultOrdererGone is how long an orderer must be off the list before the
	// holder says that it has left.
	DefaultOrdererGone = 5 * time.Minute
	// DefaultListed is how long ago an orderer must at most have seen itself on
	// the list to order an engine that ignores fencing numbers. It is shorter
	// than DefaultOrdererGone by more than the list lags and an order lasts.
	DefaultListed = 4 * time.Minute
	// DefaultPlanEvery is the time between two plans: placement answers to
	// demand of minutes, and a load takes seconds.
	DefaultPlanEvery = 5 * time.Second
	// DefaultResend is how long an order is given to show before it is sent
	// again; it doubles up to MaxResend.
	DefaultResend = 3 * time.Second
	// MaxResend bounds the doubling.
	MaxResend = 30 * time.Second
)

// Limits are the limits and times of a Controller. A zero takes its default.
type Limits struct {
	Lease        time.Duration
	RateBound    float64
	OrderFlight  time.Duration
	OrderLate    time.Duration
	ClaimStagger time.Duration
	DropDelay    time.Duration
	PollEvery    time.Duration
	PollQuiet    time.Duration // not below PollEvery
	PollTimeout  time.Duration
	Pollers      int
	Orderers     int
	Unreachable  time.Duration
	ServerGone   time.Duration
	OrdererGone  time.Duration
	Listed       time.Duration
	PlanEvery    time.Duration
	Resend       time.Duration
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (l Limits) withDefaults() Limits {
	orDefault(&l.Lease, DefaultLease)
	orDefault(&l.RateBound, DefaultRateBound)
	orDefault(&l.OrderFlight, DefaultOrderFlight)
	orDefault(&l.OrderLate, DefaultOrderLate)
	orDefault(&l.ClaimStagger, DefaultClaimStagger)
	orDefault(&l.DropDelay, DefaultDropDelay)
	orDefault(&l.PollEvery, DefaultPollEvery)
	orDefault(&l.PollQuiet, max(DefaultPollQuiet, l.PollEvery))
	orDefault(&l.PollTimeout, DefaultPollTimeout)
	orDefault(&l.Pollers, DefaultPollers)
	orDefault(&l.Orderers, DefaultOrderers)
	orDefault(&l.Unreachable, DefaultUnreachable)
	orDefault(&l.ServerGone, DefaultServerGone)
	orDefault(&l.OrdererGone, DefaultOrdererGone)
	orDefault(&l.Listed, DefaultListed)
	orDefault(&l.PlanEvery, DefaultPlanEvery)
	orDefault(&l.Resend, DefaultResend)
	return l
}

// Options are what a Controller needs. All are required but Limits.
type Options struct {
	Instance      string // this instance's id on the platform's list
	FailureDomain string
	Engine        infra.Engine
	Appender      logsync.Appender
	Views         Views
	// Others returns the newest views of the other failure domains' control
	// streams, by domain.
	Others  func() map[string]*replay.ControlView
	Config  func() *config.Config // the configuration in force, or nil
	Lists   Lists
	Store   infra.WeightStore
	Planner Planner
	Demand  Demand
	Applied Applied
	Random  *rand.Rand // for jitter
	Limits  Limits
	Log     logrus.FieldLogger
	Metrics *expvar.Map
}
