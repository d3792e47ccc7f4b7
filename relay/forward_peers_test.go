package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against attempts that fail, and servers that then count as gone, where most other
// instances are cut off too: a random choice of a few of them often had none that reaches
// servers, though one was known.
func TestPeerKnownToReachServersIsAmongThoseTried(t *testing.T) {
	const (
		cutOffPeers = 20
		requests    = 20
	)
	b := newHarness(t, respondWith("x"))
	_, _, addr := b.forwardingPeer()
	peers := []string{addr}
	for range cutOffPeers {
		peer, _, cutOffAddr := b.forwardingPeer()
		peer.paths.block("s0", "")
		peers = append(peers, cutOffAddr)
	}
	b.cutOff(peers...)
	b.relay.forwarder.noteSuccess(addr)
	for n := range requests {
		require.Equal(t, http.StatusOK, b.do(b.request("POST", "/once/", "body", "Timeout", "300")).status, "request %d", n)
		b.relay.forwarder.mu.Lock()
		clear(b.relay.forwarder.failedAt) // as a second later
		b.relay.forwarder.mu.Unlock()
	}
}
