package main

import (
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// sighupIgnoredAtInit is set while packages are initialized, before main.
var sighupIgnoredAtInit = signal.Ignored(syscall.SIGHUP)

// A SIGHUP that came 29 ms after a start, before the program's first statement, ended the
// program (soak seed 52000).
func TestSIGHUPIsIgnoredBeforeTheFirstStatement(t *testing.T) {
	require.True(t, sighupIgnoredAtInit)
}
