package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"greengageferry/config"
)

// checkCommand implements the subcommand check.
type checkCommand struct{ partner string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a folder of configuration files offline" }
func (*checkCommand) Usage() string {
	return `check [-partner NAME] DIR:
  Judge the files as the system would. DIR is the shared folder, in which each
  partner has a folder of its name, or with -partner that partner's folder alone.
  Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.partner, "partner", "", "DIR is this partner's own folder")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	built, _, err := buildConfig(f.Arg(0), c.partner)
	if err != nil {
		return reportConfigError("check", err)
	}
	fmt.Printf("accepted: %d partners, %d pools, %d models, %d adapters, %d services, %d callers\n",
		len(built.Partners), len(built.Pools), len(built.Models), len(built.Adapters), len(built.Services), len(built.Callers))
	return subcommands.ExitSuccess
}

// buildConfig builds the configuration from the shared folder dir or, if
// partner is set, from that partner's own folder.
func buildConfig(dir, partner string) (*config.Config, config.Provenance, error) {
	files, err := config.ReadSharedDir(dir)
	if partner != "" {
		files, err = config.ReadPartnerDir(dir, partner)
	}
	if err != nil {
		return nil, nil, err
	}
	return config.Build(files)
}

// reportConfigError prints err for the subcommand and returns the exit code:
// exitRefused for a *config.ValidationError.
func reportConfigError(command string, err error) subcommands.ExitStatus {
	var refusal *config.ValidationError
	if errors.As(err, &refusal) {
		fmt.Fprintln(os.Stderr, "refused:", refusal)
		return exitRefused
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command, err)
	return subcommands.ExitFailure
}
