package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/supervise"
)

// Run runs the instance until ctx ends and then shuts it down gracefully: it is
// taken out of readiness and gives up what it holds for its failure domain,
// serves on for the settings' delay while balancers notice, refuses new work,
// lets each request in flight end, and stops. It returns nil then, or a
// *supervise.GaveUpError if a duty failed for good.
func (i *Instance) Run(ctx context.Context) error {
	base, stopBase := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBase()
	holding, stopHolding := context.WithCancel(base)
	defer stopHolding()

	group, failed := errgroup.WithContext(base)
	options := supervise.Options{Log: i.log}
	group.Go(func() error { return supervise.Run(base, options, i.baseDuties(options)...) })
	held := make(chan struct{})
	group.Go(func() error {
		defer close(held)
		return supervise.Run(holding, options, i.holdingDuties()...)
	})
	i.log.WithFields(logrus.Fields{
		"callers":   i.CallersAddr(),
		"peers":     i.PeersAddr(),
		"operators": i.OperatorsAddr(),
		"version":   i.opts.Version,
	}).Info("instance started")

	select {
	case <-ctx.Done():
		i.shutDown(stopHolding, held)
	case <-failed.Done():
	}
	stopHolding()
	stopBase()
	err := group.Wait()
	i.log.WithField("error", err).Info("instance ended")
	return err
}

// shutDown ends what the instance does for others, in order.
func (i *Instance) shutDown(stopHolding context.CancelFunc, held <-chan struct{}) {
	timing := i.opts.Settings.Timing
	i.leaving.Store(true)
	i.log.WithField("delay", timing.ShutdownDelay.Value()).Info("shutting down: not ready any more")
	stopHolding()
	time.Sleep(timing.ShutdownDelay.Value())
	i.caller.Drain()
	limit := time.NewTimer(timing.ShutdownLimit.Value())
	defer limit.Stop()
	select {
	case <-i.caller.Idle():
		i.log.Info("shutting down: nothing in flight")
	case <-limit.C:
		i.log.Warn("shutting down: requests in flight were cut at the limit")
	}
	<-held
}

// baseDuties are what every other duty needs, and what serves callers.
func (i *Instance) baseDuties(options supervise.Options) []supervise.Duty {
	log := supervise.Tree("log", options,
		supervise.Duty{Name: "writer", Run: i.writer.Run},
		supervise.Duty{Name: "follower config", Run: i.config.Run},
		supervise.Duty{Name: "follower quarantine", Run: i.quarantined.Run},
		supervise.Duty{Name: "control followers", Run: i.domains.run},
		supervise.Duty{Name: "configuration", Run: i.configuration.run},
		supervise.Duty{Name: "judge", Run: i.judge().Run},
		supervise.Duty{Name: "checkpoints config", Run: i.checkpointer(i.config, "").Run},
		supervise.Duty{Name: "checkpoints quarantine", Run: i.checkpointer(i.quarantined, "").Run},
		supervise.Duty{Name: "checkpoints control", Run: i.checkpointer(i.domains.ownFollower(), i.domain()).Run},
	)
	serving := supervise.Tree("serving", options,
		supervise.Duty{Name: "instance list", Run: i.watcher.Run},
		supervise.Duty{Name: "routing", Run: i.routing.run},
		supervise.Duty{Name: "caller", Run: i.caller.Run},
		supervise.Duty{Name: "missing", Run: i.missing.run},
		supervise.Duty{Name: "cache hints", Run: i.hints.run},
		supervise.Duty{Name: "claims", Run: i.claimer.Run},
	)
	duties := []supervise.Duty{log, serving}
	for name, l := range i.listeners {
		duties = append(duties, supervise.Duty{Name: "listener " + name, Run: l.run})
	}
	return duties
}
