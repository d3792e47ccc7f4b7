package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"greengageferry/measure"
)

// measureCommand implements the subcommand measure.
type measureCommand struct {
	servers        string
	settle, during time.Duration
	asJSON         bool
}

func (*measureCommand) Name() string { return "measure" }
func (*measureCommand) Synopsis() string {
	return "measure what an entry instance spends on control, by the fleet's size"
}
func (*measureCommand) Usage() string {
	return `measure [-servers N,N,…] [-settle TIME] [-during TIME] [-json]:
  Run an entry instance against fleets of some sizes that are on a stand-in's log
  and list only, on loopback, and print its bytes a second at the sockets, its
  part of a core (the stand-ins' part included) and its heap.
  Exit codes: 0 done, 1 failed, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.servers, "servers", "475,950,1900", "backend servers of each fleet, separated by commas")
	f.DurationVar(&c.settle, "settle", measure.DefaultSettle, "time before the measurement")
	f.DurationVar(&c.during, "during", measure.DefaultDuration, "time of the measurement")
	f.BoolVar(&c.asJSON, "json", false, "print JSON in place of a table")
}

// Execute implements subcommands.Command.
func (c *measureCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, ok := parseSizes(c.servers)
	if !ok || f.NArg() > 0 || c.settle < 0 || c.during <= 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	var results []measure.Result
	for _, servers := range sizes {
		r, err := measure.Run(ctx, measure.Options{Servers: servers, Settle: c.settle, Duration: c.during})
		if err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			return subcommands.ExitFailure
		}
		results = append(results, r)
	}
	if err := c.print(results); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// maxServers bounds the servers of a fleet, so that the fleet fits into one machine's
// memory.
const maxServers = 20000

func parseSizes(text string) ([]int, bool) {
	var sizes []int
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 9 || n > maxServers {
			return nil, false
		}
		sizes = append(sizes, n)
	}
	return sizes, true
}

func (c *measureCommand) print(results []measure.Result) error {
	if c.asJSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SERVERS\tREADY\tKIB TO READY\tB/S\t% OF A CORE\tHEAP MIB\t")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%s\t%d\t%.0f\t%.2f\t%.1f\t\n", r.Servers, r.Ready.Round(time.Millisecond), r.ReadyBytes>>10,
			r.BytesPerSecond, 100*r.CPUCores, float64(r.HeapBytes)/(1<<20))
	}
	return w.Flush()
}
