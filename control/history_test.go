package control

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"greengageferry/decide"
	"greengageferry/infra"
)

// history notes every order that leaves under a lease, from before it leaves
// until it has ended.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) order(n *node, client int) func() {
	lease, call := n.f.View().Lease, time.Now().UnixNano()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: lease.ID, Call: call, Return: time.Now().UnixNano()})
	}
}

// leases is an exclusive lock with fencing: the newest lease that ordered. An
// order under an older one must not come after it.
var leases = porcupine.Model{
	Init: func() any { return infra.Offset(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(infra.Offset) >= state.(infra.Offset), input
	},
}

// leaseHistory runs a domain whose orders all get lost, so that its holder
// sends them again and again, while one holder after the other is cut off from
// the log, or paused with an order in hand, and later comes back.
func leaseHistory(t *testing.T, l Limits) (ops []porcupine.Operation, holders int) {
	synctest.Test(t, func(t *testing.T) {
		w, h := newWorld(t), &history{}
		w.limits = l
		for i := range 6 {
			w.servers.add(fmt.Sprint("s", i), 10, i%2 == 0)
		}
		w.servers.fault = func(infra.Order) fault { return faultLost }
		w.around = func(n *node, call func() error) error {
			defer h.order(n, int(n.id[1]))()
			return call()
		}
		w.plan(func(in decide.PlanInput) []decide.Move {
			var out []decide.Move
			for _, s := range in.Servers {
				out = append(out, moveTo(in, s, []string{"u1"}))
			}
			return out
		})
		w.start("n1", "n2", "n3", "n4")
		seen := map[infra.Offset]bool{}
		defer func() { // with nobody left to write
			w.stop()
			ops, holders = h.ops, len(seen)
		}()
		for i := range 26 {
			settle(time.Duration(7+i%5) * time.Second)
			holder := w.holder()
			if holder == nil {
				continue
			}
			seen[holder.f.View().Lease.ID] = true
			if i%4 == 1 {
				holder.pause()
				settle(13 * time.Second)
				holder.resume()
				continue
			}
			holder.f.setCut(true)
			settle(13 * time.Second)
			holder.f.setCut(false)
		}
	})
	return ops, holders
}

func TestOrdersOfLeasesDoNotOverlap(t *testing.T) {
	ops, holders := leaseHistory(t, Limits{Resend: time.Second})
	require.Greater(t, holders, 10)
	require.Greater(t, len(ops), 100)
	require.True(t, porcupine.CheckOperations(leases, ops))
}

// With holders that count their lease too long, and claimants too short, the
// check fails.
func TestOrdersOfLeasesOverlapIfTheLeaseIsMiscounted(t *testing.T) {
	ops, _ := leaseHistory(t, Limits{Resend: time.Second, RateBound: -0.8})
	require.False(t, porcupine.CheckOperations(leases, ops))
}
