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

// history records the orders sent under each lease as operations that last from
// before the send until the call's end.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// startOrder begins an operation under the lease that the node sees and returns
// the function that ends it.
func (h *history) startOrder(n *node, client int) func() {
	lease, calledAt := n.logConn.View().Lease, time.Now().UnixNano()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: lease.ID, Call: calledAt, Return: time.Now().UnixNano()})
	}
}

// fencedLock models an exclusive lock with fencing. Its state is the newest lease
// under which an order was sent; an order under an older lease must not follow.
var fencedLock = porcupine.Model{
	Init: func() any { return infra.Offset(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(infra.Offset) >= state.(infra.Offset), input
	},
}

// runLeaseHistory runs a domain whose orders are all lost, so that the lease holder
// keeps resending them. One holder after another is disconnected from the log, or
// paused with an order about to be sent, and comes back later.
func runLeaseHistory(t *testing.T, l Limits) (ops []porcupine.Operation, holders int) {
	synctest.Test(t, func(t *testing.T) {
		cluster, h := newTestCluster(t), &history{}
		cluster.limits = l
		for i := range 6 {
			cluster.servers.add(fmt.Sprint("s", i), 10, i%2 == 0)
		}
		cluster.servers.fault = func(infra.Order) fault { return faultLost }
		cluster.wrapOrder = func(n *node, call func() error) error {
			defer h.startOrder(n, int(n.id[1]))()
			return call()
		}
		cluster.setPlan(func(in decide.PlanInput) []decide.Move {
			var out []decide.Move
			for _, s := range in.Servers {
				out = append(out, moveTo(in, s, []string{"u1"}))
			}
			return out
		})
		cluster.start("n1", "n2", "n3", "n4")
		seen := map[infra.Offset]bool{}
		defer func() { // stop the nodes first: they write ops
			cluster.stop()
			ops, holders = h.ops, len(seen)
		}()
		for i := range 26 {
			advance(time.Duration(7+i%5) * time.Second)
			holder := cluster.holder()
			if holder == nil {
				continue
			}
			seen[holder.logConn.View().Lease.ID] = true
			if i%4 == 1 {
				holder.pause()
				advance(13 * time.Second)
				holder.resume()
				continue
			}
			holder.logConn.setDisconnected(true)
			advance(13 * time.Second)
			holder.logConn.setDisconnected(false)
		}
	})
	return ops, holders
}

func TestOrdersOfLeasesDoNotOverlap(t *testing.T) {
	ops, holders := runLeaseHistory(t, Limits{ResendDelay: time.Second})
	require.Greater(t, holders, 10)
	require.Greater(t, len(ops), 100)
	require.True(t, porcupine.CheckOperations(fencedLock, ops))
}

// TestOrdersOfLeasesOverlapWithWrongLeaseDuration shows that the check above can
// fail: with a negative clock drift, holders take their lease to last too long,
// and claimants take it to end too early.
func TestOrdersOfLeasesOverlapWithWrongLeaseDuration(t *testing.T) {
	ops, _ := runLeaseHistory(t, Limits{ResendDelay: time.Second, MaxClockDrift: -0.8})
	require.False(t, porcupine.CheckOperations(fencedLock, ops))
}
