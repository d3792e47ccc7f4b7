package control

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
)

// Capacities of the channels between the Controller's goroutine and its
// workers, and numbers of workers.
const (
	pollBuffer      = 64  // when full, the poll is retried at the next step
	orderBuffer     = 256 // when full, the order is dropped and due again after ResendDelay
	queryBuffer     = 64  // when full, the query is dropped and sent again after queryEvery
	missingBuffer   = 64  // when full, the report is dropped; the next dispatch reports again
	eventBuffer     = 256 // when full, the worker waits; the Controller's goroutine never waits for a worker
	orderWorkers    = 16  // enough: loads are bounded by the weight store's limits, fence orders by the number of servers
	queryWorkers    = 4   // enough for the other orderers: DefaultMaxOrderers is 7
	stepEvery       = 250 * time.Millisecond
	shutdownTimeout = 2 * time.Second // for the append of the last records
)

// Controller runs core: it reads the clock, passes core's actions to workers and
// their results back to core. Its methods are safe for concurrent use.
type Controller struct {
	o              Options
	limits         Limits
	inFlightOrders *inFlightOrders
	sharedState    atomic.Pointer[sharedState]

	polls           chan poll
	orders          chan outgoingOrder
	queries         chan query
	collectPartners chan []string
	leaseAppends    chan LeaseAppend
	member          chan batch  // actions.member
	recordAppends   chan batch  // actions.records
	missingReport   chan string // ids of servers
	events          chan event
	done            chan struct{} // closed when the Controller's goroutine takes no more events
}

// sharedState is the part of core's state that workers and callers may read.
type sharedState struct {
	leaseUntil time.Time    // end of the lease on this instance's clock; zero: not held
	joinOffset infra.Offset // of this process's join as an orderer; 0: none known
	listedAt   time.Time    // when this instance last saw itself on the list
}

// New returns a Controller; Run starts it.
func New(o Options) *Controller {
	l := o.Limits.withDefaults()
	c := &Controller{
		o: o, limits: l, inFlightOrders: newInFlightOrders(l.LateOrderWindow),
		polls: make(chan poll, pollBuffer), orders: make(chan outgoingOrder, orderBuffer), queries: make(chan query, queryBuffer),
		// One append or collection of each kind is in flight at a time, so these
		// channels are never full.
		collectPartners: make(chan []string, 1), leaseAppends: make(chan LeaseAppend, 1), member: make(chan batch, 1), recordAppends: make(chan batch, 1),
		missingReport: make(chan string, missingBuffer), events: make(chan event, eventBuffer), done: make(chan struct{}),
	}
	c.sharedState.Store(&sharedState{})
	return c
}

// ReportMissing notes that a dispatch found an assigned item missing on the
// server. It never blocks: a report that finds the channel full is dropped.
func (c *Controller) ReportMissing(server string) {
	select {
	case c.missingReport <- server:
	default:
		c.o.Metrics.Add("missing_dropped", 1)
	}
}

// Applied returns an offset of the failure domain's control stream that this
// instance has read, such that no order of an older assignment is in flight from
// this instance. It returns 0 while that isn't known. Peers query it.
func (c *Controller) Applied() infra.Offset {
	// The view is read before the orders in flight: an order begun after that is
	// checked against this view or a newer one, and dropped if its assignment is
	// superseded.
	view := c.o.Views.View()
	if view == nil {
		return 0
	}
	if joinOffset, is := view.Orderers[c.o.Instance]; is && joinOffset != c.sharedState.Load().joinOffset {
		return 0 // an earlier process's join: its orders in flight aren't known
	}
	return c.inFlightOrders.lowestAssignment(time.Now(), view.Offset)
}

// HoldsLease reports whether this instance holds the domain's lease now.
func (c *Controller) HoldsLease() bool { return time.Now().Before(c.sharedState.Load().leaseUntil) }

// Run runs the Controller until ctx ends, then releases the lease and leaves the
// orderers. It may be called once.
func (c *Controller) Run(ctx context.Context) error {
	var workers errgroup.Group
	start := func(n int, work func(context.Context)) {
		for range n {
			workers.Go(func() error { work(ctx); return nil })
		}
	}
	start(c.limits.PollWorkers, c.pollServers)
	start(orderWorkers, c.sendOrders)
	start(queryWorkers, c.queryOrderers)
	start(1, c.collect)
	start(1, c.appendLease)
	start(1, c.appendMember)
	start(1, c.appendRecords)
	core := newCore(c.o, time.Now())
	func() {
		defer c.stop(&workers) // also if core panics, so that no worker is leaked
		c.loop(ctx, core)
	}()
	c.leave(ctx, core)
	return nil
}

// stop closes the workers' channels and waits until the workers have finished.
func (c *Controller) stop(workers *errgroup.Group) {
	c.sharedState.Store(&sharedState{}) // no lease and no join: no order is sent from here on
	close(c.done)
	c.closeChannels()
	_ = workers.Wait() // workers return no errors
}

func (c *Controller) closeChannels() {
	close(c.polls)
	close(c.orders)
	close(c.queries)
	close(c.collectPartners)
	close(c.leaseAppends)
	close(c.member)
	close(c.recordAppends)
}

// loop steps core every stepEvery, and at once after a change of the view or a
// missing report. Results of polls and orders don't trigger a step: a domain
// whose servers are all in sync has some 40 poll results a second.
func (c *Controller) loop(ctx context.Context, core *core) {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		c.dispatch(core, core.step(now, c.inputs(now)))
		c.publish(core)
		c.handleEvents(ctx, core, ticker)
	}
}

// handleEvents applies events until the next step is due.
func (c *Controller) handleEvents(ctx context.Context, core *core, ticker *time.Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			return
		case <-c.o.Views.Changed():
			return
		case server := <-c.missingReport:
			missingReport{server: server}.apply(core, time.Now())
			return
		case e := <-c.events:
			e.apply(core, time.Now())
		}
	}
}

func (c *Controller) inputs(now time.Time) inputs {
	return inputs{
		view:       c.o.Views.View(),
		otherViews: c.o.OtherViews(),
		list:       c.o.Lists.List(),
		cfg:        c.o.Config(),
		logDown:    c.o.Views.Down(),
		idle:       c.inFlightOrders.idle(now),
		applied:    c.Applied(),
	}
}

func (c *Controller) publish(core *core) {
	p := sharedState{joinOffset: core.member.joinOffset, listedAt: core.listedAt}
	if leaseUntil, held := core.lease.HeldUntil(); held {
		p.leaseUntil = leaseUntil
	}
	c.sharedState.Store(&p)
}

// dispatch passes the actions to the workers without waiting for them.
func (c *Controller) dispatch(core *core, a actions) {
	if a.lease != nil {
		c.leaseAppends <- *a.lease
	}
	if len(a.member) > 0 {
		c.member <- batch{records: a.member}
	}
	if len(a.records) > 0 {
		c.recordAppends <- batch{records: a.records}
	}
	if len(a.collectPartners) > 0 {
		c.collectPartners <- a.collectPartners
	}
	for _, p := range a.polls {
		select {
		case c.polls <- p:
		default:
			droppedPoll{server: p.server}.apply(core, time.Now())
		}
	}
	for _, o := range a.orders {
		select {
		case c.orders <- o:
		default:
			c.o.Metrics.Add("orders_dropped", 1)
		}
	}
	for _, q := range a.queries {
		select {
		case c.queries <- q:
		default:
		}
	}
}
