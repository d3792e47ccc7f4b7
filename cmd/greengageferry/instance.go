package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"greengageferry/instance"
	"greengageferry/netconn"
	"greengageferry/platform"
)

// instanceCommand is the subcommand instance.
type instanceCommand struct {
	checkOnly bool
	level     string
	metrics   int
}

func (*instanceCommand) Name() string { return "instance" }
func (*instanceCommand) Synopsis() string {
	return "run an instance on the users' platform: the daemon"
}
func (*instanceCommand) Usage() string {
	return `instance [-check] [-log LEVEL] [-metrics PORT]:
  Run an instance on the users' platform until SIGTERM, and then drain it. The
  platform's variable ` + platform.SettingsVariable + ` names the settings file.
  With -check only read the settings and say whether they are in order.
  Exit codes: 0 ended or in order, 1 failed, 2 wrong usage, 3 settings refused.
`
}

// SetFlags implements subcommands.Command.
func (c *instanceCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.checkOnly, "check", false, "only check the settings")
	f.IntVar(&c.metrics, "metrics", 0, "the `port` on which /metrics is served; 0: only beside the health check")
	f.StringVar(&c.level, "log", "info", "the least `level` of log lines: debug, info, warning or error")
}

// memoryPart is the part of an instance's memory that the heap may fill before
// collections come closer together: stacks and the sockets' buffers need the rest.
const memoryPart = 0.6

// orderIdle and orderIdleTime bound the unused connections for orders: they
// come in bursts to one server, and servers close theirs after seconds.
const (
	orderIdle     = 1
	orderIdleTime = 2 * time.Second
)

// storeIdle bounds the unused connections to the store: one for each duty that
// reads there.
const storeIdle = 6

// Execute implements subcommands.Command.
func (c *instanceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// From the first moment to the last: what isn't listened to ends the program,
	// also while it drains, and with it the requests in hand.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	level, err := logrus.ParseLevel(c.level)
	if err != nil || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	node, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "instance:", err)
		return exitRefused
	}
	if c.checkOnly {
		return subcommands.ExitSuccess
	}
	if c.metrics > 0 {
		node.MetricsAddr = net.JoinHostPort(node.IP, strconv.Itoa(c.metrics))
	}
	debug.SetMemoryLimit(int64(float64(node.MemoryMB) * memoryPart * (1 << 20)))
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog := newLogger(level, os.Stdout)
	defer closeLog()
	log.WithFields(logrus.Fields{"instance": node.Name, "domain": node.Domain, "version": version}).Info("starting")
	seed := uint64(time.Now().UnixNano())
	store := platform.NewStore(node.StoreAddr, netconn.NewIdleClosingTransport(storeIdle, time.Minute))
	i := instance.New(instance.Options{
		Node:    node,
		Source:  store,
		Group:   store,
		Headers: platform.Headers{},
		Orderer: platform.NewOrderClient(netconn.Transport(orderIdle, orderIdleTime)),
		Clock:   netconn.BootTime,
		Log:     log,
		Rand:    rand.New(rand.NewPCG(seed, uint64(os.Getpid()))),
	})
	go c.reload(ctx, hup, i, log)
	if err := i.Run(ctx); err != nil {
		log.WithField("error", err).Error("ended")
		return subcommands.ExitFailure
	}
	log.Info("ended")
	return subcommands.ExitSuccess
}

// settingsEvery is how often the settings file is looked at: it may change
// without a signal.
const settingsEvery = 5 * time.Second

// reload reads the settings again when hup is readable, and when the file has changed.
func (c *instanceCommand) reload(ctx context.Context, hup <-chan os.Signal, i *instance.Instance, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	read := changedAt()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if changedAt().Equal(read) {
				continue
			}
		}
		read = changedAt()
		node, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			log.WithField("error", err).Warn("settings refused, the earlier ones hold")
			continue
		}
		i.SetNode(node)
	}
}

// changedAt returns when the settings file last changed, zero if it isn't there.
func changedAt() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
