package relay

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/infra"
)

// gatewayWait bounds how long an attempt waits at a gateway for a slot of its server. It is about
// as long as a request waits in a server's own queue.
const gatewayWait = 150 * time.Millisecond

// gateways knows which servers fail by refusing, and through which instances to send to them. It
// admits what is sent to them through this instance, its own requests included. It is safe for
// concurrent use.
type gateways struct {
	self    string // this instance's address for other instances
	log     logrus.FieldLogger
	metrics Metrics

	mu        sync.Mutex
	instances int // known to this instance, itself included
	limits    gateway.Limits
	members   gateway.Members
	limiter   gateway.Limiter
	lastID    uint64
	waiting   map[uint64]chan struct{} // by attempt: closed once it is admitted
}

func newGateways(self string, log logrus.FieldLogger, metrics Metrics) *gateways {
	return &gateways{self: self, log: log, metrics: metrics, instances: decide.MaxInstances, waiting: map[uint64]chan struct{}{}}
}

// setInstances sets how many instances there are.
func (g *gateways) setInstances(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = n
}

// setMembers replaces the instances that may be gateways.
func (g *gateways) setMembers(m gateway.Members) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Digest() == g.members.Digest() {
		return
	}
	g.members = m
	g.log.WithField("members", len(m)).Info("gateways told")
}

func (g *gateways) currentMembers() gateway.Members {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

// observe records how many refusals per second an answer says that the servers of a service
// survive, 0 if it says nothing. The answer was shown at the given time to the instance that by
// names. It reports whether that is new.
func (g *gateways) observe(service string, perSecond int, shownAt time.Time, by string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.limits.Observe(time.Now(), service, perSecond, shownAt)
	if changed {
		g.log.WithFields(logrus.Fields{"service": service, "refusals_per_s": perSecond, "by": by}).Info("servers say how many refusals they survive")
	}
	return changed
}

// limitOf returns how many refusals per second the server survives, 0 if any number. Until an
// answer tells, it is gateway.AssumedLimit if the server has gateways, and known is false.
func (g *gateways) limitOf(s decide.Server) (limit int, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, known = g.limits.Of(time.Now(), s.Pool)
	if !known && s.Slots > 0 && len(g.members) > 0 {
		return gateway.AssumedLimit, false
	}
	return limit, known
}

// limitWithAge returns the refusal limit of a service with its age, zero if it has none.
func (g *gateways) limitWithAge(service string) gateway.Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, _ := g.limits.Get(time.Now(), service)
	return l
}

func (g *gateways) knownLimits() []gateway.Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.List(time.Now())
}

// describe returns what decides about the gateways of a server.
func describe(s decide.Server, limit int) gateway.Server {
	return gateway.Server{ID: s.ID, Domain: s.FailureDomain, Slots: s.Slots, RefusalLimit: limit}
}

// askOrder returns the instances to ask to send to a server, and how many of them are its gateways.
// Without a list of members it is this instance alone.
func (g *gateways) askOrder(s decide.Server, limit int) (addrs []string, count int) {
	route := g.currentMembers().RouteTo(describe(s, limit))
	if len(route.Shares) == 0 {
		return []string{g.self}, 1
	}
	return route.Order(rand.IntN(len(route.Shares))), len(route.Shares)
}

// sendRequest is how an attempt asks to be sent to a server by this instance.
type sendRequest struct {
	limit      int  // refusals per second that the server survives, as this instance knows it
	askedLimit int  // as the instance knows it that asks, 0 if that is this one
	mayWait    bool // for a slot
}

// share returns how many requests this instance may have at the server. The caller must hold mu.
func (g *gateways) share(s decide.Server, req sendRequest) int {
	asked := cmp.Or(req.askedLimit, req.limit)
	if n := g.members.ShareFor(g.self, describe(s, req.limit), asked); n > 0 {
		return n
	}
	if req.askedLimit > 0 {
		return gateway.SmallestShare(describe(s, min(req.limit, asked)))
	}
	return s.Slots / max(g.instances, 1) // rounded down: all instances may do so at once
}

// sendPermit is the leave of an attempt to be sent to its server.
type sendPermit struct {
	gateways *gateways
	start    string
	once     sync.Once
}

// admit asks for an attempt to be sent to a server by this instance, of its own caller or for
// another instance. If it may not be sent, the result is nil. The permit has to be released.
func (g *gateways) admit(ctx context.Context, s decide.Server, req sendRequest) *sendPermit {
	p := &sendPermit{gateways: g, start: startKey(s)}
	g.mu.Lock()
	g.lastID++
	id := g.lastID
	verdict, others := g.limiter.Request(time.Now(), p.start, g.share(s, req), id, req.mayWait)
	g.wake(others)
	var admitted chan struct{}
	if verdict == gateway.Waiting {
		admitted = make(chan struct{})
		g.waiting[id] = admitted
	}
	g.mu.Unlock()
	switch {
	case verdict == gateway.Full, verdict == gateway.Waiting && !g.await(ctx, p.start, id, admitted):
		g.metrics.CountGatewayAdmission("full")
		return nil
	case verdict == gateway.Waiting:
		g.metrics.CountGatewayAdmission("waited")
	default:
		g.metrics.CountGatewayAdmission("at_once")
	}
	return p
}

