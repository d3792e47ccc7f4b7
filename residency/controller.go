package residency

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/infra"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// planInterval is the time between two plans when nothing requests one sooner.
	planInterval = 200 * time.Millisecond
	// summaryInterval is how often the instances' loads and the models held by servers
	// are recomputed, however many instances report.
	summaryInterval = 100 * time.Millisecond
	// candidatesInterval is how often candidates are chosen again, and candidatesDelay
	// how long after the first report of a lease they are chosen first: if they were
	// chosen from the few that had reported by then, the lease would move with them.
	candidatesInterval = time.Second
	candidatesDelay    = 2 * time.Second
	// adapterSpacing is the minimum time between two adapter orders to one server. An
	// adapter load takes up to 10 ms, and a server accepts four at a time.
	adapterSpacing = 4 * time.Millisecond
	// planRestFactor is the minimum pause after a plan, as a multiple of the time that
	// the plan took. Plans thus use at most a tenth of the lease holder's time,
	// whatever the number of servers.
	planRestFactor = 9
	// shortageLogInterval is the minimum time between two log reports of models that
	// lack replicas.
	shortageLogInterval = time.Second
	// speedLogInterval is the minimum time between two log reports of changed speeds.
	speedLogInterval = time.Second
	// results is the buffer for results of orders, one for each of as many servers.
	// When the buffer is full, senders wait, and so do further orders to their servers.
	results = 256
)

// Options is what a Controller is built from. All must be set.
type Options struct {
	Holder     string // name under which this instance sends orders
	Lease      *Lease
	Orderer    Orderer
	View       func() topology.View
	CountOrder func(result string) // counts an order by its result: accepted or failed
	// Spread distributes the requests expected for each target over the servers that
	// serve it, and returns the requests for each server.
	Spread func(wanted map[string]float64) map[string]float64
	Log    logrus.FieldLogger
}

// Controller plans and sends load and unload orders to the servers while this instance
// holds the lease.
type Controller struct {
	o       Options
	results chan orderResult
	wake    chan struct{}

	mu                sync.Mutex
	demand            *DemandTracker
	planner           *Planner  // nil while the lease isn't held
	shortagesLoggedAt time.Time // when models that lack replicas were last logged
	speedsLoggedAt    time.Time // when changes of servers' speeds were last logged
	contenders        contenders
	loggedExtension   extensionState // as last logged

	loads     Loads            // computed at loadsAt
	backlogs  []decide.Backlog // of all instances; computed at loadsAt
	positions map[string]int   // of the instances; computed at loadsAt
	loadsAt   time.Time

	rates *rateAllocator // of this lease; nil while it isn't held

	candidates      Candidates // chosen at candidatesAt
	candidatesAt    time.Time
	gateways        gateway.Members // chosen at gatewaysAt
	gatewaysAt      time.Time
	candidatesSince time.Time // DemandTracker.ListeningSince of the reports they are chosen from

	held   topology.HeldHistory
	heldAt time.Time // when held was last updated; zero: a plan was made since
}

// orderResult is the outcome of an order or of a state query.
type orderResult struct {
	order      Order
	isQuery    bool   // a state query, not an order
	state      *State // nil: the server didn't report its state
	result     Result
	mayExecute bool // the server may still execute the order
}

// NewController returns a controller that does nothing until Run is called.
func NewController(o Options) *Controller {
	return &Controller{
		o: o, demand: NewDemandTracker(),
		wake: make(chan struct{}, 1), contenders: contenders{},
	}
}

// Summary is what the lease holder reports to an instance about all instances. Its maps
// and slices must not be modified.
type Summary struct {
	Instances       map[string]int    // number of live instances by failure domain; nil: not all are counted yet
	Loads           map[string]Load   // load from the other instances, by server
	Held            topology.HeldList // how the models and adapters held by servers differ from the servers' entries
	HeldRemoved     topology.HeldList // if HeldIncremental: items the instance knows that no longer apply
	HeldIncremental bool              // Held contains only the items that the instance doesn't know yet
	Registration    Registration      // of the instance with the lease holder
	Ordering        bool              // the lease holder can send orders now
	Waiting         bool              // the lease holder can't order yet, until an earlier holder has stopped
	Version         int64             // newest version of the configuration in force at any instance

	Candidates  Candidates // for the lease
	IsCandidate bool       // the reporting instance is a candidate

	Gateways gateway.Members // that may be gateways; nil: not all instances are counted yet

	Rates decide.RateShares // rate limits stated by servers, with the instance's share

	Backlogs []decide.Backlog       // of all instances, by target
	Speeds   []decide.ServerSpeed   // as all instances measured them
	Accounts []decide.AccountDemand // of all instances
}

