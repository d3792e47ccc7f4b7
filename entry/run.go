package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/supervise"
)

// Run runs the instance until ctx ends and then shuts it down gracefully: the instance
// becomes not ready and ends its duties for its failure domain, keeps serving for the
// shutdown delay while load balancers notice, refuses new requests, waits up to the
// shutdown limit for the requests in flight, and stops. Run returns nil after a graceful
// shutdown, or a *supervise.RestartLimitError if a duty failed for good.
func (i *Instance) Run(ctx context.Context) error {
	baseCtx, stopBase := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBase()
	domainCtx, stopDomain := context.WithCancel(baseCtx)
	defer stopDomain()

	group, failed := errgroup.WithContext(baseCtx)
	options := supervise.Options{Log: i.log}
	group.Go(func() error { return supervise.Run(baseCtx, options, i.baseDuties(options)...) })
	domainEnded := make(chan struct{})
	group.Go(func() error {
		defer close(domainEnded)
		return supervise.Run(domainCtx, options, i.domainDuties()...)
	})
	i.log.WithFields(logrus.Fields{
		"callers":   i.CallersAddr(),
		"peers":     i.PeersAddr(),
		"operators": i.OperatorsAddr(),
		"version":   i.opts.Version,
	}).Info("instance started")

	select {
	case <-ctx.Done():
		i.shutDown(stopDomain, domainEnded)
	case <-failed.Done():
	}
	stopDomain()
	stopBase()
	err := group.Wait()
	i.log.WithField("error", err).Info("instance ended")
	return err
}

// shutDown makes the instance not ready, ends its duties for its failure domain and drains
// the requests in flight, in this order.
func (i *Instance) shutDown(stopDomain context.CancelFunc, domainEnded <-chan struct{}) {
	timing := i.opts.Settings.Timing
	i.shuttingDown.Store(true)
	i.log.WithField("delay", timing.ShutdownDelay.Value()).Info("shutting down: not ready")
	stopDomain()
	time.Sleep(timing.ShutdownDelay.Value())
	i.caller.Drain()
	limit := time.NewTimer(timing.ShutdownLimit.Value())
	defer limit.Stop()
	select {
	case <-i.caller.Idle():
		i.log.Info("shutting down: no requests in flight")
	case <-limit.C:
		i.log.Warn("shutting down: limit reached, canceling the requests in flight")
	}
	<-domainEnded
}

// baseDuties returns the duties that last until the end of a shutdown: those that follow and
// write the log, and those that serve callers, peers and operators.
func (i *Instance) baseDuties(options supervise.Options) []supervise.Duty {
	log := supervise.Tree("log", options,
		supervise.Duty{Name: "writer", Run: i.writer.Run},
		supervise.Duty{Name: "follower config", Run: i.configStream.Run},
		supervise.Duty{Name: "follower quarantine", Run: i.quarantineStream.Run},
		supervise.Duty{Name: "control followers", Run: i.controlFollowers.run},
		supervise.Duty{Name: "configuration", Run: i.configTracker.run},
		supervise.Duty{Name: "judge", Run: i.configValidator().Run},
		supervise.Duty{Name: "checkpoints config", Run: i.checkpointer(i.configStream, "").Run},
		supervise.Duty{Name: "checkpoints quarantine", Run: i.checkpointer(i.quarantineStream, "").Run},
		supervise.Duty{Name: "checkpoints control", Run: i.checkpointer(i.controlFollowers.ownFollower(), i.domain()).Run},
	)
	serving := supervise.Tree("serving", options,
		supervise.Duty{Name: "instance list", Run: i.watcher.Run},
		supervise.Duty{Name: "routing", Run: i.tableBuilder.run},
		supervise.Duty{Name: "caller", Run: i.caller.Run},
		supervise.Duty{Name: "missing", Run: i.missingReports.run},
		supervise.Duty{Name: "cache hints", Run: i.cachePoller.run},
		supervise.Duty{Name: "claims", Run: i.claimer.Run},
		supervise.Duty{Name: "claim batchers", Run: i.batchers.Run}, // requests in flight wait for them
	)
	duties := []supervise.Duty{log, serving}
	for name, l := range i.listeners {
		duties = append(duties, supervise.Duty{Name: "listener " + name, Run: l.run})
	}
	return duties
}
