// Command greengageferry is a request router and model scheduler between client
// accounts and the backend servers that run language models. It serves many models on
// fewer accelerators. Each of its tasks is a subcommand.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 settings or configuration
// rejected.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "greengageferry")
	register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// register registers the subcommands in the order in which help lists them.
func register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&entryCommand{}, "")
	c.Register(&instanceCommand{}, "")
	c.Register(&quickstartCommand{}, "")
	c.Register(&checkCommand{}, "")
	c.Register(&explainCommand{}, "")
	c.Register(&publishCommand{}, "")
	c.Register(&statusCommand{}, "")
	c.Register(&standinCommand{}, "")
	c.Register(&loadCommand{}, "")
	c.Register(&measureCommand{}, "")
	c.Register(&traceCommand{}, "")
	c.Register(&lossesCommand{}, "")
	c.Register(&routeCommand{}, "")
	c.Register(&versionCommand{}, "")
}
