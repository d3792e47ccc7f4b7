package instance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"greengageferry/allowance"
	"greengageferry/exchange"
	"greengageferry/internal/rto"
	"greengageferry/netconn"
	"greengageferry/topology"
)

const (
	// minDrawTimeout and maxDrawTimeout bound one call that asks the lease holder for credit:
	// requests wait for it whose latency goal may be 150 ms. In between the timeout follows the time
	// that the holder's answers take, since a caller that is refused comes back later than that.
	minDrawTimeout = 100 * time.Millisecond
	maxDrawTimeout = 400 * time.Millisecond
	// maxDraws is how many calls a request waits for: one that has begun before it asked,
	// and the next.
	maxDraws = 2
	// maxDrawHolderAge is how long after its last answer the lease holder is asked.
	maxDrawHolderAge = 1500 * time.Millisecond
	// maxIdleDraws bounds the idle connections to the lease holder: one call is under way for each of
	// the accounts that are asked for at a time.
	maxIdleDraws = 16
)

// allowances keeps the client accounts' allowances. It implements relay.Allowances. Its
// meter admits this instance's requests; its allocator grants credit to all instances while
// this one holds the lease.
type allowances struct {
	instance *Instance
	meter    *allowance.Meter
	client   *http.Client
	times    *rto.Estimator // of the calls that ask for credit

	mu        sync.Mutex
	allocator *allowance.Allocator // of the newest term of the lease that was held; nil: none
	draws     map[string]*draw     // under way, by account
}

// draw is a call that asks the lease holder for an account's credit.
type draw struct{ done chan struct{} }

