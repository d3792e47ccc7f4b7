package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"greengageferry/infra"
	"greengageferry/publish"
)

// publishCommand implements the subcommand publish.
type publishCommand struct {
	log       string
	dir       string
	partner   string
	author    string
	watch     bool
	overwrite bool
	timeout   time.Duration
}

func (*publishCommand) Name() string { return "publish" }
func (*publishCommand) Synopsis() string {
	return "put a partner's changed files on the platform's log"
}
func (*publishCommand) Usage() string {
	return `publish -log http://IP:PORT -dir DIR -partner NAME -author NAME [-watch]:
  Send each file of the partner's folder that was added, edited or removed as one
  change, and print its verdict. A refused change leaves what was in force. The
  versions that the folder is based on are kept in it, in
  ` + publish.BasesFile + `.
  Exit codes: 0 done, 1 failed, 2 wrong usage, 3 at least one change was refused.
`
}

// SetFlags implements subcommands.Command.
func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.log, "log", "", "the platform's log, http://IP:PORT")
	f.StringVar(&c.dir, "dir", "", "the partner's folder")
	f.StringVar(&c.partner, "partner", "", "the partner's name")
	f.StringVar(&c.author, "author", "", "who makes the change")
	f.BoolVar(&c.watch, "watch", false, "go on with what changes in the folder, until SIGINT or SIGTERM")
	f.BoolVar(&c.overwrite, "overwrite", false, "where the folder doesn't know which version a file was edited from, take the one in force")
	f.DurationVar(&c.timeout, "timeout", publish.DefaultTimeout, "how long to wait for the log and for each verdict")
}

// Execute implements subcommands.Command.
func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.log == "" || c.dir == "" || c.partner == "" || c.author == "" || c.timeout <= 0 || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	log, closeLog := newLogger(logrus.WarnLevel, os.Stderr)
	defer closeLog()
	p := publish.New(publish.Options{
		Log:       infra.NewHTTPLog(c.log, newHTTPClient()),
		Dir:       c.dir,
		Partner:   c.partner,
		Author:    c.author,
		Overwrite: c.overwrite,
		Timeout:   c.timeout,
		Logger:    log,
	})
	if c.watch {
		return publishExitCode(false, p.Watch(ctx, printOutcome))
	}
	outcomes, err := p.Once(ctx)
	refused := false
	for _, o := range outcomes {
		printOutcome(o)
		refused = refused || !o.Accepted
	}
	return publishExitCode(refused, err)
}

func publishExitCode(refused bool, err error) subcommands.ExitStatus {
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "publish:", err)
		return subcommands.ExitFailure
	case refused:
		return exitRefused
	}
	return subcommands.ExitSuccess
}

// printOutcome writes a change's verdict as one line to standard output.
func printOutcome(o publish.Outcome) {
	change := "changed"
	if o.Removed {
		change = "removed"
	}
	switch {
	case o.Accepted:
		fmt.Printf("accepted %s %s offset=%d\n", change, o.File, o.Offset)
	case o.ReasonLine > 0:
		fmt.Printf("refused %s %s offset=%d: %s:%d: %s\n", change, o.File, o.Offset, o.ReasonFile, o.ReasonLine, o.Reason)
	default:
		fmt.Printf("refused %s %s offset=%d: %s: %s\n", change, o.File, o.Offset, o.ReasonFile, o.Reason)
	}
}
