package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/record"
)

const kitchenBase = `[partners.kitchen]
weight = 0.5

[pools.galley-models]
failure_domains = [
  "dock-hall-a",
  "dock-hall-b",
]
servers = 4
memory_mib = 80000
slots = 16
lent = 0.25

[models.tray-planner]
version = "3"
pools = ["galley-models"]
mib = 30000

[adapters.kosher]
model = "tray-planner"
version = "1"
mib = 500
`

const heritageBase = `[models.redator]
version = "1"
pools = ["galley-models"]
mib = 60000

[callers.campo]
key_sha256 = "` + keyHash + `"
`

const keyHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func kitchenFile(name, content string) File {
	return File{Name: name, Partner: "kitchen", Author: "ana", Content: []byte(content)}
}

func heritageFile(name, content string) File {
	return File{Name: name, Partner: "heritage", Author: "rui", Content: []byte(content)}
}

func TestBuildMergesSettingBySetting(t *testing.T) {
	files := []File{
		kitchenFile("20-night.toml", "[models.tray-planner]\nmax_tokens = 64\n"),
		kitchenFile("10-base.toml", kitchenBase),
		heritageFile("15-redator.toml", heritageBase),
	}
	files[0].Offset = 9
	c, from, err := Build(files)
	require.NoError(t, err)
	m := c.Models["tray-planner"]
	require.Equal(t, Model{
		Owner: "kitchen", Version: "3", Pools: []string{"galley-models"}, MiB: 30000,
		FirstTokenMS: 700, PerTokenMS: 37, MaxTokens: 64, TimeoutMS: 60000,
	}, m)
	require.Equal(t, 0.5, c.Partners["kitchen"].Weight)
	require.Equal(t, Partner{Weight: 1, AttainmentWeight: 1, MovesWeight: 1}, c.Partners["heritage"])
	require.Equal(t, Source{File: "20-night.toml", Partner: "kitchen", Author: "ana", Offset: 9},
		from[Key{"models", "tray-planner", "max_tokens"}])
	require.Equal(t, "10-base.toml", from[Key{"models", "tray-planner", "mib"}].File)
	require.Equal(t, "heritage", c.Callers["campo"].Owner)
}

func TestRemovedFileIsNotMerged(t *testing.T) {
	files := []File{kitchenFile("10-base.toml", kitchenBase), kitchenFile("20-night.toml", "[models.tray-planner]\nmax_tokens = 64\n")}
	files[1].Removed = true
	c, _, err := Build(files)
	require.NoError(t, err)
	require.Equal(t, DefaultMaxTokens, c.Models["tray-planner"].MaxTokens)
}

