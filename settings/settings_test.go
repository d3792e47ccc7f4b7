package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"greengageferry/tomlfile"
)

const valid = `[instance]
id = "entry-1"
region = "sul"
failure_domain = "porto-a"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "127.0.0.1:8082"

[platform]
log = "http://127.0.0.1:9000"
instances = "http://127.0.0.1:9001"
weight_store = "http://127.0.0.1:9002"

[peers]
token = "0123456789abcdef"

[timing]
lease = "10s"
`

func TestUnsetSettingsGetDefaults(t *testing.T) {
	s, err := Parse("f", []byte(valid))
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, s.Timing.Lease.Value())
	require.Equal(t, DefaultOrderFlight, s.Timing.OrderFlight.Value())
	require.EqualValues(t, DefaultMaxBodyBytes, s.Limits.MaxBodyBytes)
	require.Equal(t, "127.0.0.1:8081", s.Listen.Peers.String())
}

func TestErrorsNameLineAndKey(t *testing.T) {
	cases := map[string]struct {
		old, new string
		line     int
		key      string
	}{
		"unknown key":                {"region =", "regoin =", 3, "instance.regoin"},
		"duration without unit":      {`"10s"`, `"10"`, 20, "timing.lease"},
		"number for a duration":      {`"10s"`, `10`, 20, "timing.lease"},
		"host name":                  {`"127.0.0.1:8081"`, `"localhost:8081"`, 8, "listen.peers"},
		"host name in a URL":         {"127.0.0.1:9001", "example.org:9001", 13, "platform.instances"},
		"path in a URL":              {"127.0.0.1:9001", "127.0.0.1:9001/x", 13, "platform.instances"},
		"same address":               {"127.0.0.1:8082", "127.0.0.1:8080", 9, "listen.operators"},
		"same port on all addresses": {"127.0.0.1:8082", "0.0.0.0:8081", 9, "listen.operators"},
		"short token":                {"0123456789abcdef", "short", 17, "peers.token"},
		"negative":                   {`"10s"`, `"-1s"`, 20, "timing.lease"},
		"order flight too long":      {`"10s"`, `"3s"`, 0, "timing.order_flight"},
		"missing":                    {"id = \"entry-1\"\n", "", 0, "instance.id"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			require.NotEqual(t, valid, text)
			_, err := Parse("entry.toml", []byte(text))
			var invalid *tomlfile.Error
			require.True(t, errors.As(err, &invalid), "got %v", err)
			require.Equal(t, "entry.toml", invalid.File)
			require.Equal(t, c.key, invalid.Key, "%v", invalid)
			require.Equal(t, c.line, invalid.Line, "%v", invalid)
			require.NotEmpty(t, invalid.Reason)
		})
	}
}
