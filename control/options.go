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
	// View returns the newest view, or nil before the stream was first read to its end.
	View() *replay.ControlView
	// Changed returns a channel that receives a signal after View changed. It holds
	// at most one signal.
	Changed() <-chan struct{}
	// Down reports whether the log can't be read now.
	Down() bool
}

// Lists provides the platform's list of instances. fleet.Watcher implements
// it.
type Lists interface {
	// List returns the list as last read, or nil before the first read.
	List() *fleet.List
}

// Planner decides which items to move. decide.Planner implements it.
type Planner interface {
	Plan(in decide.PlanInput) []decide.Move
}

// Demand collects demand from the failure domain's entry instances.
type Demand interface {
	// Demand returns the total demand over the instances that answered, by model
	// or adapter name, and the newest load reports that they saw, by server.
	Demand(ctx context.Context) (map[string]decide.Demand, map[string]infra.Load)
}

// Applied calls another entry instance's Controller.Applied.
type Applied interface {
	Applied(ctx context.Context, instance infra.Instance) (infra.Offset, error)
}

// The defaults of Limits.
const (
	// DefaultLease is the duration of a lease. After a holder dies, a domain is
	// without one for at most about 1.5 durations. A holder renews once in a third
	// of the duration, so nine domains make 3.4 appends a second.
	DefaultLease = 8 * time.Second
	// DefaultMaxClockDrift is the largest assumed relative difference between two
	// clocks' rates. Quartz is off by less than 1 in 1,000, and a clock being
	// slewed by less than 1 in 500.
	DefaultMaxClockDrift = 0.01
	// DefaultOrderFlight bounds an order's call.
	DefaultOrderFlight = 2 * time.Second
	// DefaultLateOrderWindow is how long after its call an unanswered order may
	// still arrive. It matters only for engines that ignore fencing tokens.
	DefaultLateOrderWindow = 30 * time.Second
	// DefaultClaimStagger is the delay between the ranks of claimants, so that 41
	// instances don't claim an expired lease at once. It is longer than an append
	// takes.
	DefaultClaimStagger = 250 * time.Millisecond
	// DefaultUnloadDelay is the time that routers have to read that an item was
	// dropped before it is unloaded.
	DefaultUnloadDelay = 3 * time.Second
	// DefaultPollEvery is the time between two polls of a server that isn't in
	// sync with its assignment: a load, an unload or a removal is outstanding, or
	// it doesn't answer.
	DefaultPollEvery = time.Second
	// DefaultPollInSyncEvery is the time between two polls of a server that is in
	// sync. A status is some 2 KB, so a domain's 211 servers in sync cost the
	// holder 42 calls and 84 KB a second. Controller.ReportMissing brings the next
	// poll forward.
	DefaultPollInSyncEvery = 5 * time.Second
	// DefaultPollTimeout bounds a poll's call, and a query of another orderer.
	DefaultPollTimeout = time.Second
	// DefaultPollWorkers is how many polls run at once. With a tenth of 211 servers
	// hanging, 32 are enough to poll the others once a second.
	DefaultPollWorkers = 32
	// DefaultMaxOrderers is how many of the domain's instances become orderers by
	// rank. With more, restoring survives the loss of more instances, but each
	// orderer that dies without leaving blocks the memory of dropped items on
	// engines that ignore fencing tokens until DefaultOrdererGoneAfter.
	DefaultMaxOrderers = 7
	// DefaultUnreachableAfter is how long a server may fail to answer before it
	// counts as serving nothing.
	DefaultUnreachableAfter = 10 * time.Second
	// DefaultServerGoneAfter is how long a server must be off the list before its
	// assignment is dropped, provided that it doesn't answer: the list lags, and
	// entries go missing from it.
	DefaultServerGoneAfter = 30 * time.Second
	// DefaultOrdererGoneAfter is how long an orderer must be off the list before
	// the lease holder appends its leave.
	DefaultOrdererGoneAfter = 5 * time.Minute
	// DefaultMaxListedAge is the largest time since an orderer last saw itself on
	// the list with which it may still restore engines that ignore fencing tokens.
	// It is shorter than DefaultOrdererGoneAfter by more than the list's lag and an
	// order's duration.
	DefaultMaxListedAge = 4 * time.Minute
	// DefaultPlanEvery is the time between two plans. Placement follows demand
	// over minutes, and a load takes seconds.
	DefaultPlanEvery = 5 * time.Second
	// DefaultResendDelay is how long a status may take to show an order's effect
	// before the order is sent again. It doubles up to MaxResendDelay.
	DefaultResendDelay = 3 * time.Second
	// MaxResendDelay bounds the doubling of the resend delay.
	MaxResendDelay = 30 * time.Second
)

// Limits are the limits and times of a Controller. A zero field takes its default,
// whose comment says what the field is.
type Limits struct {
	Lease            time.Duration
	MaxClockDrift    float64
	OrderFlight      time.Duration
	LateOrderWindow  time.Duration
	ClaimStagger     time.Duration
	UnloadDelay      time.Duration
	PollEvery        time.Duration
	PollInSyncEvery  time.Duration // not below PollEvery
	PollTimeout      time.Duration
	PollWorkers      int
	MaxOrderers      int
	UnreachableAfter time.Duration
	ServerGoneAfter  time.Duration
	OrdererGoneAfter time.Duration
	MaxListedAge     time.Duration
	PlanEvery        time.Duration
	ResendDelay      time.Duration
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (l Limits) withDefaults() Limits {
	orDefault(&l.Lease, DefaultLease)
	orDefault(&l.MaxClockDrift, DefaultMaxClockDrift)
	orDefault(&l.OrderFlight, DefaultOrderFlight)
	orDefault(&l.LateOrderWindow, DefaultLateOrderWindow)
	orDefault(&l.ClaimStagger, DefaultClaimStagger)
	orDefault(&l.UnloadDelay, DefaultUnloadDelay)
	orDefault(&l.PollEvery, DefaultPollEvery)
	orDefault(&l.PollInSyncEvery, max(DefaultPollInSyncEvery, l.PollEvery))
	orDefault(&l.PollTimeout, DefaultPollTimeout)
	orDefault(&l.PollWorkers, DefaultPollWorkers)
	orDefault(&l.MaxOrderers, DefaultMaxOrderers)
	orDefault(&l.UnreachableAfter, DefaultUnreachableAfter)
	orDefault(&l.ServerGoneAfter, DefaultServerGoneAfter)
	orDefault(&l.OrdererGoneAfter, DefaultOrdererGoneAfter)
	orDefault(&l.MaxListedAge, DefaultMaxListedAge)
	orDefault(&l.PlanEvery, DefaultPlanEvery)
	orDefault(&l.ResendDelay, DefaultResendDelay)
	return l
}

// Options are a Controller's dependencies and settings. All but Limits are
// required.
type Options struct {
	Instance      string // this instance's id on the platform's list
	FailureDomain string
	Engine        infra.Engine
	Appender      logsync.Appender
	Views         Views
	// OtherViews returns the newest views of the other failure domains' control
	// streams, by domain.
	OtherViews func() map[string]*replay.ControlView
	Config     func() *config.Config // the configuration in force, or nil
	Lists      Lists
	Store      infra.WeightStore
	Planner    Planner
	Demand     Demand
	Applied    Applied
	Random     *rand.Rand // for jitter
	Limits     Limits
	Log        logrus.FieldLogger
	Metrics    *expvar.Map
}
