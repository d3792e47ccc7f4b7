package residency

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// planEvery is the time between two plans where nothing calls for one sooner.
	planEvery = 200 * time.Millisecond
	// summaryEvery is how often the instances' loads, and what servers hold, are
	// worked out: instances tell and ask twice a second, and with 86 of them doing
	// it for each kept a small holder busy until its answers came too late.
	summaryEvery = 100 * time.Millisecond
	// candidatesEvery is how often the candidates are chosen anew, and
	// candidatesAfter how long after the first word of a lease: chosen from the few
	// instances that had spoken, others took their place within the second, and the
	// lease passed from hand to hand with them, four times in nine seconds.
	candidatesEvery = time.Second
	candidatesAfter = 2 * time.Second
	// adapterSpacing is the least time between two adapters for one server: an
	// adapter takes up to ten milliseconds, and a server takes four at a time.
	adapterSpacing = 4 * time.Millisecond
	// planRest is how many times as long as a plan took the holder rests before
	// the next one: plans take a tenth of its time at most, however many servers
	// there are.
	planRest = 9
	// noteEvery is the least time between two lists of what lacks replicas.
	noteEvery = time.Second
	// results is how many orders' results may wait: one for each of as many
	// servers. Full: the order's sender waits, and the server with it.
	results = 256
)

// Options is what a Controller is built from. All must be set.
type Options struct {
	Holder  string // the name under which this instance orders
	Lease   *Lease
	Orderer Orderer
	View    func() topology.View
	Counted func(result string) // counts an order: accepted or failed
	// Spread divides what is wanted of targets among the servers that serve them.
	Spread func(wanted map[string]float64) map[string]float64
	Log    logrus.FieldLogger
}

// Controller orders servers toward what they should hold while this instance
// holds the lease.
type Controller struct {
	o       Options
	results chan orderResult
	wake    chan struct{}

	mu      sync.Mutex
	demand  *Demand
	planner *Planner  // nil while the lease isn't held
	noted   time.Time // when it was last logged what lacks replicas
	known   []string  // the instances that were known at the newest renewal

	loads     Loads          // as of loadsAt
	positions map[string]int // of the instances; the same
	loadsAt   time.Time

	rates *rateShares // of the lease; nil while it isn't held

	candidates   Candidates // as of candidatesAt
	candidatesAt time.Time
	listening    time.Time // since when instances have spoken to this one
	heardAt      time.Time // when one last did

	held   topology.HeldHistory
	heldAt time.Time // when it was last listed; zero: a plan was made since
}

// orderResult is how an order, or a question for a server's state, went.
type orderResult struct {
	order     Order
	question  bool
	state     *State // nil: the server didn't say
	result    Result
	mayHappen bool
}

// NewController returns a controller that does nothing until it runs.
func NewController(o Options) *Controller {
	return &Controller{
		o: o, demand: NewDemand(),
		wake: make(chan struct{}, 1),
	}
}

// Summary is what the lease holder tells an instance of all instances. Its parts
// must not be changed.
type Summary struct {
	Instances map[string]int    // by failure domain
	Loads     map[string]Load   // what the other instances have, by server
	Held      topology.HeldList // how what servers hold differs from their entries
	Lost      topology.HeldList // where Since: what the instance knows and isn't so any more
	Since     bool              // Held is only what the instance doesn't know yet
	Ordering  bool              // servers can be ordered now
	Version   int64             // the newest version of the configuration that any instance has in force

	Candidates Candidates // for who may order
	Chosen     bool       // the instance is among them

	Rates decide.RateShares // the rate limits that servers name
}

// NotHolderError says that the instance doesn't hold the lease.
type NotHolderError struct{}

// Error implements error.
func (*NotHolderError) Error() string { return "this instance doesn't hold the lease" }

// Said takes in what an instance was asked for and has in flight, and returns
// what all have. The error is a *NotHolderError.
func (c *Controller) Said(now time.Time, w Word) (Summary, error) {
	if !c.o.Lease.Holds() {
		return Summary{}, errors.WithStack(&NotHolderError{})
	}
	ordering := c.o.Lease.Epoch(c.storeAway) != 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.Said(now, w)
	if now.Sub(c.loadsAt) >= summaryEvery {
		c.loads, c.loadsAt = c.demand.Loads(c.o.Spread(c.demand.Wanted(now, decide.ArrivalHorizon))), now
		c.positions = c.demand.Positions()
	}
	s := Summary{Instances: c.demand.Instances(), Loads: c.loads.Others(w.Instance), Ordering: ordering, Version: c.demand.Version()}
	s.Lost, s.Held, s.Since = c.heldSince(now, w.HeldDigest)
	s.Candidates, s.Chosen = c.chosen(now, w)
	s.Rates = c.sharedOut(now, w)
	for _, a := range w.Asked {
		if a.Waiting > 0 {
			c.poke()
			break
		}
	}
	return s, nil
}

// chosen returns the candidates, and whether the instance that speaks is one. While
// they aren't chosen yet, whoever stands goes on. The lock is held.
func (c *Controller) chosen(now time.Time, w Word) (Candidates, bool) {
	if now.Sub(c.heardAt) > instanceGone {
		c.listening, c.candidates = now, nil // a new lease, or one that was held up
	}
	c.heardAt = now
	if now.Sub(c.listening) < candidatesAfter {
		return nil, w.Stands
	}
	if now.Sub(c.candidatesAt) >= candidatesEvery {
		c.candidates, c.candidatesAt = c.demand.Candidates(), now
	}
	return c.candidates, c.candidates.Has(w.Instance)
}

