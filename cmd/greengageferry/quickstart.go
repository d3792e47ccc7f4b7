package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"greengageferry/quickstart"
	"greengageferry/settings"
)

// quickstartCommand implements the subcommand quickstart.
type quickstartCommand struct {
	listen   string
	duration time.Duration
	level    string
	platform bool
}

func (*quickstartCommand) Name() string { return "quickstart" }
func (*quickstartCommand) Synopsis() string {
	return "run both partners' deployments in small, in one process on loopback"
}
func (*quickstartCommand) Usage() string {
	return `quickstart [-platform] [-listen IP:PORT] [-duration TIME] [-log-level LEVEL]:
  Start stand-ins for the platform, model engines and plain services, and four
  entry instances over four failure domains, all in this process on loopback.
  Once every model has a replica it prints, for each partner, one line
    ready url=http://127.0.0.1:PORT key=KEY partner=NAME model=MODEL
  to standard output; the log goes to standard error. It ends at SIGINT or
  SIGTERM, or after -duration. With -platform it runs stand-ins of the users'
  platform and an instance in each of two failure domains instead, and prints
  one line with an address for each. Nothing it holds lasts.
  Exit codes: 0 ended, 1 failed, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *quickstartCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP:PORT for callers of the first instance; port 0 chooses one")
	f.BoolVar(&c.platform, "platform", false, "run instances on stand-ins of the users' platform")
	f.DurationVar(&c.duration, "duration", 0, "end by itself after this time, such as 20s; 0: never")
	f.StringVar(&c.level, "log-level", settings.DefaultLogLevel, "debug, info, warning or error")
}

// Execute implements subcommands.Command.
func (c *quickstartCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level, err := logrus.ParseLevel(c.level)
	var listen settings.Addr
	if addrErr := listen.UnmarshalText([]byte(c.listen)); err != nil || addrErr != nil || f.NArg() > 0 || c.duration < 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	if c.duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.duration)
		defer cancel()
	}
	log, closeLog := newLogger(level, os.Stderr)
	run := quickstart.Run
	if c.platform {
		run = quickstart.RunPlatform
	}
	err = run(ctx, quickstart.Options{Listen: c.listen, Out: os.Stdout, Log: log, Version: version})
	closeLog()
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
