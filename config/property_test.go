package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageferry/record"
)

// drawFile draws a small file of tables that may hit, miss or clash.
func drawFile(t *rapid.T) string {
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

// ownedBy returns what the partner declares, and its weight.
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

// heldAndNeeded returns the memory of the partner's guaranteed parts and of one
// replica of each of its models.
func heldAndNeeded(c *Config, partner string) (held, needed int64) {
	for _, p := range c.Pools {
		servers := int64(float64(p.Servers) * p.Lent)
		if p.Owner == partner {
			servers = int64(float64(p.Servers) * (1 - p.Lent))
		}
		held += servers * p.MemoryMiB
	}
	for _, m := range c.Models {
		if m.Owner == partner {
			needed += m.MiB
		}
	}
	return held, needed
}

// TestNoChangeBreaksTheOthers: whatever a partner sends, what was accepted stays
// valid, what the other declares stays as it is, and both keep their share.
func TestNoChangeBreaksTheOthers(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		force := map[string]File{}
		builder := NewBuilder()
		for offset := uint64(1); offset < 25; offset++ {
			partner := rapid.SampledFrom([]string{"kitchen", "heritage"}).Draw(t, "partner")
			file := rapid.SampledFrom([]string{"1.toml", "2.toml", "3.toml", "4.toml"}).Draw(t, "file")
			change := &record.ConfigChange{
				File: file, Partner: partner, Removed: rapid.IntRange(0, 9).Draw(t, "removed") == 0,
				Content: []byte(drawFile(t)), Base: force[file].Offset,
			}
			before := list(force)
			old, _, err := builder.Build(before)
			require.NoError(t, err)
			if !builder.Judge(before, change).GetAccepted() {
				continue
			}
			accepted++
			force[file] = File{Name: file, Partner: partner, Content: change.Content, Removed: change.Removed, Offset: offset}
			now, _, err := builder.Build(list(force))
			require.NoError(t, err)
			for _, p := range []string{"kitchen", "heritage"} {
				held, needed := heldAndNeeded(now, p)
				require.LessOrEqual(t, needed, held, p)
				if p != partner {
					require.Equal(t, ownedBy(old, p), ownedBy(now, p))
				}
			}
		}
	})
	require.Greater(t, accepted, 50)
}

func list(force map[string]File) []File {
	var out []File
	for _, f := range sorted(force) {
		out = append(out, f)
	}
	return out
}

// FuzzBuild: no file brings the program down, and a refusal names the file.
func FuzzBuild(f *testing.F) {
	f.Add(kitchenBase)
	f.Add("[models.x]\nmib = 1e400")
	f.Add("models = [{a = 1}]\n[[pools]]\n")
	f.Add("[partners.kitchen]\nweight = nan\n")
	f.Add("[pools.p]\nlent = inf\nservers = 9223372036854775807\n")
	f.Fuzz(func(t *testing.T, content string) {
		_, _, err := Build([]File{kitchen("1.toml", content)})
		if err != nil {
			refusal, ok := err.(*Refusal)
			require.True(t, ok)
			require.Equal(t, "1.toml", refusal.File)
			require.NotEmpty(t, refusal.Reason)
		}
		c, _, _ := NewBuilder().InForce([]File{kitchen("1.toml", content)})
		require.NotNil(t, c)
		Explain(c, nil)
	})
}

// TestCheckBitesWithoutTheRules: with the rules off, which is how InForce
// builds, the invariants above are seen to break.
func TestCheckBitesWithoutTheRules(t *testing.T) {
	base, other := kitchen("10-base.toml", kitchenBase), heritage("15-redator.toml", heritageBase)
	base.Content = []byte(strings.Replace(kitchenBase, "lent = 0.25", "lent = 0", 1))
	c, _, refusal := NewBuilder().InForce([]File{base, other})
	require.NotNil(t, refusal)
	held, needed := heldAndNeeded(c, "heritage")
	require.Greater(t, needed, held)
}
