package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"greengageferry/exchange"
)

// routeTimeout is the timeout of the call to the instance.
const routeTimeout = 5 * time.Second

// routeCommand implements the subcommand route, which asks an instance where it would send a request.
type routeCommand struct {
	instance string
	question exchange.RouteQuestion
	prompt   uint          // tokens of the prompt
	output   uint          // the most tokens of the answer
	timeout  time.Duration // how long the caller waits; 0: as the route says
	asJSON   bool
}

func (*routeCommand) Name() string { return "route" }
func (*routeCommand) Synopsis() string {
	return "explain where a request would go now, without sending it"
}
func (*routeCommand) Usage() string {
	return `route -instance IP:PORT -host HOST -path PATH [-model MODEL] [-account NAME]
      [-prompt TOKENS] [-output TOKENS] [-timeout D] [-json]:
  Ask a running instance, at its address for other instances, where it would send
  the described request now, and why: the route, all replicas with their load and
  score and the rule that excludes them, and whether the request would be sent,
  wait, or be refused. Nothing is sent and nothing is charged. Instances
  choose by what each of them knows; another may answer differently.
  Exit codes: 0 done, 1 the instance doesn't answer, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *routeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.instance, "instance", "", "the instance's address for other instances, IP:PORT")
	f.StringVar(&c.question.Host, "host", "", "the request's host")
	f.StringVar(&c.question.Path, "path", "/", "the request's path")
	f.StringVar(&c.question.Model, "model", "", "model, or model/adapter")
	f.StringVar(&c.question.Account, "account", "", "name of the client account")
	f.UintVar(&c.prompt, "prompt", 0, "tokens of the prompt")
	f.UintVar(&c.output, "output", 0, "the most tokens of the answer")
	f.DurationVar(&c.timeout, "timeout", 0, "how long the caller waits; 0: as the route says")
	f.BoolVar(&c.asJSON, "json", false, "print JSON in place of a table")
}

// Execute implements subcommands.Command.
func (c *routeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.instance == "" || c.question.Host == "" {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	c.question.PromptTokens, c.question.MaxTokens = uint32(c.prompt), uint32(c.output)
	c.question.TimeoutMs = uint32(c.timeout.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	answer, err := exchange.NewExchangeProtobufClient("http://"+c.instance, newHTTPClient()).ExplainRoute(ctx, &c.question)
	if err == nil {
		err = printRoute(os.Stdout, answer, c.asJSON)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "route:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// printRoute writes an instance's answer as JSON or as text with a table of the replicas.
func printRoute(out io.Writer, a *exchange.RouteAnswer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(a)
	}
	fmt.Fprintf(out, "instance %s: %s (%s)", a.GetInstance(), a.GetAction(), a.GetReason())
	if a.GetServer() != "" {
		fmt.Fprintf(out, " to %s", a.GetServer())
	} else {
		fmt.Fprintf(out, ", expected wait %d ms", a.GetQueueWaitMs())
	}
	fmt.Fprintf(out, "\nroute %s, target %s, rank %d, goal %d ms\n", a.GetRoute(), a.GetTarget(), a.GetRank(), a.GetGoalMs())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tDOMAIN\tNEAR\tEXCLUDED BY\tLOAD\tSLOTS\tLIMIT\tOWN\tUNREAD\tSLOWDOWN\tSCORE")
	for _, r := range a.GetReplicas() {
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%.1f\t%d\t%d\t%d\t%.0f\t%.2f\t%.3f\n", r.GetServer(), r.GetFailureDomain(), r.GetNear(), r.GetDroppedBy(),
			r.GetLoad(), r.GetSlots(), r.GetFillLimit(), r.GetOwn(), r.GetUnreadTokens(), r.GetSlowdown(), r.GetScore())
	}
	return w.Flush()
}
