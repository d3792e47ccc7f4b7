package relay

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/infra"
	"greengageferry/internal/respbody"
	"greengageferry/netconn"
)

// The headers of attempts that one instance sends to a server through another. An instance
// that forwards removes them from what it passes on.
const (
	// headerForwardTo is the id of the server.
	headerForwardTo = "Forward-To-Server"
	// headerForwardCheck asks only whether the server crashed when a connection to it broke,
	// so many milliseconds ago. In the response it is one of crashVerdictNames.
	headerForwardCheck = "Forward-Check"
	// headerForwarded is set in each response of an instance that forwards.
	headerForwarded = "Forwarded-By-Instance"
	// headerForwardError says that the response isn't the server's: an infra.Reason.
	headerForwardError = "Forward-Error"
	// headerForwardFraming is the respbody.Framing of the server's response.
	headerForwardFraming = "Forward-Framing"
	// headerForwardEnd is a trailer of a response that the server framed by its connection: one of
	// crashVerdictNames, which says whether the server's process ended with it.
	headerForwardEnd = "Forward-End"
	// headerForwardLimit asks the instance as a gateway of the server: how many refusals per second
	// the server survives, and how many milliseconds ago an answer showed that, separated by a comma.
	// Both are 0 if that isn't known.
	// headerForwardWait is set with it if the attempt may wait for a slot.
	headerForwardLimit = "Forward-Refusal-Limit"
	headerForwardWait  = "Forward-Wait"
	// headerForwardRepeat is how often the request was sent to the server before; absent: never.
	headerForwardRepeat = "Forward-Repeat"
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
	// peerProvenTTL is how long an instance that has forwarded is known to reach servers.
	peerProvenTTL = 10 * time.Second
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
	transport *netconn.Transport

	mu       sync.Mutex
	failedAt map[string]time.Time // by address: when an instance last could not forward
	provenAt map[string]time.Time // by address: when an instance last forwarded
	goneAt   map[string]time.Time // by startKey of a server: when no instance reached it
}

func newForwarder(peers func() []string) *forwarder {
	return &forwarder{
		peers: peers, transport: netconn.NewTransportWith(dialPeer, maxIdlePerPeer, peerIdleTimeout),
		failedAt: map[string]time.Time{}, provenAt: map[string]time.Time{}, goneAt: map[string]time.Time{},
	}
}

// dialPeer opens a connection to another instance.
func dialPeer(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	return netconn.Dial(ctx, network, addr)
}

// send sends the request to the server through another instance. It was sent to that server repeat
// times before. newRequest returns the
// request as it is sent directly. If no instance can send it, the error's effect is none.
func (f *forwarder) send(ctx context.Context, s decide.Server, repeat int, newRequest func(context.Context) *http.Request) (*http.Response, error) {
	unreached := error(&infra.Error{Op: "forward", Addr: s.Addr, Reason: infra.ReasonTimeout, Effect: infra.EffectNone})
	if f.presumedGone(s) {
		return nil, unreached
	}
	unreachedByPeer := false
	for _, peer := range f.pickPeers() {
		req := newRequest(ctx)
		req.URL.Host = peer
		setForward(req, s, repeat)
		res, err := infra.Send("forward", peer, f.transport.RoundTrip, req)
		if err == nil {
			// Only an instance that answered says something of the server.
			unreachedByPeer = unreachedByPeer || res.Header.Get(headerForwardUnsent) != ""
			err = forwardError(peer, res)
		}
		if err == nil {
			f.noteSuccess(peer)
			return res, nil
		}
		var e *infra.Error
		if ctx.Err() != nil || errors.As(err, &e) && e.Effect != infra.EffectNone {
			return nil, err
		}
		f.noteFailure(peer)
	}
	if unreachedByPeer {
		f.noteGone(s)
	}
	return nil, unreached
}

// gatewayRequest asks another instance to send an attempt as a gateway of its server.
type gatewayRequest struct {
	limit     gateway.Limit // of the server's service, zero if it isn't known
	asGateway bool          // false: the instance is only to reach the server
	mayWait   bool          // the attempt may wait there for a slot
	repeat    int           // how often the request was sent to the server before
}

