package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/record"
)

// drawContent draws a small file whose tables may be valid, refer to missing tables
// or conflict with other files.
func drawContent(t *rapid.T) string {
	var out strings.Builder
	tables := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{
		"partners.kitchen", "partners.heritage", "pools.p", "pools.q", "models.a", "models.b", "models.c", "adapters.x", "services.s",
	}), 0, 4, rapid.ID[string]).Draw(t, "tables")
	for _, name := range tables {
		fmt.Fprintf(&out, "[%s]\n", name)
		size := rapid.SampledFrom([]int{100, 400, 700, 1000}).Draw(t, "size")
		pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
		switch strings.SplitN(name, ".", 2)[0] {
		case "partners":
			fmt.Fprintf(&out, "weight = %v\n", rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "weight"))
		case "pools":
			fmt.Fprintf(&out, "failure_domains = [\"d\"]\nservers = %d\nmemory_mib = %d\nslots = 4\nlent = %v\n",
				rapid.IntRange(1, 4).Draw(t, "servers"), size, rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lent"))
		case "models":
			fmt.Fprintf(&out, "version = \"1\"\npools = [%q]\nmib = %d\n", pool, size)
		case "adapters":
			fmt.Fprintf(&out, "model = \"a\"\nversion = \"1\"\nmib = %d\n", size)
		}
	}
	return out.String()
}

// ownedBy returns the partner's weights and its pools, models and adapters.
func ownedBy(c *Config, partner string) map[string]any {
	out := map[string]any{"partner": c.Partners[partner]}
	for name, v := range c.Pools {
		if v.Owner == partner {
			out["pool "+name] = v
		}
	}
	for name, v := range c.Models {
		if v.Owner == partner {
			out["model "+name] = v
		}
	}
	for name, v := range c.Adapters {
		if v.Owner == partner {
			out["adapter "+name] = v
		}
	}
	return out
}

// guaranteedAndRequired returns, in MiB, the memory that a partner is guaranteed
// and the memory that one replica of each of its models requires.
func guaranteedAndRequired(c *Config, partner string) (guaranteed, required int64) {
	for _, p := range c.Pools {
		servers := int64(float64(p.Servers) * p.Lent)
		if p.Owner == partner {
			servers = int64(float64(p.Servers) * (1 - p.Lent))
		}
		guaranteed += servers * p.MemoryMiB
	}
	for _, m := range c.Models {
		if m.Owner == partner {
			required += m.MiB
		}
	}
	return guaranteed, required
}

// TestAcceptedChangesPreserveOtherPartners applies random changes of two partners.
// Accepted changes must leave the configuration valid, must not alter what the
// other partner declares, and must not take capacity that either partner needs.
func TestAcceptedChangesPreserveOtherPartners(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		current := map[string]File{}
		builder := NewBuilder()
		for offset := uint64(1); offset < 25; offset++ {
			partner := rapid.SampledFrom([]string{"kitchen", "heritage"}).Draw(t, "partner")
			file := rapid.SampledFrom([]string{"1.toml", "2.toml", "3.toml", "4.toml"}).Draw(t, "file")
			change := &record.ConfigChange{
				File: file, Partner: partner, Removed: rapid.IntRange(0, 9).Draw(t, "removed") == 0,
				Content: []byte(drawContent(t)), Base: current[file].Offset,
			}
			before := sortedFiles(current)
			oldConfig, _, err := builder.Build(before)
			require.NoError(t, err)
			if !builder.Judge(before, change).GetAccepted() {
				continue
			}
			accepted++
			current[file] = File{Name: file, Partner: partner, Content: change.Content, Removed: change.Removed, Offset: offset}
			newConfig, _, err := builder.Build(sortedFiles(current))
			require.NoError(t, err)
			for _, p := range []string{"kitchen", "heritage"} {
				guaranteed, required := guaranteedAndRequired(newConfig, p)
				require.LessOrEqual(t, required, guaranteed, p)
				if p != partner {
					require.Equal(t, ownedBy(oldConfig, p), ownedBy(newConfig, p))
				}
			}
		}
	})
	require.Greater(t, accepted, 50)
}

// sortedFiles returns a map's files in the order of their names.
func sortedFiles(current map[string]File) []File {
	var out []File
	for _, f := range sorted(current) {
		out = append(out, f)
	}
	return out
}

// FuzzBuild checks that no content makes Build panic and that errors name the file.
func FuzzBuild(f *testing.F) {
	f.Add(kitchenBase)
	f.Add("[models.x]\nmib = 1e400")
	f.Add("models = [{a = 1}]\n[[pools]]\n")
	f.Add("[partners.kitchen]\nweight = nan\n")
	f.Add("[pools.p]\nlent = inf\nservers = 9223372036854775807\n")
	f.Fuzz(func(t *testing.T, content string) {
		_, _, err := Build([]File{kitchenFile("1.toml", content)})
		if err != nil {
			invalid, ok := err.(*ValidationError)
			require.True(t, ok)
			require.Equal(t, "1.toml", invalid.File)
			require.NotEmpty(t, invalid.Reason)
		}
		c, _, _ := NewBuilder().BuildLenient([]File{kitchenFile("1.toml", content)})
		require.NotNil(t, c)
		Explain(c, nil)
	})
}

// TestCapacityInvariantFailsWithoutRules checks that guaranteedAndRequired detects
// a lack of capacity: BuildLenient doesn't enforce the rules, so it builds a
// configuration that violates the invariant.
func TestCapacityInvariantFailsWithoutRules(t *testing.T) {
	base, other := kitchenFile("10-base.toml", kitchenBase), heritageFile("15-redator.toml", heritageBase)
	base.Content = []byte(strings.Replace(kitchenBase, "lent = 0.25", "lent = 0", 1))
	c, _, invalid := NewBuilder().BuildLenient([]File{base, other})
	require.NotNil(t, invalid)
	guaranteed, required := guaranteedAndRequired(c, "heritage")
	require.Greater(t, required, guaranteed)
}
