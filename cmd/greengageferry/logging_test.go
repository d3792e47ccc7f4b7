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

// stuck is a reader of the log that stands still until it is let go.
type stuck struct {
	begun chan struct{}
	letGo chan struct{}
	text  strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	default:
	}
	<-s.letGo
	return s.text.Write(p)
}

func TestStuckLogHoldsNothingUpAndSaysWhatItLost(t *testing.T) {
	out := &stuck{begun: make(chan struct{}, 1), letGo: make(chan struct{})}
	w := newLogWriter(out)
	_, err := fmt.Fprintln(w, "first")
	require.NoError(t, err)
	<-out.begun
	for n := range logLines + 7 { // the ring's places, and seven more
		_, err := fmt.Fprintln(w, n)
		require.NoError(t, err)
	}
	close(out.letGo)
	for len(w.ring) == logLines { // until there is room
		continue
	}
	_, err = fmt.Fprintln(w, "last")
	require.NoError(t, err)
	w.Close()
	text := out.text.String()
	require.True(t, strings.HasPrefix(text, "first\n0\n1\n"))
	require.Contains(t, text, "dropped=7 thinned=0\nlast\n")
	require.NotContains(t, text, fmt.Sprint(logLines+1))
}

// While the reader stands still, requests that went well fill the ring no more
// than half; what explains a failure is kept, and the loss is counted.
func TestLinesOfRequestsThatWentWellAreThinnedFirst(t *testing.T) {
	out := &stuck{begun: make(chan struct{}, 1), letGo: make(chan struct{})}
	log, closeLog := newLogger(logrus.InfoLevel, out)
	log.Info("first")
	<-out.begun
	for n := range 2 * logLines {
		log.WithFields(logrus.Fields{"request": n, "reason": "answered"}).Info("request ended")
		if n%16 == 0 {
			log.WithFields(logrus.Fields{"request": n, "reason": "deadline"}).Warn("request ended")
		}
	}
	close(out.letGo)
	log.Info("last")
	closeLog()
	text := out.text.String()
	require.Equal(t, 2*logLines/16, strings.Count(text, "reason=deadline"), "none of them is lost")
	require.Less(t, strings.Count(text, "reason=answered"), logLines)
	require.Contains(t, text, "dropped=0 thinned=")
	require.NotContains(t, text, "\x00")
}

// A reader that never takes anything must not keep the program from ending.
func TestAStuckLogDoesNotKeepTheProgram(t *testing.T) {
	out := &stuck{begun: make(chan struct{}, 1), letGo: make(chan struct{})}
	log, closeLog := newLogger(logrus.InfoLevel, out)
	log.Info("first")
	<-out.begun
	closeLog()
	close(out.letGo)
}

// Lines read the same as the library's own, so that whatever reads those reads these.
func TestLinesAreAsTheLibraryFormatsThem(t *testing.T) {
	library := &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: lineTime}
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

// BenchmarkLogLine is what one line of a request costs the request: 11 fields.
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