// setForward sets the headers by which another instance sends the request to a server to which it was
// sent repeat times before.
func setForward(req *http.Request, s decide.Server, repeat int) {
	req.Header.Set(headerForwardTo, s.ID)
	if repeat > 0 {
		req.Header.Set(headerForwardRepeat, strconv.Itoa(repeat))
	}
}

// sendVia sends the request to the server through the instance at the address, a gateway of the
// server.
func (f *forwarder) sendVia(ctx context.Context, addr string, s decide.Server, g gatewayRequest, newRequest func(context.Context) *http.Request) (*http.Response, error) {
	req := newRequest(ctx)
	req.URL.Host = addr
	setForward(req, s, g.repeat)
	req.Header.Set(headerForwardLimit, fmt.Sprintf("%d,%d", g.limit.PerSecond, g.limit.Age.Milliseconds()))
	if g.mayWait {
		req.Header.Set(headerForwardWait, "1")
	}
	res, err := infra.Send("forward", addr, f.transport.RoundTrip, req)
	if err == nil {
		err = forwardError(addr, res)
	}
	if err != nil {
		return nil, err
	}
	return res, nil
}

// failedLately reports whether an instance could not forward lately.
func (f *forwarder) failedLately(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.failedAt[addr]) < peerBackoff
}

// forwardError returns the error that a forwarding instance reports instead of the server's
// response, nil if the response is the server's.
func forwardError(peer string, res *http.Response) error {
	switch {
	case res.Header.Get(headerForwarded) == "":
		_ = res.Body.Close() // an instance that doesn't know how to forward
		return &infra.Error{Op: "forward", Addr: peer, Reason: infra.ReasonUnavailable, Effect: infra.EffectNone}
	case res.Header.Get(headerForwardError) == "":
		takeFraming(res)
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

// takeFraming sets the framing of the server's response, which the forwarding instance has
// framed anew.
func takeFraming(res *http.Response) {
	if framing := res.Header.Get(headerForwardFraming); framing != "" {
		respbody.Watch(res).SetFraming(respbody.Framing(framing))
		res.Header.Del(headerForwardFraming)
	}
}

// pickPeers returns the instances to try in random order, or one of those that lately
// failed if there are no others. One that is known to reach servers is among them: where most
// instances are cut off, all of a random choice may be.
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
	proven := slices.IndexFunc(usable, func(p string) bool { return now.Sub(f.provenAt[p]) < peerProvenTTL })
	if proven >= maxForwardTries {
		usable[maxForwardTries-1] = usable[proven]
	}
	return usable[:min(maxForwardTries, len(usable))]
}

// noteSuccess records that an instance has forwarded.
func (f *forwarder) noteSuccess(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.provenAt, func(_ string, at time.Time) bool { return now.Sub(at) >= peerProvenTTL })
	f.provenAt[peer] = now
}

func (f *forwarder) noteFailure(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= peerBackoff })
	f.failedAt[peer] = now
}

// startKey identifies one start of a server.
func startKey(s decide.Server) string { return s.ID + " " + s.Start }

func (f *forwarder) noteGone(s decide.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.goneAt, func(_ string, at time.Time) bool { return now.Sub(at) >= goneTTL })
	f.goneAt[startKey(s)] = now
}

func (f *forwarder) presumedGone(s decide.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.goneAt[startKey(s)]) < goneTTL
}

// judge asks another instance whether the server crashed when a connection to it broke at the
// given time.
func (f *forwarder) judge(s decide.Server, brokeAt time.Time) crashVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), 2*crashCheckTimeout)
	defer cancel()
	res, err := f.send(ctx, s, 0, func(ctx context.Context) *http.Request {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+"/", nil) // never fails with these arguments
		req.Header.Set(headerForwardCheck, strconv.FormatInt(time.Since(brokeAt).Milliseconds(), 10))
		return req
	})
	if err != nil {
		return notKnown
	}
	defer res.Body.Close()
	return crashVerdictNamed(res.Header.Get(headerForwardCheck))
}
