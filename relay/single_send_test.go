package relay

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against net/http sending a request again by itself when a kept connection breaks
// before the response.
func TestNonIdempotentRequestIsNotSentAgainOnABrokenConnection(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		for _, c := range []struct{ method, body string }{{"GET", ""}, {"HEAD", ""}, {"OPTIONS", ""}, {"POST", "body"}} {
			var breaks atomic.Bool
			b := newHarness(t, func(w http.ResponseWriter, r *http.Request, body string) {
				if breaks.Load() {
					panic(http.ErrAbortHandler)
				}
				require.Equal(t, c.body, body)
				require.Empty(t, r.TransferEncoding)
				require.EqualValues(t, len(c.body), r.ContentLength)
				writeSeal(w, r)
			})
			if forwarded {
				_, _, addr := b.forwardingPeer()
				b.cutOff(addr)
			}
			send := func() int { return b.do(b.request(c.method, "/once/", c.body, "Idempotency-Key", "k")).status }
			require.Equal(t, http.StatusOK, send())
			breaks.Store(true)
			require.Equal(t, http.StatusBadGateway, send())
			require.EqualValues(t, 2, b.calls(), "%s, forwarded %t", c.method, forwarded)
		}
	}
}
