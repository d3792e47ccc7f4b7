package entry

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/replay"
)

// statusEngine answers status requests from a map and counts them by address.
type statusEngine struct {
	infra.Engine
	mu     sync.Mutex
	asked  map[string]int
	status map[string]infra.ServerStatus
}

func (e *statusEngine) Status(_ context.Context, addr string) (infra.ServerStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[addr]++
	status, up := e.status[addr]
	if !up {
		return status, &infra.Error{Op: "engine.status", Reason: infra.ReasonUnreachable}
	}
	return status, nil
}

// TestInstancesShareServerChecks runs 4 instances with 40 servers. Exactly one instance
// checks each server once per interval, and servers whose state differs from the log are
// reported.
func TestInstancesShareServerChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		item := infra.Item{Model: "m", Version: "v"}
		members := []string{"e0", "e1", "e2", "e3"}
		engine := &statusEngine{asked: map[string]int{}, status: map[string]infra.ServerStatus{}}
		view := &replay.ControlView{Servers: map[string]*replay.Server{}}
		var instances []infra.Instance
		for n := range 40 {
			id := fmt.Sprintf("s%02d", n)
			instances = append(instances, infra.Instance{ID: id, Addr: id, Role: infra.RoleEngine, FailureDomain: "d"})
			view.Servers[id] = &replay.Server{Boot: "1", Ready: []infra.Item{item}}
			engine.status[id] = infra.ServerStatus{Boot: "1", Items: []infra.ResidentItem{{Item: item, State: infra.ItemReady}}}
		}
		engine.status["s03"] = infra.ServerStatus{Boot: "2"}                                    // restarted empty
		engine.status["s04"] = infra.ServerStatus{Boot: "2", Items: engine.status["s05"].Items} // restarted, loaded again
		engine.status["s07"] = infra.ServerStatus{Boot: "1"}                                    // lost its model
		delete(engine.status, "s09")                                                            // doesn't answer
		list := fleet.NewList(time.Now(), instances)

		var mu sync.Mutex
		reported := map[string]bool{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, len(members))
		for _, id := range members {
			p := &serverChecker{
				ownID: id, domain: "d", engine: engine, metrics: new(expvar.Map),
				list:       func() *fleet.List { return list },
				members:    func() []string { return members },
				view:       func() *replay.ControlView { return view },
				reportBoot: func(string, string) {},
				report: func(server string) {
					mu.Lock()
					defer mu.Unlock()
					reported[server] = true
				},
			}
			go func() { ended <- p.run(ctx) }()
		}
		time.Sleep(10*checkInterval + time.Second)
		synctest.Wait()
		cancel()
		for range members {
			require.NoError(t, <-ended)
		}
		require.Equal(t, map[string]bool{"s03": true, "s04": true, "s07": true, "s09": true}, reported)
		for _, s := range instances {
			require.InDelta(t, 10, engine.asked[s.Addr], 1, s.ID)
		}
	})
}