// TestValidationErrors has, for each rule, files that violate only that rule.
func TestValidationErrors(t *testing.T) {
	base, other := kitchenFile("10-base.toml", kitchenBase), heritageFile("15-redator.toml", heritageBase)
	add := func(f File) []File { return []File{base, other, f} }
	second := func(content string) []File { return add(kitchenFile("50-more.toml", content)) }
	cases := map[string]struct {
		files  []File
		file   string
		line   int
		key    string
		reason string
	}{
		"broken TOML":                    {second("[models.x]\nmib = = 3\n"), "50-more.toml", 2, "", "expected value"},
		"unknown kind":                   {second("\n[model.x]\nmib = 3\n"), "50-more.toml", 2, "model", "unknown key"},
		"unknown setting":                {second("[models.x]\n\n# one\nMiB = 3\n"), "50-more.toml", 4, "models.x.MiB", "unknown key"},
		"wrong type":                     {second("[models.tray-planner]\nmib = \"3\"\n"), "50-more.toml", 2, "models.tray-planner.mib", "whole number"},
		"not a table":                    {second("models = 3\n"), "50-more.toml", 1, "models", "table"},
		"name":                           {second("[models.\"a b\"]\n"), "50-more.toml", 1, "models.a b", "letters"},
		"too large":                      {second(strings.Repeat("#\n", MaxFileBytes)), "50-more.toml", 0, "", "256 KiB"},
		"another partner's table":        {add(heritageFile("90.toml", "[models.tray-planner]\nmib = 1\n")), "90.toml", 1, "models.tray-planner", "belongs to partner kitchen"},
		"another partner's settings":     {add(heritageFile("90.toml", "[partners.kitchen]\nweight = 0.1\n")), "90.toml", 1, "partners.kitchen", "only the partner itself"},
		"weight above 1":                 {second("[partners.kitchen]\nweight = 1.5\n"), "50-more.toml", 2, "partners.kitchen.weight", "at most 1"},
		"attainment":                     {second("[partners.kitchen]\nattainment_weight = 0\n"), "50-more.toml", 2, "partners.kitchen.attainment_weight", "above 0"},
		"moves":                          {second("[partners.kitchen]\nmoves_weight = -1\n"), "50-more.toml", 2, "partners.kitchen.moves_weight", "0 to 100"},
		"pool without servers":           {second("[pools.galley-models]\nservers = 0\n"), "50-more.toml", 2, "pools.galley-models.servers", "1 to"},
		"too few servers":                {second("[pools.galley-models]\nservers = 1\n"), "50-more.toml", 2, "pools.galley-models.servers", "each failure domain"},
		"lent":                           {second("[pools.galley-models]\nlent = 1.1\n"), "50-more.toml", 2, "pools.galley-models.lent", "0 to 1"},
		"duplicate failure domain":       {second("[pools.galley-models]\nfailure_domains = [\"a\",\n\"a\"]\n"), "50-more.toml", 2, "pools.galley-models.failure_domains", "twice"},
		"no such pool":                   {second("[models.tray-planner]\npools = [\"none\"]\n"), "50-more.toml", 2, "models.tray-planner.pools", "no pool none"},
		"pool not lent":                  {add(heritageFile("90.toml", "[models.redator]\npools = [\"p\"]\n[pools.x]\nservers=1\nmemory_mib=1\nslots=1\nfailure_domains=[\"a\"]\n")), "90.toml", 2, "models.redator.pools", "no pool p"},
		"model larger than a server":     {second("[models.tray-planner]\nmib = 80001\n"), "50-more.toml", 2, "models.tray-planner.mib", "fits in no server"},
		"no version":                     {second("[models.tray-planner]\nversion = \"\"\n"), "50-more.toml", 2, "models.tray-planner.version", "must be set"},
		"no such model":                  {second("[adapters.kosher]\nmodel = \"none\"\n"), "50-more.toml", 2, "adapters.kosher.model", "no model"},
		"another partner's model":        {second("[adapters.kosher]\nmodel = \"redator\"\n"), "50-more.toml", 2, "adapters.kosher.model", "belongs to partner heritage"},
		"adapter with a model's name":    {second("[adapters.tray-planner]\nmodel = \"tray-planner\"\nversion = \"1\"\nmib = 1\n"), "50-more.toml", 1, "adapters.tray-planner", "a model's name too"},
		"service with an adapter's name": {second("[services.kosher]\n"), "50-more.toml", 1, "services.kosher", "under adapters too"},
		"malformed call":                 {second("[services.menu]\nnon_idempotent = [\"/orders\"]\n"), "50-more.toml", 2, "services.menu.non_idempotent", "METHOD"},
		"malformed key":                  {second("[callers.desk]\nkey_sha256 = \"12\"\n"), "50-more.toml", 2, "callers.desk.key_sha256", "64 hexadecimal"},
		"another account's key":          {second("[callers.desk]\nkey_sha256 = \"" + strings.ToUpper(keyHash) + "\"\n"), "50-more.toml", 2, "callers.desk.key_sha256", "another caller's"},
		"own partition too small":        {second("[models.second]\nversion = \"1\"\npools = [\"galley-models\"]\nmib = 80000\n[models.third]\nversion = \"1\"\npools = [\"galley-models\"]\nmib = 80000\n[models.fourth]\nversion = \"1\"\npools = [\"galley-models\"]\nmib = 80000\n"), "10-base.toml", 17, "models.tray-planner.mib", "no longer fits"},
		"lent partition too small":       {add(heritageFile("90.toml", "[models.two]\nversion = \"1\"\npools = [\"galley-models\"]\nmib = 60000\n")), "90.toml", 4, "models.two.mib", "no longer fits"},
		"adapter too large":              {second("[adapters.big]\nmodel = \"tray-planner\"\nversion = \"1\"\nmib = 70000\n"), "50-more.toml", 4, "adapters.big.mib", "no longer fits"},
	}
	_, _, err := Build([]File{base, other})
	require.NoError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err := Build(c.files)
			var invalid *ValidationError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, c.file, invalid.File)
			require.Equal(t, c.line, invalid.Line, invalid.Error())
			require.Equal(t, c.key, invalid.Key.String())
			require.Contains(t, invalid.Reason, c.reason)
		})
	}
}

