package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"
)

// logLines bounds the lines that wait to be written. Full: a line is
// dropped and counted, since a reader of the log that stands still must not
// hold up a routing decision.
const logLines = 4096

// logWriter hands lines to a goroutine that writes them.
type logWriter struct {
	out  io.Writer
	ring chan []byte
	done chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int // lines since the last that was written
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, ring: make(chan []byte, logLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and never waits.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.ring <- w.withDropped(line):
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// withDropped returns a copy of the line, after one that counts those dropped
// before it.
func (w *logWriter) withDropped(line []byte) []byte {
	var out []byte
	if w.dropped > 0 {
		out = fmt.Appendf(out, "level=warning msg=\"log lines dropped\" lines=%d\n", w.dropped)
	}
	return append(out, line...)
}

func (w *logWriter) run() {
	defer close(w.done)
	for line := range w.ring {
		_, _ = w.out.Write(line) // there is nowhere else to say so
	}
}

// Close writes what waits. Lines after it are dropped.
func (w *logWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.ring)
	}
	w.mu.Unlock()
	<-w.done
}

// newLogger returns a logger that writes one line of key=value pairs for each
// event to out, and what ends it.
func newLogger(level logrus.Level, out io.Writer) (*logrus.Logger, func()) {
	writer := newLogWriter(out)
	log := logrus.New()
	log.SetOutput(writer)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return log, writer.Close
}

// untilSignal returns a context that ends at SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
