package control

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"greengageferry/infra"
)

// The rings between the Controller's own goroutine and its workers.
const (
	pollRing   = 64  // full: the poll is put off to the next step
	orderRing  = 256 // full: the order is dropped, and is due again after Resend
	askRing    = 64  // full: the question is dropped, and asked again a second later
	missRing   = 64  // full: the word is dropped; the next dispatch says it again
	eventRing  = 256 // full: the worker waits; the Controller's goroutine never waits for a worker
	orderers   = 16  // senders of orders: a domain's loads are bounded by its store, fences by its servers
	askers     = 4   // askers of other orderers, of which there are about seven
	stepEvery  = 250 * time.Millisecond
	endTimeout = 2 * time.Second // for the last records at a shutdown
)

// Controller runs core: it reads the clock, carries out the actions and brings
// back their ends. All its methods may be called at any time.
type Controller struct {
	o        Options
	limits   Limits
	underWay *underWay
	public   atomic.Pointer[public]

	polls  chan poll
	orders chan orderOut
	asks   chan ask
	gather chan []string
	leases chan LeaseAppend
	member chan batch
	record chan batch
	missed chan string
	events chan event
	ended  chan struct{} // closed when the own goroutine takes no more events
}

// public is what the workers may know of core.
type public struct {
	until    time.Time    // the lease is held until then; zero: not held
	joined   infra.Offset // the own join; 0: none known
	listedAt time.Time
}

// New returns a Controller; Run starts it.
func New(o Options) *Controller {
	l := o.Limits.withDefaults()
	c := &Controller{
		o: o, limits: l, underWay: newUnderWay(l.OrderLate),
		polls: make(chan poll, pollRing), orders: make(chan orderOut, orderRing), asks: make(chan ask, askRing),
		// One append or gathering of each kind is under way at a time, so these
		// are never full.
		gather: make(chan []string, 1), leases: make(chan LeaseAppend, 1), member: make(chan batch, 1), record: make(chan batch, 1),
		missed: make(chan string, missRing), events: make(chan event, eventRing), ended: make(chan struct{}),
	}
	c.public.Store(&public{})
	return c
}

// Missing says that a dispatch found an assigned item missing on the server.
// It never waits.
func (c *Controller) Missing(server string) {
	select {
	case c.missed <- server:
	default:
		c.o.Metrics.Add("missing_dropped", 1)
	}
}

// Applied returns how far this instance has read its failure domain's control
// stream with no order of an older assignment under way: 0 while that isn't
// known. Peers ask for it.
func (c *Controller) Applied() infra.Offset {
	// The view is read before the orders: an order begun after that finds a
	// newer assignment, and is dropped.
	view := c.o.Views.View()
	if view == nil {
		return 0
	}
	if joined, is := view.Orderers[c.o.Instance]; is && joined != c.public.Load().joined {
		return 0 // an earlier process's join: its orders aren't known here
	}
	return c.underWay.floor(time.Now(), view.Offset)
}

// Holds says whether this instance holds the domain's lease now.
func (c *Controller) Holds() bool { return time.Now().Before(c.public.Load().until) }

// Run runs until ctx ends; it then gives the lease up and leaves the orderers.
// It is run once.
func (c *Controller) Run(ctx context.Context) error {
	var workers errgroup.Group
	start := func(n int, work func(context.Context)) {
		for range n {
			workers.Go(func() error { work(ctx); return nil })
		}
	}
	start(c.limits.Pollers, c.pollServers)
	start(orderers, c.sendOrders)
	start(askers, c.askOrderers)
	start(1, c.collect)
	start(1, c.appendLease)
	start(1, c.appendMember)
	start(1, c.appendRecords)
	core := newCore(c.o, time.Now())
	func() {
		defer c.stop(&workers) // also where core panics, so that no worker is left behind
		c.loop(ctx, core)
	}()
	c.leave(ctx, core)
	return nil
}

// stop ends the workers once each has ended what it has in hand.
func (c *Controller) stop(workers *errgroup.Group) {
	c.public.Store(&public{}) // holds nothing, orders nothing from here on
	close(c.ended)
	c.closeRings()
	_ = workers.Wait() // they return no errors
}

func (c *Controller) closeRings() {
	close(c.polls)
	close(c.orders)
	close(c.asks)
	close(c.gather)
	close(c.leases)
	close(c.member)
	close(c.record)
}

// loop steps core four times a second, and soon after the log or a dispatch
// said something new. The ends of polls and orders wait for the next of these:
// a domain of quiet servers has some forty a second.
func (c *Controller) loop(ctx context.Context, core *core) {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		c.carryOut(core, core.step(now, c.inputs(now)))
		c.publish(core)
		c.wait(ctx, core, ticker)
	}
}

// wait applies events until it is time for a step.
func (c *Controller) wait(ctx context.Context, core *core, ticker *time.Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			return
		case <-c.o.Views.Changed():
			return
		case server := <-c.missed:
			missed{server: server}.apply(core, time.Now())
			return
		case e := <-c.events:
			e.apply(core, time.Now())
		}
	}
}

func (c *Controller) inputs(now time.Time) inputs {
	return inputs{
		view:    c.o.Views.View(),
		others:  c.o.Others(),
		list:    c.o.Lists.List(),
		cfg:     c.o.Config(),
		down:    c.o.Views.Down(),
		idle:    c.underWay.idle(now),
		applied: c.Applied(),
	}
}

func (c *Controller) publish(core *core) {
	p := public{joined: core.member.joined, listedAt: core.listedAt}
	if until, held := core.lease.Until(); held {
		p.until = until
	}
	c.public.Store(&p)
}

// carryOut hands the actions to the workers without waiting for any.
func (c *Controller) carryOut(core *core, a actions) {
	if a.lease != nil {
		c.leases <- *a.lease
	}
	if len(a.member) > 0 {
		c.member <- batch{records: a.member}
	}
	if len(a.records) > 0 {
		c.record <- batch{records: a.records}
	}
	if len(a.gather) > 0 {
		c.gather <- a.gather
	}
	for _, p := range a.polls {
		select {
		case c.polls <- p:
		default:
			unsentPoll{server: p.server}.apply(core, time.Now())
		}
	}
	for _, o := range a.orders {
		select {
		case c.orders <- o:
		default:
			c.o.Metrics.Add("orders_dropped", 1)
		}
	}
	for _, q := range a.asks {
		select {
		case c.asks <- q:
		default:
		}
	}
}
