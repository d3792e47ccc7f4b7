package relay

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"greengageferry/decide"
	"greengageferry/quarantine"
)

// Guards against a crash that isn't recognised because the server is back, or another process
// has its address, and against a reset connection that is taken for a crash.
func TestServerHasCrashedIfNoOlderConnectionIsLeft(t *testing.T) {
	accepts := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		t.Cleanup(func() { _ = there.Close() })
		return here, nil
	}
	fails := func(err error) func(context.Context, string, string) (net.Conn, error) {
		return func(context.Context, string, string) (net.Conn, error) { return nil, err }
	}
	refuses, unanswered := fails(unix.ECONNREFUSED), fails(os.ErrDeadlineExceeded)
	brokeAt := time.Now()
	for name, c := range map[string]struct {
		dial   func(context.Context, string, string) (net.Conn, error)
		opened time.Time // of a connection that is still open
		want   crashVerdict
	}{
		"address refuses":                          {refuses, time.Time{}, surelyCrashed},
		"back at once, or another process is":      {accepts, time.Time{}, presumablyCrashed},
		"not reached":                              {unanswered, time.Time{}, notKnown},
		"accepts, and resets the connection":       {fails(unix.ECONNRESET), time.Time{}, presumablyCrashed},
		"no route to it":                           {fails(unix.EHOSTUNREACH), time.Time{}, notKnown},
		"goes on":                                  {accepts, brokeAt.Add(-time.Minute), goesOn},
		"goes on, but new connections are refused": {refuses, brokeAt.Add(-time.Minute), goesOn},
		"back, with a connection opened before the crash was noticed": {accepts, brokeAt.Add(-quarantine.SurvivalMargin / 2), presumablyCrashed},
	} {
		checks := crashChecks{dial: c.dial, openBefore: func(_ string, at time.Time) int {
			if !c.opened.IsZero() && c.opened.Before(at) {
				return 1
			}
			return 0
		}}
		require.Equal(t, c.want, checks.judge(decide.Server{ID: "a"}, brokeAt), name)
	}
}

func TestVerdictPassesThroughAnotherInstance(t *testing.T) {
	for verdict, name := range crashVerdictNames {
		require.Equal(t, verdict, crashVerdictNamed(name))
	}
	require.Equal(t, notKnown, crashVerdictNamed(""))
	require.Equal(t, 20*time.Millisecond, brokenFor("20"))
	require.Equal(t, time.Second, brokenFor("999999999"))
	require.Zero(t, brokenFor("-1"))
	require.Zero(t, brokenFor("x"))
}
