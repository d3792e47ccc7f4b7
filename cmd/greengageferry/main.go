// Command greengageferry serves many language models on fewer accelerators.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