// NotHolderError means that this instance doesn't hold the lease.
type NotHolderError struct{}

// Error implements error.
func (*NotHolderError) Error() string { return "this instance doesn't hold the lease" }

// HandleReport processes an instance's report and returns the summary for that
// instance. The error is a *NotHolderError.
func (c *Controller) HandleReport(now time.Time, report InstanceReport) (Summary, error) {
	if !c.o.Lease.Holds() {
		return Summary{}, errors.WithStack(&NotHolderError{})
	}
	ordering, waiting := c.o.Lease.Epoch(c.storeUnreachable) != 0, c.o.Lease.Waiting()
	registration := c.o.Lease.Register()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contenders.handleReport(registration, report)
	c.demand.HandleReport(now, report)
	if now.Sub(c.loadsAt) >= summaryInterval {
		c.loads, c.loadsAt = c.demand.Loads(c.o.Spread(c.demand.ExpectedRequests(now, decide.ArrivalHorizon))), now
		c.positions = c.demand.Positions()
		c.backlogs = c.demand.Backlogs(now)
	}
	s := Summary{Loads: c.loads.Others(report.Instance), Registration: registration, Ordering: ordering, Waiting: waiting, Version: c.demand.Version()}
	s.HeldRemoved, s.Held, s.HeldIncremental = c.heldSince(now, report.HeldDigest)
	s.Candidates, s.IsCandidate = c.candidacy(now, report)
	s.Rates = c.ratesFor(now, report)
	s.Backlogs, s.Speeds, s.Accounts = c.backlogs, c.demand.Speeds(now, report.Instance), c.demand.Accounts(now)
	if c.demand.CountedAll(now) {
		s.Instances = c.demand.Instances()
		s.Gateways = c.currentGateways(now)
		s.Rates.Position, s.Rates.Instances = c.positions[report.Instance], len(c.positions)
	}
	for _, a := range report.TargetDemand {
		if a.Waiting > 0 {
			c.requestPlan()
			break
		}
	}
	return s, nil
}

// InstanceAddrs returns the addresses of the live instances for other instances, while this
// instance holds the lease.
func (c *Controller) InstanceAddrs() []string {
	if !c.o.Lease.Holds() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.demand.InstanceAddrs()
}

// ratesFor returns an instance's share of the rate limits. The lock is held.
func (c *Controller) ratesFor(now time.Time, report InstanceReport) decide.RateShares {
	if c.rates == nil {
		c.rates = newRateAllocator()
	}
	return decide.RateShares{Shares: c.rates.reported(now, report.Instance, report.Rates)}
}

// heldSince returns how the models and adapters held by servers differ from what the
// instance knows, identified by digest, or the full list if that digest is unknown. The
// list is recomputed after each plan: the plan may have started to drain a model, and
// an instance whose report is answered later counts as informed about it. The lock is
// held.
func (c *Controller) heldSince(now time.Time, digest uint64) (lost, held topology.HeldList, since bool) {
	if now.Sub(c.heldAt) >= summaryInterval {
		c.heldAt = now
		var list topology.HeldList
		if c.planner != nil {
			list = c.planner.Held()
		}
		c.held.Add(list)
	}
	if lost, held, since = c.held.Since(digest); since {
		return lost, held, true
	}
	return nil, c.held.Newest(), false
}

// storeUnreachable reports whether no instance that could win the lease reaches the store. Then the
// lease may be extended over a store outage of some seconds in which demand moves: without orders,
// requests for models that no server holds would fail until the outage ends.
func (c *Controller) storeUnreachable() bool {
	now, renewedAt := c.o.Lease.Now(), c.o.Lease.newestRenewal()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, may := c.contenders.mayReachStore(now, renewedAt)
	return !may && len(c.contenders) > 0
}

// requestPlan makes Run compute a plan as soon as possible.
func (c *Controller) requestPlan() {
	select {
	case c.wake <- struct{}{}:
	default: // a plan is already requested
	}
}

