package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// blockedWriter is a log writer that blocks until release is closed. It signals on
// started when a write begins.
type blockedWriter struct {
	started chan struct{}
	release chan struct{}
	text    strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	select {
	case s.started <- struct{}{}:
	default:
	}
	<-s.release
	return s.text.Write(p)
}

func TestBlockedWriterDropsAndCountsLines(t *testing.T) {
	out := &blockedWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	w := newLogWriter(out)
	_, err := fmt.Fprintln(w, "first")
	require.NoError(t, err)
	<-out.started
	for n := range maxQueuedLines + 7 { // the queue's capacity, and seven more
		_, err := fmt.Fprintln(w, n)
		require.NoError(t, err)
	}
	close(out.release)
	for len(w.queue) == maxQueuedLines { // wait for room in the queue
		continue
	}
	_, err = fmt.Fprintln(w, "last")
	require.NoError(t, err)
	w.Close()
	text := out.text.String()
	require.True(t, strings.HasPrefix(text, "first\n0\n1\n"))
	require.Contains(t, text, "dropped=7 thinned=0\nlast\n")
	require.NotContains(t, text, fmt.Sprint(maxQueuedLines+1))
}

// While the writer is blocked, routine lines are sampled from the half-full queue on,
// so that no line that explains a failure is lost. Lines left out are counted.
func TestRoutineLinesAreSampledBeforeOthersAreDropped(t *testing.T) {
	out := &blockedWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	log, closeLog := newLogger(logrus.InfoLevel, out)
	log.Info("first")
	<-out.started
	for n := range 2 * maxQueuedLines {
		log.WithFields(logrus.Fields{"request": n, "reason": "answered"}).Info("request ended")
		if n%16 == 0 {
			log.WithFields(logrus.Fields{"request": n, "reason": "deadline"}).Warn("request ended")
		}
	}
	close(out.release)
	log.Info("last")
	closeLog()
	text := out.text.String()
	require.Equal(t, 2*maxQueuedLines/16, strings.Count(text, "reason=deadline"), "no warning is lost")
	require.Less(t, strings.Count(text, "reason=answered"), maxQueuedLines)
	require.Contains(t, text, "dropped=0 thinned=")
	require.NotContains(t, text, "\x00")
}

// A log reader that has stalled must not keep the process from exiting.
func TestCloseReturnsWhileWriterIsBlocked(t *testing.T) {
	out := &blockedWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	log, closeLog := newLogger(logrus.InfoLevel, out)
	log.Info("first")
	<-out.started
	closeLog()
	close(out.release)
}

// Lines are the same as those of logrus.TextFormatter, so that its parsers read them.
func TestFormatMatchesTextFormatter(t *testing.T) {
	library := &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat}
	for _, data := range []logrus.Fields{
		{}, {"empty": "", "word": "a-b._/@^+", "spaces": "a b", "quotes": `a"b\c`, "lines": "a\nb", "unicode": "héß"},
		{"int": -3, "int64": int64(1) << 40, "bool": true, "float": 0.25, "map": map[string]int{"a": 1}, "error": io.EOF, "took": time.Second},
	} {
		e := &logrus.Entry{Logger: logrus.New(), Data: data, Level: logrus.WarnLevel, Time: time.UnixMilli(1_800_000_000_123), Message: "request ended"}
		want, err := library.Format(e)
		require.NoError(t, err)
		got, err := lineFormatter{}.Format(e)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	}
}

// BenchmarkLogLine measures the time to log one line with 11 fields, without the wait
// for the write.
func BenchmarkLogLine(b *testing.B) {
	log, closeLog := newLogger(logrus.InfoLevel, io.Discard)
	defer closeLog()
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"action": "dispatch", "reason": "best_score", "candidates": 8, "in_flight": 3, "queued": 0, "service_ms": 812,
			"request": "f551231c51943fe1", "target": "engines/busy", "config": 2, "server": "engine-12", "score": "1.25",
		}).Info("request decision")
	}
}
