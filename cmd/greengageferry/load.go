package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"greengageferry/load"
)

// loadCommand implements the subcommand load.
type loadCommand struct {
	options load.Options
	models  string
	asJSON  bool
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "send a bounded load to an entry instance and measure it"
}
func (*loadCommand) Usage() string {
	return `load -url http://127.0.0.1:PORT -key KEY -models a,b [flags]:
  Send completions to an entry instance on a loopback IP number, and print the
  latencies as percentiles, the attainment and the outcomes. Progress goes to
  standard error where that is a terminal. Exit codes: 0 done, 1 no request was
  completed, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&o.URL, "url", "", "entry instance's base URL; its host is a loopback IP number")
	f.StringVar(&o.Key, "key", "", "caller's key")
	f.StringVar(&c.models, "models", "", "models to ask for, evenly, separated by commas")
	f.Float64Var(&o.Rate, "rate", 0, "arrivals a second, at random times; 0: -concurrency callers, each sending one request after the other")
	f.IntVar(&o.Concurrency, "concurrency", 0, fmt.Sprintf("requests in flight at most; 0: %d, or %d with -rate", load.DefaultConcurrency, load.DefaultOpenLoopConcurrency))
	f.IntVar(&o.Requests, "requests", load.DefaultRequests, "requests after which the load ends")
	f.DurationVar(&o.Duration, "duration", load.DefaultDuration, "time after which the load ends")
	f.IntVar(&o.PromptMin, "prompt-min", load.DefaultPromptMin, "shortest prompt, in bytes")
	f.IntVar(&o.PromptMax, "prompt-max", load.DefaultPromptMax, "longest prompt, in bytes")
	f.IntVar(&o.Prefixes, "prefixes", load.DefaultPrefixes, "how many prompt beginnings the requests share")
	f.IntVar(&o.MaxTokens, "max-tokens", load.DefaultMaxTokens, "tokens of an answer at most")
	f.DurationVar(&o.Timeout, "timeout", load.DefaultTimeout, "each request's deadline")
	f.Float64Var(&o.Streamed, "streamed", 0.5, "share of requests that ask for a stream, 0 to 1")
	f.Float64Var(&o.Keyed, "keyed", 0, "share that is non-idempotent with an Idempotency-Key, 0 to 1")
	f.Float64Var(&o.NonIdempotent, "non-idempotent", 0, "share that is non-idempotent without a key, 0 to 1")
	f.Uint64Var(&o.Seed, "seed", 1, "of the requests; the nth request is the same in each load with the same flags")
	f.BoolVar(&c.asJSON, "json", false, "print the report as JSON")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	if c.models != "" {
		c.options.Models = strings.Split(c.models, ",")
	}
	if isTerminal(os.Stderr) {
		c.options.Progress = printProgress
	}
	report, err := load.Run(ctx, c.options)
	var usage *load.UsageError
	if errors.As(err, &usage) {
		fmt.Fprintf(os.Stderr, "load: -%v\n", usage)
		return subcommands.ExitUsageError
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "load: %v\n", err)
		return subcommands.ExitFailure
	}
	return c.print(report)
}

func (c *loadCommand) print(report *load.Report) subcommands.ExitStatus {
	if c.asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if encoder.Encode(report) != nil {
			return subcommands.ExitFailure
		}
	} else {
		report.Write(os.Stdout)
	}
	if report.Outcomes[load.OutcomeComplete] == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printProgress(p load.Progress) {
	fmt.Fprintf(os.Stderr, "\r%6.0f s  ended %d  complete %d  not run %d  unknown %d  other %d ",
		p.Elapsed.Round(time.Second).Seconds(), p.Ended, p.Outcomes[load.OutcomeComplete],
		p.Outcomes[load.OutcomeNotRun], p.Outcomes[load.OutcomeUnknown], p.Outcomes[load.OutcomeOther])
}

// isTerminal reports whether f is a character device.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
