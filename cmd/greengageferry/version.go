package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// version is the program's version. Verdicts on configuration changes contain the
// version, so that those of instances with different versions can be told apart on
// the platform's log.
const version = "0.1.0"

type versionCommand struct{}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string {
	return "version:\n  Print the program's version and the Go release it was built with.\n"
}
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("greengageferry %s %s\n", version, runtime.Version())
	return subcommands.ExitSuccess
}
