package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"greengageferry/entry"
	"greengageferry/settings"
	"greengageferry/tomlfile"
)

// exitRefused is the exit code for rejected settings or configuration.
const exitRefused subcommands.ExitStatus = 3

// entryCommand implements the subcommand entry.
type entryCommand struct {
	file      string
	checkOnly bool
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry instance: the daemon" }
func (*entryCommand) Usage() string {
	return `entry -settings FILE [-check]:
  Run an entry instance with the settings of a TOML file until SIGINT or
  SIGTERM, and then shut it down gracefully. With -check only read the settings
  and say whether they are in order.
  Exit codes: 0 ended or in order, 1 failed, 2 wrong usage, 3 settings refused.
`
}

// SetFlags implements subcommands.Command.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "the TOML `file` of the instance's settings")
	f.BoolVar(&c.checkOnly, "check", false, "only check the settings")
}

// Execute implements subcommands.Command.
func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return settingsExitCode(err)
	}
	if c.checkOnly {
		return subcommands.ExitSuccess
	}
	return c.run(ctx, s)
}

// settingsExitCode returns exitRefused for invalid settings, and ExitFailure for a
// settings file that can't be read.
func settingsExitCode(err error) subcommands.ExitStatus {
	var refused *tomlfile.Error
	if errors.As(err, &refused) {
		return exitRefused
	}
	return subcommands.ExitFailure
}

func (c *entryCommand) run(ctx context.Context, s *settings.Settings) subcommands.ExitStatus {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return exitRefused
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	log, closeLog := newLogger(level, os.Stderr)
	defer closeLog()
	instance, err := entry.New(entry.Options{Settings: s, Version: version, Log: log})
	if err == nil {
		err = instance.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
