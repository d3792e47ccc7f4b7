package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// logLines bounds the lines that wait to be written. Full: a line is
// dropped and counted, since a reader of the log that stands still must not
// hold up a routing decision.
const logLines = 4096

// From thinFrom waiting lines on, only one in thinKept of the lines of requests
// that went well is kept, so that those that explain a failure still find room.
const (
	thinFrom = logLines / 2
	thinKept = 8
)

// closeWait bounds the wait for a reader of the log at the end: one that stands
// still must not keep the program from ending within its grace period.
const closeWait = 300 * time.Millisecond

// routineMark precedes a line of a request that went well, from the formatter to
// the writer, which takes it off.
const routineMark = 0

// lineFormatter formats a line of key=value pairs as logrus.TextFormatter does,
// but a line of 11 pairs costs 4.1 us in all in place of 6.4 (BenchmarkLogLine):
// two lines a request were 7.5% of a busy instance's processor time, and are 4.8%.
// Lines of requests that went well begin with routineMark.
type lineFormatter struct{}

// lineTime is the form of a line's time.
const lineTime = "2006-01-02T15:04:05.000Z07:00"

// usualKeys is how many keys a line has at most without an allocation.
const usualKeys = 24

// Format implements logrus.Formatter.
func (lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, 512)
	if _, ofRequest := e.Data["request"]; ofRequest && e.Level >= logrus.InfoLevel {
		line = append(line, routineMark)
	}
	line = append(line, "time=\""...)
	line = e.Time.AppendFormat(line, lineTime)
	line = append(line, "\" level="...)
	line = append(line, e.Level.String()...)
	line = append(line, " msg="...)
	line = appendText(line, e.Message)
	var space [usualKeys]string
	keys := space[:0]
	for k := range e.Data {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		line = append(line, ' ')
		line = append(line, k...)
		line = append(line, '=')
		line = appendValue(line, e.Data[k])
	}
	return append(line, '\n'), nil
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	}
	return appendText(line, fmt.Sprint(value))
}

// appendText appends a text, quoted where it wouldn't read as one word.
func appendText(line []byte, text string) []byte {
	if strings.ContainsFunc(text, needsQuotes) {
		return strconv.AppendQuote(line, text)
	}
	return append(line, text...)
}

func needsQuotes(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._/@^+", r))
}

// logWriter hands lines to a goroutine that writes them.
type logWriter struct {
	out  io.Writer
	ring chan []byte
	done chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int // lines since the last that was written
	thinned int // the same, of requests that went well
	routine int // lines of requests that went well, since the start
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, ring: make(chan []byte, logLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and never waits.
func (w *logWriter) Write(line []byte) (int, error) {
	n := len(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return n, nil
	}
	if n > 0 && line[0] == routineMark {
		line = line[1:]
		if w.routine++; len(w.ring) >= thinFrom && w.routine%thinKept != 0 {
			w.thinned++
			return n, nil
		}
	}
	select {
	case w.ring <- w.withLost(line):
		w.dropped, w.thinned = 0, 0
	default:
		w.dropped++
	}
	return n, nil
}

// withLost returns a copy of the line, after one that counts those lost before it.
func (w *logWriter) withLost(line []byte) []byte {
	var out []byte
	if w.dropped+w.thinned > 0 {
		out = fmt.Appendf(out, "level=warning msg=\"log lines lost\" dropped=%d thinned=%d\n", w.dropped, w.thinned)
	}
	return append(out, line...)
}

// writeBytes is how much is written at once at most: a write for each line costs
// a call to the system and a switch for each.
const writeBytes = 32 << 10

func (w *logWriter) run() {
	defer close(w.done)
	var out []byte
	for line := range w.ring {
		out = append(out[:0], line...)
		for more := true; more && len(out) < writeBytes; {
			select {
			case line, more = <-w.ring:
				out = append(out, line...)
			default:
				more = false
			}
		}
		_, _ = w.out.Write(out) // there is nowhere else to say so
	}
}

// Close writes what waits, if the reader takes it. Lines after it are dropped.
func (w *logWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.ring)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

// newLogger returns a logger that writes one line of key=value pairs for each
// event to out, and what ends it.
func newLogger(level logrus.Level, out io.Writer) (*logrus.Logger, func()) {
	writer := newLogWriter(out)
	log := logrus.New()
	log.SetOutput(writer)
	log.SetLevel(level)
	log.SetFormatter(lineFormatter{})
	return log, writer.Close
}

// untilSignal returns a context that ends at SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
