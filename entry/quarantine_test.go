package entry

import (
	"encoding/hex"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/config"
	"greengageferry/quarantine"
)

func TestLiftDiscardsOnlyEarlierCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fingerprint := [32]byte{1}
		cfg := &config.Config{}
		q := &logQuarantine{config: func() *config.Config { return cfg }}
		now := time.Now()
		require.Equal(t, now.Add(-quarantine.Expiry), q.since(fingerprint))

		lift := func(before time.Time) {
			cfg = &config.Config{Lifts: map[string]config.QuarantineLift{hex.EncodeToString(fingerprint[:]): {Before: before}}}
		}
		lift(now.Add(-time.Minute))
		require.Equal(t, now.Add(-time.Minute), q.since(fingerprint))
		require.Equal(t, now.Add(-quarantine.Expiry), q.since([32]byte{2}), "the lift names another request")
		lift(now.Add(-2 * quarantine.Expiry))
		require.Equal(t, now.Add(-quarantine.Expiry), q.since(fingerprint), "a lift from before the expiry has no effect")
	})
}