// sharedOut returns what an instance is told of rate limits. The lock is held.
func (c *Controller) sharedOut(now time.Time, w Word) decide.RateShares {
	if c.rates == nil {
		c.rates = newRateShares()
	}
	return decide.RateShares{
		Shares: c.rates.said(now, w.Instance, w.Rates), Position: c.positions[w.Instance], Instances: len(c.positions),
	}
}

// heldSince returns how what servers hold differs from what an instance knows
// of it, or all of it where the instance knows something else. A plan may have
// begun to take a model away, and an instance that has spoken since counts as
// told of it: after a plan it is always worked out anew. The lock is held.
func (c *Controller) heldSince(now time.Time, digest uint64) (lost, held topology.HeldList, since bool) {
	if now.Sub(c.heldAt) >= summaryEvery {
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

// storeAway says whether no instance reaches the store: each one that was known
// at the newest renewal has just said so. Then nobody can have won the lease
// since. It is for an outage of the store of many seconds in which demand moves:
// without orders, requests for models that no server holds fail until it is over.
// One that comes back is noticed by this instance's own next renewal, before a
// new holder would order.
func (c *Controller) storeAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.demand.CutOff(time.Now(), c.known)
}

func (c *Controller) poke() {
	select {
	case c.wake <- struct{}{}:
	default: // a plan is about to be made anyway
	}
}

// Run plans and orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.results = make(chan orderResult, results)
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	var rested time.Time // no plan before it
	var sending sync.WaitGroup
	defer c.await(&sending)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.results:
			c.done(r)
		case <-c.wake:
		case <-ticker.C:
		}
		begun := time.Now()
		if begun.Before(rested) {
			continue
		}
		questions, orders := c.plan(begun)
		ended := time.Now()
		rested = ended.Add(planRest * ended.Sub(begun))
		for _, q := range questions {
			sending.Go(func() { c.ask(ctx, q) })
		}
		for _, o := range orders {
			sending.Go(func() { c.send(ctx, o) })
		}
	}
}

// await takes in the results of the orders that are still on their way.
func (c *Controller) await(sending *sync.WaitGroup) {
	go func() {
		sending.Wait()
		close(c.results)
	}()
	for r := range c.results {
		c.done(r)
	}
}

// plan returns the servers to ask and the orders to send now, none without the lease.
func (c *Controller) plan(now time.Time) (questions, orders []Order) {
	epoch := c.o.Lease.Epoch(c.storeAway)
	fresh := c.o.Lease.Fresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldAt = time.Time{}
	if fresh {
		c.known = c.demand.Names()
	}
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
		c.planner.SetRateLimits(c.rates.named())
	}
	c.planner.Update(now, &v)
	questions, orders = c.planner.Unsure(now), c.planner.Plan(now)
	c.noteLacking(now)
	return questions, orders
}

// noteLacking writes a line for each model that lacks replicas, once a second.
// The lock is held.
func (c *Controller) noteLacking(now time.Time) {
	if now.Sub(c.noted) < noteEvery {
		return
	}
	c.noted = now
	for _, l := range c.planner.Lacking() {
		c.o.Log.WithFields(logrus.Fields{
			"service": l.Service, "model": l.Model, "demand": int(l.Level + 0.5), "waiting": l.Waiting,
			"wanted": l.Wanted, "replicas": l.Replicas, "coming": l.Coming, "loads_left": int(l.Loads),
		}).Info("model lacks replicas")
	}
}

func (c *Controller) done(r orderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.planner == nil:
	case r.state != nil:
		c.planner.Said(now, r.order.Server, *r.state)
	case r.question:
		c.planner.Silent(now, r.order.Server)
	default:
		c.planner.Done(now, r.order, r.result, r.mayHappen)
	}
}

// ask asks a server for its state and hands the answer to the duty.
func (c *Controller) ask(ctx context.Context, q Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r := orderResult{order: q, question: true}
	st, err := c.o.Orderer.State(ctx, q.Server, q.Addr)
	f := logrus.Fields{"server": q.Server}
	if err != nil {
		c.o.Log.WithFields(f).WithField("error", err).Warn("server state not known")
	} else {
		r.state = &st
		f["sequence"], f["busy"], f["models"] = st.Sequence, st.Busy, len(st.Models)
		c.o.Log.WithFields(f).Info("server state")
	}
	c.results <- r
}

// send sends an order, unless the lease has ended meanwhile, and hands its
// result to the duty.
func (c *Controller) send(ctx context.Context, o Order) {
	o.Holder = c.o.Holder
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.Fence = c.o.Lease.Epoch(c.storeAway)
	if o.Fence == 0 {
		c.results <- orderResult{order: o}
		return
	}
	result, err := c.o.Orderer.Order(ctx, o)
	c.note(o, result, err)
	r := orderResult{order: o, result: result}
	var e *infra.Error
	if err != nil {
		r.mayHappen = !errors.As(err, &e) || e.Effect != infra.EffectNone
	} else if o.Adapter != "" {
		supervise.Pause(ctx, adapterSpacing)
	}
	c.results <- r
}

// note writes the line for an order.
func (c *Controller) note(o Order, r Result, err error) {
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
		c.o.Counted("failed")
		c.o.Log.WithFields(f).Warn("order failed")
		return
	}
	f["already_so"] = r == AlreadySo
	c.o.Counted("accepted")
	c.o.Log.WithFields(f).Info("order accepted")
}
