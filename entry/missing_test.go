package entry

import (
	"context"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/replay"
)

func TestMissingReportsToLeaseHolderAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleet.NewList(time.Time{}, []infra.Instance{
			{ID: "s1", Role: infra.RoleEngine, FailureDomain: "porto-a"},
			{ID: "s2", Role: infra.RoleEngine, FailureDomain: "pelotas"},
			{ID: "other", Role: infra.RoleEntry, FailureDomain: "porto-a", Addr: "other's address"},
			{ID: "own", Role: infra.RoleEntry, FailureDomain: "pelotas"},
		})
		views := map[string]*replay.ControlView{
			"porto-a": {Lease: replay.Lease{Holder: "other"}},
			"pelotas": {Lease: replay.Lease{Holder: "own"}},
		}
		var local, told []string
		m := &missingReports{
			ownID: "own",
			queue: make(chan string, missingBuffer),
			list:  func() *fleet.List { return list },
			views: func() map[string]*replay.ControlView { return views },
			local: func(server string) { local = append(local, server) },
			remote: func(_ context.Context, addr, server string) error {
				told = append(told, addr+" "+server)
				return nil
			},
			log:     quietLog(),
			metrics: new(expvar.Map),
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- m.run(ctx) }()
		for range 10 {
			m.enqueue("s1")
			m.enqueue("s2")
			m.enqueue("unlisted")
			synctest.Wait()
		}
		require.Equal(t, []string{"s1", "s2", "unlisted"}, local)
		require.Equal(t, []string{"other's address s1"}, told)
		time.Sleep(missingReportInterval)
		m.enqueue("s1")
		synctest.Wait()
		require.Len(t, told, 2)
		cancel()
		require.NoError(t, <-ended)
	})
}
