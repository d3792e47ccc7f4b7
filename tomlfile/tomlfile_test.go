package tomlfile

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

type document struct {
	Models map[string]struct {
		MiB int64 `toml:"mib"`
	} `toml:"models"`
}

func TestErrorNamesFileLineAndKey(t *testing.T) {
	cases := map[string]struct {
		text string
		want Error
	}{
		"unknown key":   {"\n[models.a]\nmib = 1\nsize = 2\n", Error{File: "f", Line: 4, Key: "models.a.size", Reason: "unknown key"}},
		"unknown table": {"[models.a]\nmib = 1\n[poools.b]\nx = 1\n", Error{File: "f", Line: 3, Key: "poools.b"}},
		"quoted name":   {"[models.\"a.b\"]\nsize = 2\n", Error{File: "f", Line: 2, Key: "models.\"a.b\".size", Reason: "unknown key"}},
		"dotted key":    {"models.a.size = 2\n", Error{File: "f", Line: 1, Key: "models.a.size", Reason: "unknown key"}},
		"wrong type":    {"[models.a]\nmib = \"1\"\n", Error{File: "f", Line: 2, Key: "models.a.mib"}},
		"broken":        {"[models.a]\nmib = = 2\n", Error{File: "f", Line: 2, Key: "models.a.mib"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d document
			_, err := Decode("f", []byte(c.text), &d)
			var got *Error
			require.True(t, errors.As(err, &got))
			require.NotEmpty(t, got.Reason)
			if c.want.Reason == "" {
				c.want.Reason = got.Reason
			}
			require.Equal(t, c.want, *got)
		})
	}
}
