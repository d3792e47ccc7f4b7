package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// lossesCommand is the subcommand losses.
type lossesCommand struct {
	window time.Duration
	late   time.Duration
}

func (*lossesCommand) Name() string { return "losses" }
func (*lossesCommand) Synopsis() string {
	return "tell from instances' logs where requests were lost, and how well they were predicted"
}
func (*lossesCommand) Usage() string {
	return `losses [-window D] [-late D] FILE...:
  Read the logs of any instances, - for standard input, and print how requests
  ended: by route, by the moment of their end, and by reason; then how the times to
  first tokens compare with those that the instances had predicted.
  Exit codes: 0 done, 1 a file can't be read or bears no request, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (c *lossesCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", 5*time.Second, "the length of the moments that ends are counted by")
	f.DurationVar(&c.late, "late", time.Second, "a first byte after this is counted as late")
}

// Execute implements subcommands.Command.
func (c *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.window <= 0 {
		fmt.Fprint(os.Stderr, "wrong usage: ", c.Usage())
		return subcommands.ExitUsageError
	}
	l := newLosses(c.window, c.late)
	for _, name := range f.Args() {
		if err := readLog(name, l.read); err != nil {
			fmt.Fprintln(os.Stderr, "losses:", err)
			return subcommands.ExitFailure
		}
	}
	if len(l.all) == 0 {
		fmt.Fprintln(os.Stderr, "losses: no request ended in these logs")
		return subcommands.ExitFailure
	}
	l.print(os.Stdout)
	return subcommands.ExitSuccess
}

// counts is how many requests ended for each reason.
type counts map[string]int

// losses counts the ends of requests in logs.
type losses struct {
	window time.Duration
	late   time.Duration
	all    counts
	routes map[string]counts
	times  map[time.Time]counts
	sent   map[string]dispatched // by request: its newest dispatch
	ratios []float64             // actual against predicted times to first tokens
}

// dispatched is what a dispatch's line said.
type dispatched struct {
	at    time.Time
	first time.Duration // predicted to the first token
}

func newLosses(window, late time.Duration) *losses {
	return &losses{
		window: window, late: late, all: counts{}, routes: map[string]counts{},
		times: map[time.Time]counts{}, sent: map[string]dispatched{},
	}
}

func (l *losses) read(r io.Reader) error { return scanLog(r, l.line) }

// line takes in one line; any that isn't about a request is passed over.
func (l *losses) line(line string) {
	at, err := time.Parse(time.RFC3339Nano, logTime(line))
	if err != nil {
		return
	}
	switch {
	case strings.Contains(line, `msg="request decision"`) && logField(line, "action") == "dispatch":
		l.sent[logField(line, "request")] = dispatched{at, logMillis(line, "first_ms")}
	case strings.Contains(line, `msg="request ended"`):
		l.ended(at, line)
	}
}

func (l *losses) ended(at time.Time, line string) {
	reason := logField(line, "reason")
	first := logMillis(line, "first_byte_ms")
	if reason == "answered" && first > l.late {
		reason = "answered late"
	}
	l.all[reason]++
	count(l.routes, cmp.Or(logField(line, "route"), "none"), reason)
	count(l.times, at.Truncate(l.window), reason)
	request := logField(line, "request")
	d, ok := l.sent[request]
	delete(l.sent, request)
	if !ok || d.first <= 0 || first <= 0 || logField(line, "attempts") != "1" {
		return
	}
	arrived := at.Add(-logMillis(line, "ms"))
	if took := arrived.Add(first).Sub(d.at); took > 0 {
		l.ratios = append(l.ratios, took.Seconds()/d.first.Seconds())
	}
}

func count[K comparable](by map[K]counts, key K, reason string) {
	if by[key] == nil {
		by[key] = counts{}
	}
	by[key][reason]++
}

func (l *losses) print(w io.Writer) {
	reasons := slices.SortedFunc(maps.Keys(l.all), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.all[b], l.all[a]), cmp.Compare(a, b))
	})
	fmt.Fprintf(w, "%-26s %s\n", "", strings.Join(reasons, " | "))
	row := func(name string, c counts) {
		cells := make([]string, len(reasons))
		for i, reason := range reasons {
			cells[i] = fmt.Sprintf("%*d", len(reason), c[reason])
		}
		fmt.Fprintf(w, "%-26s %s\n", name, strings.Join(cells, " | "))
	}
	row("all", l.all)
	for _, name := range slices.Sorted(maps.Keys(l.routes)) {
		row(name, l.routes[name])
	}
	for _, at := range slices.SortedFunc(maps.Keys(l.times), time.Time.Compare) {
		row(at.Format("15:04:05.000"), l.times[at])
	}
	l.printRatios(w)
}

// printRatios writes the quantiles of actual against predicted first tokens, and
// the part of them within half and twice.
func (l *losses) printRatios(w io.Writer) {
	n := len(l.ratios)
	if n == 0 {
		return
	}
	slices.Sort(l.ratios)
	within := 0
	for _, r := range l.ratios {
		if r >= 0.5 && r <= 2 {
			within++
		}
	}
	fmt.Fprintf(w, "first tokens, actual against predicted, %d:", n)
	for _, q := range []float64{0.05, 0.25, 0.5, 0.75, 0.95} {
		fmt.Fprintf(w, " p%02.0f %.2f", q*100, l.ratios[min(int(q*float64(n)), n-1)])
	}
	fmt.Fprintf(w, "; within half and twice %.2f\n", float64(within)/float64(n))
}

// logField returns the value of a line's key=value field, empty if it has none.
func logField(line, key string) string {
	_, rest, ok := strings.Cut(line, " "+key+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// logMillis returns a field that is a number of milliseconds, 0 if it is none.
func logMillis(line, key string) time.Duration {
	ms, err := strconv.Atoi(logField(line, key))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
