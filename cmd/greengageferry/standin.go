package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"greengageferry/infra"
	"greengageferry/standin"
)

// standinCommand implements the subcommand standin.
type standinCommand struct {
	kind, listen string

	log     standin.LogOptions
	store   standin.StoreOptions
	engine  standin.EngineOptions
	service standin.ServiceOptions

	storeURL string
	listLag  time.Duration
	listFile string
}

// standinUsageError reports an invalid flag of the subcommand standin.
type standinUsageError struct{ Flag, Problem string }

// Error implements error.
func (e *standinUsageError) Error() string { return "-" + e.Flag + ": " + e.Problem }

func (*standinCommand) Name() string { return "standin" }
func (*standinCommand) Synopsis() string {
	return "run one stand-in for a part of the platform, for trials"
}
func (*standinCommand) Usage() string {
	return `standin -kind log|store|instances|engine|service [flags]:
  Run one stand-in on a loopback address until SIGINT or SIGTERM. It keeps
  nothing. Once it serves it prints "ready kind=KIND url=URL" to standard
  output. Exit codes: 0 ended by a signal, 1 failed, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "log, store, instances, engine or service")
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "loopback IP:PORT to listen on; port 0 chooses one")

	f.Float64Var(&c.log.AppendsPerSecond, "appends-per-second", standin.DefaultAppendsPerSecond, "log: appends a second, above which they wait")
	f.DurationVar(&c.log.Retention, "retention", standin.DefaultRetention, "log: how long a record is kept")
	f.IntVar(&c.log.RetainedRecords, "retained-records", standin.DefaultRetainedRecords, "log: how many records a stream keeps at most")

	f.Func("limits", "store: `partner=RATE/CONCURRENT`, loads a second and loads at a time at full speed; once for each partner", c.addLimits)
	f.Float64Var(&c.store.MiBPerSecond, "mib-per-second", standin.DefaultMiBPerSecond, "store: speed of one load, in MiB a second")

	f.DurationVar(&c.listLag, "lag", 0, "instances: how old the list is that readers see")
	f.StringVar(&c.listFile, "file", "", "instances: JSON array of instances to begin with; PUT and DELETE on "+infra.PathInstances+"/ID change it")

	f.StringVar(&c.engine.ID, "id", "engine", "engine: its id on the platform's list")
	f.StringVar(&c.engine.Partner, "partner", "", "engine: partner whose part of the store its loads go to")
	f.StringVar(&c.storeURL, "store", "", "engine: weight store's base URL; empty: weights are there at once")
	f.Int64Var(&c.engine.MemoryMiB, "memory-mib", standin.DefaultMemoryMiB, "engine: accelerator memory, in MiB")
	f.IntVar(&c.engine.Slots, "slots", standin.DefaultSlots, "engine: requests that it batches at most")
	f.DurationVar(&c.engine.StepBase, "step-base", standin.DefaultStepBase, "engine: a batch's time for one token of each request")
	f.DurationVar(&c.engine.StepPerRequest, "step-per-request", standin.DefaultStepPerRequest, "engine: more of it for each request in the batch")
	f.DurationVar(&c.engine.PrefillPerKiB, "prefill-per-kib", standin.DefaultPrefillPerKiB, "engine: time to take in 1 KiB of a prompt that isn't cached")
	f.DurationVar(&c.engine.RestartTime, "restart-time", time.Second, "engine: how long it is down after a crash")
	f.BoolVar(&c.engine.IgnoresFence, "ignores-fence", false, "engine: take orders whatever their fencing number")
	f.StringVar(&c.engine.Poison, "poison", standin.DefaultPoison, "engine: a prompt with this text crashes it")

	f.StringVar(&c.service.Name, "name", "service", "service: its name")
	f.DurationVar(&c.service.CallDuration, "work", 0, "service: how long a call takes")
}

// addLimits parses a partner's store limits, partner=RATE/CONCURRENT, and adds them.
func (c *standinCommand) addLimits(s string) error {
	partner, limits, ok := strings.Cut(s, "=")
	rate, concurrent, ok2 := strings.Cut(limits, "/")
	perSecond, err := strconv.ParseFloat(rate, 64)
	count, err2 := strconv.Atoi(concurrent)
	if !ok || !ok2 || err != nil || err2 != nil {
		return &standinUsageError{Flag: "limits", Problem: "want partner=RATE/CONCURRENT, such as kitchen=3/3"}
	}
	if c.store.Limits == nil {
		c.store.Limits = map[string]infra.StoreLimits{}
	}
	c.store.Limits[partner] = infra.StoreLimits{LoadsPerSecond: perSecond, ConcurrentLoads: count}
	return nil
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signalContext(ctx)
	defer stop()
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	s, err := c.newStandin()
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return subcommands.ExitUsageError
	}
	server, err := standin.Start(c.listen, s)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("ready kind=%s url=%s\n", c.kind, server.URL())
	<-ctx.Done()
	if err := server.Close(); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// newStandin returns the stand-in of the kind that the flags select.
func (c *standinCommand) newStandin() (standin.Fake, error) {
	switch c.kind {
	case "log":
		return standin.NewLog(c.log), nil
	case "store":
		return standin.NewWeightStore(c.store), nil
	case "instances":
		return c.newInstanceList()
	case "engine":
		if c.storeURL != "" {
			c.engine.Store = standin.NewHTTPFetcher(c.storeURL, http.DefaultClient)
		}
		return standin.NewEngine(c.engine), nil
	case "service":
		return standin.NewService(c.service), nil
	}
	return nil, &standinUsageError{Flag: "kind", Problem: "want log, store, instances, engine or service"}
}

func (c *standinCommand) newInstanceList() (standin.Fake, error) {
	list := standin.NewInstanceList(c.listLag)
	if c.listFile == "" {
		return list, nil
	}
	data, err := os.ReadFile(c.listFile)
	if err != nil {
		return nil, &standinUsageError{Flag: "file", Problem: err.Error()}
	}
	var instances []infra.Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return nil, &standinUsageError{Flag: "file", Problem: err.Error()}
	}
	for _, i := range instances {
		list.Put(i)
	}
	return list, nil
}
