package relay

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/gateway"
)

// gatewayHarness is a harness whose servers fail by refusing, and other instances that are their
// gateways.
type gatewayHarness struct {
	*harness
	peers []*Relay
	addrs []string
}

// withGateways starts n gateways. The harness's own relay isn't one.
func withGateways(b *harness, n int) *gatewayHarness {
	h := &gatewayHarness{harness: b}
	var members []gateway.Member
	for range n {
		peer, _, addr := b.forwardingPeer()
		peer.gateways.self = addr
		h.peers, h.addrs = append(h.peers, peer), append(h.addrs, addr)
		members = append(members, gateway.Member{Domain: "d", Addr: addr})
	}
	b.relay.forwarder = newForwarder(func() []string { return h.addrs })
	b.t.Cleanup(b.relay.forwarder.transport.CloseIdleConnections)
	for _, r := range append([]*Relay{b.relay}, h.peers...) {
		r.SetGateways(gateway.ChooseMembers(members))
	}
	b.relay.gateways.observe("svc", 1, time.Now(), "answer")
	return h
}

func TestServerThatFailsByRefusingGetsNoMoreThanItsSlotsThroughGateways(t *testing.T) {
	var running, most atomic.Int64
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		n := running.Add(1)
		defer running.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(50 * time.Millisecond)
		writeSeal(w, r)
		_, _ = io.WriteString(w, "x")
	})
	h := withGateways(b, 3)
	var group sync.WaitGroup
	var served atomic.Int64
	for range 40 {
		group.Go(func() {
			if b.do(b.request("POST", "/once/", "body", "Timeout", "3000")).status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, most.Load(), int64(4), "the server has four slots")
	require.Equal(t, served.Load(), b.calls(), "each request ran once at most")
	require.Positive(t, served.Load())
	for _, peer := range h.peers {
		require.Equal(t, 1, peer.gateways.limitWithAge("svc").PerSecond, "a gateway learns from what it is asked")
	}
}

// Until an answer tells, any server may fail by refusing: instances that knew nothing yet sent it
// more than its slots.
func TestServerOfWhichNothingIsKnownGetsNoMoreThanItsSlots(t *testing.T) {
	var running atomic.Int64
	finish := make(chan struct{})
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) {
		running.Add(1)
		<-finish
		writeSeal(w, r)
		_, _ = io.WriteString(w, "x")
	})
	finishAll := sync.OnceFunc(func() { close(finish) })
	t.Cleanup(finishAll)
	h := withGateways(b, 3)
	b.relay.gateways.limits = gateway.Limits{}
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { b.do(b.request("POST", "/once/", "body", "Timeout", "2000")) })
	}
	require.Never(t, func() bool { return running.Load() > 4 }, 400*time.Millisecond, 20*time.Millisecond, "the server has four slots")
	require.Positive(t, running.Load())
	finishAll()
	group.Wait()
	_, known := b.relay.gateways.limitOf(decide.Server{Pool: "svc", Slots: 4})
	require.True(t, known, "the server survives any number")
	require.Empty(t, h.relay.RefusalLimits())
	require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body")).status)
}

func TestGatewayThatIsGoneIsReplaced(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	h := withGateways(b, 3)
	h.relay.SetGateways(gateway.ChooseMembers([]gateway.Member{
		{Domain: "d", Addr: "127.0.0.1:1"}, {Domain: "d", Addr: "127.0.0.1:2"}, {Domain: "d", Addr: h.addrs[0]},
	}))
	for range 10 {
		require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body")).status)
	}
	require.EqualValues(t, 10, b.calls())
}

// Requests that go on being sent through gateways must not keep alive what no answer shows any more.
func TestRefusalLimitGrowsOldThoughRequestsGoThroughGateways(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	h := withGateways(b, 3)
	shown := time.Now().Add(-10 * time.Second)
	b.relay.gateways.limits = gateway.Limits{}
	b.relay.gateways.observe("svc", 1, shown, "answer")
	for range 5 {
		require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body")).status)
	}
	learned := 0
	for _, peer := range h.peers {
		if limit := peer.gateways.limitWithAge("svc"); limit.PerSecond > 0 {
			learned++
			require.GreaterOrEqual(t, limit.Age, 9*time.Second)
		}
	}
	require.Positive(t, learned)
}

func TestHeadThroughGatewaysIsFramedAsDirectly(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request, _ string) { writeSeal(w, r) })
	withGateways(b, 1)
	a := b.do(b.request("HEAD", "/safe/", ""))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
}

// An instance that knows of no gateways has only its share of the slots, rounded down.
func TestWithoutGatewaysInstancesKeepTheirShareRoundedDown(t *testing.T) {
	b := newHarness(t, respondWith("x"))
	withGateways(b, 0)
	require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body")).status, "it is the only instance")
	b.relay.gateways.setInstances(5)
	require.Equal(t, http.StatusServiceUnavailable, b.do(b.request("POST", "/once/", "body", "Timeout", "300")).status)
	require.EqualValues(t, 1, b.calls())
}
