package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/netconn"
)

// The headers of attempts that one instance sends to a server through another. An instance
// that forwards removes them from what it passes on.
const (
	// headerForwardTo is the id of the server.
	headerForwardTo = "Forward-To-Server"
	// headerForwardCheck asks only whether the server has crashed.
	headerForwardCheck = "Forward-Check"
	// headerForwarded is set in each response of an instance that forwards.
	headerForwarded = "Forwarded-By-Instance"
	// headerForwardError says that the response isn't the server's: an infra.Reason.
	headerForwardError = "Forward-Error"
	// headerForwardUnsent is set with headerForwardError if nothing of the request can have
	// reached the server.
	headerForwardUnsent = "Forward-Unsent"
)

const (
	// maxForwardTries is how many instances are tried for one attempt.
	maxForwardTries = 4
	// peerBackoff is how long an instance that could not forward is left out while there are
	// others.
	peerBackoff = time.Second
	// peerDialTimeout bounds the opening of a connection to another instance. In a network
	// partition it never opens, and a third instance may be reached.
	peerDialTimeout = 200 * time.Millisecond
	// goneTTL is how long no instance is asked for a server that another one didn't reach
	// either.
	goneTTL = time.Second
	// maxIdlePerPeer and peerIdleTimeout bound the idle connections to other instances.
	maxIdlePerPeer  = 64
	peerIdleTimeout = 4 * time.Second
)

// forwarder sends attempts to servers through other instances. It is safe for concurrent
// use.
type forwarder struct {
	peers     func() []string // addresses of other instances
	transport *http.Transport

	mu       sync.Mutex
	failedAt map[string]time.Time // by address: when an instance last could not forward
	goneAt   map[string]time.Time // by server id: when no instance reached it
}

func newForwarder(peers func() []string) *forwarder {
	return &forwarder{
		peers: peers, transport: netconn.TransportWith(dialPeer, maxIdlePerPeer, peerIdleTimeout),
		failedAt: map[string]time.Time{}, goneAt: map[string]time.Time{},
	}
}

// dialPeer opens a connection to another instance.
func dialPeer(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	return netconn.Dial(ctx, network, addr)
}

// send sends the request to the server through another instance. newRequest returns the
// request as it is sent directly. If no instance can send it, the error's effect is none.
func (f *forwarder) send(ctx context.Context, s decide.Server, newRequest func(context.Context) *http.Request) (*http.Response, error) {
	unreached := error(&infra.Error{Op: "forward", Addr: s.Addr, Reason: infra.ReasonTimeout, Effect: infra.EffectNone})
	if f.presumedGone(s.ID) {
		return nil, unreached
	}
	tried := false
	for _, peer := range f.pickPeers() {
		req := newRequest(ctx)
		req.URL.Host = peer
		req.Header.Set(headerForwardTo, s.ID)
		res, err := infra.Send("forward", peer, f.transport.RoundTrip, req)
		if err == nil {
			err = forwardError(peer, res)
		}
		if err == nil {
			return res, nil
		}
		var e *infra.Error
		if ctx.Err() != nil || errors.As(err, &e) && e.Effect != infra.EffectNone {
			return nil, err
		}
		tried = true
		f.noteFailure(peer)
	}
	if tried {
		f.noteGone(s.ID)
	}
	return nil, unreached
}

// forwardError returns the error that a forwarding instance reports instead of the server's
// response, nil if the response is the server's.
func forwardError(peer string, res *http.Response) error {
	switch {
	case res.Header.Get(headerForwarded) == "":
		_ = res.Body.Close() // an instance that doesn't know how to forward
		return &infra.Error{Op: "forward", Addr: peer, Reason: infra.ReasonUnavailable, Effect: infra.EffectNone}
	case res.Header.Get(headerForwardError) == "":
		res.Header.Del(headerForwarded)
		return nil
	}
	_ = res.Body.Close() // empty
	e := &infra.Error{Op: "forward", Addr: peer, Reason: infra.Reason(res.Header.Get(headerForwardError)), Effect: infra.EffectUnknown}
	if res.Header.Get(headerForwardUnsent) != "" {
		e.Effect = infra.EffectNone
	}
	return e
}

// pickPeers returns the instances to try in random order, or one of those that lately
// failed if there are no others.
func (f *forwarder) pickPeers() []string {
	peers := f.peers()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return now.Sub(f.failedAt[p]) < peerBackoff })
	if len(usable) == 0 {
		return peers[:min(1, len(peers))]
	}
	return usable[:min(maxForwardTries, len(usable))]
}

func (f *forwarder) noteFailure(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[peer] = time.Now()
}

func (f *forwarder) noteGone(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, at := range f.goneAt {
		if now.Sub(at) >= goneTTL {
			delete(f.goneAt, id)
		}
	}
	f.goneAt[server] = now
}

func (f *forwarder) presumedGone(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.goneAt[server]) < goneTTL
}

// crashed asks other instances whether the server's address refuses connections.
func (f *forwarder) crashed(s decide.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*crashCheckTimeout)
	defer cancel()
	res, err := f.send(ctx, s, func(ctx context.Context) *http.Request {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+"/", nil) // never fails with these arguments
		req.Header.Set(headerForwardCheck, "1")
		return req
	})
	if err != nil {
		return false
	}
	defer res.Body.Close()
	crashed, err := strconv.ParseBool(res.Header.Get(headerForwardCheck))
	return err == nil && crashed
}

// isTimeout reports whether a network error is a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// send sends an attempt to its server, directly or, if the server can't be reached, through
// another instance.
func (c *call) send(ctx context.Context, s decide.Server) (*http.Response, error) {
	r := c.relay
	newRequest := func(ctx context.Context) *http.Request {
		req := c.forwardedRequest(ctx, s)
		req.Header.Del(headerForwardCheck) // only instances may ask that
		return req
	}
	c.forwarded = false
	var unreached error
	if r.paths.direct(s.ID) {
		res, err := infra.Send("relay", s.Addr, r.backends.get(s.ID, s.Addr).RoundTrip, newRequest(ctx))
		if err == nil || !neverSent(err) || ctx.Err() != nil {
			return res, err
		}
		unreached = err
		if isTimeout(err) {
			r.paths.probeSoon(r.backends.addrs())
		}
	}
	if r.forwarder == nil {
		return nil, unreached
	}
	c.forwarded = true
	res, err := r.forwarder.send(ctx, s, newRequest)
	switch {
	case err == nil && unreached != nil:
		r.blockPath(s.ID, s.Addr)
	case err != nil && neverSent(err) && unreached != nil:
		return nil, unreached // says more of the server
	}
	return res, err
}

// neverSent reports whether no server can have received anything of the request.
func neverSent(err error) bool {
	var e *infra.Error
	return errors.As(err, &e) && e.Effect == infra.EffectNone
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
