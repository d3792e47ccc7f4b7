package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuarantineLifts(t *testing.T) {
	fingerprint := strings.Repeat("ab", 32)
	cases := map[string]struct {
		text   string
		reason string // empty: accepted
	}{
		"whole":               {"[lifts." + fingerprint + "]\nbefore = 2026-12-02T10:00:00Z\n", ""},
		"invalid fingerprint": {"[lifts.abc]\nbefore = 2026-12-02T10:00:00Z\n", "fingerprint"},
		"no end time":         {"[lifts." + fingerprint + "]\n", "must be set"},
		"time as a string":    {"[lifts." + fingerprint + "]\nbefore = \"yesterday\"\n", "time"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cfg, _, err := Build([]File{{Name: "a.toml", Partner: "kitchen", Content: []byte(c.text)}})
			if c.reason == "" {
				require.NoError(t, err)
				require.Equal(t, time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC), cfg.Lifts[fingerprint].Before.UTC())
				return
			}
			require.ErrorContains(t, err, c.reason)
		})
	}
}