func TestJudgeRejectsConflictsAndOthersFiles(t *testing.T) {
	base, other := kitchenFile("10-base.toml", kitchenBase), heritageFile("15-redator.toml", heritageBase)
	base.Offset, other.Offset = 3, 5
	removed := kitchenFile("20.toml", "")
	removed.Removed, removed.Offset = true, 7
	current := []File{base, other, removed}
	change := func(file, partner, content string, base uint64) *record.ConfigChange {
		return &record.ConfigChange{File: file, Partner: partner, Author: "eva", Content: []byte(content), Base: base}
	}
	cases := map[string]struct {
		change *record.ConfigChange
		reason string // empty: accepted
	}{
		"edit":                           {change("10-base.toml", "kitchen", kitchenBase+"max_tokens = 5\n", 3), "unknown key"},
		"good edit":                      {change("10-base.toml", "kitchen", strings.Replace(kitchenBase, "30000", "30001", 1), 3), ""},
		"new":                            {change("30.toml", "kitchen", "", 0), ""},
		"race":                           {change("10-base.toml", "kitchen", kitchenBase, 2), "version 3 by ana is in force"},
		"new file that exists":           {change("10-base.toml", "kitchen", kitchenBase, 0), "version 3"},
		"edit of a missing file":         {change("30.toml", "kitchen", "", 4), "not in force"},
		"edit that races a removal":      {change("20.toml", "kitchen", "", 4), "version 7"},
		"reuse of a removed file's name": {change("20.toml", "heritage", "", 7), ""},
		"another partner's file":         {change("10-base.toml", "heritage", "", 3), "belongs to partner kitchen"},
		"file name":                      {change("a/x.toml", "kitchen", "", 0), "letters"},
		"hidden file":                    {change("../x.toml", "kitchen", "", 0), "begin with a dot"},
		"ending":                         {change("x.txt", "kitchen", "", 0), ".toml"},
		"lent partition reduced":         {change("10-base.toml", "kitchen", strings.Replace(kitchenBase, "0.25", "0.1", 1), 3), "pools.galley-models.lent: one replica of every model and adapter of partner heritage"},
		"memory of a used pool reduced":  {change("10-base.toml", "kitchen", strings.Replace(kitchenBase, "memory_mib = 80000", "memory_mib = 50000", 1), 3), "fits in no server"},
		"another partner's table in an earlier file": {change("05.toml", "heritage", "[models.tray-planner]\nmib = 1\n", 0), "belongs to partner kitchen"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := Judge(current, c.change)
			require.Equal(t, c.reason == "", v.GetAccepted(), v.GetReason())
			require.Contains(t, v.GetReason(), c.reason)
			require.Equal(t, c.change.GetFile(), v.GetFile())
		})
	}
}

func TestJudgeRemoval(t *testing.T) {
	base, other := kitchenFile("10-base.toml", kitchenBase), heritageFile("15-redator.toml", heritageBase)
	base.Offset, other.Offset = 3, 5
	current := []File{base, other}
	require.True(t, Judge(current, &record.ConfigChange{File: "15-redator.toml", Partner: "heritage", Removed: true, Base: 5}).GetAccepted())
	needed := Judge(current, &record.ConfigChange{File: "10-base.toml", Partner: "kitchen", Removed: true, Base: 3})
	require.False(t, needed.GetAccepted())
	require.Contains(t, needed.GetReason(), "no pool galley-models")
	require.False(t, Judge(current, &record.ConfigChange{File: "99.toml", Partner: "kitchen", Removed: true}).GetAccepted())
}

// generateFiles returns files that declare n models, 50 in each.
func generateFiles(n int) []File {
	files := []File{kitchenFile("00-pools.toml", "[pools.p]\nfailure_domains = [\"a\", \"b\"]\nservers = 1900\nmemory_mib = 80000\nslots = 16\n")}
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "[models.m%d]\nversion = \"1\"\npools = [\"p\"]\nmib = %d\nmax_tokens = 512\n", i, 10_000+i%7*5_000)
		if i%50 == 49 || i == n-1 {
			files = append(files, kitchenFile(fmt.Sprintf("10-models-%04d.toml", i), text.String()))
			text.Reset()
		}
	}
	return files
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{100, 870} {
		files := generateFiles(n)
		b.Run(fmt.Sprintf("models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := Build(files); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("again/models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			builder := NewBuilder()
			for b.Loop() {
				if _, _, err := builder.Build(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestBuildLenientSkipsUnknownKeys(t *testing.T) {
	newer := kitchenFile("20.toml", "[models.tray-planner]\nspeculative = true\nmax_tokens = 64\n[meshes.m]\nx = 1\n")
	c, _, invalid := NewBuilder().BuildLenient([]File{kitchenFile("10-base.toml", kitchenBase), newer})
	require.Equal(t, 64, c.Models["tray-planner"].MaxTokens)
	require.NotNil(t, invalid)
	require.Equal(t, "meshes", invalid.Key.String())
}

func TestExplainNamesEachValuesSource(t *testing.T) {
	base, night := kitchenFile("10-base.toml", kitchenBase), kitchenFile("20-night.toml", "[models.tray-planner]\nmax_tokens = 64\n")
	base.Offset, night.Offset = 3, 9
	c, from, err := Build([]File{night, base})
	require.NoError(t, err)
	byKey := map[string]ExplainedSetting{}
	for _, s := range Explain(c, from).Settings {
		byKey[s.Key] = s
	}
	require.Equal(t, ExplainedSetting{Key: "models.tray-planner.max_tokens", Value: []byte("64"), File: "20-night.toml", Partner: "kitchen", Author: "ana", Offset: 9},
		byKey["models.tray-planner.max_tokens"])
	require.Equal(t, "10-base.toml", byKey["models.tray-planner.mib"].File)
	require.Equal(t, ExplainedSetting{Key: "models.tray-planner.per_token_ms", Value: []byte("37"), Default: true}, byKey["models.tray-planner.per_token_ms"])
	require.JSONEq(t, `["dock-hall-a","dock-hall-b"]`, string(byKey["pools.galley-models.failure_domains"].Value))
}
