package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/allowance"
	"greengageferry/exchange"
	"greengageferry/topology"
)

// lateHolder is a lease holder that answers each call for credit after the time late. It implements
// http.RoundTripper.
type lateHolder struct {
	exchange.Exchange // only Draw is called
	allocator         *allowance.Allocator
	accounts          *topology.Accounts
	late              time.Duration
}

func (h *lateHolder) Draw(_ context.Context, req *exchange.DrawRequest) (*exchange.AllowanceGrants, error) {
	return wireGrants(h.allocator.Handle(time.Now(), topology.AllowanceBounds{}, h.accounts, allowancesFromWire(req.GetInstance(), req.GetReport()))), nil
}

func (h *lateHolder) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-time.After(h.late):
	case <-req.Context().Done():
		return nil, context.Cause(req.Context())
	}
	w := httptest.NewRecorder()
	exchange.NewExchangeServer(h).ServeHTTP(w, req)
	return w.Result(), nil
}

// Guards against requests being refused for an allowance that nobody exceeds, one after the other,
// while a busy lease holder takes longer to answer than it usually does.
func TestRequestsAreAdmittedThoughTheHolderAnswersLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, perSecond, spacing, late = 20, 1000, 100 * time.Millisecond, 150 * time.Millisecond
		account := &topology.Account{Name: "a", Allowance: topology.Allowance{PerSecond: perSecond, Burst: perSecond}}
		accounts, err := topology.NewAccounts([]topology.Account{*account})
		require.NoError(t, err)
		i := New(Options{Node: &topology.Node{Domain: "d", Name: "i"}, Log: quietLog()})
		i.allowances.client = &http.Client{Transport: &lateHolder{allocator: allowance.NewAllocator(time.Now(), 1, 1), accounts: accounts, late: late}}
		admitted := func() int {
			n := 0
			for range requests {
				i.setPeerStatus(peerStatus{receivedAt: time.Now(), holder: "10.0.0.1:1"})
				if i.allowances.Admit(t.Context(), account, 0).Verdict == allowance.Admitted {
					n++
				}
				time.Sleep(spacing)
			}
			return n
		}
		admitted() // the first call finds out how long answers take, and a pause follows
		require.Equal(t, requests, admitted())
	})
}
