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

// lossesCommand implements the subcommand losses.
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
  ended: by route, by client account, by the moment of their end, and by reason;
  then how the times to first tokens compare with those that the instances had
  predicted.
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
	l := newLossStats(c.window, c.late)
	for _, name := range f.Args() {
		if err := readLog(name, l.read); err != nil {
			fmt.Fprintln(os.Stderr, "losses:", err)
			return subcommands.ExitFailure
		}
	}
	if len(l.total) == 0 {
		fmt.Fprintln(os.Stderr, "losses: no request ended in these logs")
		return subcommands.ExitFailure
	}
	l.print(os.Stdout)
	return subcommands.ExitSuccess
}

// reasonCounts counts ended requests by reason.
type reasonCounts map[string]int

// lossStats counts the requests that ended in instances' logs, and compares predicted
// times to first token with actual ones.
type lossStats struct {
	window           time.Duration // length of the windows in byWindow
	late             time.Duration // time to first byte above which an answer is late
	total            reasonCounts
	byRoute          map[string]reasonCounts
	byAccount        map[string]reasonCounts // only of requests with a client account
	byWindow         map[time.Time]reasonCounts
	dispatches       map[string]dispatch // by request: its latest dispatch
	predictionRatios []float64           // actual over predicted time to first token
}

// dispatch is a request's dispatch, as logged.
type dispatch struct {
	at         time.Time
	firstToken time.Duration // predicted time to first token
}

func newLossStats(window, late time.Duration) *lossStats {
	return &lossStats{
		window: window, late: late, total: reasonCounts{}, byRoute: map[string]reasonCounts{}, byAccount: map[string]reasonCounts{},
		byWindow: map[time.Time]reasonCounts{}, dispatches: map[string]dispatch{},
	}
}

func (l *lossStats) read(r io.Reader) error { return scanLog(r, l.line) }

// line counts one log line. Lines that aren't about a request are ignored.
func (l *lossStats) line(line string) {
	at, err := time.Parse(time.RFC3339Nano, logTime(line))
	if err != nil {
		return
	}
	switch {
	case strings.Contains(line, `msg="request decision"`) && logField(line, "action") == "dispatch":
		l.dispatches[logField(line, "request")] = dispatch{at, logMillis(line, "first_ms")}
	case strings.Contains(line, `msg="request ended"`):
		l.addEnd(at, line)
	}
}

func (l *lossStats) addEnd(at time.Time, line string) {
	reason := logField(line, "reason")
	firstToken := logMillis(line, "first_byte_ms")
	if reason == "answered" && firstToken > l.late {
		reason = "answered late"
	}
	l.total[reason]++
	increment(l.byRoute, cmp.Or(logField(line, "route"), "none"), reason)
	if account := logField(line, "account"); account != "" {
		increment(l.byAccount, account, reason)
	}
	increment(l.byWindow, at.Truncate(l.window), reason)
	request := logField(line, "request")
	d, ok := l.dispatches[request]
	delete(l.dispatches, request)
	if !ok || d.firstToken <= 0 || firstToken <= 0 || logField(line, "attempts") != "1" {
		return
	}
	arrived := at.Add(-logMillis(line, "ms"))
	if actual := arrived.Add(firstToken).Sub(d.at); actual > 0 {
		l.predictionRatios = append(l.predictionRatios, actual.Seconds()/d.firstToken.Seconds())
	}
}

func increment[K comparable](by map[K]reasonCounts, key K, reason string) {
	if by[key] == nil {
		by[key] = reasonCounts{}
	}
	by[key][reason]++
}

func (l *lossStats) print(w io.Writer) {
	reasons := slices.SortedFunc(maps.Keys(l.total), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.total[b], l.total[a]), cmp.Compare(a, b))
	})
	fmt.Fprintf(w, "%-26s %s\n", "", strings.Join(reasons, " | "))
	row := func(name string, c reasonCounts) {
		cells := make([]string, len(reasons))
		for i, reason := range reasons {
			cells[i] = fmt.Sprintf("%*d", len(reason), c[reason])
		}
		fmt.Fprintf(w, "%-26s %s\n", name, strings.Join(cells, " | "))
	}
	row("all", l.total)
	for _, name := range slices.Sorted(maps.Keys(l.byRoute)) {
		row(name, l.byRoute[name])
	}
	for _, name := range slices.Sorted(maps.Keys(l.byAccount)) {
		row("account "+name, l.byAccount[name])
	}
	for _, at := range slices.SortedFunc(maps.Keys(l.byWindow), time.Time.Compare) {
		row(at.Format("15:04:05.000"), l.byWindow[at])
	}
	l.printRatios(w)
}

// printRatios writes the quantiles of predictionRatios, and the share of them between
// 0.5 and 2.
func (l *lossStats) printRatios(w io.Writer) {
	n := len(l.predictionRatios)
	if n == 0 {
		return
	}
	slices.Sort(l.predictionRatios)
	within := 0
	for _, r := range l.predictionRatios {
		if r >= 0.5 && r <= 2 {
			within++
		}
	}
	fmt.Fprintf(w, "first tokens, actual against predicted, %d:", n)
	for _, q := range []float64{0.05, 0.25, 0.5, 0.75, 0.95} {
		fmt.Fprintf(w, " p%02.0f %.2f", q*100, l.predictionRatios[min(int(q*float64(n)), n-1)])
	}
	fmt.Fprintf(w, "; within half and twice %.2f\n", float64(within)/float64(n))
}

// logField returns the value of a line's key=value field, or "" if there is none.
func logField(line, key string) string {
	_, rest, ok := strings.Cut(line, " "+key+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// logMillis returns the value of a field in milliseconds, or 0 if the field is missing
// or no integer.
func logMillis(line, key string) time.Duration {
	ms, err := strconv.Atoi(logField(line, key))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
