package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"greengageferry/config"
	"greengageferry/entry"
)

// explainCommand implements the subcommand explain.
type explainCommand struct {
	url     string
	partner string
	asJSON  bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show where each setting's value is from" }
func (*explainCommand) Usage() string {
	return `explain [-json] [-partner NAME] DIR [PREFIX]
explain [-json] -url http://IP:PORT [PREFIX]:
  Print each setting with its value, file, partner, author and the offset of the
  file's version: of a folder, as for check, or of what is in force at a running
  instance's operators' address. PREFIX, such as models.tray-planner, keeps only
  the settings whose names begin with it.
  Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused.
`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.url, "url", "", "a running instance's operators' address, http://IP:PORT")
	f.StringVar(&c.partner, "partner", "", "DIR is this partner's own folder")
	f.BoolVar(&c.asJSON, "json", false, "print JSON in place of a table")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args := f.Args()
	dir := ""
	if c.url == "" && len(args) > 0 {
		dir, args = args[0], args[1:]
	}
	if len(args) > 1 || c.url == "" && dir == "" {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	explained, err := c.explain(ctx, dir)
	if err == nil {
		err = c.print(explained, strings.Join(args, ""))
	}
	if err != nil {
		return reportConfigError("explain", err)
	}
	return subcommands.ExitSuccess
}

func (c *explainCommand) explain(ctx context.Context, dir string) (config.Explanation, error) {
	if c.url != "" {
		var explained config.Explanation
		err := getOperatorsJSON(ctx, c.url, entry.PathExplain, &explained)
		return explained, err
	}
	built, provenance, err := buildConfig(dir, c.partner)
	if err != nil {
		return config.Explanation{}, err
	}
	return config.Explain(built, provenance), nil
}

func (c *explainCommand) print(explained config.Explanation, prefix string) error {
	kept := explained.Settings[:0]
	for _, s := range explained.Settings {
		if strings.HasPrefix(s.Key, prefix) {
			kept = append(kept, s)
		}
	}
	explained.Settings = kept
	if c.asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(explained)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "SETTING\tVALUE\tFILE\tPARTNER\tAUTHOR\tOFFSET\n")
	for _, s := range explained.Settings {
		file := s.File
		if s.Default {
			file = "(default)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", s.Key, s.Value, file, s.Partner, s.Author, s.Offset)
	}
	return w.Flush()
}
