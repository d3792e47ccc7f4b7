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
	"greengageferry/topology"
)

// instanceCommand implements the subcommand instance.
type instanceCommand struct {
	checkOnly   bool
	level       string
	metricsPort int
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
	f.IntVar(&c.metricsPort, "metrics", 0, "the `port` on which /metrics is served; 0: only beside the health check")
	f.StringVar(&c.level, "log", "info", "the least `level` of log lines: debug, info, warning or error")
}

// memoryLimitFraction is the share of an instance's memory that the Go runtime takes
// as its soft memory limit, above which it collects garbage more often. The rest is
// left for stacks and socket buffers.
const memoryLimitFraction = 0.6

// maxIdleStoreConns bounds the idle connections to the store: one for each
// background task that reads the store.
const maxIdleStoreConns = 6

// Execute implements subcommands.Command.
func (c *instanceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// SIGHUP is caught for the whole run: uncaught it ends the process, which would
	// abort the requests in flight, also while the instance drains.
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
	if c.metricsPort > 0 {
		node.MetricsAddr = net.JoinHostPort(node.IP, strconv.Itoa(c.metricsPort))
	}
	debug.SetMemoryLimit(int64(float64(node.MemoryMB) * memoryLimitFraction * (1 << 20)))
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, closeLog := newLogger(level, os.Stdout)
	defer closeLog()
	log.WithFields(logrus.Fields{"instance": node.Name, "domain": node.Domain, "version": version}).Info("starting")
	i := newInstance(node, log)
	go c.reloadSettings(ctx, hup, i, log)
	if err := i.Run(ctx); err != nil {
		log.WithField("error", err).Error("ended")
		return subcommands.ExitFailure
	}
	log.Info("ended")
	return subcommands.ExitSuccess
}

// newInstance returns an instance on the users' platform.
func newInstance(node *topology.Node, log *logrus.Logger) *instance.Instance {
	seed := uint64(time.Now().UnixNano())
	store := platform.NewStore(node.StoreAddr, netconn.NewIdleClosingTransport(maxIdleStoreConns, time.Minute))
	return instance.New(instance.Options{
		Node:        node,
		Source:      store,
		Group:       store,
		Counts:      store,
		Quarantines: store,
		Headers:     platform.Headers{},
		Orderer:     platform.NewOrderClient(platform.NewOrderTransport()),
		Clock:       netconn.BootTime,
		Log:         log,
		Rand:        rand.New(rand.NewPCG(seed, uint64(os.Getpid()))),
	})
}

// settingsPollInterval is how often the settings file's modification time is
// checked, since the file may change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// reloadSettings loads the settings again on SIGHUP and whenever the file has
// changed, until ctx ends. Invalid settings are logged and leave the current ones in
// force.
func (c *instanceCommand) reloadSettings(ctx context.Context, hup <-chan os.Signal, i *instance.Instance, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loaded := settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if settingsModTime().Equal(loaded) {
				continue
			}
		}
		loaded = settingsModTime()
		node, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			log.WithField("error", err).Warn("settings refused, the earlier ones hold")
			continue
		}
		i.SetNode(node)
	}
}

// settingsModTime returns the modification time of the settings file, zero if the
// file can't be read.
func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
