package supervise

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }

type testError struct{}

func (testError) Error() string { return "failed" }

func quietOptions() Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Options{Log: log}
}

func TestPanickingDutyIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		err := Run(t.Context(), quietOptions(), Duty{Name: "d", Run: func(context.Context) error {
			runs++
			if runs < 3 {
				panic("boom")
			}
			return nil
		}})
		require.NoError(t, err)
		require.Equal(t, 3, runs)
	})
}

func TestPersistentFailureEndsSupervisor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		siblingEnded := false
		sibling := Duty{Name: "sibling", Run: func(ctx context.Context) error {
			<-ctx.Done()
			siblingEnded = true
			return nil
		}}
		runs := 0
		failing := Duty{Name: "failing", Run: func(context.Context) error { runs++; return testError{} }}
		err := Run(t.Context(), quietOptions(), Tree("level", quietOptions(), sibling, failing))
		var limitErr *RestartLimitError
		require.True(t, errors.As(err, &limitErr))
		require.Equal(t, "level", limitErr.Duty)
		require.True(t, errors.As(err, &testError{}))
		require.True(t, siblingEnded)
		require.Equal(t, (DefaultMaxRestarts+1)*(DefaultMaxRestarts+1), runs)
	})
}

func TestFailuresOutsideWindowDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		err := Run(t.Context(), quietOptions(), Duty{Name: "d", Run: func(ctx context.Context) error {
			runs++
			if runs > 3*DefaultMaxRestarts {
				return nil
			}
			time.Sleep(DefaultWindow)
			return testError{}
		}})
		require.NoError(t, err)
	})
}

func TestContextEndIsNotAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		err := Run(ctx, quietOptions(), Duty{Name: "d", Run: func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		require.NoError(t, err)
	})
}