// Run plans and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.results = make(chan orderResult, results)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var nextPlanAt time.Time // earliest time of the next plan
	var sending sync.WaitGroup
	defer c.drainResults(&sending)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.results:
			c.handleResult(r)
		case <-c.wake:
		case <-ticker.C:
		}
		begun := time.Now()
		if begun.Before(nextPlanAt) {
			continue
		}
		queries, orders := c.plan(begun)
		ended := time.Now()
		nextPlanAt = ended.Add(planRestFactor * ended.Sub(begun))
		for _, q := range queries {
			sending.Go(func() { c.queryState(ctx, q) })
		}
		for _, o := range orders {
			sending.Go(func() { c.sendOrder(ctx, o) })
		}
	}
}

// drainResults handles the results of the orders that are still in flight.
func (c *Controller) drainResults(sending *sync.WaitGroup) {
	go func() {
		sending.Wait()
		close(c.results)
	}()
	for r := range c.results {
		c.handleResult(r)
	}
}

// plan returns the servers to query and the orders to send now, none without the lease.
func (c *Controller) plan(now time.Time) (queries, orders []Order) {
	epoch := c.o.Lease.Epoch(c.storeUnreachable)
	expired, renewedAt := c.o.Lease.Expired(), c.o.Lease.newestRenewal()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contenders.prune(renewedAt)
	c.logExtension(expired, epoch)
	c.heldAt = time.Time{}
	if epoch == 0 {
		if !c.o.Lease.Holds() {
			c.planner, c.rates = nil, nil
		}
		return nil, nil
	}
	if c.planner == nil {
		c.planner = NewPlanner(c.demand)
	}
	v := c.o.View()
	if c.rates != nil {
		c.planner.SetRateLimits(c.rates.limits())
	}
	c.planner.Update(now, &v)
	queries, orders = c.planner.StateQueries(now), c.planner.Plan(now)
	c.logShortages(now)
	c.logSpeedChanges(now)
	return queries, orders
}

// handleResult passes the outcome of an order or state query to the planner.
func (c *Controller) handleResult(r orderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.planner == nil:
	case r.state != nil:
		c.planner.HandleReport(now, r.order.Server, *r.state)
	case r.isQuery:
		c.planner.HandleReportFailure(now, r.order.Server)
	default:
		c.planner.HandleOrderResult(now, r.order, r.result, r.mayExecute)
	}
}

// queryState asks a server for its state and passes the answer to Run.
func (c *Controller) queryState(ctx context.Context, query Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r := orderResult{order: query, isQuery: true}
	st, err := c.o.Orderer.State(ctx, query.Server, query.Addr)
	f := logrus.Fields{"server": query.Server}
	if err != nil {
		c.o.Log.WithFields(f).WithField("error", err).Warn("server state not known")
	} else {
		r.state = &st
		f["sequence"], f["busy"], f["models"] = st.Sequence, st.Busy, len(st.Models)
		c.o.Log.WithFields(f).Info("server state")
	}
	c.results <- r
}

// sendOrder sends an order, unless the lease has been lost since the plan, and passes
// the result to Run.
func (c *Controller) sendOrder(ctx context.Context, o Order) {
	o.Holder = c.o.Holder
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.Fence = c.o.Lease.Epoch(c.storeUnreachable)
	if o.Fence == 0 {
		c.results <- orderResult{order: o}
		return
	}
	result, err := c.o.Orderer.Order(ctx, o)
	c.logOrder(o, result, err)
	r := orderResult{order: o, result: result}
	var e *infra.Error
	if err != nil {
		r.mayExecute = !errors.As(err, &e) || e.Effect != infra.EffectNone
	} else if o.Adapter != "" {
		supervise.Pause(ctx, adapterSpacing)
	}
	c.results <- r
}

// logOrder logs and counts the result of an order.
func (c *Controller) logOrder(o Order, result Result, err error) {
	op := "load"
	if o.Unload {
		op = "unload"
	}
	f := logrus.Fields{
		"op": op, "server": o.Server, "model": o.Model, "adapter": o.Adapter,
		"sequence": o.Sequence, "epoch": o.Fence,
	}
	if err != nil {
		f["error"] = err
		c.o.CountOrder("failed")
		c.o.Log.WithFields(f).Warn("order failed")
		return
	}
	f["already_so"] = result == AlreadyApplied
	c.o.CountOrder("accepted")
	c.o.Log.WithFields(f).Info("order accepted")
}
