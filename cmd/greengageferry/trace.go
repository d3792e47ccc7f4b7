package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

// traceCommand implements the subcommand trace.
type traceCommand struct{}

func (*traceCommand) Name() string     { return "trace" }
func (*traceCommand) Synopsis() string { return "tell a request's story from instances' logs" }
func (*traceCommand) Usage() string {
	return `trace ID FILE...:
  Print the log lines about a request, in the order of their time, over the logs
  of any instances; - reads standard input. What goes before a line's time= stays,
  such as the name of the instance that a collector put there.
  Exit codes: 0 some found, 1 none found or a file can't be read, 2 wrong usage.
`
}

// SetFlags implements subcommands.Command.
func (*traceCommand) SetFlags(*flag.FlagSet) {}

// maxLogLine bounds a log line, in bytes: many times an error with its chain of causes.
const maxLogLine = 1 << 20

// Execute implements subcommands.Command.
func (*traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(os.Stderr, "wrong usage: ", (&traceCommand{}).Usage())
		return subcommands.ExitUsageError
	}
	var lines []string
	for _, name := range f.Args()[1:] {
		found, err := traceFile(name, f.Arg(0))
		if err != nil {
			fmt.Fprintln(os.Stderr, "trace:", err)
			return subcommands.ExitFailure
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(logTime(a), logTime(b)) })
	for _, line := range lines {
		fmt.Println(line)
	}
	if len(lines) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func traceFile(name, request string) (lines []string, err error) {
	err = readLog(name, func(r io.Reader) error {
		lines, err = traceLines(r, request)
		return err
	})
	return lines, err
}

// readLog calls read with an open log file, or with standard input if name is "-".
func readLog(name string, read func(io.Reader) error) error {
	if name == "-" {
		return read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return read(file)
}

// scanLog calls visit for each line of a log.
func scanLog(r io.Reader, visit func(line string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		visit(scanner.Text())
	}
	return scanner.Err()
}

// traceLines returns the lines that have the field request=ID.
func traceLines(r io.Reader, request string) ([]string, error) {
	var out []string
	err := scanLog(r, func(line string) {
		if slices.Contains(strings.Fields(line), "request="+request) {
			out = append(out, line)
		}
	})
	return out, err
}

// logTime returns a line's timestamp. Timestamps sort as strings.
func logTime(line string) string {
	_, rest, _ := strings.Cut(line, `time="`)
	at, _, _ := strings.Cut(rest, `"`)
	return at
}
