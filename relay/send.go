package relay

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/netconn"
)

// send sends an attempt to its server, directly or, if the server can't be reached, through
// another instance.
func (c *call) send(ctx context.Context, s decide.Server) (*http.Response, error) {
	defer c.countSending()
	r := c.relay
	c.countRepeat(s)
	newRequest := func(ctx context.Context) *http.Request {
		c.sending = netconn.Sending{}
		req := c.forwardedRequest(netconn.WhileCallerStays(c.sending.Record(ctx), c.req.Context(), c.cancel), s)
		for _, name := range []string{headerForwardCheck, headerForwardLimit, headerForwardWait, headerForwardRepeat} {
			req.Header.Del(name) // only instances may set these
		}
		return req
	}
	c.forwarded = false
	if limit, _ := r.gateways.limitOf(s); limit > 0 && r.forwarder != nil {
		return c.sendThroughGateway(ctx, s, limit, newRequest)
	}
	var unreached error
	if r.forwarder == nil || r.paths.direct(s.ID) {
		res, err := infra.Send("relay", s.Addr, r.backends.get(s.ID, s.Addr, c.repeat).RoundTrip, newRequest(ctx))
		if err == nil || !neverSent(err) || ctx.Err() != nil {
			return res, err
		}
		unreached = err
		if isTimeout(err) {
			r.paths.probeSoon(r.backends.addrs())
		}
	}
	if r.forwarder == nil {
		return nil, unreached // of the server, since it was sent to directly
	}
	c.forwarded = true
	res, err := r.forwarder.send(ctx, s, c.repeat, newRequest)
	switch {
	case err == nil && unreached != nil:
		r.blockPath(s.ID, s.Addr)
	case err != nil && neverSent(err) && unreached != nil:
		c.forwarded = false
		return nil, unreached // says more of the server
	}
	return res, err
}

// countRepeat counts how often the request was sent to the server before.
func (c *call) countRepeat(s decide.Server) {
	c.repeat = 0
	for _, id := range c.sentTo {
		if id == s.ID {
			c.repeat++
		}
	}
	c.sentTo = append(c.sentTo, s.ID)
}

// countSending counts the connections that the newest attempt was given.
func (c *call) countSending() {
	n := c.sending.Connections
	c.sendings += n
	if n > 0 {
		c.relay.opts.Metrics.CountSendings(c.sending.Reused, n-1)
	}
}

// neverSent reports whether no server can have received anything of the request.
func neverSent(err error) bool {
	var e *infra.Error
	return errors.As(err, &e) && e.Effect == infra.EffectNone
}

// isOverloaded reports whether an attempt found no room.
func isOverloaded(err error) bool {
	var e *infra.Error
	return errors.As(err, &e) && e.Reason == infra.ReasonOverloaded
}

// isTimeout reports whether a network error is a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// blockPath records that the server can't be reached directly. Idle connections to it may
// be as dead, and would each cost a request.
func (r *Relay) blockPath(server, addr string) {
	r.paths.block(server, addr)
	r.backends.closeIdle(server)
}

// ProbePaths is the duty that finds out which servers can be reached directly.
func (r *Relay) ProbePaths(ctx context.Context) error {
	return r.paths.run(ctx, func(server string) {
		r.backends.closeIdle(server)
		r.paths.probeSoon(r.backends.addrs()) // the others may be cut off as well
	})
}

// CutOff reports whether this instance reaches directly less than half of the servers that it
// uses.
func (r *Relay) CutOff() bool {
	blocked := r.paths.blockedServers()
	return blocked > 0 && 2*blocked > len(r.backends.addrs())
}

// UnreachableServers returns how many servers this instance can't reach directly.
func (r *Relay) UnreachableServers() int { return r.paths.blockedServers() }
