package instance

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/allowance"
	"greengageferry/exchange"
	"greengageferry/topology"
)

// lateHolder is a lease holder that answers each call for credit late.
type lateHolder struct {
	exchange.Exchange // only Draw is called
	allocator         *allowance.Allocator
	accounts          *topology.Accounts
	late              time.Duration
}

func (h *lateHolder) Draw(_ context.Context, req *exchange.DrawRequest) (*exchange.AllowanceGrants, error) {
	time.Sleep(h.late)
	return wireGrants(h.allocator.Handle(time.Now(), topology.AllowanceBounds{}, h.accounts, allowancesFromWire(req.GetInstance(), req.GetReport()))), nil
}

// Guards against requests being refused for an allowance that nobody exceeds, one after the other,
// while a busy lease holder takes longer to answer than it usually does.
func TestRequestsAreAdmittedThoughTheHolderAnswersLate(t *testing.T) {
	const requests, perSecond = 20, 1000
	account := &topology.Account{Name: "a", Allowance: topology.Allowance{PerSecond: perSecond, Burst: perSecond}}
	accounts, err := topology.NewAccounts([]topology.Account{*account})
	require.NoError(t, err)
	holder := &lateHolder{allocator: allowance.NewAllocator(time.Now(), 1, 1), accounts: accounts, late: minDrawTimeout * 3 / 2}
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(exchange.NewExchangeServer(holder))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	i := New(Options{Node: &topology.Node{Domain: "d", Name: "i"}, Log: quietLog()})
	admitted := 0
	for range requests {
		i.setPeerStatus(peerStatus{receivedAt: time.Now(), holder: server.Listener.Addr().String()})
		if i.allowances.Admit(t.Context(), account, 0).Verdict == allowance.Admitted {
			admitted++
		}
		time.Sleep(drawPauseInTest)
	}
	require.GreaterOrEqual(t, admitted, requests*9/10, "the first call finds out how long answers take")
	require.LessOrEqual(t, opened.Load(), int64(2))
}

// drawPauseInTest is shorter than the pause after an unanswered call.
const drawPauseInTest = 100 * time.Millisecond