// await waits until an attempt is admitted. It reports false if that takes too long.
func (g *gateways) await(ctx context.Context, start string, id uint64, admitted <-chan struct{}) bool {
	timer := time.NewTimer(gatewayWait)
	defer timer.Stop()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	return !g.limiter.Withdraw(time.Now(), start, id) // admitted at the last moment
}

// release records how an admitted attempt ended. Only the first call counts.
func (p *sendPermit) release(how gateway.Ending) {
	p.once.Do(func() {
		g := p.gateways
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wake(g.limiter.Release(time.Now(), p.start, how))
	})
}

// wake has attempts that waited be sent. The caller must hold mu.
func (g *gateways) wake(admitted []uint64) {
	for _, id := range admitted {
		if ch := g.waiting[id]; ch != nil {
			close(ch)
			delete(g.waiting, id)
		}
	}
}

// releaseWith has the permit released when the response ends. headers are the response's.
func (p *sendPermit) releaseWith(res *http.Response, headers ResponseHeaders) {
	how := endingOf(res, headers)
	if headers.NotRun || res.Body == http.NoBody { // which tells how the response is framed
		p.release(how)
		return
	}
	res.Body = &admittedBody{ReadCloser: res.Body, permit: p}
}

// endingOf returns how an attempt with the response ends, unless its body breaks off.
func endingOf(res *http.Response, headers ResponseHeaders) gateway.Ending {
	switch {
	case !headers.NotRun, res.StatusCode == http.StatusMisdirectedRequest, res.StatusCode == http.StatusBadRequest:
		return gateway.Completed
	}
	return gateway.Refused // for want of room
}

// releaseFailed releases the permit of an attempt that got no response. What this side ended
// may still be running.
func (p *sendPermit) releaseFailed(ctx context.Context, err error) {
	if ctx.Err() != nil && !neverSent(err) {
		p.release(gateway.Abandoned)
		return
	}
	p.release(gateway.Completed)
}

// admittedBody is the body of the response to an admitted attempt.
type admittedBody struct {
	io.ReadCloser
	permit *sendPermit
}

// Read implements io.Reader.
func (b *admittedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.permit.release(gateway.Completed)
	}
	return n, err
}

// Close implements io.Closer.
func (b *admittedBody) Close() error {
	err := b.ReadCloser.Close()
	b.permit.release(gateway.Abandoned) // unless it was read to its end
	return err
}

// noRoom is the error of an attempt that no gateway admitted. Its server has received nothing of it.
func noRoom(s decide.Server) error {
	return &infra.Error{Op: "gateway", Addr: s.Addr, Reason: infra.ReasonOverloaded, Effect: infra.EffectNone}
}

// sendThroughGateway sends an attempt to a server that may survive only so many refusals per second
// through one of its gateways, which may be this instance.
func (c *call) sendThroughGateway(ctx context.Context, s decide.Server, limit int, newRequest func(context.Context) *http.Request) (*http.Response, error) {
	r := c.relay
	addrs, gatewayCount := r.gateways.askOrder(s, limit)
	err := noRoom(s)
	full := 0
	for n, addr := range addrs {
		tries := min(gateway.GatewayTries, gatewayCount)
		if full >= tries || n >= gatewayCount+maxForwardTries {
			break
		}
		var res *http.Response
		var asked bool
		res, err, asked = c.askGateway(ctx, s, addr, limit, full == tries-1, newRequest)
		switch {
		case !asked:
			continue
		case err == nil || !neverSent(err) || ctx.Err() != nil:
			return res, err
		case isOverloaded(err):
			full++
		default:
			r.forwarder.noteFailure(addr)
		}
	}
	return nil, err
}

// askGateway asks one gateway to send the attempt. asked is false if the gateway lately failed.
func (c *call) askGateway(ctx context.Context, s decide.Server, addr string, limit int, mayWait bool, newRequest func(context.Context) *http.Request) (res *http.Response, err error, asked bool) {
	r := c.relay
	if addr == r.gateways.self {
		c.forwarded = false
		res, err = c.sendAdmitted(ctx, s, limit, mayWait, newRequest)
		return res, err, true
	}
	if r.forwarder.failedLately(addr) {
		return nil, noRoom(s), false
	}
	c.forwarded = true
	res, err = r.forwarder.sendVia(ctx, addr, s, gatewayRequest{limit: r.gateways.limitWithAge(s.Pool), asGateway: true, mayWait: mayWait, repeat: c.repeat}, newRequest)
	return res, err, true
}

// sendAdmitted sends an attempt to its server as one of its gateways.
func (c *call) sendAdmitted(ctx context.Context, s decide.Server, limit int, mayWait bool, newRequest func(context.Context) *http.Request) (*http.Response, error) {
	r := c.relay
	p := r.gateways.admit(ctx, s, sendRequest{limit: limit, mayWait: mayWait})
	if p == nil {
		return nil, noRoom(s)
	}
	res, err := infra.Send("relay", s.Addr, r.backends.get(s.ID, s.Addr, c.repeat).RoundTrip, newRequest(ctx))
	if err != nil {
		p.releaseFailed(ctx, err)
		return nil, err
	}
	p.releaseWith(res, r.headersOf(res, c.headers.ID))
	return res, nil
}
