package main

import (
	"fmt"
	"strings"
	"testing"

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
	require.Contains(t, text, "lines=7\nlast\n")
	require.NotContains(t, text, fmt.Sprint(logLines+1))
}