func newAllowances(i *Instance) *allowances {
	return &allowances{
		instance: i,
		meter:    allowance.NewMeter(time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		client:   newExchangeClient(netconn.NewTransport(maxIdleDraws, time.Minute)),
		times:    rto.New(rto.Options{Initial: minDrawTimeout, Min: minDrawTimeout, Max: maxDrawTimeout}),
		draws:    map[string]*draw{},
	}
}

// Admit charges a request to its account's allowance. It asks the lease holder if this
// instance has no credit for it.
func (a *allowances) Admit(ctx context.Context, account *topology.Account, tokens int) allowance.Decision {
	limit := account.Allowance
	if !limit.Limited() {
		return allowance.Decision{Verdict: allowance.Admitted}
	}
	cost := allowance.Cost(&limit, tokens)
	d := a.meter.Admit(time.Now(), account.Name, limit, cost)
	if d.Verdict == allowance.DrawFirst {
		a.draw(ctx, account.Name, cost)
		d = a.meter.Redecide(time.Now(), account.Name, limit, cost)
	}
	a.instance.metrics.countAllowance(account.Name, d.Verdict)
	if d.Verdict != allowance.Admitted {
		a.log(account, cost, d)
	}
	return d
}

// Return gives back the charge of a request that did not run.
func (a *allowances) Return(account *topology.Account, tokens int) {
	if account.Allowance.Limited() {
		a.meter.Return(account.Name, allowance.Cost(&account.Allowance, tokens))
	}
}

// log writes the log line of a request that its account's allowance doesn't admit.
func (a *allowances) log(account *topology.Account, cost float64, d allowance.Decision) {
	a.instance.log.WithFields(logrus.Fields{
		"account": account.Name, "verdict": d.Verdict, "units": cost, "credit": d.Credit, "per_second": account.Allowance.PerSecond,
		"holder_ms": holderMs(d.HolderAge), "retry_after_ms": d.RetryAfter.Milliseconds(),
	}).Warn("allowance decision")
}

// holderMs returns the age of the lease holder's last answer in milliseconds, -1 if there
// was none.
func holderMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// draw waits until the lease holder was asked for the account's credit after the caller has
// recorded its request. Requests for one account share a call.
func (a *allowances) draw(ctx context.Context, account string, cost float64) {
	for range maxDraws {
		a.mu.Lock()
		running := a.draws[account]
		if running == nil {
			running = &draw{make(chan struct{})}
			a.draws[account] = running
			a.mu.Unlock()
			a.drawNow(ctx, account, cost)
			a.mu.Lock()
			delete(a.draws, account)
			a.mu.Unlock()
			close(running.done)
			return
		}
		a.mu.Unlock()
		select {
		case <-running.done:
		case <-ctx.Done():
			return
		}
	}
}

// drawNow asks the lease holder for the account's credit and applies its answer.
func (a *allowances) drawNow(ctx context.Context, account string, cost float64) {
	sent := time.Now()
	report := a.meter.ReportAccount(sent, account, cost)
	report.Instance = a.instance.opts.Node.Name
	grants, ok := a.grant(sent, report)
	if !ok {
		grants, ok = a.askHolder(ctx, report)
	}
	if !ok {
		a.meter.DrawFailed(time.Now())
		return
	}
	a.meter.Apply(sent, grants)
}

// askHolder sends a report to the lease holder. It returns false if there is no answer.
func (a *allowances) askHolder(ctx context.Context, report allowance.Report) (allowance.Grants, bool) {
	i := a.instance
	i.mu.Lock()
	holder, age := i.peerStatus.holder, time.Since(i.peerStatus.receivedAt)
	i.mu.Unlock()
	if holder == "" || age > maxDrawHolderAge {
		return allowance.Grants{}, false
	}
	// The answer is for other requests too, so the caller's disconnect doesn't end the call.
	client := exchange.NewExchangeProtobufClient("http://"+holder, a.client)
	var res *exchange.AllowanceGrants
	err := a.times.Call(context.WithoutCancel(ctx), func(ctx context.Context) (err error) {
		res, err = client.Draw(ctx, &exchange.DrawRequest{Instance: report.Instance, Report: wireAllowances(report)})
		return err
	})
	i.metrics.countDraw(err)
	if err != nil {
		i.log.WithFields(logrus.Fields{"holder": holder, "error": err}).Debug("lease holder did not answer for credit")
		return allowance.Grants{}, false
	}
	return grantsFromWire(res), true
}

// report returns the report of a sync, and false if no account has an allowance.
func (a *allowances) report(now time.Time) (allowance.Report, bool) {
	c := a.instance.currentView().Config
	if c == nil || !c.Accounts.HasLimits() {
		return allowance.Report{}, false
	}
	r := a.meter.Report(now, c.Accounts)
	r.Instance = a.instance.opts.Node.Name
	return r, true
}

// grant answers an instance's report if this instance holds the lease.
func (a *allowances) grant(now time.Time, report allowance.Report) (allowance.Grants, bool) {
	i := a.instance
	token := i.lease.Token()
	if !i.lease.Holds() || token.Holder != i.lease.Member() {
		return allowance.Grants{}, false
	}
	c := i.currentView().Config
	if c == nil || !c.Accounts.HasLimits() {
		return allowance.Grants{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.allocator == nil || a.allocator.Term() != token.Number {
		a.allocator = allowance.NewAllocator(now, token.Number, a.meter.Instances())
		i.log.WithFields(logrus.Fields{"term": token.Number, "expected": a.meter.Instances()}).Info("allowances are granted by this instance")
	}
	return a.allocator.Handle(now, i.node.Load().Allowances, c.Accounts, report), true
}

// syncOwn reports to this instance's own allocator, while it holds the lease.
func (a *allowances) syncOwn(now time.Time) {
	report, ok := a.report(now)
	if !ok {
		return
	}
	if grants, ok := a.grant(now, report); ok {
		a.meter.Apply(now, grants)
	}
}

// Draw implements exchange.Exchange.
func (e exchangeServer) Draw(_ context.Context, req *exchange.DrawRequest) (*exchange.AllowanceGrants, error) {
	grants, ok := e.instance.allowances.grant(time.Now(), allowancesFromWire(req.GetInstance(), req.GetReport()))
	if !ok {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this instance doesn't grant allowances")
	}
	return wireGrants(grants), nil
}
