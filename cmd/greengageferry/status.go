package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"greengageferry/entry"
)

// statusCommand implements the subcommand status.
type statusCommand struct {
	url    string
	asJSON bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print what one entry instance sees" }
func (*statusCommand) Usage() string {
	return `status -url http://IP:PORT [-json]:
  Print what the instance at an operators' address sees: its readiness, the
  log's streams, leases, backend servers and replicas.
  Exit codes: 0 done, 1 failed, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.url, "url", "", "the instance's operators' address, http://IP:PORT")
	f.BoolVar(&c.asJSON, "json", false, "print JSON in place of tables")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.url == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	var status entry.Status
	err := getOperatorsJSON(ctx, c.url, entry.PathStatus, &status)
	if err == nil {
		err = c.print(&status)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "status:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *statusCommand) print(s *entry.Status) error {
	if c.asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printStatus(w, s)
	return w.Flush()
}

// printStatus writes the status as tables. The caller's Flush of w returns write
// errors.
func printStatus(w io.Writer, s *entry.Status) {
	fmt.Fprintf(w, "INSTANCE\tDOMAIN\tREGION\tVERSION\tREADY\tCONFIG\n")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t %s\t%d\n", s.Instance, s.FailureDomain, s.Region, s.Version, s.Ready, strings.Join(s.NotReady, ", "), s.ConfigOffset)
	fmt.Fprintf(w, "\nSTREAM\tOFFSET\tBEHIND\tAGE MS\tFROM PEER\n")
	for _, st := range s.Streams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\n", st.Stream, st.Offset, st.Behind, st.AgeMS, st.FromPeer)
	}
	fmt.Fprintf(w, "\nDOMAIN\tLEASE\tHOLDER\tORDERERS\n")
	for _, l := range s.Leases {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", l.FailureDomain, l.Lease, l.Holder, l.Orderers)
	}
	fmt.Fprintf(w, "\nSERVER\tDOMAIN\tLISTED\tFENCE\tMIB\tASSIGNED\tLINGERING\tREADY\n")
	for _, v := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", v.Server, v.FailureDomain, v.Listed, v.Assignment,
			v.MemoryMiB, v.AssignedMiB, v.LingeringMiB, strings.Join(v.Ready, " "))
	}
	fmt.Fprintf(w, "\nTARGET\tPARTNER\tREPLICAS\tDOMAINS\n")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", t.Target, t.Partner, t.Replicas, t.Domains)
	}
	if len(s.Suspects) > 0 {
		fmt.Fprintf(w, "\nFINGERPRINT\tQUARANTINED\tSERVERS THAT DIED\n")
	}
	for _, suspect := range s.Suspects {
		fmt.Fprintf(w, "%s\t%t\t%s\n", suspect.Fingerprint, suspect.Quarantined, strings.Join(suspect.Servers, " "))
	}
}
